"""Settings of the dispatcher daemon: one table of defaults, read from INI."""

import attrs

from acacialine import errors
from acacialine import ini

# Section -> options. docs/CONFIGURATION.md lists the same table.
DEFAULTS: dict[str, tuple[ini.Option, ...]] = {
    "dispatcher": (
        ini.Option("name", ini.name, None, "Name of this entry VM."),
        ini.Option("zone", ini.name, None, "Its availability zone."),
        ini.Option(
            "caller_address",
            ini.address,
            None,
            "IP:port on which callers are served.",
        ),
        ini.Option(
            "ready_address",
            ini.address,
            None,
            "IP:port that the balancer asks whether this entry is ready.",
        ),
        ini.Option(
            "peer_address",
            ini.address,
            None,
            "IP:port on which other entries connect.",
        ),
        ini.Option(
            "peer_advertise",
            ini.string,
            "",
            "IP:port at which others reach peer_address; that one if empty.",
        ),
        ini.Option(
            "metrics_address",
            ini.address,
            "127.0.0.1:0",
            "IP:port of the counters and histograms.",
        ),
        ini.Option(
            "cores",
            ini.number(0.01, 1024),
            "1",
            "Processors of this VM; the strongest entries place tasks.",
        ),
        ini.Option(
            "cpu_share",
            ini.number(0.01, 1),
            "1",
            "Share of these processors that this process may use.",
        ),
        ini.Option(
            "seeds",
            ini.addresses,
            "",
            "Peer addresses tried when the store does not answer.",
        ),
        ini.Option(
            "peer_keys",
            ini.words,
            None,
            "Shared keys of the entries; the first is used to connect,"
            " all are accepted.",
        ),
    ),
    "store": (
        ini.Option("address", ini.address, None, "IP:port of the store."),
        ini.Option(
            "configuration_wait_ms",
            ini.integer(50, 30000),
            "1200",
            "Longest wait of one read for a new configuration, in ms.",
        ),
        ini.Option(
            "servers_poll_ms",
            ini.integer(50, 30000),
            "300",
            "Pause between reads of the backend servers' records by the"
            " placer, in ms.",
        ),
        ini.Option(
            "directory_poll_ms",
            ini.integer(50, 30000),
            "1500",
            "Pause between writes and reads of the entries' records, in ms.",
        ),
    ),
    "placement": (
        ini.Option(
            "lease_ms",
            ini.integer(100, 60000),
            "1000",
            "Lease of running tasks; the platform's longest one, in ms.",
        ),
        ini.Option(
            "look_wait_ms",
            ini.integer(50, 30000),
            "400",
            "Longest wait of one look at a backend server for an end, in"
            " ms; well below the lease.",
        ),
        ini.Option(
            "late_share",
            ini.number(-0.9, 10),
            "0.6",
            "Share of its objective by which a job may be predicted late"
            " and still be accepted while nothing waits; less the more waits.",
        ),
    ),
    "stop": (
        ini.Option(
            "grace_s",
            ini.number(0.5, 600),
            "6",
            "Time until a process that is asked to stop is killed, in s.",
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
    seeds: tuple[tuple[str, int], ...]
    peer_keys: tuple[str, ...]

    @property
    def dialled_address(self) -> tuple[str, int]:
        """The address at which other entries reach this one."""
        if self.peer_advertise:
            return ini.address(self.peer_advertise)
        return self.peer_address

    @property
    def weight(self) -> float:
        """How much this entry can do, in processors."""
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


_SECTIONS = {
    "dispatcher": DispatcherSettings,
    "store": StoreSettings,
    "placement": PlacementSettings,
    "stop": StopSettings,
}


def read_settings(text: str, source: str) -> Settings:
    """Reads settings from an INI text.

    Raises:
        errors.FindingsError: All that is wrong with it, with its place.
    """
    parsed = ini.parse_text(text, source)
    values = {
        name: ini.read_section(parsed, name, options)
        for name, options in DEFAULTS.items()
    }
    for name in parsed.sections:
        if name not in DEFAULTS:
            parsed.add(name, "", "is not a known section")
    if parsed.findings:
        raise errors.FindingsError(
            errors.Code.INVALID_SETTINGS, parsed.findings
        )
    return Settings(
        **{name: cls(**values[name]) for name, cls in _SECTIONS.items()}
    )
