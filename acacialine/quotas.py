"""Quotas of teams: each entry's share follows the demand it sees."""

from acacialine import documents
from acacialine import tables as tables_lib

BURST_S = 2.0  # seconds of its rate that a team may take at once
RATE_SMOOTHING_S = 1.0


def note_demand(
    tables: tables_lib.Tables, team: str, tasks: int, now: float
) -> None:
    """Takes offered tasks into the smoothed demand of a team."""
    usage = tables.team_usage(team)
    elapsed = max(now - usage.start_rate_at, 0.0)
    decay = 2.0 ** (-elapsed / RATE_SMOOTHING_S)
    usage.start_rate = usage.start_rate * decay + tasks * 0.69
    usage.start_rate_at = now


def demand(tables: tables_lib.Tables, team: str, now: float) -> float:
    """Returns the offered task starts per second of a team here."""
    usage = tables.team_usage(team)
    elapsed = max(now - usage.start_rate_at, 0.0)
    return usage.start_rate * 2.0 ** (-elapsed / RATE_SMOOTHING_S)


def share(tables: tables_lib.Tables, team: str, now: float) -> float:
    """Returns the part of a team's quota that this entry may use.

    It follows the demand that entries report. When no peer is heard, it is
    one over the number of entries last known.
    """
    live = [p for p in tables.peers.values() if p.state == "live"]
    mine = demand(tables, team, now)
    theirs = sum(p.demand.get(team, 0.0) for p in live)
    known = max(1, len(tables.peers) + 1)
    if not live:
        return 1 / known
    if mine + theirs <= 0:
        return 1 / (len(live) + 1)
    # An entry without demand yet keeps a small part for its next job.
    return max(mine / (mine + theirs), 0.25 / (len(live) + 1))


def _refill(
    tables: tables_lib.Tables, document: documents.TeamDocument, now: float
) -> float:
    """Refills and returns the allowance of a team, in task starts."""
    usage = tables.team_usage(document.team)
    rate = document.quota_starts * share(tables, document.team, now)
    most = rate * BURST_S
    if usage.allowance_refilled_at is None:
        usage.allowance = most
    else:
        usage.allowance += rate * (now - usage.allowance_refilled_at)
        usage.allowance = min(usage.allowance, most)
    usage.allowance_refilled_at = now
    return usage.allowance


def over_quota(
    tables: tables_lib.Tables,
    document: documents.TeamDocument,
    tasks: int,
    now: float,
) -> str:
    """Returns why a job is beyond its team's quota; empty if it is not."""
    note_demand(tables, document.team, tasks, now)
    if not document.quota_starts:
        return ""
    if _refill(tables, document, now) > 0:
        return ""
    return f"team is over its quota of {document.quota_starts:g} starts/s"


def is_assured(
    tables: tables_lib.Tables,
    document: documents.TeamDocument,
    tasks: int,
    now: float,
) -> bool:
    """Returns whether the quota assures this job of a place."""
    if not document.quota_starts:
        return False
    return _refill(tables, document, now) >= tasks


def take(
    tables: tables_lib.Tables,
    document: documents.TeamDocument,
    tasks: int,
    now: float,
) -> None:
    """Takes an admitted job from its team's allowance."""
    if document.quota_starts:
        _refill(tables, document, now)
        tables.team_usage(document.team).allowance -= tasks
