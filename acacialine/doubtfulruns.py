"""Runs whose state is in doubt, as an order for them got no response.

A start without a response may be carried out at any time. Its run is stopped at
once; a listing that was requested after the confirmed stop shows whether it has
started: a run that is being stopped is listed until its end is. If it is not
listed, the backend server rejects the start from now on by the number of the
run, so its capacity and its task are free. Without such proof they are occupied
until the server has certainly killed the run, after the end of its lease.
"""

import collections.abc

import attrs

from acacialine import events
from acacialine import orders as orders_lib
from acacialine import schedule
from acacialine import zonetables

# Stops without a response that are repeated at once, each on another
# connection; later ones follow at STOP_RETRY_S.
QUICK_STOPS = 4
STOP_RETRY_S = 0.15  # delay before an unconfirmed stop is sent again
# A stop that fails sooner had no connection; it waits for STOP_RETRY_S.
MIN_STOP_WAIT_S = 0.01
# Assumed time after which an order without a response has no effect any more;
# the platform names no bound.
MAX_ORDER_DELAY_S = 13.0
REPORT_INTERVAL_S = 1.0  # between log lines about the capacity in doubt
# Runs in doubt for less are not reported: a stop and a listing take less.
REPORT_AGE_S = 0.2
# While polls are lost, a run is listed this long after its expected end, and
# again after this share of the time for which it is overdue.
OVERDUE_LISTING_S = 0.015
OVERDUE_LISTING_SHARE = 0.25


@attrs.define(eq=False)
class DoubtfulRuns:
    """Stops runs until their end is known; used by `zoneruns.Runs`."""

    _tables: zonetables.ZoneTables
    _emit: collections.abc.Callable[[orders_lib.Order], None]
    _end_run: collections.abc.Callable[
        [zonetables.Run, zonetables.EndKind, float], None
    ]
    _reported_at: float = -1e9

    def order_stop(self, run: zonetables.Run, now: float) -> None:
        """Orders the stop of a run, or prevents its start."""
        run.stop_sent_at = now
        run.stop_count += 1
        run.server.version += 1
        self._emit(orders_lib.StopRun(run))

    def handle_unanswered_start(self, run: zonetables.Run, now: float) -> None:
        """Stops a run whose start got no response: it may still begin."""
        if run.confirmed_at is not None:
            run.settle()  # a poll has listed it
            return
        self._log(
            events.Event.ZONE_RUN_DOUBTFUL,
            task=run.key,
            run=run.number,
            server=run.server.id,
            waited_ms=zonetables.milliseconds(now - run.sent_at),
        )
        self._tables.counters["runs_doubtful"] += 1
        run.unanswered_at = now
        run.state = zonetables.RunState.DOUBTFUL
        self.order_stop(run, now)

    def handle_unanswered_stop(self, run: zonetables.Run, now: float) -> None:
        """Repeats a stop that got no response, a few times at once."""
        if (
            run.stop_count < QUICK_STOPS
            and now - run.stop_sent_at >= MIN_STOP_WAIT_S
        ):
            self.order_stop(run, now)

    def retry_stop(self, run: zonetables.Run, now: float) -> None:
        """Repeats a stop that is still unconfirmed after STOP_RETRY_S."""
        if (
            run.stop_confirmed_at is None
            and now - run.stop_sent_at > STOP_RETRY_S
        ):
            self.order_stop(run, now)

    def hold_late_start(self, run: zonetables.Run, now: float) -> None:
        """Stops a run of an earlier incarnation that may start in this one."""
        run.state = zonetables.RunState.DOUBTFUL
        run.stop_confirmed_at = None
        run.stop_count = 0
        # The end of its lease is a time on the clock of that incarnation.
        run.not_after = run.sent_at + MAX_ORDER_DELAY_S
        self.order_stop(run, now)

    def hold_late_starts(self, server: zonetables.Server, now: float) -> None:
        """Holds the runs of a restarted server that may start in this life.

        All others have ended with the earlier incarnation.
        """
        for run in list(server.runs.values()):
            if run.may_start_late:
                self.hold_late_start(run, now)
            else:
                self._end_run(run, zonetables.EndKind.CRASHED, now)
        drop_late_starts(server, now)
        for run in server.late_starts.values():
            run.detach(now)
            self._tables.add_run(run)
            self.hold_late_start(run, now)
        server.late_starts.clear()

    def record_end(
        self, run: zonetables.Run, kind: zonetables.EndKind, now: float
    ) -> None:
        """Records the end of any run; logs that of a run in doubt."""
        if run.unanswered_at is not None:
            self._log(
                events.Event.ZONE_RUN_RESOLVED,
                task=run.key,
                run=run.number,
                server=run.server.id,
                how=kind.value,
                started=int(run.confirmed_at is not None),
                stops=run.stop_count,
                doubtful_ms=zonetables.milliseconds(now - run.unanswered_at),
            )
        is_unlisted = kind in (
            zonetables.EndKind.LOST,
            zonetables.EndKind.EXPIRED,
        )
        if is_unlisted and run.may_start_late:
            # Its incarnation refuses the start; a later one would not.
            drop_late_starts(run.server, now)
            run.server.late_starts[run.id] = run

    def report(self, now: float) -> None:
        """Logs the capacity that has been in doubt for long, at intervals."""
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        in_doubt = [
            run
            for server in self._tables.servers.values()
            for run in server.runs.values()
            if run.state == zonetables.RunState.DOUBTFUL
            and run.unanswered_at is not None
            and now - run.unanswered_at >= REPORT_AGE_S
        ]
        if not in_doubt:
            return
        self._reported_at = now
        self._log(
            events.Event.ZONE_CAPACITY_IN_DOUBT,
            tasks=len(in_doubt),
            cpu_millicores=sum(run.demand.cpu for run in in_doubt),
            servers=len({run.server.id for run in in_doubt}),
            oldest_ms=zonetables.milliseconds(
                now - min(run.unanswered_at for run in in_doubt)
            ),
        )

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))


def measure(tables: zonetables.ZoneTables) -> tuple[int, int]:
    """Returns the number of runs in doubt and their CPU in millicores."""
    count = cpu = 0
    for server in tables.servers.values():
        for run in server.runs.values():
            if run.state == zonetables.RunState.DOUBTFUL:
                count += 1
                cpu += run.demand.cpu
    return count, cpu


def needs_listing(server: zonetables.Server, listed_at: float) -> bool:
    """Returns whether a listing would show the fate of a run in doubt.

    Args:
        server: The server of the run.
        listed_at: When the newest listing that is in flight was sent.
    """
    return any(
        run.state == zonetables.RunState.DOUBTFUL
        and run.confirmed_at is None
        and run.stop_confirmed_at is not None
        and run.stop_confirmed_at > listed_at
        for run in server.runs.values()
    )


def may_have_missed_end(server: zonetables.Server, now: float) -> bool:
    """Returns whether the end of a run may be missed, as a poll was lost."""
    for run in server.runs.values():
        if run.state != zonetables.RunState.RUNNING or run.job is None:
            continue
        expected_end = schedule.undelayed_end(run)
        overdue_s = now - expected_end
        if overdue_s < OVERDUE_LISTING_S:
            continue
        unseen_s = now - max(run.seen_at, expected_end)
        if unseen_s >= max(
            OVERDUE_LISTING_S, overdue_s * OVERDUE_LISTING_SHARE
        ):
            return True
    return False


def may_run_tasks(server: zonetables.Server, now: float) -> bool:
    """Returns whether a server runs tasks or may start some late."""
    return bool(server.runs) or any(
        now < run.sent_at + MAX_ORDER_DELAY_S
        for run in server.late_starts.values()
    )


def drop_late_starts(server: zonetables.Server, now: float) -> None:
    """Forgets the starts that have no effect any more, oldest first."""
    while server.late_starts:
        run_id, run = next(iter(server.late_starts.items()))
        if now < run.sent_at + MAX_ORDER_DELAY_S:
            return
        del server.late_starts[run_id]


def has_ended(run: zonetables.Run, polled_at: float) -> bool:
    """Returns whether a run missing from a listing has certainly ended.

    A listing that was requested after the response to the stop shows the state
    after the stop, whatever overtakes what: the run is listed as running until
    its end is listed, or its start is rejected from now on.

    Args:
        run: A run of a polled server that the response does not list.
        polled_at: When the poll was sent.
    """
    if run.state == zonetables.RunState.STARTING:
        return False
    if run.state == zonetables.RunState.DOUBTFUL:
        stop_confirmed_at = run.stop_confirmed_at
        if stop_confirmed_at is not None and stop_confirmed_at <= polled_at:
            return True
        return polled_at > run.not_after
    return run.confirmed_at is not None and run.confirmed_at < polled_at
