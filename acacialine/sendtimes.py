"""Dates messages by the clock of their sender.

What a broken path holds up arrives late, also if its sender has died meanwhile.
The clocks of two processes differ by a constant, which the messages that were
under way for the shortest time tell best.
"""

import math

import attrs

# Clocks drift apart, so offsets are kept for one to two of these. No link is
# silent for that long, so one of them is from before what is held up.
WINDOW_S = 5.0


@attrs.define(eq=False)
class SenderClock:
    """The clock of the peer of one link, which counts from any moment.

    Attributes:
        established_at: Time of this process before which the peer has certainly
            sent no message on the link.
    """

    established_at: float
    _window_at: float = -math.inf
    _offset_s: float = math.inf
    _last_offset_s: float = math.inf

    def date(self, sent_at: float, arrived_at: float) -> float:
        """Returns when a message was sent, as far as is certain.

        Args:
            sent_at: When it was sent, by the clock of the peer.
            arrived_at: When it arrived; not before the messages sent earlier.
        """
        if self._window_at == -math.inf:
            self._window_at = arrived_at
            self._offset_s = self.established_at - sent_at
        elif arrived_at - self._window_at > WINDOW_S:
            self._window_at = arrived_at
            self._last_offset_s = self._offset_s
            self._offset_s = math.inf
        self._offset_s = min(self._offset_s, arrived_at - sent_at)
        return sent_at + min(self._offset_s, self._last_offset_s)
