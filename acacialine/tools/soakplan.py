"""The plan of one soak: which faults strike what, when and for how long.

A seed gives the same plan each time. Faults come in series and overlap, but
leave every zone an entry and a backend server that nothing strikes, so that
service is possible throughout.
"""

import enum
import random

import attrs


class Kind(enum.StrEnum):
    """What a fault does to its target."""

    # An entry.
    KILL = "kill"  # SIGKILL, started again after the duration
    PAUSE = "pause"  # SIGSTOP for the duration
    STOP = "stop"  # SIGTERM, started again after its exit
    PEER_CUT = "peer_cut"  # nobody reaches it; both directions held
    PEER_DEAF = "peer_deaf"  # it hears nobody who dialled it
    PEER_MUTE = "peer_mute"  # nobody whom it answers hears it
    PEER_RESET = "peer_reset"
    STORE_CUT = "store_cut"  # it alone is cut off from the store
    # A backend server.
    SERVER_CUT = "server_cut"
    SERVER_MUTE = "server_mute"
    SERVER_RESET = "server_reset"
    SERVER_CRASH = "server_crash"
    SERVER_DRAIN = "server_drain"
    SERVER_FLAKY = "server_flaky"  # orders are lost, late or refused
    # The store.
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_LOSSY = "store_lossy"
    STORE_FORGETS = "store_forgets"
    # The operator.
    CHANGE = "change"  # a configuration with one route more and one less


ENTRY_KINDS = (
    Kind.KILL,
    Kind.PAUSE,
    Kind.STOP,
    Kind.PEER_CUT,
    Kind.PEER_DEAF,
    Kind.PEER_MUTE,
    Kind.PEER_RESET,
    Kind.STORE_CUT,
)
SERVER_KINDS = (
    Kind.SERVER_CUT,
    Kind.SERVER_MUTE,
    Kind.SERVER_RESET,
    Kind.SERVER_CRASH,
    Kind.SERVER_DRAIN,
    Kind.SERVER_FLAKY,
)
STORE_KINDS = (
    Kind.STORE_DOWN,
    Kind.STORE_SILENT,
    Kind.STORE_SLOW,
    Kind.STORE_LOSSY,
    Kind.STORE_FORGETS,
)
SERIES_MAX = 3  # strikes of one fault
GAP_S = 0.8  # between the strikes of a series


@attrs.frozen
class Fault:
    """One strike.

    Attributes:
        at: Seconds from the start of traffic.
        for_s: How long it lasts.
        target: Name of an entry or server; empty for store and operator.
    """

    at: float
    kind: Kind
    target: str
    for_s: float


@attrs.frozen
class Plan:
    """All faults of one soak, in order of time."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]


def new_plan(
    seed: int,
    seconds: float,
    entries: dict[str, str],
    servers: dict[str, str],
    per_s: float,
) -> Plan:
    """Draws a plan.

    Args:
        seed: Gives the same plan each time.
        seconds: Length of the traffic.
        entries: Zone of each entry.
        servers: Zone of each backend server.
        per_s: Faults begun in a second, on average.
    """
    rng = random.Random(seed)
    entry_names = _without_first_of_each_zone(entries)
    server_names = _without_first_of_each_zone(servers)
    faults = []
    at = rng.expovariate(per_s)
    while at < seconds:
        kind, target = _draw(rng, entry_names, server_names)
        for strike in range(rng.choice((1, 1, 1, SERIES_MAX))):
            begins = at + strike * GAP_S
            faults.append(Fault(begins, kind, target, rng.uniform(0.2, 3.0)))
        at += rng.expovariate(per_s)
    faults.sort(key=lambda f: f.at)
    return Plan(seed, seconds, tuple(faults))


def _draw(
    rng: random.Random, entries: list[str], servers: list[str]
) -> tuple[Kind, str]:
    group = rng.choices(
        (ENTRY_KINDS, SERVER_KINDS, STORE_KINDS, (Kind.CHANGE,)),
        (5, 4, 2, 1),
    )[0]
    kind = rng.choice(group)
    if group is ENTRY_KINDS:
        return kind, rng.choice(entries)
    if group is SERVER_KINDS:
        return kind, rng.choice(servers)
    return kind, ""


def _without_first_of_each_zone(zones: dict[str, str]) -> list[str]:
    spared = {}
    for name, zone in zones.items():
        spared.setdefault(zone, name)
    return [name for name in zones if name not in spared.values()]
