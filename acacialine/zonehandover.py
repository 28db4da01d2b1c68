"""Passes the learned state and the list of servers to candidates of a zone.

The placer sends what it has learned to the candidates, and its list of backend
servers to a candidate that lacks it because it does not reach the store.
"""

import math

import attrs

from acacialine import clock
from acacialine import events
from acacialine import ids
from acacialine import learnedstate
from acacialine import messages
from acacialine import ownership as ownership_lib
from acacialine import peering
from acacialine import predecessors as predecessors_lib

REPORT_INTERVAL_S = 1.0
# For the ticks in which a dispatcher decides to claim its zone.
CLAIM_MARGIN_S = 0.4
# A placer that no backend server has answered for so long after its claim may
# lack jobs of an earlier one that did not hear of it.
LATE_ANSWER_S = 0.5
# Shortest time between two lists of servers to the same candidate.
LIST_INTERVAL_S = 1.0


@attrs.define(eq=False)
class ZoneHandover:
    """What this dispatcher passes on as placer, and has got as a candidate.

    Uses `hub`, `log`, `placer_host`, `store_reader` and `zone` of its
    dispatcher.

    Attributes:
        learned_state: What the placer of this zone has learned.
        predecessors: What is known of the lists of servers of its placers.
    """

    _dispatcher: object
    learned_state: learnedstate.LearnedState = attrs.field(
        factory=learnedstate.LearnedState
    )
    predecessors: predecessors_lib.Predecessors = attrs.field(
        factory=predecessors_lib.Predecessors
    )
    _reporter: learnedstate.Reporter = attrs.field(init=False)
    _reported_at: float = -math.inf
    _list_sent_at: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self._reporter = learnedstate.Reporter(self._dispatcher.zone)

    def send_report(self, now: float) -> None:
        """Sends what the placer here has learned, once per interval.

        This dispatcher keeps it too, as it may lose the zone and own it again.
        """
        host = self._dispatcher.placer_host
        if host is None or now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        self._reporter.update(host.placer.tables)
        self.learned_state.record_report(self._reporter.report_for(self), now)
        self.learned_state.retain_servers(host.placer.tables.servers)
        links = [
            link
            for link in self._dispatcher.hub.dialled_links.values()
            if link.is_open
            and link.heartbeat.zone == self._dispatcher.zone
            and link.heartbeat.is_candidate
        ]
        for link in links:
            link.post(self._reporter.report_for(link))
        self._reporter.retain_receivers([self, *links])

    def receive_report(self, report: messages.LearnedState) -> None:
        """Records what the placer of this zone has learned."""
        if (
            report.zone == self._dispatcher.zone
            and self._dispatcher.placer_host is None
        ):
            self.learned_state.record_report(report, clock.now())

    def record_heartbeat(self, state: messages.ZoneState, now: float) -> None:
        """Handles a heartbeat of another dispatcher of this zone."""
        if state.claim:
            self.predecessors.record_heartbeat(
                state.claim,
                state.server_list_offset,
                self._dispatcher.store_reader.removal_offset,
                now,
            )
        self._send_list_if_needed(state, now)

    def record_told(
        self, session: peering.AcceptedLink, state: messages.ZoneState
    ) -> None:
        """Records that the placer of this zone has told of its jobs.

        It does so on a link that it has opened, after its first heartbeat.
        """
        if (
            state.zone == self._dispatcher.zone
            and state.knows_jobs
            and session.heartbeat_count > 1
        ):
            self.predecessors.record_told(
                state.claim,
                min(session.sent_at, self._dispatcher.inputs_read_until),
            )

    def _send_list_if_needed(
        self, state: messages.ZoneState, now: float
    ) -> None:
        """Sends the list of servers to a candidate that knows too few."""
        dispatcher = self._dispatcher
        if (
            dispatcher.placer_host is None
            or not state.is_candidate
            or ownership_lib.knows_enough_servers(
                state.server_count, dispatcher.store_reader.server_count
            )
            or now - self._list_sent_at.get(state.sender, -math.inf)
            < LIST_INTERVAL_S
        ):
            return
        link = dispatcher.hub.find_open_link(state.sender)
        if link is None:
            return
        self._list_sent_at = {
            peer_id: sent_at
            for peer_id, sent_at in self._list_sent_at.items()
            if now - sent_at < LIST_INTERVAL_S
        }
        self._list_sent_at[state.sender] = now
        records = [
            messages.ServerRecord(server_id, record)
            for server_id, record in dispatcher.store_reader.own_records()
        ]
        link.post(messages.ServerList(dispatcher.zone, records))

    def receive_list(self, message: messages.ServerList) -> None:
        """Uses the list of the placer until the store has been read."""
        dispatcher = self._dispatcher
        if message.zone != dispatcher.zone:
            return
        if dispatcher.store_reader.apply_list_from_peer(message.records):
            dispatcher.log(
                events.Event.SERVERS_FROM_PEER,
                servers=dispatcher.store_reader.server_count,
            )

    def begin_ownership(self, host, now: float) -> None:
        """Gives a new placer here what is known of earlier ones; logs it."""
        tables = host.placer.tables
        self.learned_state.apply_to_queues(tables, now)
        superseded_owner_s = host.placer.lease_times.superseded_owner_s
        knows_servers = self.predecessors.take_over(
            host.epoch,
            self._dispatcher.ownership.superseded_epoch,
            self._dispatcher.store_reader.removal_offset,
            now,
            # A successor may claim the zone so long after the last heartbeat.
            ownership_lib.ISOLATED_WAIT_S + superseded_owner_s,
        )
        if not knows_servers:
            host.placer.runs.assume_unknown_servers(now)
        self._assume_unknown_jobs(host.placer, now)
        self._dispatcher.log(
            events.Event.ZONE_STATE_INHERITED,
            knows_servers=int(knows_servers),
            knows_jobs=int(not host.placer.may_lack_jobs(now)),
            servers=len(tables.servers),
            known=sum(
                self.learned_state.knows(server, now)
                for server in tables.servers.values()
            ),
            age_s=_format_age(self.learned_state.reported_at, now),
            predecessor_age_s=_format_age(self.predecessors.heard_at, now),
        )

    def record_first_answer(self, placer, now: float) -> None:
        """Records that a backend server obeys the placer here at last.

        Until then nobody had to know of its claim, so an earlier placer may
        have gone on.
        """
        if now - placer.owned_since > LATE_ANSWER_S:
            placer.runs.assume_unknown_servers(now)
            self._assume_unknown_jobs(placer, now)

    def _assume_unknown_jobs(self, placer, now: float) -> None:
        """Lets a new placer here wait if it may lack jobs of earlier ones.

        A placer that was silent before its end may have had other jobs since;
        other zones tell again of those that run there. One that was silent for
        longer than a successor takes to claim may not have been the last.
        """
        last_epoch = self._dispatcher.ownership.superseded_epoch
        reader = self._dispatcher.store_reader
        if (
            not last_epoch
            and reader.is_directory_read
            and not reader.is_store_down
        ):
            return  # without a claim in the store there was no placer
        age_s = self.predecessors.told_age_s(last_epoch, now)
        claim_s = ownership_lib.SILENT_S + CLAIM_MARGIN_S
        if age_s > claim_s:
            are_local = age_s <= claim_s + ownership_lib.ISOLATED_WAIT_S
            placer.assume_unknown_jobs(
                are_local, now, self._last_placer_ended_at()
            )

    def _last_placer_ended_at(self) -> float:
        """Returns when the last placer had ended; infinite if it may live.

        It has if its address is that of another process, or refuses.
        """
        ownership = self._dispatcher.ownership
        epoch, placer_id = ownership.newest_claim
        if not epoch or epoch < ownership.superseded_epoch:
            return math.inf
        address = ids.parse_incarnation(placer_id).address
        if address == self._dispatcher.identity.incarnation.address:
            return ownership.started_at
        link = self._dispatcher.hub.dialled_links.get(address)
        if link is None:
            return math.inf
        is_replaced = link.is_open and link.peer_id != placer_id
        return link.found_at if is_replaced or link.is_refused else math.inf


def _format_age(at: float, now: float) -> float | str:
    """Returns the time since `at` for log lines; "none" if that never was."""
    return round(now - at, 2) if at > -math.inf else "none"
