"""Handover of answers and tombstones to a successor at a graceful shutdown."""

import attrs
import trio

from acacialine import actions
from acacialine import core as core_lib
from acacialine import errors
from acacialine import events
from acacialine import membership
from acacialine import messages
from acacialine import peercalls
from acacialine import submissions
from acacialine import tables as tables_lib

ANSWERS_PER_CALL = 200
TOMBSTONES_PER_CALL = 5000
CALL_TIMEOUT_S = 5.0
# Number of stopped coordinators whose tombstones are kept; above it, those of
# the oldest are dropped.
INHERITED_COORDINATORS_MAX = 8
HANDOVER_TRIES = 3


@attrs.define(eq=False)
class Handover:
    """Sends this entry's answers to its successor; receives those of peers."""

    core: core_lib.Core
    peer_calls: peercalls.PeerCalls

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    async def send(self) -> str:
        """Sends all answers and tombstones to a successor.

        After a failure, the next successor is tried, `HANDOVER_TRIES` times
        at most.

        Returns:
            Id of the peer that received everything; empty if none did.
        """
        for _ in range(HANDOVER_TRIES):
            successor = membership.choose_successor(self._tables)
            if not successor:
                return ""
            if await self._try_send(successor):
                return successor
            # Excludes the peer from the next choice unless it is heard again.
            peer = self._tables.peers.get(successor)
            if peer is not None:  # not removed during the call
                peer.heard_at = 0.0
        return ""

    async def _try_send(self, successor: str) -> bool:
        pool = self.peer_calls.pool(successor)
        answer_count = 0
        for call in self._build_calls():
            try:
                with trio.fail_after(CALL_TIMEOUT_S):
                    await pool.call(call)
            except (errors.PeerError, trio.TooSlowError):
                return False
            answer_count += len(call.answers)
        actions.log_event(
            self._tables,
            events.Event.HANDOVER_SENT,
            successor=successor,
            answers=answer_count,
        )
        return True

    def _build_calls(self) -> list[messages.HandoverCall]:
        tables = self._tables
        pending_answers = [
            _to_message(k) for k in tables.retained_answers.values()
        ]
        tombstones = [
            messages.HandoverTombstone(key, tombstone.digest, tombstone.outcome)
            for epoch in tables.tombstones.values()
            for key, tombstone in epoch.items()
        ]
        calls = []
        while pending_answers or tombstones:
            calls.append(
                messages.HandoverCall(
                    tables.my_id,
                    pending_answers[:ANSWERS_PER_CALL],
                    tombstones[:TOMBSTONES_PER_CALL],
                    False,
                )
            )
            del pending_answers[:ANSWERS_PER_CALL]
            del tombstones[:TOMBSTONES_PER_CALL]
        calls.append(messages.HandoverCall(tables.my_id, [], [], True))
        return calls

    def receive(self, sender: str, call: messages.HandoverCall) -> None:
        """Stores answers and tombstones of a stopping coordinator.

        A call whose sender is not the coordinator is dropped.
        """
        tables = self._tables
        if call.coordinator != sender:
            return
        inherited = tables.inherited_tombstones.setdefault(sender, {})
        while len(tables.inherited_tombstones) > INHERITED_COORDINATORS_MAX:
            del tables.inherited_tombstones[
                next(iter(tables.inherited_tombstones))
            ]
        for tombstone in call.tombstones:
            inherited[tombstone.key] = tables_lib.Tombstone(
                tombstone.digest, errors.Outcome(tombstone.outcome)
            )
        for answer in call.answers:
            submissions.retain_answer(tables, _from_message(answer))
        if call.is_last:
            actions.log_event(
                tables,
                events.Event.HANDOVER_RECEIVED,
                coordinator=sender,
                tombstones=len(inherited),
            )


def _to_message(retained: tables_lib.RetainedAnswer) -> messages.HandoverAnswer:
    return messages.HandoverAnswer(
        retained.team,
        retained.submission_id,
        retained.digest,
        retained.answer.status,
        retained.answer.outcome,
        retained.answer.code,
        retained.answer.body,
    )


def _from_message(
    message: messages.HandoverAnswer,
) -> tables_lib.RetainedAnswer:
    answer = tables_lib.JobAnswer(
        message.status,
        errors.Outcome(message.outcome),
        errors.Code(message.code),
        message.body,
    )
    return tables_lib.RetainedAnswer(
        message.team, message.submission_id, message.digest, answer
    )
