"""Start-rate quotas of teams, divided among entries by their demand."""

from acacialine import documents
from acacialine import tables as tables_lib

BURST_S = 2.0  # an allowance holds at most this many seconds of the rate
RATE_HALF_LIFE_S = 1.0  # half-life of the smoothed demand


def record_demand(
    tables: tables_lib.Tables, team: str, task_count: int, now: float
) -> None:
    """Adds offered tasks to the smoothed demand of a team.

    The factor 0.69 is ln 2: with a half-life of one second, the smoothed rate
    of a constant demand converges to that demand.
    """
    usage = tables.team_usage(team)
    elapsed_s = max(now - usage.start_rate_at, 0.0)
    decay = 2.0 ** (-elapsed_s / RATE_HALF_LIFE_S)
    usage.start_rate = usage.start_rate * decay + task_count * 0.69
    usage.start_rate_at = now


def demand_rate(tables: tables_lib.Tables, team: str, now: float) -> float:
    """Returns a team's offered task starts per second at this entry."""
    usage = tables.team_usage(team)
    elapsed_s = max(now - usage.start_rate_at, 0.0)
    return usage.start_rate * 2.0 ** (-elapsed_s / RATE_HALF_LIFE_S)


def quota_fraction(tables: tables_lib.Tables, team: str, now: float) -> float:
    """Returns the fraction of a team's quota that this entry may use.

    It is this entry's fraction of the demand that all live entries report,
    or an equal part if there is none. Without a live peer, it is one over
    the number of entries in the peer table, this one included.
    """
    live_peers = [p for p in tables.peers.values() if p.state == "live"]
    local_rate = demand_rate(tables, team, now)
    peer_rate = sum(p.demand.get(team, 0.0) for p in live_peers)
    entry_count = max(1, len(tables.peers) + 1)
    if not live_peers:
        return 1 / entry_count
    if local_rate + peer_rate <= 0:
        return 1 / (len(live_peers) + 1)
    # An entry with little or no demand keeps a quarter of an equal part for
    # its next job.
    return max(
        local_rate / (local_rate + peer_rate), 0.25 / (len(live_peers) + 1)
    )


def _refill_allowance(
    tables: tables_lib.Tables, document: documents.TeamDocument, now: float
) -> float:
    """Refills the allowance of a team and returns it, in task starts."""
    usage = tables.team_usage(document.team)
    rate = document.quota_starts * quota_fraction(tables, document.team, now)
    max_allowance = rate * BURST_S
    if usage.allowance_refilled_at is None:
        usage.allowance = max_allowance
    else:
        usage.allowance += rate * (now - usage.allowance_refilled_at)
        usage.allowance = min(usage.allowance, max_allowance)
    usage.allowance_refilled_at = now
    return usage.allowance


def over_quota_reason(
    tables: tables_lib.Tables,
    document: documents.TeamDocument,
    task_count: int,
    now: float,
) -> str:
    """Records a job's demand; returns why it exceeds its team's quota.

    The result is empty if the quota is not exhausted.
    """
    record_demand(tables, document.team, task_count, now)
    if not document.quota_starts:
        return ""
    if _refill_allowance(tables, document, now) > 0:
        return ""
    return f"team is over its quota of {document.quota_starts:g} starts/s"


def is_within_allowance(
    tables: tables_lib.Tables,
    document: documents.TeamDocument,
    task_count: int,
    now: float,
) -> bool:
    """Returns whether the quota guarantees admission of the whole job.

    A team without a quota has no such guarantee.
    """
    if not document.quota_starts:
        return False
    return _refill_allowance(tables, document, now) >= task_count


def consume_allowance(
    tables: tables_lib.Tables,
    document: documents.TeamDocument,
    task_count: int,
    now: float,
) -> None:
    """Charges an admitted job to its team's allowance.

    The allowance may become negative.
    """
    if document.quota_starts:
        _refill_allowance(tables, document, now)
        tables.team_usage(document.team).allowance -= task_count
