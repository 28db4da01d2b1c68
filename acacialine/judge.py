"""Judges backend servers by what happens to the tasks they run.

Slowness is observed time over expected time. Failures count only as far as
a backend server fails more than its neighbours do, because jobs that can
never succeed fail everywhere.
"""

import statistics

from acacialine import zonetables

SMOOTHING = 0.2  # weight of the newest run in the averages
RATIO_MIN = 0.25  # bounds of one observed ratio, so that one run can't decide
RATIO_MAX = 8.0
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


def report_done(server: zonetables.Server, ratio: float) -> None:
    """Takes in a run that ended well; ratio is observed over expected."""
    ratio = min(max(ratio, RATIO_MIN), RATIO_MAX)
    server.slowness += SMOOTHING * (ratio - server.slowness)
    server.failures *= 1 - SMOOTHING


def report_failed(
    tables: zonetables.ZoneTables, server: zonetables.Server, now: float
) -> bool:
    """Takes in a failed run; returns whether the server is now avoided."""
    server.failures += SMOOTHING * (1 - server.failures)
    if server.failures < FAILURES_LIMIT:
        return False
    usual = statistics.median(s.failures for s in tables.servers.values())
    if server.failures - usual < FAILURES_ABOVE_MEDIAN:
        return False
    server.avoid_until = now + AVOID_S
    return True


def report_stalled(server: zonetables.Server, now: float) -> None:
    """Takes in a run that made no progress."""
    server.slowness = min(server.slowness * 2, RATIO_MAX)
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
