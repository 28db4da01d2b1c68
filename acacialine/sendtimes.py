"""Dates messages by the clock of their sender.

What a broken path holds up arrives late, also if its sender has died meanwhile.
The offset between the clocks of two processes changes slowly. It is estimated
by the messages that were under way for the shortest time.
"""

import attrs

MAX_DRIFT = 0.01  # change of the offset per s; clocks drift apart by far less


@attrs.define(eq=False)
class SenderClock:
    """The clock of the peer of one link, whose zero is arbitrary.

    Attributes:
        established_at: Time of this process before which the peer has certainly
            sent no message on the link.
    """

    established_at: float
    _offset_s: float | None = None
    _arrived_at: float = 0.0

    def date(self, sent_at: float, arrived_at: float) -> float:
        """Returns when a message was sent, as far as is certain.

        Args:
            sent_at: When it was sent, by the clock of the peer.
            arrived_at: When it arrived; not before the messages sent earlier.
        """
        if self._offset_s is None:
            max_offset_s = self.established_at - sent_at
        else:
            elapsed_s = arrived_at - self._arrived_at
            max_offset_s = self._offset_s + elapsed_s * MAX_DRIFT
        self._offset_s = min(max_offset_s, arrived_at - sent_at)
        self._arrived_at = arrived_at
        return sent_at + self._offset_s
