"""Time after which an order to a backend server counts as unanswered.

Servers answer an order in about 1 ms and a job's target is 0.15 to 0.3 s, so an
order without a response is noticed in tens of ms. The limit follows the slowest
recent responses, as seen by this process: when it or the server is busy, the
limit grows with the delays instead of taking late responses for lost ones.
"""

import attrs

# Responses take about 1 ms; the event loop may be late by a tick.
MIN_TIMEOUT_S = 0.02
FIRST_TIMEOUT_S = 0.05  # before any response was measured
MAX_TIMEOUT_S = 0.25
PEAK_FACTOR = 3.0  # the limit / the slowest recent response
PEAK_DECAY = 0.97  # by a response; a peak halves within 23 of them


@attrs.define(eq=False)
class ResponseTimes:
    """Response times of one backend server.

    Attributes:
        peak_s: Slowest recent response time, decaying; None before the first.
    """

    peak_s: float | None = None

    def record(self, elapsed_s: float) -> None:
        """Records the time from a request to its response."""
        peak_s = self.peak_s
        if peak_s is None:
            self.peak_s = elapsed_s
        else:
            self.peak_s = max(elapsed_s, peak_s * PEAK_DECAY)

    def back_off(self) -> None:
        """Doubles the limit, as a request was given up that may be slow.

        Its late response can't be measured. Without this a server that became
        slow would never get a new connection.
        """
        self.record(2 * self.timeout_s / PEAK_FACTOR)

    @property
    def timeout_s(self) -> float:
        """Time after which an order counts as unanswered."""
        if self.peak_s is None:
            return FIRST_TIMEOUT_S
        timeout_s = self.peak_s * PEAK_FACTOR
        return min(max(timeout_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)
