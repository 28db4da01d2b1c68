"""Judges backend servers by what happens to the tasks they run.

Slowness is observed time over expected time. Failures count only as far as
a backend server fails more than its neighbours do, because jobs that can
never succeed fail everywhere.
"""

import math
import statistics

from acacialine import zonetables

SMOOTHING = 0.2  # weight of the newest run in the averages
SERVER_GAIN = 0.15  # share of a surprise that a server's slowness takes
QUEUE_GAIN = 0.03  # share that the queue's factor takes
STEP_MAX = 0.7  # bound of one surprise; twice as long as expected
CENTRE_S = 0.5
RATIO_MIN = 0.25  # bounds of both factors
RATIO_MAX = 8.0
STALLED_FACTOR = 1.5  # on the slowness of a server where a run stood still
FAILURES_LIMIT = 0.45  # average of failures from which a server is avoided
FAILURES_ABOVE_MEDIAN = 0.3  # how far it must stand out among its neighbours
AVOID_S = 1.0  # first pause of a server that fails; probed afterwards
REFUSED_S = 0.1  # pause after a refused start
SILENT_S = 0.3  # pause after an order without an answer
COLD_SLOWNESS = 1.5  # assumed while a server says that it is still cold


def slowness(server: zonetables.Server, now: float) -> float:
    """Returns the factor by which tasks are expected to take longer."""
    if now < server.cold_until:
        return max(server.slowness, COLD_SLOWNESS)
    return server.slowness


def is_usable(server: zonetables.Server, now: float) -> bool:
    """Returns whether new tasks may start on a backend server now."""
    return (
        server.present
        and not server.draining
        and server.listed
        and server.silent_since is None
        and now >= server.avoid_until
    )


def is_expected(server: zonetables.Server, now: float) -> bool:
    """Returns whether a backend server is usable now or very soon."""
    if not server.present or server.draining or not server.listed:
        return False
    silent_since = server.silent_since
    return silent_since is None or now - silent_since < SILENT_S


def report_done(
    tables: zonetables.ZoneTables,
    server: zonetables.Server,
    queue_name: str,
    took_s: float,
    declared_s: float,
    now: float,
) -> None:
    """Learns from a run that ended well.

    A duration is the declared one times a factor of the queue times the
    slowness of the server. Steps are bounded in the logarithm, so that the
    few tasks that run many times longer decide nothing.
    """
    server.failure_rate *= 1 - SMOOTHING
    if declared_s <= 0 or took_s <= 0:
        return
    ratio = tables.estimate_ratio.get(queue_name, 1.0)
    surprise = math.log(took_s / (declared_s * ratio * server.slowness))
    surprise = min(max(surprise, -STEP_MAX), STEP_MAX)
    slowness = server.slowness * math.exp(SERVER_GAIN * surprise)
    server.slowness = min(max(slowness, RATIO_MIN), RATIO_MAX)
    ratio *= math.exp(QUEUE_GAIN * surprise)
    tables.estimate_ratio[queue_name] = min(max(ratio, RATIO_MIN), RATIO_MAX)
    if now - tables.slowness_normalized_at > CENTRE_S:
        tables.slowness_normalized_at = now
        _centre(tables)


def _centre(tables: zonetables.ZoneTables) -> None:
    """Keeps the usual slowness at 1, so that the two factors don't drift."""
    present = [s.slowness for s in tables.servers.values() if s.present]
    usual = statistics.median(present) if present else 1.0
    for server in tables.servers.values():
        server.slowness /= usual
    for name in tables.estimate_ratio:
        tables.estimate_ratio[name] *= usual


def report_failed(
    tables: zonetables.ZoneTables, server: zonetables.Server, now: float
) -> bool:
    """Takes in a failed run; returns whether the server is now avoided."""
    server.failure_rate += SMOOTHING * (1 - server.failure_rate)
    if server.failure_rate < FAILURES_LIMIT:
        return False
    usual = statistics.median(s.failure_rate for s in tables.servers.values())
    if server.failure_rate - usual < FAILURES_ABOVE_MEDIAN:
        return False
    server.avoid_until = now + AVOID_S
    return True


def report_stalled(server: zonetables.Server, now: float) -> None:
    """Takes in a run that made no progress."""
    server.slowness = min(server.slowness * STALLED_FACTOR, RATIO_MAX)
    server.avoid_until = now + AVOID_S


def report_refused(server: zonetables.Server, now: float) -> None:
    """Takes in a start that the backend server refused as not well."""
    server.avoid_until = now + REFUSED_S


def report_silent(server: zonetables.Server, now: float) -> None:
    """Takes in an order that got no answer."""
    if server.silent_since is None:
        server.silent_since = now
    server.avoid_until = max(server.avoid_until, now + SILENT_S)


def report_answer(server: zonetables.Server) -> None:
    """Takes in any answer: the backend server can be reached."""
    server.silent_since = None
