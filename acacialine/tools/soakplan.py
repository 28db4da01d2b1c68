"""Plan of a soak: which faults are injected where, when and for how long.

A seed always gives the same plan. Faults come in series and may overlap. In a
plan of `new_plan` every zone keeps one entry and one backend server without
faults, so that service is possible throughout. `new_outage_plan` spares none.
"""

import enum
import random

import attrs


class FaultKind(enum.StrEnum):
    """What a fault does to its target."""

    # Target: an entry. Faults of peer links apply to connections from peers.
    KILL = "kill"  # SIGKILL, restarted after the duration
    PAUSE = "pause"  # SIGSTOP for the duration
    STOP = "stop"  # SIGTERM, restarted after its exit
    PEER_CUT = "peer_cut"  # bytes are held in both directions
    PEER_DEAF = "peer_deaf"  # bytes from peers are held
    PEER_MUTE = "peer_mute"  # bytes to peers are held
    PEER_RESET = "peer_reset"  # connections are reset
    STORE_CUT = "store_cut"  # this entry alone can't reach the store
    # Target: a backend server.
    SERVER_CUT = "server_cut"  # bytes are held in both directions
    SERVER_MUTE = "server_mute"  # bytes of replies are held
    SERVER_RESET = "server_reset"  # connections are reset
    SERVER_CRASH = "server_crash"  # loses its runs and restarts at once
    SERVER_DOWN = "server_down"  # crashes and refuses connections for a time
    SERVER_RESIZE = "server_resize"  # has another capacity for the duration
    SERVER_DRAIN = "server_drain"  # announces `draining` for the duration
    SERVER_FLAKY = "server_flaky"  # requests are lost, late or refused
    # Drawn by `new_outage_plan` only. Target: an entry.
    CLIENT_CUT = "client_cut"  # bytes of proxied clients are held
    # Target: a backend server.
    SERVER_SPLIT = "server_split"  # bytes on connections open now are held
    # Restarts while requests are on their way, which reach any incarnation.
    SERVER_OUTLIVED = "server_outlived"
    # Target: a zone.
    ZONE_CUT = "zone_cut"  # cut off from the other zones and the store
    ZONE_PAUSE = "zone_pause"  # all its entries get SIGSTOP, one by one
    ZONE_POWER = "zone_power"  # all its entries are killed at once
    # Target: all entries.
    POWER = "power"  # killed at once
    ROLLING_STOP = "rolling_stop"  # stopped and restarted one by one
    # Target: the store; see `zonestandin.FakeStore`.
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_LOSSY = "store_lossy"
    STORE_FORGETS = "store_forgets"  # keeps only the newest record of each key
    # Drawn by `new_outage_plan` only.
    STORE_PARTIAL = "store_partial"  # serves only some entries
    # Target: a backend server.
    SERVER_EXPIRED = "server_expired"  # its record is removed while it lives
    # Action of the operator.
    CHANGE = "change"  # publishes a configuration that replaces one route


ENTRY_KINDS = (
    FaultKind.KILL,
    FaultKind.PAUSE,
    FaultKind.STOP,
    FaultKind.PEER_CUT,
    FaultKind.PEER_DEAF,
    FaultKind.PEER_MUTE,
    FaultKind.PEER_RESET,
    FaultKind.STORE_CUT,
)
SERVER_KINDS = (
    FaultKind.SERVER_CUT,
    FaultKind.SERVER_MUTE,
    FaultKind.SERVER_RESET,
    FaultKind.SERVER_CRASH,
    FaultKind.SERVER_DRAIN,
    FaultKind.SERVER_FLAKY,
)
STORE_KINDS = (
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSSY,
    FaultKind.STORE_FORGETS,
)
# Drawn apart, so that the plans of earlier seeds only gain faults.
LATER_SERVER_KINDS = (FaultKind.SERVER_DOWN, FaultKind.SERVER_RESIZE)
OUTAGE_KINDS = (
    FaultKind.CLIENT_CUT,
    FaultKind.SERVER_SPLIT,
    FaultKind.ZONE_CUT,
    FaultKind.ZONE_PAUSE,
    FaultKind.ZONE_POWER,
    FaultKind.POWER,
    FaultKind.ROLLING_STOP,
)
_OUTAGE_WEIGHTS = (3, 3, 4, 4, 2, 1, 1)
OUTAGE_SHARE = 0.4  # of the series of an outage plan
OUTAGE_MAX_S = 6.0  # longer than a client waits and resends
LATER_FAULTS_SHARE = 0.25  # of the rate of the others
PARTIAL_KINDS = (FaultKind.STORE_PARTIAL, FaultKind.SERVER_EXPIRED)
PARTIAL_FAULTS_SHARE = 0.5
OUTLIVED_FAULTS_SHARE = 1.0
OUTLIVED_MAX_S = 5.0
# It is cut off for a time while the late requests arrive.
OUTLIVED_CUT_DELAY_MAX_S = 10.0
OUTLIVED_CUT_MAX_S = 3.0
PARTIAL_MAX_S = 9.0
SERIES_LENGTH = 3  # faults in a series
SERIES_INTERVAL_S = 0.8  # between the starts of two faults of a series


@attrs.frozen
class Fault:
    """One fault to inject.

    Attributes:
        at: Seconds from the start of traffic.
        target: Name of an entry or server; empty for store and operator.
    """

    at: float
    kind: FaultKind
    target: str
    duration_s: float


@attrs.frozen
class Plan:
    """The faults of one soak, in order of time."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]


def new_plan(
    seed: int,
    seconds: float,
    entries: dict[str, str],
    servers: dict[str, str],
    faults_per_s: float,
) -> Plan:
    """Draws the plan of a seed.

    Args:
        seed: Determines the plan.
        seconds: Length of the traffic.
        entries: Zone of each entry.
        servers: Zone of each backend server.
        faults_per_s: Average number of series that start per second.
    """
    rng = random.Random(seed)
    targetable_entries = _without_first_of_each_zone(entries)
    targetable_servers = _without_first_of_each_zone(servers)
    faults = []
    at = rng.expovariate(faults_per_s)
    while at < seconds:
        kind, target = _draw_fault(rng, targetable_entries, targetable_servers)
        for index in range(rng.choice((1, 1, 1, SERIES_LENGTH))):
            start_at = at + index * SERIES_INTERVAL_S
            faults.append(Fault(start_at, kind, target, rng.uniform(0.2, 3.0)))
        at += rng.expovariate(faults_per_s)
    faults += _draw_later_faults(
        seed, seconds, targetable_servers, faults_per_s * LATER_FAULTS_SHARE
    )
    faults.sort(key=lambda f: f.at)
    return Plan(seed, seconds, tuple(faults))


def new_outage_plan(
    seed: int,
    seconds: float,
    entries: dict[str, str],
    servers: dict[str, str],
    faults_per_s: float,
) -> Plan:
    """Draws a plan that spares nothing, with outages of whole zones.

    Args:
        seed: Determines the plan.
        seconds: Length of the traffic.
        entries: Zone of each entry.
        servers: Zone of each backend server.
        faults_per_s: Average number of series that start per second.
    """
    rng = random.Random(f"outage-{seed}")
    zones = sorted(set(entries.values()))
    faults = []
    at = rng.expovariate(faults_per_s)
    while at < seconds:
        if rng.random() < OUTAGE_SHARE:
            kind = rng.choices(OUTAGE_KINDS, _OUTAGE_WEIGHTS)[0]
            targets = {
                FaultKind.CLIENT_CUT: list(entries),
                FaultKind.SERVER_SPLIT: list(servers),
                FaultKind.POWER: [""],
                FaultKind.ROLLING_STOP: [""],
            }.get(kind, zones)
            target = rng.choice(targets)
        else:
            kind, target = _draw_fault(rng, list(entries), list(servers))
        for index in range(rng.choice((1, 1, 1, SERIES_LENGTH))):
            start_at = at + index * SERIES_INTERVAL_S
            duration_s = rng.uniform(0.2, OUTAGE_MAX_S)
            faults.append(Fault(start_at, kind, target, duration_s))
        at += rng.expovariate(faults_per_s)
    faults += _draw_later_faults(
        seed, seconds, list(servers), faults_per_s * LATER_FAULTS_SHARE
    )
    faults += _draw_partial_faults(
        seed, seconds, list(servers), faults_per_s * PARTIAL_FAULTS_SHARE
    )
    faults += _draw_outlived_faults(
        seed, seconds, list(servers), faults_per_s * OUTLIVED_FAULTS_SHARE
    )
    faults.sort(key=lambda f: f.at)
    return Plan(seed, seconds, tuple(faults))


def _draw_outlived_faults(
    seed: int, seconds: float, servers: list[str], faults_per_s: float
) -> list[Fault]:
    rng = random.Random(f"outlived-{seed}")
    faults = []
    at = rng.expovariate(faults_per_s)
    while at < seconds:
        duration_s = rng.uniform(1.0, OUTLIVED_MAX_S)
        target = rng.choice(servers)
        faults.append(Fault(at, FaultKind.SERVER_OUTLIVED, target, duration_s))
        cut_at = at + duration_s + rng.uniform(0.0, OUTLIVED_CUT_DELAY_MAX_S)
        cut_s = rng.uniform(0.5, OUTLIVED_CUT_MAX_S)
        if cut_at < seconds:
            faults.append(Fault(cut_at, FaultKind.SERVER_CUT, target, cut_s))
        at += rng.expovariate(faults_per_s)
    return faults


def _draw_partial_faults(
    seed: int, seconds: float, servers: list[str], faults_per_s: float
) -> list[Fault]:
    rng = random.Random(f"partial-{seed}")
    faults = []
    at = rng.expovariate(faults_per_s)
    while at < seconds:
        kind = rng.choice(PARTIAL_KINDS)
        target = rng.choice(servers) if kind is FaultKind.SERVER_EXPIRED else ""
        faults.append(Fault(at, kind, target, rng.uniform(1.0, PARTIAL_MAX_S)))
        at += rng.expovariate(faults_per_s)
    return faults


def _draw_later_faults(
    seed: int, seconds: float, servers: list[str], faults_per_s: float
) -> list[Fault]:
    rng = random.Random(f"later-{seed}")
    faults = []
    at = rng.expovariate(faults_per_s)
    while at < seconds:
        kind = rng.choice(LATER_SERVER_KINDS)
        target = rng.choice(servers)
        faults.append(Fault(at, kind, target, rng.uniform(0.2, 3.0)))
        at += rng.expovariate(faults_per_s)
    return faults


def _draw_fault(
    rng: random.Random, entries: list[str], servers: list[str]
) -> tuple[FaultKind, str]:
    kinds = rng.choices(
        (ENTRY_KINDS, SERVER_KINDS, STORE_KINDS, (FaultKind.CHANGE,)),
        (5, 4, 2, 1),
    )[0]
    kind = rng.choice(kinds)
    if kinds is ENTRY_KINDS:
        return kind, rng.choice(entries)
    if kinds is SERVER_KINDS:
        return kind, rng.choice(servers)
    return kind, ""


def _without_first_of_each_zone(zones: dict[str, str]) -> list[str]:
    protected = {}
    for name, zone in zones.items():
        protected.setdefault(zone, name)
    return [name for name in zones if name not in protected.values()]
