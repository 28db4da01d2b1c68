"""Monotonic clock for all decisions; includes time spent suspended."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns seconds since boot, including time spent suspended."""
    return time.clock_gettime(_CLOCK)
