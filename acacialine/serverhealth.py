"""Health and speed of backend servers, learned from the runs on them.

The slowness of a server is the observed duration of runs divided by the
expected one. A server is avoided for failures only if it fails more than the
others do, because a job that can never succeed fails on every server.
"""

import math
import statistics

from acacialine import zonetables

SMOOTHING = 0.2  # weight of the newest run in the failure rate
# Shares of the logarithmic error of an expected duration by which the slowness
# of the server and the estimate ratio of the queue are corrected.
SERVER_GAIN = 0.15
QUEUE_GAIN = 0.03
SPREAD_GAIN = 0.03  # weight of the newest run in the spread of estimates
SPREAD_INITIAL = 0.2  # spread of a queue of which no run has ended
LOG_ERROR_MAX = 0.7  # bound of one error: twice as long as expected
NORMALIZE_INTERVAL_S = 0.5
RATIO_MIN = 0.25  # bounds of the slowness and the estimate ratio
RATIO_MAX = 8.0
STALL_SLOWNESS_FACTOR = 1.5  # applied to the slowness after a stalled run
FAILURE_RATE_LIMIT = 0.45  # rate from which a server may be avoided
FAILURE_RATE_ABOVE_MEDIAN = 0.3  # excess over the median rate of all servers
AVOID_PAUSE_S = 1.0  # pause before a failing or stalled server is retried
REFUSAL_PAUSE_S = 0.1  # pause after a refused start
TIMEOUT_PAUSE_S = 0.3  # time put aside for which a server is usable soon
COLD_SLOWNESS = 1.5  # minimum slowness while a server reports that it is cold


def slowness(server: zonetables.Server, now: float) -> float:
    """Returns the factor by which tasks are expected to take longer."""
    if now < server.cold_until:
        return max(server.slowness, COLD_SLOWNESS)
    return server.slowness


def is_usable(server: zonetables.Server, now: float) -> bool:
    """Returns whether new tasks may start on a backend server now."""
    return (
        server.is_in_store
        and not server.draining
        and server.runs_listed
        and not server.is_put_aside
        and now >= server.avoid_until
    )


def is_usable_soon(server: zonetables.Server, now: float) -> bool:
    """Returns whether a backend server is usable now or very soon.

    A pause after failures, and up to TIMEOUT_PAUSE_S without a response, still
    count as usable soon.
    """
    if not server.is_in_store or server.draining or not server.runs_listed:
        return False
    return (
        not server.is_put_aside
        or now - server.unresponsive_since < TIMEOUT_PAUSE_S
    )


def record_success(
    tables: zonetables.ZoneTables,
    server: zonetables.Server,
    queue_name: str,
    observed_s: float,
    declared_s: float,
    now: float,
) -> None:
    """Updates the slowness of a server and the estimate ratio of a queue.

    The expected duration of a run is the declared one times the estimate
    ratio times the slowness. The logarithm of each error is bounded, so that
    the few tasks that run many times longer have little effect.

    Args:
        tables: The tables of the placer.
        server: The server on which the run succeeded.
        queue_name: Name of the queue of its job.
        observed_s: Duration of the run in s.
        declared_s: Declared duration of the task in s.
        now: The current time.
    """
    server.failure_rate *= 1 - SMOOTHING
    ratio = tables.estimate_ratio.get(queue_name, 1.0)
    expected_s = declared_s * ratio * server.slowness
    if expected_s <= 0 or observed_s <= 0:
        return  # the product of a tiny declared duration may be 0
    log_error = math.log(observed_s) - math.log(expected_s)
    log_error = min(max(log_error, -LOG_ERROR_MAX), LOG_ERROR_MAX)
    spread = tables.estimate_spread.get(queue_name, SPREAD_INITIAL)
    tables.estimate_spread[queue_name] = spread + SPREAD_GAIN * (
        abs(log_error) - spread
    )
    new_slowness = server.slowness * math.exp(SERVER_GAIN * log_error)
    server.slowness = min(max(new_slowness, RATIO_MIN), RATIO_MAX)
    ratio *= math.exp(QUEUE_GAIN * log_error)
    tables.estimate_ratio[queue_name] = min(max(ratio, RATIO_MIN), RATIO_MAX)
    if now - tables.slowness_normalized_at > NORMALIZE_INTERVAL_S:
        tables.slowness_normalized_at = now
        _normalize_slowness(tables)


def _normalize_slowness(tables: zonetables.ZoneTables) -> None:
    """Scales the median slowness to 1; moves the factor to the estimate ratios.

    Only the product of the two factors is observed, so without this they
    would drift apart: one would grow while the other shrinks.
    """
    slownesses = [s.slowness for s in tables.servers.values() if s.is_in_store]
    median_slowness = statistics.median(slownesses) if slownesses else 1.0
    for server in tables.servers.values():
        server.slowness /= median_slowness
    for name in tables.estimate_ratio:
        tables.estimate_ratio[name] *= median_slowness


def record_failure(
    tables: zonetables.ZoneTables, server: zonetables.Server, now: float
) -> bool:
    """Records a failed run; returns whether the server is now avoided."""
    server.failure_rate += SMOOTHING * (1 - server.failure_rate)
    if server.failure_rate < FAILURE_RATE_LIMIT:
        return False
    median_failure_rate = statistics.median(
        s.failure_rate for s in tables.servers.values()
    )
    if server.failure_rate - median_failure_rate < FAILURE_RATE_ABOVE_MEDIAN:
        return False
    server.avoid_until = now + AVOID_PAUSE_S
    return True


def record_stall(server: zonetables.Server, now: float) -> None:
    """Records a run that made no progress, and avoids the server."""
    server.slowness = min(server.slowness * STALL_SLOWNESS_FACTOR, RATIO_MAX)
    server.avoid_until = now + AVOID_PAUSE_S


def record_refusal(server: zonetables.Server, now: float) -> None:
    """Records a start that was refused for lack of health or capacity."""
    server.avoid_until = now + REFUSAL_PAUSE_S
