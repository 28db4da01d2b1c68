"""Settings of the dispatcher daemon, read from an INI text."""

import os

import attrs

from acacialine import errors
from acacialine import ini
from acacialine import placementpolicy

DEFAULT_EVACUATE_MS = "5000"  # bound of the platform's rule on evacuation


def _parse_evacuate_ms(raw: str) -> int:
    """Parses `evacuate_ms`; the default applies to an empty text.

    The settings template is empty there on platforms without this bound.
    """
    return ini.integer(0, 600000)(raw or DEFAULT_EVACUATE_MS)


def _variable(name: str, default: str = "") -> str:
    """Returns the default of an option that an environment variable may set.

    The deploy file sets it from a field that not every platform has.
    """
    return os.environ.get(name) or default


# Options by section; docs/CONFIGURATION.md lists the same table.
DEFAULTS: dict[str, tuple[ini.Option, ...]] = {
    "dispatcher": (
        ini.Option("name", ini.name, None, "Name of this entry VM."),
        ini.Option("zone", ini.name, None, "Its availability zone."),
        ini.Option(
            "caller_address",
            ini.address,
            None,
            "IP:port that serves clients.",
        ),
        ini.Option(
            "ready_address",
            ini.address,
            None,
            "IP:port that serves the load balancer's readiness check.",
        ),
        ini.Option(
            "peer_address",
            ini.address,
            None,
            "IP:port that accepts links from other dispatchers.",
        ),
        ini.Option(
            "peer_advertise",
            ini.string,
            "",
            "IP:port at which others reach peer_address; the same if empty.",
        ),
        ini.Option(
            "metrics_address",
            ini.address,
            "127.0.0.1:0",
            "IP:port that serves metrics.",
        ),
        ini.Option(
            "cores",
            ini.number(0.01, 1024),
            "1",
            "Processors of this VM; the placer is chosen by cores * cpu_share.",
        ),
        ini.Option(
            "cpu_share",
            ini.number(0.01, 1),
            "1",
            "Share of these processors that this process may use.",
        ),
        ini.Option(
            "memory_mb",
            ini.optional(ini.number(0, 1 << 30)),
            _variable("ACACIALINE_MEMORY_MB"),
            "Memory that this process may use, in MB; 160 if empty or 0.",
        ),
        ini.Option(
            "max_fds",
            ini.optional(ini.number(0, 1 << 30)),
            _variable("ACACIALINE_MAX_FDS"),
            "File descriptors that this process may open, 200 of them for"
            " files; the limit of the process if empty or 0.",
        ),
        ini.Option(
            "seeds",
            ini.addresses,
            "",
            "Peer addresses used while fewer than two dispatchers are known.",
        ),
        ini.Option(
            "zones",
            ini.words,
            "",
            "All availability zones that have dispatchers; zones in the store"
            " are added.",
        ),
        ini.Option(
            "peer_keys",
            ini.words,
            None,
            "Shared keys of the dispatchers; the first is used to connect,"
            " all are accepted.",
        ),
    ),
    "store": (
        ini.Option("address", ini.address, None, "IP:port of the store."),
        ini.Option(
            "configuration_wait_ms",
            ini.integer(50, 30000),
            "1200",
            "Timeout of a long poll for a new configuration, in ms.",
        ),
        ini.Option(
            "servers_poll_ms",
            ini.integer(50, 30000),
            "300",
            "Interval between reads of the backend servers' records by the"
            " placer, in ms.",
        ),
        ini.Option(
            "directory_poll_ms",
            ini.integer(50, 30000),
            "1500",
            "Interval between writes and reads of the dispatchers' records, in"
            " ms.",
        ),
    ),
    "placement": (
        ini.Option(
            "lease_ms",
            ini.integer(100, 60000),
            "1000",
            "Lease of running tasks, in ms; the default is the longest that the"
            " platform grants.",
        ),
        ini.Option(
            "look_wait_ms",
            ini.integer(50, 30000),
            "400",
            "Timeout of a long poll of a backend server for the end of a run,"
            " in ms; at most 0.4 of lease_ms is used.",
        ),
        ini.Option(
            "late_share",
            ini.number(-0.9, 10),
            "0.6",
            "Share of its objective by which a job may be predicted late"
            " and still be accepted while no task waits; the share decreases"
            " as more tasks wait.",
        ),
        ini.Option(
            "evacuate_ms",
            _parse_evacuate_ms,
            _variable("ACACIALINE_EVACUATE_MS", DEFAULT_EVACUATE_MS),
            "Time from the acceptance of the record that evacuates a zone until"
            " no task starts there, in ms; the default applies if empty.",
        ),
        ini.Option(
            "forecast",
            ini.choice("slots", "sizes"),
            "slots",
            "How the end of a job is forecast: by slots of the size of its own"
            " tasks, or by the sizes of all tasks and the speeds of servers.",
        ),
        ini.Option(
            "look_ahead",
            ini.boolean,
            "no",
            "Whether servers are reserved for the most urgent job that can't"
            " start, and tasks are paired by what fits.",
        ),
        ini.Option(
            "fair_share",
            ini.boolean,
            "no",
            "Whether queues and the zones of clients get shares when more work"
            " arrives than fits.",
        ),
        ini.Option(
            "priority_first",
            ini.boolean,
            "no",
            "Whether the priority of a queue comes before shares and urgency"
            " in the order of waiting jobs.",
        ),
        ini.Option(
            "spread_retries",
            ini.boolean,
            "no",
            "Whether refused clients are told to return as room is forecast for"
            " them, and are not put behind newcomers then.",
        ),
        ini.Option(
            "balance_zones",
            ini.boolean,
            "no",
            "Whether zones under pressure exchange summaries and jobs that"
            " their own zone can't serve in time go to another zone at once.",
        ),
    ),
    "stop": (
        ini.Option(
            "grace_s",
            ini.number(0.5, 600),
            "6",
            "Time from the stop signal until the process is killed, in s.",
        ),
    ),
}


@attrs.frozen
class DispatcherSettings:
    """Section [dispatcher]."""

    name: str
    zone: str
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    peer_advertise: str
    metrics_address: tuple[str, int]
    cores: float
    cpu_share: float
    memory_mb: float | None
    max_fds: float | None
    seeds: tuple[tuple[str, int], ...]
    zones: tuple[str, ...]
    peer_keys: tuple[str, ...]

    @property
    def advertised_address(self) -> tuple[str, int]:
        """The address at which other dispatchers reach this one."""
        if self.peer_advertise:
            return ini.address(self.peer_advertise)
        return self.peer_address

    @property
    def weight(self) -> float:
        """The CPU capacity of this process, in processors."""
        return self.cores * self.cpu_share


@attrs.frozen
class StoreSettings:
    """Section [store]."""

    address: tuple[str, int]
    configuration_wait_ms: int
    servers_poll_ms: int
    directory_poll_ms: int


@attrs.frozen
class PlacementSettings:
    """Section [placement]."""

    lease_ms: int
    look_wait_ms: int
    late_share: float
    evacuate_ms: int
    forecast: str
    look_ahead: bool
    fair_share: bool
    priority_first: bool
    spread_retries: bool
    balance_zones: bool

    @property
    def policy(self) -> placementpolicy.PlacementPolicy:
        """What the placer does when more work arrives than fits."""
        return placementpolicy.PlacementPolicy(
            sized_forecast=self.forecast == "sizes",
            look_ahead=self.look_ahead,
            fair_share=self.fair_share,
            priority_first=self.priority_first,
            spread_retries=self.spread_retries,
        )


@attrs.frozen
class StopSettings:
    """Section [stop]."""

    grace_s: float


@attrs.frozen
class Settings:
    """All settings of a dispatcher."""

    dispatcher: DispatcherSettings
    store: StoreSettings
    placement: PlacementSettings
    stop: StopSettings


_SECTION_CLASSES = {
    "dispatcher": DispatcherSettings,
    "store": StoreSettings,
    "placement": PlacementSettings,
    "stop": StopSettings,
}


def read_settings(text: str, source: str) -> Settings:
    """Reads settings from an INI text.

    Args:
        text: The text.
        source: Name of its file, for findings.

    Raises:
        errors.FindingsError: The text is invalid; contains all findings with
            their lines.
    """
    parsed = ini.parse_text(text, source)
    values = {
        name: ini.read_section(parsed, name, options)
        for name, options in DEFAULTS.items()
    }
    for name in parsed.sections:
        if name not in DEFAULTS:
            parsed.add_finding(name, "", "is not a known section")
    if parsed.findings:
        raise errors.FindingsError(
            errors.Code.INVALID_SETTINGS, parsed.findings
        )
    return Settings(
        **{name: cls(**values[name]) for name, cls in _SECTION_CLASSES.items()}
    )
