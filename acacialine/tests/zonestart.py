"""Dispatchers of one zone that start together, on a virtual clock.

Each writes its record to the directory of the store, reads the others, dials
them and exchanges heartbeats, all with the delays of a busy machine.
"""

import random

from acacialine import ownership
from acacialine import peering

WALL_S = 1_790_000_000.0
TICK_S = 0.02
START_SPAN_S = 2.0  # in which all dispatchers start
END_S = 8.0
DIRECTORY_POLL_S = 1.0
DELAY_S = (0.02, 0.4)  # shortest and longest of a read or a heartbeat
DIAL_S = (0.06, 0.9)  # the same until a link is open
SERVER_COUNT = 9


class Dispatcher:
    """One dispatcher: its election, and when it hears each of the others.

    Attributes:
        listed_at: When its record is in the directory.
        server_count_at: When it has read the list of backend servers.
        next_read_at: When it has read the directory once more.
        opens_at: When it dials each listed dispatcher, and when the link opens,
            by id.
        due_at: When it sends the next heartbeat to each, by id.
        has_directory: Whether it has read the directory.
    """

    def __init__(self, member_id, started_at):
        self.ownership = ownership.Ownership(
            member_id, WALL_S + started_at, started_at
        )
        self.listed_at = 0.0
        self.server_count_at = 0.0
        self.next_read_at = 0.0
        self.opens_at = {}
        self.due_at = {}
        self.has_directory = False

    @property
    def id(self):
        return self.ownership.my_id

    def awaits_members(self, now):
        """See `linkmanager.LinkManager.awaits_peers`."""
        limit_s = peering.UNREACHABLE_AFTER_S
        return not self.has_directory or any(
            member_id not in self.ownership.members
            and now < dialled_at + limit_s
            for member_id, (dialled_at, _) in self.opens_at.items()
        )


class ZoneStart:
    """The start of all dispatchers of a zone.

    Attributes:
        claims: Time, id and epoch of each claim.
        owned: The placers at present, by id.
        overlap_s: For how long there were several placers.
    """

    def __init__(self, seed, dispatcher_count=13):
        self.random = random.Random(seed)
        self.now = 0.0
        self.dispatchers = {}
        for number in range(dispatcher_count):
            started_at = self.random.uniform(0, START_SPAN_S)
            dispatcher = Dispatcher(f"d-{number}", started_at)
            self.dispatchers[dispatcher.id] = dispatcher
            dispatcher.listed_at = started_at + self._delay_s()
            dispatcher.next_read_at = dispatcher.listed_at + self._delay_s()
            dispatcher.server_count_at = started_at + self._delay_s() * 2
        self.claims = []
        self.owned = {}
        self.overlap_s = 0.0
        self._heartbeats = []

    def _delay_s(self):
        return self.random.uniform(*DELAY_S)

    def run(self, until=END_S):
        while self.now < until:
            self.now += TICK_S
            self.tick(self.now)
        return self

    def tick(self, now):
        """Delivers what is due, then lets each dispatcher decide."""
        self._deliver(now)
        for dispatcher in self.dispatchers.values():
            if now >= dispatcher.ownership.started_at:
                self._read_directory(dispatcher, now)
                self._send_heartbeats(dispatcher, now)
                self._decide(dispatcher, now)
        if len(self.owned) > 1:
            self.overlap_s += TICK_S

    def _deliver(self, now):
        due = [h for h in self._heartbeats if h[0] <= now]
        self._heartbeats = [h for h in self._heartbeats if h[0] > now]
        for _, receiver_id, heartbeat in due:
            if receiver_id not in self.dispatchers:
                continue
            receiver = self.dispatchers[receiver_id].ownership
            if now < receiver.started_at:
                continue
            sender_id, started, claim, server_count = heartbeat
            receiver.record_heartbeat(
                sender_id, started, claim, True, now, server_count=server_count
            )

    def _read_directory(self, dispatcher, now):
        if now < dispatcher.next_read_at:
            return
        dispatcher.next_read_at = now + DIRECTORY_POLL_S + self._delay_s()
        dispatcher.has_directory = True
        for other in self.dispatchers.values():
            if (
                other is not dispatcher
                and other.listed_at <= now
                and other.id not in dispatcher.opens_at
            ):
                opens_at = now + self.random.uniform(*DIAL_S)
                dispatcher.opens_at[other.id] = now, opens_at
                dispatcher.due_at[other.id] = opens_at

    def _send_heartbeats(self, dispatcher, now):
        """Sends a heartbeat on each open link; each is answered with one."""
        for other_id, due_at in dispatcher.due_at.items():
            if now < due_at:
                continue
            dispatcher.due_at[other_id] = (
                now + peering.FAST_HEARTBEAT_INTERVAL_S
            )
            arrives_at = now + self._delay_s()
            other = self.dispatchers[other_id]
            self._heartbeats.append(
                (arrives_at, other_id, self._heartbeat(dispatcher))
            )
            self._heartbeats.append(
                (
                    arrives_at + self._delay_s(),
                    dispatcher.id,
                    self._heartbeat(other),
                )
            )

    def _heartbeat(self, dispatcher):
        local = dispatcher.ownership
        return local.my_id, local.my_started, local.epoch, local.server_count

    def _decide(self, dispatcher, now):
        local = dispatcher.ownership
        if now >= dispatcher.server_count_at:
            local.server_count = SERVER_COUNT
        local.last_contact_at = now
        local.awaits_members = dispatcher.awaits_members(now)
        random_bits = self.random.getrandbits(ownership.EPOCH_RANDOM_BITS)
        match local.decide(now, WALL_S + now, random_bits):
            case ownership.Role.PLACER:
                self.claims.append((now, local.my_id, local.epoch))
                self.owned[local.my_id] = local.epoch
                self.begin_ownership(dispatcher, now)
            case ownership.Role.FOLLOWER:
                del self.owned[local.my_id]
                self.end_ownership(dispatcher, now)

    def begin_ownership(self, dispatcher, now):
        """Called when a dispatcher becomes the placer; for subclasses."""

    def end_ownership(self, dispatcher, now):
        """Called when a placer steps down; for subclasses."""
