"""Writes log lines to a file descriptor without blocking the event loop.

Lines wait in a bounded buffer until the reader of the descriptor accepts them.
A token bucket limits lines and bytes per second; lines over the budget are
dropped and counted. A share of the budget is reserved for priority lines,
which report failures and changes of state.
"""

import os

import attrs

from acacialine import clock

MAX_LINES_PER_S = 400  # a dispatcher at 45 jobs/s writes about 200 lines/s
MAX_BYTES_PER_S = 100_000
PRIORITY_SHARE = 0.3  # of the budget, reserved for priority lines
MAX_BUFFER_BYTES = 262_144
BATCH_BYTES = 4096
DROP_REPORT_INTERVAL_S = 1.0


@attrs.define(eq=False)
class Sink:
    """Writes lines to a file descriptor, which it makes non-blocking.

    Attributes:
        is_batched: Whether `put` only buffers, up to BATCH_BYTES, and the
            caller flushes soon afterwards.
        dropped: Lines dropped so far.
        on_dropped: Called by `report_dropped` with the number of lines dropped
            since the last report.
    """

    fd: int
    is_batched: bool = False
    dropped: int = 0
    on_dropped: object = None
    _buffer: bytearray = attrs.field(factory=bytearray)
    _lines_left: float = MAX_LINES_PER_S
    _bytes_left: float = MAX_BYTES_PER_S
    _refilled_at: float = attrs.field(factory=clock.now)
    _reported: int = 0
    _reported_at: float = 0.0

    def __attrs_post_init__(self):
        os.set_blocking(self.fd, False)

    def put(self, line: str, is_priority: bool) -> None:
        """Buffers a line and may flush; drops the line if over the budget.

        Args:
            line: Text without a newline.
            is_priority: Whether the line may use the reserved share.
        """
        now = clock.now()
        self._refill(now)
        data = line.encode(errors="replace") + b"\n"
        reserved_share = 0.0 if is_priority else PRIORITY_SHARE
        if (
            self._lines_left < 1 + reserved_share * MAX_LINES_PER_S
            or self._bytes_left < len(data) + reserved_share * MAX_BYTES_PER_S
            or len(self._buffer) + len(data) > MAX_BUFFER_BYTES
        ):
            self.dropped += 1
            return
        self._lines_left -= 1
        self._bytes_left -= len(data)
        self._buffer += data
        if not self.is_batched or len(self._buffer) > BATCH_BYTES:
            self.flush()

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._refilled_at
        self._refilled_at = now
        lines_left = self._lines_left + elapsed_s * MAX_LINES_PER_S
        bytes_left = self._bytes_left + elapsed_s * MAX_BYTES_PER_S
        self._lines_left = min(lines_left, MAX_LINES_PER_S)
        self._bytes_left = min(bytes_left, MAX_BYTES_PER_S)

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts now."""
        while self._buffer:
            try:
                written = os.write(self.fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error can't be logged either.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def report_dropped(self) -> None:
        """Reports newly dropped lines, at most once a second."""
        now = clock.now()
        if (
            self.dropped == self._reported
            or now - self._reported_at < DROP_REPORT_INTERVAL_S
        ):
            return
        count = self.dropped - self._reported
        self._reported, self._reported_at = self.dropped, now
        if self.on_dropped is not None:
            self.on_dropped(count)
