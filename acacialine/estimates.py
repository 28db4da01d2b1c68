"""Run times learned per team, kind and declared size."""

import math

from acacialine import documents
from acacialine import tables as tables_lib

SMOOTHING = 0.1
PRIOR_COUNT = 8  # successes of a key that weigh as much as its kind's mean
MIN_S = 0.001


def key_of(team: str, kind: str, declared_ms: float | None) -> tuple:
    """Returns the key under which a task's run time is learned.

    Tasks with a declared size are learned per power of two of it, so that
    declarations help as far as they tell sizes apart and no further.
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
    """Returns the expected run time of a task, in s."""
    overall = tables.estimates.get(key[:2])
    if overall is None:
        return (declared_ms or kind.declared_ms) / 1000
    estimate = tables.estimates.get(key)
    if estimate is None:
        return overall.mean_s
    weight = estimate.count / (estimate.count + PRIOR_COUNT)
    return weight * estimate.mean_s + (1 - weight) * overall.mean_s


def learn(
    tables: tables_lib.Tables, key: tuple, observed_s: float, prior_s: float
) -> None:
    """Learns from one success, for the key and for its kind as a whole."""
    for learned in (key, key[:2]):
        estimate = tables.estimates.get(learned)
        if estimate is None:
            estimate = tables_lib.Estimate(prior_s)
            tables.estimates[learned] = estimate
        estimate.count += 1
        weight = max(SMOOTHING, 1 / (estimate.count + 1))
        estimate.mean_s += weight * (observed_s - estimate.mean_s)
        estimate.mean_s = max(estimate.mean_s, MIN_S)


def is_long(tables: tables_lib.Tables, run_s: float) -> bool:
    """Returns whether a task of this run time belongs to the long class."""
    return run_s >= tables.settings.placement.long_task_s
