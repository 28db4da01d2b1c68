"""Settings of the entry daemon: options with their defaults, read from INI."""

import pathlib

import attrs

from acacialine import errors
from acacialine import ini

# Options by section. docs/CONFIGURATION.md documents the same options.
DEFAULTS: dict[str, tuple[ini.Option, ...]] = {
    "entry": (
        ini.Option("name", ini.name, None, "Name of this entry VM."),
        ini.Option("zone", ini.name, None, "Its availability zone."),
        ini.Option("region", ini.name, "region-1", "Its region."),
        ini.Option(
            "caller_address",
            ini.address,
            "127.0.0.1:7100",
            "IP:port on which clients are served.",
        ),
        ini.Option(
            "peer_address",
            ini.address,
            "127.0.0.1:7101",
            "IP:port on which other entries connect.",
        ),
        ini.Option(
            "peer_advertise",
            ini.string,
            "",
            "IP:port to which other entries connect; empty: peer_address.",
        ),
        ini.Option(
            "admin_address",
            ini.address,
            "127.0.0.1:7102",
            "IP:port of the admin API.",
        ),
        ini.Option(
            "admin_token_sha256",
            ini.string,
            "",
            "SHA-256 of the admin token; required unless admin_address is a"
            " loopback address.",
        ),
        ini.Option(
            "peers",
            ini.addresses,
            "",
            "Peer addresses tried when the VM list is not available.",
        ),
        ini.Option(
            "peer_keys",
            ini.words,
            None,
            "Shared keys of the entries; the first is used to connect,"
            " all are accepted.",
        ),
    ),
    "platform": (
        ini.Option("url", ini.string, None, "Base URL of the platform."),
        ini.Option(
            "config_stream", ini.name, "config", "Stream of team documents."
        ),
        ini.Option(
            "poll_ms",
            ini.integer(10, 60000),
            "500",
            "Longest wait of one read of the stream, in ms.",
        ),
        ini.Option(
            "retention_s",
            ini.number(1, 1e8),
            "86400",
            "Time for which the log keeps a record, in s.",
        ),
        ini.Option(
            "vm_list_ms",
            ini.integer(50, 60000),
            "1000",
            "Interval between reads of the VM list, in ms.",
        ),
        ini.Option(
            "timeout_ms",
            ini.integer(50, 60000),
            "2000",
            "Time allowed for one platform request, in ms.",
        ),
    ),
    "submissions": (
        ini.Option(
            "epoch_s",
            ini.number(0.1, 3600),
            "60",
            "Length of an epoch of submission ids, in s.",
        ),
        ini.Option(
            "epochs_kept",
            ini.integer(1, 1000),
            "4",
            "Number of epochs before the current one whose ids are still"
            " accepted.",
        ),
        ini.Option(
            "answer_bytes",
            ini.integer(0, 1 << 30),
            "16777216",
            "Most bytes of answers retained for replay.",
        ),
        ini.Option(
            "tombstones",
            ini.integer(16, 10_000_000),
            "150000",
            "Most tombstones kept; beyond that, the oldest epochs are closed.",
        ),
        ini.Option(
            "max_body_bytes",
            ini.integer(1024, 1 << 30),
            "2097152",
            "Largest request body, in bytes.",
        ),
        ini.Option(
            "max_queued_bytes",
            ini.integer(1024, 1 << 30),
            "50331648",
            "Most bytes of request bodies of unfinished jobs that this entry"
            " holds for all teams.",
        ),
        ini.Option(
            "deadline_margin_ms",
            ini.integer(0, 10000),
            "15",
            "Time before the client's deadline by which the answer is final,"
            " in ms.",
        ),
    ),
    "placement": (
        ini.Option(
            "policy",
            ini.choice("default", "fifo", "random"),
            "default",
            "How waiting tasks are ordered and placed.",
        ),
        ini.Option(
            "zone_entries_max",
            ini.integer(1, 64),
            "8",
            "Most entries in one zone; the connections to a backend server"
            " are divided by it.",
        ),
        ini.Option(
            "grant_ttl_ms",
            ini.integer(5, 10000),
            "250",
            "Time within which a granted slot must be used, in ms.",
        ),
        ini.Option(
            "ask_interval_ms",
            ini.integer(1, 10000),
            "6",
            "Shortest time between two slot requests to one broker, in ms.",
        ),
        ini.Option(
            "spill_wait_ms",
            ini.integer(0, 60000),
            "10",
            "Predicted wait from which slots of other zones are requested, in"
            " ms.",
        ),
        ini.Option(
            "starts_per_tick",
            ini.integer(1, 1000),
            "16",
            "Most task starts in one tick of the scheduling loop.",
        ),
        ini.Option(
            "long_task_s",
            ini.number(0.01, 3600),
            "1.2",
            "Run time from which a task counts as long, in s.",
        ),
        ini.Option(
            "long_slots_share",
            ini.number(0.01, 1),
            "0.5",
            "Share of a broker's slots that long tasks may hold.",
        ),
        ini.Option(
            "retry_share",
            ini.number(0, 1),
            "0.1",
            "Retries allowed, as a share of task starts.",
        ),
        ini.Option(
            "connect_timeout_ms",
            ini.integer(1, 60000),
            "1000",
            "Time allowed to connect to a backend server, in ms.",
        ),
        ini.Option(
            "idle_expiry_ms",
            ini.integer(1, 60000),
            "2000",
            "Time after which an idle connection is closed, in ms.",
        ),
    ),
    "membership": (
        ini.Option(
            "heartbeat_ms",
            ini.integer(20, 10000),
            "500",
            "Interval of heartbeats within the zone, in ms.",
        ),
        ini.Option(
            "zone_heartbeat_ms",
            ini.integer(20, 60000),
            "1000",
            "Interval of heartbeats to other zones, in ms.",
        ),
        ini.Option(
            "dead_ms",
            ini.integer(50, 60000),
            "1600",
            "Time without heartbeats, direct or reported by other entries,"
            " after which a peer counts as dead, in ms.",
        ),
        ini.Option(
            "zone_fanout",
            ini.integer(1, 64),
            "2",
            "Number of entries of each other zone that get heartbeats.",
        ),
    ),
    "stop": (
        ini.Option(
            "unhealthy_s",
            ini.number(0, 600),
            "1",
            "Time between reporting unhealthy and refusing work, in s.",
        ),
        ini.Option(
            "close_first_s",
            ini.number(0, 600),
            "0.5",
            "Time before reporting unhealthy during which client connections"
            " are closed after each answer, in s.",
        ),
        ini.Option(
            "finish_s",
            ini.number(0, 3600),
            "60",
            "Longest wait for unfinished work at a planned stop, in s.",
        ),
    ),
    "tls": (
        ini.Option("certificate", ini.string, "", "Certificate file (PEM)."),
        ini.Option("key", ini.string, "", "Private key file (PEM)."),
        ini.Option("ca", ini.string, "", "CA file for peer links (PEM)."),
    ),
    "log": (
        ini.Option(
            "decisions",
            ini.boolean,
            "yes",
            "Whether each placement decision is logged.",
        ),
        ini.Option(
            "statsd", ini.string, "", "IP:port of statsd; empty: not used."
        ),
        ini.Option(
            "statsd_prefix",
            ini.string,
            "acacialine",
            "Prefix of the metric names.",
        ),
    ),
}


@attrs.frozen
class EntrySettings:
    """Identity of the entry and addresses and keys of its interfaces."""

    name: str
    zone: str
    region: str
    caller_address: tuple[str, int]
    peer_address: tuple[str, int]
    peer_advertise: str
    admin_address: tuple[str, int]
    admin_token_sha256: str
    peers: tuple[tuple[str, int], ...]
    peer_keys: tuple[str, ...] = attrs.field(repr=False)

    @property
    def dialled_address(self) -> tuple[str, int]:
        """The address at which other entries reach this one."""
        if self.peer_advertise:
            return ini.address(self.peer_advertise)
        return self.peer_address


@attrs.frozen
class PlatformSettings:
    """Address of the platform and intervals at which it is read."""

    url: str
    config_stream: str
    poll_ms: int
    retention_s: float
    vm_list_ms: int
    timeout_ms: int


@attrs.frozen
class SubmissionSettings:
    """Limits on submissions and on the answers and tombstones retained."""

    epoch_s: float
    epochs_kept: int
    answer_bytes: int
    tombstones: int
    max_body_bytes: int
    max_queued_bytes: int
    deadline_margin_ms: int


@attrs.frozen
class PlacementSettings:
    """Parameters of the placement policy."""

    policy: str
    zone_entries_max: int
    grant_ttl_ms: int
    ask_interval_ms: int
    spill_wait_ms: int
    starts_per_tick: int
    long_task_s: float
    long_slots_share: float
    retry_share: float
    connect_timeout_ms: int
    idle_expiry_ms: int


@attrs.frozen
class MembershipSettings:
    """Intervals of heartbeats and failure detection."""

    heartbeat_ms: int
    zone_heartbeat_ms: int
    dead_ms: int
    zone_fanout: int


@attrs.frozen
class StopSettings:
    """Durations of the phases of a planned stop."""

    unhealthy_s: float
    close_first_s: float
    finish_s: float


@attrs.frozen
class TlsSettings:
    """Certificate files; empty names switch TLS off."""

    certificate: str
    key: str
    ca: str


@attrs.frozen
class LogSettings:
    """What is logged, and the statsd server that receives metrics."""

    decisions: bool
    statsd: str
    statsd_prefix: str


@attrs.frozen
class Settings:
    """All settings of one entry daemon."""

    entry: EntrySettings
    platform: PlatformSettings
    submissions: SubmissionSettings
    placement: PlacementSettings
    membership: MembershipSettings
    stop: StopSettings
    tls: TlsSettings
    log: LogSettings


_SECTION_CLASSES = {
    "entry": EntrySettings,
    "platform": PlatformSettings,
    "submissions": SubmissionSettings,
    "placement": PlacementSettings,
    "membership": MembershipSettings,
    "stop": StopSettings,
    "tls": TlsSettings,
    "log": LogSettings,
}

_LOOPBACK_PREFIXES = ("127.", "::1")


def read_settings(text: str, source: str) -> Settings:
    """Parses and validates settings in INI form.

    Args:
        text: The settings.
        source: Their file name, for findings.

    Raises:
        errors.FindingsError: With every finding in the text.
    """
    parsed = ini.parse_text(text, source)
    sections = {}
    for section, options in DEFAULTS.items():
        sections[section] = ini.read_section(parsed, section, options)
    for section in parsed.sections:
        if section not in DEFAULTS:
            parsed.add(section, "", "is not a known section")
    _check_consistency(parsed, sections)
    if parsed.findings:
        raise errors.FindingsError(
            errors.Code.INVALID_SETTINGS, parsed.findings
        )
    instances = {
        name: _SECTION_CLASSES[name](**v) for name, v in sections.items()
    }
    return Settings(**instances)


def _check_consistency(parsed: ini.Text, sections: dict) -> None:
    """Adds a finding for each value that contradicts another one."""
    entry = sections["entry"]
    if entry.get("peer_advertise"):
        try:
            ini.address(entry["peer_advertise"])
        except ValueError as error:
            parsed.add("entry", "peer_advertise", str(error))
    host = entry.get("admin_address", ("127.0.0.1", 0))[0]
    if not host.startswith(_LOOPBACK_PREFIXES) and not entry.get(
        "admin_token_sha256"
    ):
        parsed.add(
            "entry",
            "admin_token_sha256",
            "is required unless admin_address is a loopback address",
        )
    membership = sections["membership"]
    if {"dead_ms", "heartbeat_ms"} <= membership.keys():
        minimum_ms = 2 * membership["heartbeat_ms"]
        if membership["dead_ms"] < minimum_ms:
            parsed.add(
                "membership",
                "dead_ms",
                f"must be at least 2 × heartbeat_ms, {minimum_ms}",
            )
    tls = sections["tls"]
    if bool(tls.get("certificate")) != bool(tls.get("key")):
        parsed.add(
            "tls", "key", "certificate and key must both be set or both empty"
        )


def read_settings_file(path: str) -> Settings:
    """Reads settings from a file; see `read_settings`."""
    return read_settings(pathlib.Path(path).read_text(), path)
