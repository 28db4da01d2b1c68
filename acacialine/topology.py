"""Which entries of an availability zone talk to each other all the time.

In a small zone every entry keeps a link to every other. In a large one only
the few strongest, the candidates, do; they are where the placer is found. All
others keep links to these alone, so that the heartbeats of a zone grow with
its entries and not with their square.
"""

import collections.abc

import attrs

CANDIDATES = 4  # the placer, its successor and two that may fail with them


@attrs.frozen
class Neighbour:
    """Another entry of the same zone.

    Attributes:
        weight: Its share of a processor; the stronger go first.
        started: Start of its process, in s since 1970.
        is_down: Whether it can't be reached at present.
    """

    id: str
    address: tuple[str, int]
    weight: float
    started: float
    is_down: bool = False


def rank(weight: float, started: float, entry_id: str) -> tuple:
    """Returns the key by which entries are ordered; the lowest goes first."""
    return (-weight, started, entry_id)


@attrs.frozen
class Neighbourhood:
    """The links of one entry within its zone.

    Attributes:
        is_candidate: Whether this entry may become the placer.
        addresses: Which entries it dials.
    """

    is_candidate: bool
    addresses: frozenset[tuple[str, int]]


def choose(
    own_rank: tuple,
    neighbours: collections.abc.Iterable[Neighbour],
) -> Neighbourhood:
    """Returns whom an entry dials in its zone.

    Those that are down stay on the list, so that their return is noticed,
    but don't count.
    """
    found = sorted(neighbours, key=lambda n: rank(n.weight, n.started, n.id))
    everybody = frozenset(n.address for n in found)
    if len(found) < CANDIDATES:
        return Neighbourhood(True, everybody)
    up = [n for n in found if not n.is_down]
    ahead = sum(rank(n.weight, n.started, n.id) < own_rank for n in up)
    is_candidate = ahead < CANDIDATES
    wanted = up[: CANDIDATES - is_candidate]
    if len(wanted) < CANDIDATES - is_candidate:
        return Neighbourhood(is_candidate, everybody)
    last = found.index(wanted[-1])
    return Neighbourhood(
        is_candidate, frozenset(n.address for n in found[: last + 1])
    )
