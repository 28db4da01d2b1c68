"""Cancellations by clients, of which all reachable placers are told.

A client may cancel a job at any dispatcher. The dispatcher that submitted the
job may be another one, or may have answered 504 and keep it running. So every
placer is asked to end it, and remembers the cancellation, so that none starts a
copy of its request that is under way.
"""

import collections.abc
import enum

import attrs

from acacialine import events

# How long a cancellation waits for the replies of the placers. Placers reply
# within some ms; a link that is silent for longer is about to be closed.
REPLY_TIMEOUT_S = 1.0


class Outcome(enum.Enum):
    """What a cancellation found."""

    OPEN = "open"  # the job was open somewhere and is ended
    NOT_OPEN = "not_open"  # no reachable placer has it
    UNKNOWN = "unknown"  # a placer did not reply, or none is reachable


@attrs.frozen
class AskToCancel:
    """Order to end a job at a placer for all who wait, and get a reply."""

    peer_id: str
    job_id: str


@attrs.define(eq=False)
class Cancellation:
    """A cancellation of a job that all placers are told of.

    Attributes:
        until: When it no longer waits for replies. Placers that take over
            before then are told too.
        callbacks: Called once with the outcome, one for each waiting client.
        unanswered: Ids of the placers that have not replied.
        asked: Number of placers that were told.
        replies: Number of placers that have replied.
        was_open: Whether the job was open here or at a placer.
    """

    until: float
    callbacks: list[collections.abc.Callable[[Outcome], None]]
    unanswered: set[str] = attrs.field(factory=set)
    asked: int = 0
    replies: int = 0
    was_open: bool = False


@attrs.define(eq=False)
class Cancellations:
    """The recent cancellations at one dispatcher; used by its intake.

    Emits the orders that ask placers.
    """

    _emit: collections.abc.Callable[[AskToCancel], None]
    _log: collections.abc.Callable
    _placers: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    _zones: frozenset[str] = frozenset()
    _open: dict[str, Cancellation] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of cancellations that new placers are told of."""
        return len(self._open)

    @property
    def has_waiting_clients(self) -> bool:
        """Whether a client waits for the outcome of a cancellation."""
        return any(c.callbacks for c in self._open.values())

    def end_all(self, now: float) -> None:
        """Passes on all outcomes as far as they are known."""
        for job_id, cancellation in list(self._open.items()):
            cancellation.until = now
            self._check(job_id, cancellation, now)

    def add(
        self,
        job_id: str,
        was_open: bool,
        notify: collections.abc.Callable[[Outcome], None],
        now: float,
    ) -> None:
        """Tells all placers of a cancellation.

        Args:
            job_id: The job.
            was_open: Whether it was open at this dispatcher.
            notify: Called once with the outcome.
            now: The current time.
        """
        cancellation = self._open.get(job_id)
        if cancellation is None:
            cancellation = Cancellation(now + REPLY_TIMEOUT_S, [])
            self._open[job_id] = cancellation
            for peer_id, _ in self._placers.values():
                self._ask(job_id, cancellation, peer_id)
        cancellation.callbacks.append(notify)
        cancellation.was_open |= was_open
        self._check(job_id, cancellation, now)

    def _ask(
        self, job_id: str, cancellation: Cancellation, peer_id: str
    ) -> None:
        cancellation.unanswered.add(peer_id)
        cancellation.asked += 1
        self._emit(AskToCancel(peer_id, job_id))

    def receive_reply(
        self, peer_id: str, job_id: str, was_open: bool, now: float
    ) -> None:
        """Records whether a placer had a job that is being cancelled."""
        cancellation = self._open.get(job_id)
        if cancellation is None:
            return
        cancellation.unanswered.discard(peer_id)
        cancellation.replies += 1
        cancellation.was_open |= was_open
        self._check(job_id, cancellation, now)

    def update_placers(
        self,
        placers: dict[str, tuple[str, int]],
        zones: frozenset[str],
        now: float,
    ) -> None:
        """Asks new placers, and waits no more for those that were lost.

        Args:
            placers: Id and epoch of the reachable placers, by zone.
            zones: The zones that have dispatchers, reachable or not.
            now: The current time.
        """
        known, self._placers, self._zones = self._placers, placers, zones
        reachable = {peer_id for peer_id, _ in placers.values()}
        for job_id, cancellation in list(self._open.items()):
            cancellation.unanswered &= reachable
            for zone, placer in placers.items():
                if placer != known.get(zone):
                    self._ask(job_id, cancellation, placer[0])
            self._check(job_id, cancellation, now)

    def tick(self, now: float) -> None:
        """Ends the cancellations whose time is over."""
        for job_id, cancellation in list(self._open.items()):
            if now >= cancellation.until:
                self._check(job_id, cancellation, now)

    def _check(
        self, job_id: str, cancellation: Cancellation, now: float
    ) -> None:
        """Passes on the outcome of a cancellation if it is known.

        A zone without a reachable placer may get one until the time is over.
        """
        is_over = now >= cancellation.until
        if is_over:
            del self._open[job_id]
        outcome = Outcome.UNKNOWN
        if cancellation.was_open:
            outcome = Outcome.OPEN
        elif not is_over and (
            cancellation.unanswered
            or not cancellation.replies
            or not self._zones <= self._placers.keys()
        ):
            return
        elif cancellation.replies and not cancellation.unanswered:
            outcome = Outcome.NOT_OPEN
        callbacks, cancellation.callbacks = cancellation.callbacks, []
        for notify in callbacks:
            self._log(
                events.Event.REQUEST_CANCELLED,
                job=job_id,
                outcome=outcome.value,
                asked=cancellation.asked,
            )
            notify(outcome)
