"""The clock of all decisions: seconds that count suspended time too."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns seconds since boot, including time spent suspended."""
    return time.clock_gettime(_CLOCK)
