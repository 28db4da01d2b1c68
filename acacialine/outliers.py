"""Backend servers that look silent, told apart from requests that were lost.

A single request without a response proves nothing: the server may be well and
the request or its response lost or late. A server from which nothing was heard
since that request was sent is put aside until it answers anything. When many
look silent at once the fault is probably shared, so only a share of them is.
"""

import collections.abc
import statistics

import attrs

from acacialine import events
from acacialine import orders as orders_lib
from acacialine import zonetables

# Largest share of the servers that are put aside for silence. A zone's network
# fault that hides more of them hides them from this process alone.
MAX_SILENT_SHARE = 0.5
SMOOTHING = 0.2  # weight of the newest request in the loss rate of a server
# A server is avoided for a while from this loss rate on, if it is that much
# above the median: orders that are lost everywhere are no fault of a server.
LOSS_RATE_LIMIT = 0.45
LOSS_RATE_ABOVE_MEDIAN = 0.3
LOSSY_PAUSE_S = 0.3
LOSSY_POLLS_S = 5.0  # time for which polls count as lossy after a lost one


@attrs.define(eq=False)
class OutlierDetector:
    """Decides which backend servers of a zone to put aside for silence.

    Attributes:
        poll_lost_at: When a poll got no response from a server that answered
            other requests meanwhile.
    """

    _tables: zonetables.ZoneTables
    _emit: collections.abc.Callable[[orders_lib.Order], None]
    poll_lost_at: float = -1e9

    def are_polls_lossy(self, now: float) -> bool:
        """Returns whether polls of servers that are well were lost lately."""
        return now - self.poll_lost_at < LOSSY_POLLS_S

    def record_unanswered(
        self,
        server: zonetables.Server,
        order: str,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records a request that got no response in time.

        Args:
            server: The server that it was sent to.
            order: `start`, `stop` or `poll`.
            sent_at: When it was sent.
            now: The current time.

        Returns:
            Whether nothing was heard from the server since.
        """
        server.loss_rate += SMOOTHING * (1 - server.loss_rate)
        if server.heard_at > sent_at:
            self._record_loss(server, order, sent_at, now)
            return False
        is_new = server.unresponsive_since is None
        if is_new:
            _begin_silence(server, now)
            server.unanswered_order = (order, sent_at)
        if not server.is_put_aside:
            server.is_put_aside = self._may_put_aside()
        if is_new:
            self._log(
                events.Event.ZONE_SERVER_SUSPECTED,
                server=server.id,
                order=order,
                waited_ms=zonetables.milliseconds(now - sent_at),
                heard_ms=zonetables.milliseconds(
                    min(now - server.heard_at, 3600.0)
                ),
                runs=len(server.runs),
                put_aside=int(server.is_put_aside),
            )
        return True

    def record_unreachable(self, server: zonetables.Server, now: float) -> None:
        """Records that a server can't be reached, whatever was heard before.

        It is put aside without a limit: no request gets through to it.
        """
        if server.unresponsive_since is None:
            _begin_silence(server, now)
        server.is_put_aside = True
        server.unanswered_order = None

    def record_response(self, server: zonetables.Server, now: float) -> None:
        """Records a response: the server can be reached and is in use."""
        server.heard_at = now
        if server.unresponsive_since is not None:
            server.unresponsive_since = None
            server.is_put_aside = False
            if server.unanswered_order is not None:
                order, sent_at = server.unanswered_order
                server.unanswered_order = None
                self._record_loss(server, order, sent_at, now)
        server.loss_rate *= 1 - SMOOTHING

    def _may_put_aside(self) -> bool:
        """Returns whether one more server may be put aside for silence."""
        servers = [s for s in self._tables.servers.values() if s.is_in_store]
        silent = sum(
            s.is_put_aside and s.unanswered_order is not None for s in servers
        )
        return silent + 1 <= max(1.0, len(servers) * MAX_SILENT_SHARE)

    def _record_loss(
        self,
        server: zonetables.Server,
        order: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Records that a request to a server that is well was lost."""
        self._tables.counters[f"lost.{order}"] += 1
        if order == "poll":
            self.poll_lost_at = now
        self._log(
            events.Event.ZONE_ORDER_LOST,
            server=server.id,
            order=order,
            waited_ms=zonetables.milliseconds(now - sent_at),
            loss_rate=round(server.loss_rate, 2),
        )
        if server.loss_rate < LOSS_RATE_LIMIT or now < server.avoid_until:
            return
        median_loss_rate = statistics.median(
            s.loss_rate for s in self._tables.servers.values()
        )
        if server.loss_rate - median_loss_rate < LOSS_RATE_ABOVE_MEDIAN:
            return
        server.avoid_until = now + LOSSY_PAUSE_S
        self._log(
            events.Event.ZONE_SERVER_LOSSY,
            server=server.id,
            loss_rate=round(server.loss_rate, 2),
            median_loss_rate=round(median_loss_rate, 2),
        )

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))


def _begin_silence(server: zonetables.Server, now: float) -> None:
    """Records that nothing is heard from a server that may be restarting.

    Its answers may be lost for longer than its requests, so that its next
    incarnation is to refuse earlier orders before it is seen.
    """
    server.unresponsive_since = now
    server.raise_token(now)
