"""Which entry of an availability zone is its placer.

No agreement is needed: each backend server obeys the highest epoch that it
has seen, so two entries that both believe to be the placer cannot both give
orders to one server. The rules here only make such disagreement rare and
short. A zone that is cut off decides on its own.
"""

import enum

import attrs

from acacialine import topology

SILENT_S = 0.6  # without a heartbeat before a peer counts as dead
HEARD_OF_S = 0.35  # two heartbeats of the one who hears the placer
FORGOTTEN_S = 10.0  # of silence: removed for good, or cut off for long
START_WAIT_S = 0.7  # for entries that start together to hear each other
ISOLATED_WAIT_S = 2.5  # before an entry that reaches nobody at all claims
FENCED_ALONE_S = 10.0  # for such an entry, once somebody has fenced it
CLAIM_KEPT_S = 3.0  # age up to which a claim in the store counts
STRONGER_FACTOR = 1.5  # of its weight makes a placer give way
STRONGER_AFTER_S = 3.0  # for the stronger one to have settled
FENCED_WAIT_S = 1.0  # before a fenced owner may claim again
EPOCH_RANDOM_BITS = 18  # makes epochs of two claims in 0.1 s differ
EPOCH_UNITS_PER_S = 10
EPOCH_MAX = 2**53 - 1  # exact in every JSON implementation


class Role(enum.Enum):
    """What this entry is in its zone."""

    FOLLOWER = "follower"
    PLACER = "placer"


@attrs.define(eq=False)
class Member:
    """Another entry of the same zone.

    Attributes:
        heard_at: When a heartbeat last came; None before the first.
        claim: Its epoch while it is the placer, else 0.
        is_candidate: Whether it would take over.
        started: Start of its process; the older entry goes first.
        weight: Its share of a processor; the stronger goes before the older.
        refused: Whether its address refuses connections.
        known_since: When it was first heard.
    """

    id: str
    started: float
    weight: float = 1.0
    heard_at: float | None = None
    claim: int = 0
    is_candidate: bool = True
    refused: bool = False
    known_since: float = 0.0

    @property
    def rank(self) -> tuple:
        """Its place in the order of those who claim."""
        return topology.rank(self.weight, self.started, self.id)

    def is_live(self, now: float, silent_s: float = SILENT_S) -> bool:
        """Returns whether it was heard a short time ago."""
        if self.heard_at is None or self.refused:
            return False
        return now - self.heard_at < silent_s


@attrs.define(eq=False)
class Ownership:
    """Decides when this entry claims its zone and when it steps down.

    Attributes:
        epoch: Epoch of the own claim; 0 without one.
        is_candidate: False while this entry stops, is too slow, or leaves
            the zone to stronger ones.
        my_weight: The own share of a processor.
        silent_s: Without a heartbeat before a peer counts as dead.
        stored_claim: Newest claim of another entry in the store: its epoch
            and when it was read.
        connected_at: When the store or an entry of another zone answered.
    """

    my_id: str
    my_started: float
    since: float
    members: dict[str, Member] = attrs.field(factory=dict)
    epoch: int = 0
    highest_epoch: int = 0
    is_candidate: bool = True
    my_weight: float = 1.0
    silent_s: float = SILENT_S
    stored_claim: tuple[int, float] = (0, -1e9)
    connected_at: float = -1e9
    _not_before: float = 0.0
    _alone_since: float | None = None
    _heard_of: tuple[int, float] = (0, -1e9)
    _heard_epoch: int = 0

    @property
    def role(self) -> Role:
        """What this entry is at present."""
        return Role.PLACER if self.epoch else Role.FOLLOWER

    def hear(
        self,
        member_id: str,
        started: float,
        claim: int,
        is_candidate: bool,
        now: float,
        weight: float = 1.0,
    ) -> None:
        """Takes in a heartbeat of an entry of the same zone."""
        member = self.members.get(member_id)
        if member is None:
            member = Member(member_id, started, weight, known_since=now)
            self.members[member_id] = member
        member.heard_at = now
        member.refused = False
        member.claim = claim
        member.is_candidate = is_candidate
        self.highest_epoch = max(self.highest_epoch, claim)
        self._heard_epoch = max(self._heard_epoch, claim)

    @property
    def seeks_evidence(self) -> bool:
        """Whether it matters now if anybody at all can be reached."""
        return (
            self._alone_since is not None
            and self.connected_at <= self._alone_since
        )

    def forget(self, member_id: str) -> None:
        """Removes an entry that is certainly gone."""
        self.members.pop(member_id, None)

    def placer(self, now: float) -> str | None:
        """Returns the entry to which jobs of this zone go."""
        best, best_epoch = (self.my_id, self.epoch) if self.epoch else (None, 0)
        for member in self.members.values():
            if member.claim > best_epoch and self._is_live(member, now):
                best, best_epoch = member.id, member.claim
        return best

    def decide(
        self, now: float, wall_s: float, random_bits: int
    ) -> Role | None:
        """Returns the new role if it changes now, else None.

        Args:
            now: Time on the clock of this process.
            wall_s: Time of day, for an epoch above earlier ones.
            random_bits: Random number of EPOCH_RANDOM_BITS bits.
        """
        leader = self.placer(now)
        if self.epoch:
            gives_up = (
                not self.is_candidate and self._has_successor(now)
            ) or self._is_outweighed(now)
            if leader != self.my_id or gives_up:
                self.epoch = 0
                self._not_before = now + FENCED_WAIT_S / 2
                return Role.FOLLOWER
            return None
        if leader is not None or not self._may_claim(now):
            return None
        base = int(wall_s * EPOCH_UNITS_PER_S) << EPOCH_RANDOM_BITS
        epoch = base | random_bits
        if epoch <= self.highest_epoch:
            # The time of day went back; stay above all that was seen.
            step = 1 << EPOCH_RANDOM_BITS
            epoch = (self.highest_epoch // step + 1) * step + random_bits
        self.epoch = self.highest_epoch = min(epoch, EPOCH_MAX)
        return Role.PLACER

    def _is_live(self, member: Member, now: float) -> bool:
        return member.is_live(now, self.silent_s)

    def _has_successor(self, now: float) -> bool:
        return any(
            m.is_candidate and self._is_live(m, now)
            for m in self.members.values()
        )

    def _is_outweighed(self, now: float) -> bool:
        """Whether a much stronger entry has been there for a while."""
        return any(
            m.is_candidate
            and m.weight >= self.my_weight * STRONGER_FACTOR
            and now - m.known_since > STRONGER_AFTER_S
            and self._is_live(m, now)
            for m in self.members.values()
        )

    def claim_of(self, member_id: str) -> int:
        """Returns the epoch that an entry claims; 0 if it claims none."""
        if member_id == self.my_id:
            return self.epoch
        member = self.members.get(member_id)
        return member.claim if member else 0

    def hear_of(self, member_id: str, claim: int, now: float) -> None:
        """Another entry hears a placer that this one may not hear.

        Such a claim keeps this entry from claiming, and from nothing else.
        """
        self.highest_epoch = max(self.highest_epoch, claim)
        member = self.members.get(member_id)
        if member is not None and (
            member.refused or self._is_live(member, now)
        ):
            return  # own evidence goes before what others say
        self._heard_of = (claim, now)

    def fenced(self, now: float) -> None:
        """A majority of backend servers obeys a higher epoch: steps down."""
        self.epoch = 0
        wait_s = FENCED_WAIT_S
        if now - self.connected_at > ISOLATED_WAIT_S and not any(
            self._is_live(m, now) for m in self.members.values()
        ):
            wait_s = FENCED_ALONE_S
        self._not_before = now + wait_s
        # The epoch that fenced is not known; later claims must pass it.
        step = EPOCH_UNITS_PER_S << EPOCH_RANDOM_BITS
        self.highest_epoch += step

    def _may_claim(self, now: float) -> bool:
        if now < self._not_before or now - self._heard_of[1] < HEARD_OF_S:
            return False
        if not self.is_candidate and self._has_successor(now):
            return False
        if now - self.since < START_WAIT_S:
            return False
        for member in list(self.members.values()):
            if now - (member.heard_at or 0.0) > FORGOTTEN_S:
                self.forget(member.id)
        live = [m for m in self.members.values() if self._is_live(m, now)]
        silent = [
            m
            for m in self.members.values()
            if not m.refused and m.heard_at is not None and m not in live
        ]
        if live or not silent:
            self._alone_since = None
        elif not self._may_claim_alone(now):
            return False
        own_rank = topology.rank(self.my_weight, self.my_started, self.my_id)
        return all(
            (not m.is_candidate and self.is_candidate) or own_rank < m.rank
            for m in live
        )

    def _may_claim_alone(self, now: float) -> bool:
        """No entry of the zone is heard: they are dead, or this is cut off.

        Whoever still reaches the store or another zone is not cut off, and
        claims; if the silent placer lives after all, it is fenced. A claim
        in the store that is newer than all that was heard is believed.
        """
        if self._alone_since is None:
            self._alone_since = now
        epoch, read_at = self.stored_claim
        if epoch > self._heard_epoch and now - read_at < CLAIM_KEPT_S:
            return False
        if self.connected_at > self._alone_since:
            return True
        return now - self._alone_since >= ISOLATED_WAIT_S
