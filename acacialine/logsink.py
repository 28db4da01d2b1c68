"""Log lines on standard output, bounded, without ever blocking the loop.

Lines wait in a buffer of bounded size and are written as far as the reader
takes them. Beyond a budget of lines and bytes a second, lines are dropped and
counted; what tells of failures has a reserve that other lines can't use.
"""

import os

import attrs

from acacialine import clock

LINES_PER_S = 400  # an entry at 45 jobs/s writes about 200
BYTES_PER_S = 100_000
FAILURE_RESERVE = 0.3  # share of the budget kept for failures
BUFFER_BYTES = 262_144
DROPPED_LINE_S = 1.0  # between two lines that tell of drops


@attrs.define(eq=False)
class Sink:
    """Writes lines to a file descriptor that must not block.

    Attributes:
        dropped: Lines dropped so far.
        on_dropped: Called with the count now and then after drops.
    """

    fd: int
    dropped: int = 0
    on_dropped: object = None
    _buffer: bytearray = attrs.field(factory=bytearray)
    _lines_left: float = LINES_PER_S
    _bytes_left: float = BYTES_PER_S
    _filled_at: float = attrs.field(factory=clock.now)
    _told: int = 0
    _told_at: float = 0.0

    def __attrs_post_init__(self):
        os.set_blocking(self.fd, False)

    def put(self, line: str, is_failure: bool) -> None:
        """Takes a line without its end; drops it beyond the budget."""
        now = clock.now()
        self._refill(now)
        data = line.encode(errors="replace") + b"\n"
        reserve = 0.0 if is_failure else FAILURE_RESERVE
        if (
            self._lines_left < 1 + reserve * LINES_PER_S
            or self._bytes_left < len(data) + reserve * BYTES_PER_S
            or len(self._buffer) + len(data) > BUFFER_BYTES
        ):
            self.dropped += 1
            return
        self._lines_left -= 1
        self._bytes_left -= len(data)
        self._buffer += data
        self.flush()

    def _refill(self, now: float) -> None:
        passed_s = now - self._filled_at
        self._filled_at = now
        lines = self._lines_left + passed_s * LINES_PER_S
        size = self._bytes_left + passed_s * BYTES_PER_S
        self._lines_left = min(lines, LINES_PER_S)
        self._bytes_left = min(size, BYTES_PER_S)

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        while self._buffer:
            try:
                written = os.write(self.fd, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to tell it.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def tell_dropped(self) -> None:
        """Reports drops since the last report, at most once a second."""
        now = clock.now()
        if self.dropped == self._told or now - self._told_at < DROPPED_LINE_S:
            return
        count = self.dropped - self._told
        self._told, self._told_at = self.dropped, now
        if self.on_dropped is not None:
            self.on_dropped(count)
