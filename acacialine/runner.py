"""Runs start attempts: direct, relayed by a broker, or on a peer's behalf."""

import collections.abc

import attrs
import trio

from acacialine import actions
from acacialine import broker
from acacialine import clock
from acacialine import core as core_lib
from acacialine import events
from acacialine import messages
from acacialine import peercalls
from acacialine import slots
from acacialine import starter
from acacialine import tables as tables_lib

_UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN
_NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED


@attrs.define(eq=False)
class Runner:
    """Runs the start attempts of one entry, each in its own trio task.

    Attributes:
        wake: Makes the core tick soon.
        nursery: Runs the attempts; set before the first one.
    """

    core: core_lib.Core
    peer_calls: peercalls.PeerCalls
    wake: collections.abc.Callable[[], None]
    nursery: trio.Nursery | None = None
    _connections: dict[str, starter.BackendConnections] = attrs.field(
        factory=dict
    )
    _attempt_scopes: dict[tuple, trio.CancelScope] = attrs.field(factory=dict)
    _relay_scopes: dict[str, trio.CancelScope] = attrs.field(factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether any attempt is in flight."""
        return bool(self._attempt_scopes or self._relay_scopes)

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    def start(self, action: actions.StartTask) -> None:
        """Begins an attempt that the core has recorded."""
        scope = trio.CancelScope()
        self._attempt_scopes[(action.task, action.attempt)] = scope
        self.nursery.start_soon(self._run_attempt, action, scope)

    def stop(self, action: actions.StopTask) -> None:
        """Cancels an attempt whose answer is no longer needed."""
        scope = self._attempt_scopes.get((action.task, action.attempt))
        if scope:
            scope.cancel()
        actions.log_decision(
            self._tables,
            events.Event.TASK_STOPPED,
            task=action.task.task_id,
        )

    async def _run_attempt(
        self, action: actions.StartTask, scope: trio.CancelScope
    ) -> None:
        # The result if the attempt is cancelled.
        result = starter.Result(_UNKNOWN, reason="cancelled")
        try:
            with scope:
                result = await self._send_start(action)
        except Exception as error:  # noqa: BLE001
            # After an unexpected error the task may have started.
            result = starter.Result(_UNKNOWN, reason=repr(error))
        try:
            if scope.cancelled_caught:
                await self._stop_on_backend(action)
        finally:
            del self._attempt_scopes[(action.task, action.attempt)]
            self.core.finish_attempt(
                action,
                result.outcome,
                result.answer,
                result.reason,
                clock.now(),
            )
            self.wake()

    async def _send_start(self, action: actions.StartTask) -> starter.Result:
        task = action.task
        grant = action.grant
        if grant.relayed:
            return await self.peer_calls.relay(task, grant)
        connections = self._connections_to(grant.backend_id)
        if connections is None:
            return starter.Result(
                _NOT_STARTED, reason="backend server is no longer listed"
            )
        start = starter.Start(
            task.task_id,
            task.group.kind,
            task.payload,
            grant.use_until,
            task.job.deadline,
            grant.lease_until - clock.now(),
        )
        return await connections.start(start)

    def _connections_to(
        self, backend_id: str
    ) -> starter.BackendConnections | None:
        connections = self._connections.get(backend_id)
        if connections is None:
            backend = self._tables.backends.get(backend_id)
            if backend is None:
                return None
            limit = broker.connections_per_backend(self._tables)
            connections = starter.new_connections(backend, self._tables, limit)
            self._connections[backend_id] = connections
        return connections

    async def _stop_on_backend(self, action: actions.StartTask) -> None:
        """Stops a task on its backend server to free the slot."""
        task = action.task
        grant = action.grant
        if grant.relayed:
            await self.peer_calls.stop_relayed(task, grant)
            return
        connections = self._connections_to(grant.backend_id)
        if connections:
            await connections.stop(task.task_id)

    async def serve_relay(
        self, sender: str, call: messages.RelayCall
    ) -> messages.RelayReply:
        """Starts a task for a coordinator of another zone.

        The slot is marked as used before anything is sent, so that a grant
        has at most one relayed start in flight.
        """
        backend = slots.accept_relay(
            self._tables, sender, call.seq, call.backend_id
        )
        if backend is None:
            return messages.RelayReply(_NOT_STARTED, 0, "", "refused", b"")
        actions.log_decision(
            self._tables,
            events.Event.TASK_RELAYED,
            task=call.task_id,
            backend=call.backend_id,
            coordinator=sender,
        )
        connections = self._connections_to(call.backend_id)
        now = clock.now()
        start = starter.Start(
            call.task_id,
            call.kind,
            call.body,
            float("inf"),
            now + call.deadline_ms / 1000,
            call.lease_ms / 1000,
        )
        result = starter.Result(_UNKNOWN, reason="stopped")
        scope = trio.CancelScope()
        self._relay_scopes[call.task_id] = scope
        try:
            with scope:
                result = await connections.start(start)
        finally:
            del self._relay_scopes[call.task_id]
            slots.finish_relay(self._tables, call.seq, call.backend_id)
        if scope.cancelled_caught:
            await connections.stop(call.task_id)
        answer = result.answer or tables_lib.BackendAnswer(0, b"", "")
        return messages.RelayReply(
            result.outcome,
            answer.status,
            answer.content_type,
            result.reason,
            answer.body,
        )

    async def serve_stop(self, call: messages.StopCall) -> None:
        """Stops a relayed task for its coordinator."""
        scope = self._relay_scopes.get(call.task_id)
        if scope:
            scope.cancel()

    async def close_idle(self) -> None:
        """Closes idle connections; drops state of removed backend servers."""
        now = clock.now()
        for backend_id, connections in list(self._connections.items()):
            await connections.close_idle(now)
            is_removed = backend_id not in self._tables.backends
            if is_removed and connections.is_unused:
                del self._connections[backend_id]
