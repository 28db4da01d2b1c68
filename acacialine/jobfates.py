"""How jobs ended, kept for copies of their requests that arrive later.

A client may send a request again to any dispatcher, and a copy of it may arrive
seconds after its answer. A job that was answered, or whose client cancelled it,
must not run then. Placers tell each other the fates of their jobs in batches:
each placer tells the placers of the other zones, and the candidates of its own
zone, one of which may succeed it. See docs/design/job-fates.md.
"""

import collections
import collections.abc
import enum

import attrs

from acacialine import errors
from acacialine import messages

# Copies of a request arrive seconds after its answer. A fate is kept for this
# time and at most GENERATION_S longer.
RETENTION_S = 30.0
GENERATION_S = 5.0
# 6,500 jobs a second for 35 s are 227,500 fates, of about 110 bytes each.
MAX_FATES = 270_000
GENERATION_MAX_FATES = MAX_FATES // 8
# Fates wait for others this long before they are sent. A copy that arrives in
# another zone within this time after the answer may run again.
BATCH_INTERVAL_S = 0.3
KEY_BYTES = 8
# A receiver handles so many in about 3 ms.
MAX_FATES_PER_MESSAGE = 4096


class Fate(enum.Enum):
    """How a job ended. Each is final: no task of the job starts again."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"  # a client cancelled it; some tasks may have run


@attrs.define(eq=False)
class _Generation:
    """Keys of the jobs whose fates became known at about the same time.

    Attributes:
        shared_keys: Those that the placers of other zones are told of.
    """

    started_at: float
    keys: list[bytes] = attrs.field(factory=list)
    shared_keys: set[bytes] = attrs.field(factory=set)


@attrs.define(eq=False)
class JobFates:
    """The fates that one dispatcher knows, for a limited time.

    The oldest are dropped together once they are older than RETENTION_S or more
    than MAX_FATES are known.
    """

    _fates: dict[bytes, Fate] = attrs.field(factory=dict)
    _generations: collections.deque[_Generation] = attrs.field(
        factory=collections.deque
    )

    def __len__(self) -> int:
        """Returns the number of known fates."""
        return len(self._fates)

    def get(self, job_id: str) -> Fate | None:
        """Returns the fate of a job; None if it is not known."""
        return self._fates.get(encode_key(job_id))

    def record(
        self, job_id: str, fate: Fate, now: float, is_local: bool = False
    ) -> None:
        """Records how a job ended.

        Args:
            job_id: The job.
            fate: How it ended.
            now: The current time.
            is_local: Whether the placer in this process ended it.
        """
        key = encode_key(job_id)
        if key:
            self.record_key(key, fate, now, is_local)

    def record_key(
        self, key: bytes, fate: Fate, now: float, is_local: bool = False
    ) -> None:
        """Records how a job ended that is given by its key.

        The first known fate stays, except that a completion replaces any other:
        a cancellation may reach a placer before it hears that the job had
        completed elsewhere.
        """
        known = self._fates.get(key)
        if known is None:
            self._current_generation(now).keys.append(key)
            self._fates[key] = fate
        elif replaces(fate, known):
            self._fates[key] = fate
        if is_local or fate is Fate.CANCELLED:
            self._current_generation(now).shared_keys.add(key)

    def drop_expired(self, now: float) -> None:
        """Removes the generations of which all fates have expired."""
        while self._generations and (
            now - self._generations[0].started_at >= RETENTION_S + GENERATION_S
            or len(self._fates) > MAX_FATES - GENERATION_MAX_FATES
        ):
            for key in self._generations.popleft().keys:
                del self._fates[key]

    def shared_fates(self) -> dict[bytes, Fate]:
        """Returns the fates that a new placer of another zone is told.

        These are the jobs that the placer here has ended, and all that clients
        have cancelled: a zone may have lost what it knew of them.
        """
        return {
            key: self._fates[key]
            for generation in self._generations
            for key in generation.shared_keys
            if key in self._fates
        }

    def all_fates(self) -> dict[bytes, Fate]:
        """Returns all known fates."""
        return dict(self._fates)

    def _current_generation(self, now: float) -> _Generation:
        if self._generations:
            newest = self._generations[-1]
            if (
                now - newest.started_at < GENERATION_S
                and len(newest.keys) < GENERATION_MAX_FATES
            ):
                return newest
        self.drop_expired(now)
        generation = _Generation(now)
        self._generations.append(generation)
        return generation


@attrs.define(eq=False)
class Outbox:
    """Fates that a placer is yet to send.

    Attributes:
        to_zones: Fates for the placers of the other zones, by key of the job.
        to_candidates: Fates for the candidates of the local zone. These include
            what the placers of other zones have sent.
        due_at: When to send them; None while there are none.
    """

    to_zones: dict[bytes, Fate] = attrs.field(factory=dict)
    to_candidates: dict[bytes, Fate] = attrs.field(factory=dict)
    due_at: float | None = None

    def add(self, job_id: str, fate: Fate, now: float) -> None:
        """Adds the fate of a job of the local placer.

        A cancellation is sent without delay, as a copy of its request may
        already be under way to another zone.
        """
        key = encode_key(job_id)
        if not key:
            return
        self.to_zones[key] = self.to_candidates[key] = fate
        delay_s = 0.0 if fate is Fate.CANCELLED else BATCH_INTERVAL_S
        self._set_due(now + delay_s)

    def relay(
        self, fates: collections.abc.Mapping[bytes, Fate], now: float
    ) -> None:
        """Adds fates that the placer of another zone has sent."""
        if fates:
            self.to_candidates.update(fates)
            self._set_due(now + BATCH_INTERVAL_S)

    def _set_due(self, at: float) -> None:
        self.due_at = at if self.due_at is None else min(self.due_at, at)

    def is_due(self, now: float) -> bool:
        """Returns whether the fates are to be sent now."""
        return self.due_at is not None and now >= self.due_at

    def take(self) -> tuple[dict[bytes, Fate], dict[bytes, Fate]]:
        """Returns and clears the fates for other zones and for candidates."""
        taken = self.to_zones, self.to_candidates
        self.to_zones, self.to_candidates = {}, {}
        self.due_at = None
        return taken


def replaces(fate: Fate, known: Fate) -> bool:
    """Returns whether a fate is to replace the one that is known."""
    return fate is Fate.COMPLETED and known is not Fate.COMPLETED


def encode_key(job_id: str) -> bytes:
    """Returns the key of a job; empty if its id isn't 16 hexadecimal digits."""
    if len(job_id) != 2 * KEY_BYTES:
        return b""
    try:
        key = bytes.fromhex(job_id)
    except ValueError:
        return b""
    return key if len(key) == KEY_BYTES else b""


def decode_key(key: bytes) -> str:
    """Returns the id of the job with a key."""
    return key.hex()


def new_messages(
    fates: collections.abc.Mapping[bytes, Fate], is_relayed: bool
) -> list[messages.EndedJobs]:
    """Returns the messages that tell a peer of fates."""
    keys = list(fates)
    built = []
    for start in range(0, len(keys), MAX_FATES_PER_MESSAGE):
        by_fate: dict[Fate, list[bytes]] = {fate: [] for fate in Fate}
        for key in keys[start : start + MAX_FATES_PER_MESSAGE]:
            by_fate[fates[key]].append(key)
        built.append(
            messages.EndedJobs(
                b"".join(by_fate[Fate.COMPLETED]),
                b"".join(by_fate[Fate.FAILED]),
                b"".join(by_fate[Fate.CANCELLED]),
                is_relayed,
            )
        )
    return built


def new_open_jobs_message(
    job_ids: collections.abc.Iterable[str],
    zone: str,
    is_relayed: bool,
    number: int = 0,
) -> messages.EndedJobs:
    """Returns the message that tells a peer of jobs that run in a zone."""
    running = b"".join(encode_key(job_id) for job_id in job_ids)
    return messages.EndedJobs(b"", b"", b"", is_relayed, running, zone, number)


def decode_open_jobs(message: messages.EndedJobs) -> list[str]:
    """Returns the ids of the jobs that run in the zone of a message.

    Raises:
        errors.PeerError: The field is no list of keys.
    """
    return [decode_key(key) for key in _split_keys(message.running)]


def _split_keys(keys: bytes) -> list[bytes]:
    if len(keys) % KEY_BYTES:
        raise errors.PeerError("malformed list of jobs")
    return [
        bytes(keys[start : start + KEY_BYTES])
        for start in range(0, len(keys), KEY_BYTES)
    ]


def decode_message(message: messages.EndedJobs) -> dict[bytes, Fate]:
    """Returns the fates in a message, by key of the job.

    Raises:
        errors.PeerError: A field is no list of keys.
    """
    fates = {}
    for fate, keys in (
        (Fate.COMPLETED, message.completed),
        (Fate.FAILED, message.failed),
        (Fate.CANCELLED, message.cancelled),
    ):
        fates.update(dict.fromkeys(_split_keys(keys), fate))
    return fates
