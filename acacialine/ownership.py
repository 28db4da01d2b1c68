"""Election of the dispatcher that is the placer of an availability zone.

A dispatcher becomes the placer by claiming the zone with a new epoch. No
consensus is needed: each backend server obeys the highest epoch that it has
seen, so two dispatchers that both believe to be the placer cannot both give
orders to one server. The rules here only make such conflicts rare and short.
A partitioned zone elects its placer without the others.
"""

import enum

import attrs

from acacialine import topology

SILENT_S = 0.6  # heartbeat timeout after which a member counts as dead
RELAYED_CLAIM_VALID_S = 0.35  # two heartbeat intervals of the relaying member
# Silence after which a member is removed from the list: it has stopped for
# good, or a partition lasts long.
MEMBER_EXPIRY_S = 10.0
RESUME_WAIT_S = 0.35  # two heartbeat intervals
STARTUP_WAIT_S = 0.7  # lets dispatchers started together exchange heartbeats
ISOLATED_WAIT_S = 2.5  # delay before an isolated dispatcher claims its zone
ISOLATED_FENCED_WAIT_S = 10.0  # the same delay after it was fenced
STORED_CLAIM_VALID_S = 3.0  # age up to which a claim in the store counts
# A placer steps down for a candidate whose weight is this many times its own.
STRONGER_WEIGHT_RATIO = 1.5
STRONGER_SETTLING_S = 3.0  # a stronger candidate must be known this long
FENCED_WAIT_S = 1.0  # delay before a fenced owner may claim again
# Share of the servers that the placer knows which a successor must know before
# the placer steps down for it. Lists differ a little while servers change.
KNOWN_SERVERS_SHARE = 0.9
EPOCH_RANDOM_BITS = 18  # makes epochs of two claims within 0.1 s differ
EPOCH_UNITS_PER_S = 10
EPOCH_MAX = 2**53 - 1  # exact in every JSON implementation


class Role(enum.Enum):
    """Role of a dispatcher in its zone."""

    FOLLOWER = "follower"
    PLACER = "placer"


@attrs.define(eq=False)
class Member:
    """Another dispatcher of the same zone.

    Attributes:
        heard_at: When its last heartbeat arrived; None before the first.
        claim: Its epoch while it is the placer, else 0.
        is_candidate: Whether it is ready to become the placer.
        started: Start of its process in s since 1970. Among equal weights the
            oldest process claims first.
        weight: Its share of a processor. The highest weight claims first.
        refuses_connections: Whether its address refuses connections.
        first_heard_at: When its first heartbeat arrived.
        server_count: Number of backend servers of the zone that it knows.
    """

    id: str
    started: float
    weight: float = 1.0
    heard_at: float | None = None
    claim: int = 0
    is_candidate: bool = True
    refuses_connections: bool = False
    first_heard_at: float = 0.0
    server_count: int = 0

    @property
    def rank(self) -> tuple:
        """Sort key among the candidates; the lowest claims first."""
        return topology.rank(self.weight, self.started, self.id)

    def is_live(
        self, now: float, heartbeat_timeout_s: float = SILENT_S
    ) -> bool:
        """Returns whether its last heartbeat is recent."""
        if self.heard_at is None or self.refuses_connections:
            return False
        return now - self.heard_at < heartbeat_timeout_s


@attrs.define(eq=False)
class Ownership:
    """Decides when this dispatcher claims its zone and when it steps down.

    Attributes:
        my_id: Id of this dispatcher.
        my_started: Start of its process in s since 1970.
        started_at: When this dispatcher started, on the clock of `clock.now`.
        members: Other dispatchers of the zone, by id.
        epoch: Epoch of the claim of this dispatcher; 0 without one.
        highest_epoch: Highest epoch known of any claim.
        superseded_epoch: The same before the newest claim of this dispatcher.
        is_candidate: False while this dispatcher stops, is too slow, or
            leaves the zone to stronger ones.
        my_weight: Share of a processor of this dispatcher.
        heartbeat_timeout_s: Silence in s after which a member counts as dead.
        stored_claim: Newest claim of another dispatcher in the store: its
            epoch and when it was read.
        newest_claim: The highest epoch that a dispatcher was known to claim,
            and its id.
        last_contact_at: When the store or a dispatcher of another zone last
            responded.
        server_count: Number of backend servers of the zone that this
            dispatcher knows.
        awaits_members: Whether others of the zone may exist that it has not
            heard since its start, and that may still be reached.
    """

    my_id: str
    my_started: float
    started_at: float
    members: dict[str, Member] = attrs.field(factory=dict)
    epoch: int = 0
    highest_epoch: int = 0
    superseded_epoch: int = 0
    is_candidate: bool = True
    my_weight: float = 1.0
    heartbeat_timeout_s: float = SILENT_S
    stored_claim: tuple[int, float] = (0, -1e9)
    newest_claim: tuple[int, str] = (0, "")
    last_contact_at: float = -1e9
    server_count: int = 0
    awaits_members: bool = False
    _not_before: float = 0.0
    _isolated_since: float | None = None
    _relayed_claim: tuple[int, float] = (0, -1e9)
    _highest_heard_epoch: int = 0
    # When it last knew no backend server.
    _uninformed_at: float = -1e9

    @property
    def role(self) -> Role:
        """The current role of this dispatcher."""
        return Role.PLACER if self.epoch else Role.FOLLOWER

    def record_heartbeat(
        self,
        member_id: str,
        started: float,
        claim: int,
        is_candidate: bool,
        now: float,
        weight: float = 1.0,
        server_count: int = 0,
    ) -> None:
        """Records a heartbeat of another dispatcher of the zone."""
        member = self.members.get(member_id)
        if member is None:
            member = Member(member_id, started, weight, first_heard_at=now)
            self.members[member_id] = member
        member.heard_at = now
        member.refuses_connections = False
        member.claim = claim
        member.is_candidate = is_candidate
        member.weight = weight
        member.server_count = server_count
        self.record_claim(member_id, claim)
        self._highest_heard_epoch = max(self._highest_heard_epoch, claim)

    def record_claim(self, member_id: str, claim: int) -> None:
        """Records an epoch that a dispatcher claims or claimed; 0 for none."""
        self.highest_epoch = max(self.highest_epoch, claim)
        self.newest_claim = max(self.newest_claim, (claim, member_id))

    @property
    def awaits_connectivity_proof(self) -> bool:
        """Whether a response from the store or another zone is awaited.

        Such a response proves that this dispatcher is not partitioned.
        """
        return (
            self._isolated_since is not None
            and self.last_contact_at <= self._isolated_since
        )

    def forget(self, member_id: str) -> None:
        """Removes a member that has stopped or was silent for long."""
        self.members.pop(member_id, None)

    def placer(self, now: float) -> str | None:
        """Returns the id of the placer of this zone, None if none is known."""
        placer_id, placer_epoch = (
            (self.my_id, self.epoch) if self.epoch else (None, 0)
        )
        for member in self.members.values():
            if member.claim > placer_epoch and self._is_live(member, now):
                placer_id, placer_epoch = member.id, member.claim
        return placer_id

    def decide(
        self, now: float, wall_s: float, random_bits: int
    ) -> Role | None:
        """Returns the new role if it changes now, else None.

        Args:
            now: The current time on the clock of `clock.now`.
            wall_s: Wall clock in s since 1970, from which the epoch is made.
            random_bits: Random number of EPOCH_RANDOM_BITS bits.
        """
        if not self.server_count:
            self._uninformed_at = now
        current_placer = self.placer(now)
        if self.epoch:
            steps_down = (
                not self.is_candidate and self._has_informed_successor(now)
            ) or self._has_stronger_member(now)
            if current_placer != self.my_id or steps_down:
                self.epoch = 0
                self._not_before = now + FENCED_WAIT_S / 2
                return Role.FOLLOWER
            return None
        if current_placer is not None:
            self._isolated_since = None
            return None
        if not self._may_claim(now):
            return None
        time_part = int(wall_s * EPOCH_UNITS_PER_S) << EPOCH_RANDOM_BITS
        epoch = time_part | random_bits
        if epoch <= self.highest_epoch:
            # The wall clock went back; exceed every epoch seen so far.
            time_unit = 1 << EPOCH_RANDOM_BITS
            epoch = (
                self.highest_epoch // time_unit + 1
            ) * time_unit + random_bits
        self.superseded_epoch = self.highest_epoch
        self.epoch = self.highest_epoch = min(epoch, EPOCH_MAX)
        return Role.PLACER

    def _is_live(self, member: Member, now: float) -> bool:
        return member.is_live(now, self.heartbeat_timeout_s)

    def _has_successor(self, now: float) -> bool:
        return any(
            m.is_candidate and self._is_live(m, now)
            for m in self.members.values()
        )

    def _has_informed_successor(self, now: float) -> bool:
        """Returns whether a live candidate knows the backend servers."""
        return any(
            m.is_candidate and self._is_live(m, now) and self._is_informed(m)
            for m in self.members.values()
        )

    def _is_informed(self, member: Member) -> bool:
        return knows_enough_servers(member.server_count, self.server_count)

    def _has_stronger_member(self, now: float) -> bool:
        """Returns whether a live candidate of much higher weight is present.

        Its first heartbeat must be older than STRONGER_SETTLING_S.
        """
        return any(
            m.is_candidate
            and m.weight >= self.my_weight * STRONGER_WEIGHT_RATIO
            and now - m.first_heard_at > STRONGER_SETTLING_S
            and self._is_live(m, now)
            and self._is_informed(m)
            for m in self.members.values()
        )

    def epoch_of(self, member_id: str) -> int:
        """Returns the epoch that a dispatcher claims; 0 if it claims none."""
        if member_id == self.my_id:
            return self.epoch
        member = self.members.get(member_id)
        return member.claim if member else 0

    def record_relayed_claim(
        self, member_id: str, claim: int, now: float
    ) -> None:
        """Records a claim that another dispatcher relays.

        It only prevents this dispatcher from claiming the zone.

        Args:
            member_id: The placer that made the claim.
            claim: Its epoch.
            now: The current time.
        """
        self.highest_epoch = max(self.highest_epoch, claim)
        member = self.members.get(member_id)
        if member is not None and (
            member.refuses_connections or self._is_live(member, now)
        ):
            return  # first-hand knowledge of this member takes precedence
        self._relayed_claim = (claim, now)

    def handle_process_pause(self, now: float) -> None:
        """Delays a claim after this process was suspended.

        The heartbeats that arrived meanwhile have not been read yet, so all
        other members seem dead.
        """
        self._not_before = max(self._not_before, now + RESUME_WAIT_S)

    def step_down_fenced(self, now: float) -> None:
        """Steps down after a backend server obeyed a higher epoch."""
        self.epoch = 0
        wait_s = FENCED_WAIT_S
        if now - self.last_contact_at > ISOLATED_WAIT_S and not any(
            self._is_live(m, now) for m in self.members.values()
        ):
            wait_s = ISOLATED_FENCED_WAIT_S
        self._not_before = now + wait_s
        # The higher epoch is unknown; later claims must exceed it.
        epoch_margin = EPOCH_UNITS_PER_S << EPOCH_RANDOM_BITS
        self.highest_epoch += epoch_margin

    def _may_claim(self, now: float) -> bool:
        if (
            now < self._not_before
            or now - self._relayed_claim[1] < RELAYED_CLAIM_VALID_S
        ):
            return False
        if not self.is_candidate and self._has_successor(now):
            return False
        started_s = now - self.started_at
        if started_s < STARTUP_WAIT_S or (
            self.awaits_members and started_s < ISOLATED_WAIT_S
        ):
            return False
        for member in list(self.members.values()):
            if now - (member.heard_at or 0.0) > MEMBER_EXPIRY_S:
                self.forget(member.id)
        live = [m for m in self.members.values() if self._is_live(m, now)]
        silent = [
            m
            for m in self.members.values()
            if not m.refuses_connections
            and m.heard_at is not None
            and m not in live
        ]
        if live or not silent:
            self._isolated_since = None
        elif not self._may_claim_while_isolated(now):
            return False
        # One that knows no backend server would refuse all jobs, so it claims
        # only if no other candidate knows any.
        own_rank = (
            not self.server_count,
            topology.rank(self.my_weight, self.my_started, self.my_id),
        )
        return all(
            (not m.is_candidate and self.is_candidate)
            or own_rank < (self._is_uninformed(m), m.rank)
            for m in live
        )

    def _is_uninformed(self, member: Member) -> bool:
        """Returns whether a live member certainly knows no backend server.

        Those that start together read the list at about the same time, so one
        that has just read it gives the others the time to tell that they have.
        """
        if member.server_count or not self.server_count:
            return not member.server_count
        since = max(self.started_at, self._uninformed_at)
        return member.heard_at - since >= STARTUP_WAIT_S

    def _may_claim_while_isolated(self, now: float) -> bool:
        """Returns whether to claim while no other member is heard.

        The others are dead or this dispatcher is partitioned. If it reaches
        the store or another zone, it is not partitioned and claims; a silent
        placer that is still alive is then fenced. A claim in the store that
        is newer than all that were heard is respected.
        """
        if self._isolated_since is None:
            self._isolated_since = now
        epoch, read_at = self.stored_claim
        if (
            epoch > self._highest_heard_epoch
            and now - read_at < STORED_CLAIM_VALID_S
        ):
            return False
        if self.last_contact_at > self._isolated_since:
            return True
        return now - self._isolated_since >= ISOLATED_WAIT_S


def knows_enough_servers(known_count: int, placer_count: int) -> bool:
    """Returns whether a candidate knows the backend servers of the placer."""
    return known_count >= placer_count * KNOWN_SERVERS_SHARE
