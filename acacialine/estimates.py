"""Run times of tasks, learned per team, kind and declared run time."""

import math

from acacialine import documents
from acacialine import tables as tables_lib

SMOOTHING = 0.1  # minimum weight of the newest success
# Number of successes at which the mean of a key and the mean of its kind have
# equal weight in the expected run time.
PRIOR_COUNT = 8
RUN_TIME_MIN_S = 0.001


def estimate_key(team: str, kind: str, declared_ms: float | None) -> tuple:
    """Returns the key under which a task's run time is learned.

    Declared run times are rounded to a power of two: only their magnitude
    is trusted, and similar declarations share an estimate. The first two
    elements are the key of the estimate of the whole kind.
    """
    if not declared_ms or declared_ms <= 0:
        return (team, kind, None)
    return (team, kind, round(math.log2(declared_ms)))


def expected_s(
    tables: tables_lib.Tables,
    key: tuple,
    kind: documents.Kind,
    declared_ms: float | None,
) -> float:
    """Returns the expected run time of a task, in s.

    It is the mean of the key, weighted with the mean of the kind while the
    key has few successes, or the declared run time if nothing is learned.
    """
    kind_estimate = tables.estimates.get(key[:2])
    if kind_estimate is None:
        return (declared_ms or kind.declared_ms) / 1000
    estimate = tables.estimates.get(key)
    if estimate is None:
        return kind_estimate.mean_s
    weight = estimate.count / (estimate.count + PRIOR_COUNT)
    return weight * estimate.mean_s + (1 - weight) * kind_estimate.mean_s


def record_run_time(
    tables: tables_lib.Tables, key: tuple, observed_s: float, prior_s: float
) -> None:
    """Updates the estimates of a key and of its kind from one success.

    Args:
        tables: The tables that hold the estimates.
        key: Key of the task, see `estimate_key`.
        observed_s: Run time of the task in s.
        prior_s: Initial mean of an estimate that does not exist yet, in s.
    """
    for learned_key in (key, key[:2]):
        estimate = tables.estimates.get(learned_key)
        if estimate is None:
            estimate = tables_lib.Estimate(prior_s)
            tables.estimates[learned_key] = estimate
        estimate.count += 1
        weight = max(SMOOTHING, 1 / (estimate.count + 1))
        estimate.mean_s += weight * (observed_s - estimate.mean_s)
        estimate.mean_s = max(estimate.mean_s, RUN_TIME_MIN_S)


def is_long(tables: tables_lib.Tables, run_s: float) -> bool:
    """Returns whether a task of this run time in s is of the long class."""
    return run_s >= tables.settings.placement.long_task_s
