"""Handover of answers and tombstones at a planned stop."""

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
ADOPTED_MAX = 8  # coordinators whose ids are remembered after their stop
TRIES = 3


@attrs.define(eq=False)
class Handover:
    """Sends the own answers to a successor, or takes over another's."""

    core: core_lib.Core
    peer_calls: peercalls.PeerCalls

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    async def send(self) -> str:
        """Hands everything to the successor.

        Returns:
            The peer that took all of it; empty if none did.
        """
        for _ in range(TRIES):
            successor = membership.choose_successor(self._tables)
            if not successor:
                return ""
            if await self._send_to(successor):
                return successor
            self._tables.peers[successor].heard_at = 0.0
        return ""

    async def _send_to(self, successor: str) -> bool:
        pool = self.peer_calls.pool(successor)
        count = 0
        for call in self._calls():
            try:
                with trio.fail_after(CALL_TIMEOUT_S):
                    await pool.call(call)
            except (errors.PeerError, trio.TooSlowError):
                return False
            count += len(call.answers)
        actions.log_event(
            self._tables,
            events.Event.HANDOVER_SENT,
            successor=successor,
            answers=count,
        )
        return True

    def _calls(self) -> list[messages.HandoverCall]:
        tables = self._tables
        kept = [_answer_of(k) for k in tables.kept.values()]
        stones = [
            messages.HandoverTombstone(key, stone.digest, stone.outcome)
            for epoch in tables.tombstones.values()
            for key, stone in epoch.items()
        ]
        result = []
        while kept or stones:
            result.append(
                messages.HandoverCall(
                    tables.my_id,
                    kept[:ANSWERS_PER_CALL],
                    stones[:TOMBSTONES_PER_CALL],
                    False,
                )
            )
            del kept[:ANSWERS_PER_CALL]
            del stones[:TOMBSTONES_PER_CALL]
        result.append(messages.HandoverCall(tables.my_id, [], [], True))
        return result

    def receive(self, sender: str, call: messages.HandoverCall) -> None:
        """Takes over answers of a stopping coordinator."""
        tables = self._tables
        if call.coordinator != sender:
            return
        adopted = tables.adopted.setdefault(sender, {})
        while len(tables.adopted) > ADOPTED_MAX:
            del tables.adopted[next(iter(tables.adopted))]
        for stone in call.tombstones:
            adopted[stone.key] = tables_lib.Tombstone(
                stone.digest, errors.Outcome(stone.outcome)
            )
        for kept in call.answers:
            submissions.keep(tables, _kept_of(kept))
        if call.is_last:
            actions.log_event(
                tables,
                events.Event.HANDOVER_RECEIVED,
                coordinator=sender,
                tombstones=len(adopted),
            )


def _answer_of(kept: tables_lib.KeptAnswer) -> messages.HandoverAnswer:
    return messages.HandoverAnswer(
        kept.team,
        kept.submission_id,
        kept.digest,
        kept.answer.status,
        kept.answer.outcome,
        kept.answer.code,
        kept.answer.body,
    )


def _kept_of(message: messages.HandoverAnswer) -> tables_lib.KeptAnswer:
    answer = tables_lib.JobAnswer(
        message.status,
        errors.Outcome(message.outcome),
        errors.Code(message.code),
        message.body,
    )
    return tables_lib.KeptAnswer(
        message.team, message.submission_id, message.digest, answer
    )
