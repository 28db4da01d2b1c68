"""Selects the dispatchers of its zone that a dispatcher connects to.

In a small zone every dispatcher keeps a link to every other. In a large zone
only a few, the candidates for the placer, are linked to each other, and all
others keep links to the candidates alone. The number of heartbeats thus grows
linearly with the number of dispatchers, not quadratically.
"""

import collections.abc

import attrs

# The placer, its successor and two spares, as several may fail together.
MAX_CANDIDATES = 4


@attrs.frozen
class Neighbour:
    """Another dispatcher of the same zone.

    Attributes:
        weight: Its CPU capacity, in processors; the highest ranks first.
        started: Start of its process, in s since 1970.
        is_unreachable: Whether it is known to be unreachable at present.
    """

    id: str
    address: tuple[str, int]
    weight: float
    started: float
    is_unreachable: bool = False


def rank(weight: float, started: float, dispatcher_id: str) -> tuple:
    """Returns the sort key of a dispatcher; the lowest ranks first."""
    return (-weight, started, dispatcher_id)


@attrs.frozen
class ZoneLinks:
    """The links of one dispatcher within its zone.

    Attributes:
        is_candidate: Whether this dispatcher may become the placer.
        addresses: Addresses of the dispatchers that it connects to.
    """

    is_candidate: bool
    addresses: frozenset[tuple[str, int]]


def choose_links(
    local_rank: tuple,
    neighbours: collections.abc.Iterable[Neighbour],
) -> ZoneLinks:
    """Returns the links of a dispatcher within its zone.

    Unreachable dispatchers do not count as candidates. Those that rank before
    the last candidate are still dialled, so that their return is noticed.
    """
    ranked = sorted(neighbours, key=lambda n: rank(n.weight, n.started, n.id))
    all_addresses = frozenset(n.address for n in ranked)
    if len(ranked) < MAX_CANDIDATES:
        return ZoneLinks(True, all_addresses)
    reachable = [n for n in ranked if not n.is_unreachable]
    ahead_count = sum(
        rank(n.weight, n.started, n.id) < local_rank for n in reachable
    )
    is_candidate = ahead_count < MAX_CANDIDATES
    other_candidates = reachable[: MAX_CANDIDATES - is_candidate]
    if len(other_candidates) < MAX_CANDIDATES - is_candidate:
        return ZoneLinks(is_candidate, all_addresses)
    last = ranked.index(other_candidates[-1])
    return ZoneLinks(
        is_candidate, frozenset(n.address for n in ranked[: last + 1])
    )
