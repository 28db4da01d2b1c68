"""Health of backend servers, judged by their broker.

A backend server that fails whatever it starts frees its slots fast and
would attract all work; failures therefore lead to quarantine. One that
cannot be reached, or refuses, is left alone for a growing time.
"""

from acacialine import actions
from acacialine import events
from acacialine import tables as tables_lib

QUARANTINE_FAILURES = 4  # consecutive failures
QUARANTINE_S = 4.0
QUARANTINE_MAX_S = 120.0
UNREACHABLE_S = 0.2
UNREACHABLE_MAX_S = 5.0
REFUSED_S = 0.05
SLOWDOWN_SMOOTHING = 0.15
SLOWDOWN_LIMIT = 1.8  # ratio from which a backend server is a straggler


def allowed_slots(backend: tables_lib.Backend, now: float) -> int:
    """Returns how many slots may be in use at once now."""
    health = backend.health
    if backend.leaving or not backend.listed or health.forced:
        return 0
    if now < health.blocked_until or now < health.refused_until:
        return 0
    if health.probing:
        return 1
    if health.slowdown > SLOWDOWN_LIMIT:
        return max(1, round(backend.slots / health.slowdown))
    return backend.slots


def report(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    reason: tables_lib.ReleaseReason,
    run_s: float,
    expected_s: float,
    now: float,
) -> None:
    """Judges a backend server by how a start on it ended."""
    health = backend.health
    match reason:
        case tables_lib.ReleaseReason.SUCCEEDED:
            _succeeded(tables, backend, run_s, expected_s)
        case tables_lib.ReleaseReason.FAILED:
            _failed(tables, backend, now)
        case tables_lib.ReleaseReason.UNREACHABLE:
            health.unreachable += 1
            delay = _backoff(UNREACHABLE_S, health.unreachable)
            delay = min(delay, UNREACHABLE_MAX_S)
            delay *= 0.5 + tables.random.random()
            health.blocked_until = max(health.blocked_until, now + delay)
            actions.log_event(
                tables,
                events.Event.BACKEND_BACKOFF,
                backend=backend.backend_id,
                seconds=delay,
            )
        case tables_lib.ReleaseReason.REFUSED:
            health.refused_until = now + REFUSED_S


def _backoff(base_s: float, count: int) -> float:
    return base_s * 2 ** min(count - 1, 10)


def _succeeded(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    run_s: float,
    expected_s: float,
) -> None:
    health = backend.health
    health.failures = 0
    health.unreachable = 0
    if health.probing:
        health.probing = False
        health.quarantines = 0
        actions.log_event(
            tables, events.Event.BACKEND_RELEASED, backend=backend.backend_id
        )
    if expected_s > 0:
        ratio = min(run_s / expected_s, 10.0)
        health.slowdown += SLOWDOWN_SMOOTHING * (ratio - health.slowdown)


def _failed(
    tables: tables_lib.Tables, backend: tables_lib.Backend, now: float
) -> None:
    health = backend.health
    health.failures += 1
    if health.failures < QUARANTINE_FAILURES and not health.probing:
        return
    if now < health.blocked_until:
        return
    health.quarantines += 1
    delay = min(_backoff(QUARANTINE_S, health.quarantines), QUARANTINE_MAX_S)
    health.blocked_until = now + delay
    health.probing = True
    actions.log_event(
        tables,
        events.Event.BACKEND_QUARANTINED,
        backend=backend.backend_id,
        seconds=delay,
        failures=health.failures,
    )
