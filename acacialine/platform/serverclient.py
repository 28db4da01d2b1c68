"""Orders to one backend server, in the platform's words.

Field names that mislead: `deadlineMs` is the lease of everything that runs
on the server, on the server's own clock; `born` is the start of its present
life; `ackedThrough` is the last end that need not be listed again.
"""

import attrs
import httpcore
import msgspec
import trio

from acacialine import channels as channels_lib
from acacialine import clock
from acacialine import leases
from acacialine import orders
from acacialine import zoneruns
from acacialine import zonetables

CONNECT_TIMEOUT_S = 0.25  # in the zone a connection takes under 1 ms
START_TIMEOUT_S = 0.25  # a start is answered at once or not at all
STOP_TIMEOUT_S = 0.25
LOOK_TIMEOUT_S = 0.3  # beyond the time that a look waits for an end
START_FRESH_S = 0.15  # an order older than this is not sent any more

_END_KINDS = {
    "done": zonetables.EndKind.DONE,
    "failed": zonetables.EndKind.FAILED,
    "stopped": zonetables.EndKind.STOPPED,
    "lapsed": zonetables.EndKind.LAPSED,
    "broken": zonetables.EndKind.BROKEN,
    "alone": zonetables.EndKind.BROKEN,
}
_REFUSALS = {
    "fence": orders.StartOutcome.FENCED,
    "old": orders.StartOutcome.OLD_NUMBER,
    "room": orders.StartOutcome.NO_ROOM,
    "late": orders.StartOutcome.NOT_STARTED,
    "ticket": orders.StartOutcome.NOT_STARTED,
}


class FencedError(Exception):
    """The backend server obeys a higher epoch."""


class LookError(Exception):
    """A look at a backend server brought nothing."""


@attrs.define(eq=False)
class ServerClient:
    """Gives orders of one owner to one backend server.

    Every new connection begins with a look, so that no start can reach a
    life of the server that the tables do not know.

    Attributes:
        epoch: Epoch of the owner.
        lease_s: Length of the leases that orders carry.
        on_look: Called with each observation and when it was asked for.
    """

    server: zonetables.Server
    epoch: int
    lease_s: float
    on_look: object
    looks: int = 0
    _channels: channels_lib.Channels = attrs.field(init=False)
    _expect: tuple = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._channels = channels_lib.Channels(
            self.server.address, CONNECT_TIMEOUT_S, self._look_first
        )
        self._expect = ((b"expect-instance", self.server.id.encode()),)

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._channels.opened

    async def start(self, run: zonetables.Run) -> orders.StartOutcome:
        """Orders a run; never a second time."""
        decided_at = run.sent_at
        now = clock.now()
        if now - decided_at > START_FRESH_S or run.job is None:
            # Too old, or its job has ended since the decision.
            return orders.StartOutcome.NOT_STARTED
        lease = leases.new_lease(self.server, self.lease_s, now)
        run.not_after = max(run.not_after, lease.until)
        body = {
            "task": str(run.key),
            "run": run.number,
            "spec": run.job.spec,
            "deadlineMs": lease.deadline_ms,
            "fencingToken": self.epoch,
        }
        self.server.lease_until = max(self.server.lease_until, lease.until)
        try:
            reply = await self._channels.call(
                "POST",
                "/acacialine/run-start",
                msgspec.json.encode(body),
                START_TIMEOUT_S,
                self._expect,
                decided_at + START_FRESH_S,
            )
        except channels_lib.NotSentError:
            return orders.StartOutcome.UNHEALTHY
        except channels_lib.NoAnswerError:
            return orders.StartOutcome.UNKNOWN
        return _start_outcome(reply)

    async def stop(self, run: zonetables.Run) -> bool:
        """Orders the end of a run; returns whether it was confirmed."""
        body = {
            "task": str(run.key),
            "run": run.number,
            "fencingToken": self.epoch,
        }
        try:
            reply = await self._channels.call(
                "POST",
                "/acacialine/run-stop",
                msgspec.json.encode(body),
                STOP_TIMEOUT_S,
                self._expect,
            )
        except (channels_lib.NotSentError, channels_lib.NoAnswerError):
            return False
        return reply.status == 200

    async def look(self, wait_s: float) -> None:
        """Renews the lease and lists all runs; waits for an end.

        Raises:
            FencedError: Another owner has a higher epoch.
            LookError: No answer, or another refusal.
        """
        asked_at = clock.now()
        body = self._look_body(asked_at, wait_s)
        try:
            reply = await self._channels.call(
                "POST",
                "/acacialine/hold",
                body,
                wait_s + LOOK_TIMEOUT_S,
                self._expect,
            )
        except channels_lib.NotSentError as error:
            raise LookError(str(error)) from error
        except channels_lib.NoAnswerError as error:
            raise LookError(str(error)) from error
        self._take_in(reply, asked_at)

    def _look_body(self, now: float, wait_s: float) -> bytes:
        server = self.server
        self.looks += 1
        content = {
            "fencingToken": self.epoch,
            "ackedThrough": server.acknowledged,
        }
        if server.clock_at and zoneruns.needs_lease(server, now):
            lease = leases.new_lease(server, self.lease_s, now)
            server.lease_until = max(server.lease_until, lease.until)
            content["deadlineMs"] = lease.deadline_ms
        if wait_s > 0:
            content["waitMs"] = round(wait_s * 1000)
        return msgspec.json.encode(content)

    def _take_in(self, reply: channels_lib.Reply, asked_at: float) -> None:
        if reply.status == 409 and _reason(reply) == "fence":
            raise FencedError
        if reply.status != 200:
            raise LookError(f"status {reply.status}")
        try:
            seen = _decode_observation(reply.body)
        except (ValueError, KeyError, TypeError) as error:
            raise LookError(f"unreadable: {error!r}") from error
        leases.observe_clock(self.server, seen.clock_ms, clock.now())
        self.on_look(self, seen, asked_at)

    async def _look_first(
        self, connection: httpcore.AsyncHTTP11Connection
    ) -> None:
        """The first exchange on a new connection tells whose life it is."""
        asked_at = clock.now()
        life = self.server.life
        listed = self.server.listed
        with trio.fail_after(LOOK_TIMEOUT_S):
            reply = await self._channels.exchange(
                connection,
                "POST",
                "/acacialine/hold",
                self._look_body(asked_at, 0),
                self._expect,
            )
        try:
            self._take_in(reply, asked_at)
        except (FencedError, LookError) as error:
            raise channels_lib.NotSentError(repr(error)) from error
        if listed and self.server.life != life:
            raise channels_lib.NotSentError("the server began a new life")

    async def aclose(self) -> None:
        """Closes the idle connections."""
        await self._channels.aclose()


def _reason(reply: channels_lib.Reply) -> str:
    try:
        return str(msgspec.json.decode(reply.body).get("reason", ""))
    except (ValueError, AttributeError):
        return ""


def _start_outcome(reply: channels_lib.Reply) -> orders.StartOutcome:
    match reply.status:
        case 200:
            return orders.StartOutcome.STARTED
        case 409:
            return _REFUSALS.get(
                _reason(reply), orders.StartOutcome.NOT_STARTED
            )
        case 421:
            return orders.StartOutcome.OTHER_LIFE
        case 429 | 503:
            return orders.StartOutcome.UNHEALTHY
        case 400:
            return orders.StartOutcome.NOT_STARTED
    return orders.StartOutcome.UNKNOWN


def decode_task(name: str) -> zonetables.TaskKey:
    """Decodes ID.K.STEP.INDEX.

    Raises:
        ValueError: It is no such name.
    """
    job_id, occurrence, step, index = name.split(".")
    return zonetables.TaskKey(job_id, int(occurrence), int(step), int(index))


def _decode_observation(body: bytes) -> orders.Observation:
    content = msgspec.json.decode(body)
    running = tuple(
        orders.RunningRow(decode_task(row[0]), int(row[1]), int(row[3]))
        for row in content.get("running", ())
    )
    ended = tuple(
        orders.EndedRow(
            int(row[0]),
            decode_task(row[1]),
            int(row[2]),
            _END_KINDS.get(row[3], zonetables.EndKind.FAILED),
        )
        for row in content.get("endedRuns", ())
    )
    life = int(content.get("born", 0))
    return orders.Observation(life, int(content["clockMs"]), running, ended)
