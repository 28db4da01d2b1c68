"""Health of backend servers, as observed by their broker.

A backend server that fails every task frees its slots fast and would
attract all work, so consecutive failures lead to quarantine. An unreachable
one gets no starts for an exponentially growing time, one that refuses a
start for a fixed time.
"""

from acacialine import actions
from acacialine import events
from acacialine import tables as tables_lib

QUARANTINE_THRESHOLD = 4  # consecutive failures
QUARANTINE_BASE_S = 4.0
QUARANTINE_MAX_S = 120.0
UNREACHABLE_BACKOFF_S = 0.2
UNREACHABLE_BACKOFF_MAX_S = 5.0
REFUSED_PAUSE_S = 0.05
SLOWDOWN_SMOOTHING = 0.15
STRAGGLER_SLOWDOWN = 1.8  # run time / expected; above it: a straggler


def allowed_slots(backend: tables_lib.Backend, now: float) -> int:
    """Returns how many slots of a backend server may be in use now."""
    health = backend.health
    if (
        backend.is_leaving
        or not backend.is_listed
        or health.is_quarantined_manually
    ):
        return 0
    if now < health.blocked_until or now < health.refused_until:
        return 0
    if health.probing:
        return 1
    if health.slowdown > STRAGGLER_SLOWDOWN:
        return max(1, round(backend.slots / health.slowdown))
    return backend.slots


def record_outcome(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    reason: tables_lib.ReleaseReason,
    run_s: float,
    expected_s: float,
    now: float,
) -> None:
    """Updates the health of a backend server after an attempt on it ended.

    UNKNOWN and UNUSED say nothing about the server and change nothing.

    Args:
        tables: The tables of this entry.
        backend: The backend server.
        reason: How the attempt ended.
        run_s: Run time of the task, in s.
        expected_s: Expected run time of the task, in s; 0 if unknown.
        now: Current time.
    """
    health = backend.health
    match reason:
        case tables_lib.ReleaseReason.SUCCEEDED:
            _record_success(tables, backend, run_s, expected_s)
        case tables_lib.ReleaseReason.FAILED:
            _record_failure(tables, backend, now)
        case tables_lib.ReleaseReason.UNREACHABLE:
            health.consecutive_unreachable += 1
            delay_s = _backoff_s(
                UNREACHABLE_BACKOFF_S, health.consecutive_unreachable
            )
            delay_s = min(delay_s, UNREACHABLE_BACKOFF_MAX_S)
            delay_s *= 0.5 + tables.random.random()
            health.blocked_until = max(health.blocked_until, now + delay_s)
            actions.log_event(
                tables,
                events.Event.BACKEND_BACKOFF,
                backend=backend.backend_id,
                seconds=delay_s,
            )
        case tables_lib.ReleaseReason.REFUSED:
            health.refused_until = now + REFUSED_PAUSE_S


def _backoff_s(base_s: float, count: int) -> float:
    return base_s * 2 ** min(count - 1, 10)


def _record_success(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    run_s: float,
    expected_s: float,
) -> None:
    health = backend.health
    health.consecutive_failures = 0
    health.consecutive_unreachable = 0
    if health.probing:
        health.probing = False
        health.quarantines = 0
        actions.log_event(
            tables, events.Event.BACKEND_RELEASED, backend=backend.backend_id
        )
    if expected_s > 0:
        ratio = min(run_s / expected_s, 10.0)
        health.slowdown += SLOWDOWN_SMOOTHING * (ratio - health.slowdown)


def _record_failure(
    tables: tables_lib.Tables, backend: tables_lib.Backend, now: float
) -> None:
    health = backend.health
    health.consecutive_failures += 1
    if (
        health.consecutive_failures < QUARANTINE_THRESHOLD
        and not health.probing
    ):
        return
    if now < health.blocked_until:
        return
    health.quarantines += 1
    delay_s = min(
        _backoff_s(QUARANTINE_BASE_S, health.quarantines), QUARANTINE_MAX_S
    )
    health.blocked_until = now + delay_s
    health.probing = True
    actions.log_event(
        tables,
        events.Event.BACKEND_QUARANTINED,
        backend=backend.backend_id,
        seconds=delay_s,
        failures=health.consecutive_failures,
    )
