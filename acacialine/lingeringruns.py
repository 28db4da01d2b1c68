"""Runs that go on without a job, and the zones that are told of them."""

import collections.abc

import attrs

from acacialine import events
from acacialine import orders as orders_lib
from acacialine import zonetables

# A run lingers that had no job for this long: a stop and its answer take less.
LINGER_S = 0.1
# Interval of the announcements of a job with such runs; some are lost.
ANNOUNCE_INTERVAL_S = 0.3


@attrs.define(eq=False)
class LingeringRuns:
    """Logs and announces runs without a job; used by `zoneruns.Runs`."""

    _tables: zonetables.ZoneTables
    _emit: collections.abc.Callable[[orders_lib.Order], None]
    _announced_at: dict[str, float] = attrs.field(factory=dict)

    def check(self, run: zonetables.Run, now: float) -> None:
        """Announces and logs a run that has had no job for LINGER_S.

        Its job has ended, or an earlier owner of the zone had the job and was
        lost with the dispatcher that knew of it.
        """
        if run.detached_at is None or now - run.detached_at < LINGER_S:
            return
        self.announce(run.key.job_id, now)
        if run.is_lingering:
            return
        run.is_lingering = True
        server = run.server
        self._log(
            events.Event.ZONE_RUN_LINGERING,
            task=run.key,
            run=run.number,
            server=server.id,
            state=run.state.value,
            detached_ms=zonetables.milliseconds(now - run.detached_at),
            stop_confirmed=int(run.stop_confirmed_at is not None),
            lease_left_ms=zonetables.milliseconds(
                max(0.0, max(server.lease_until, run.not_after) - now)
            ),
            unclaimed=int(run.is_unclaimed),
            neighbours=sum(r.job is not None for r in server.runs.values()),
        )
        self._tables.counters["runs_lingering"] += 1

    def record_end(
        self, run: zonetables.Run, kind: zonetables.EndKind, now: float
    ) -> None:
        """Logs the end of a run that was lingering."""
        if run.is_lingering:
            self._log(
                events.Event.ZONE_RUN_GONE,
                task=run.key,
                run=run.number,
                server=run.server.id,
                how=kind.value,
                detached_ms=zonetables.milliseconds(now - run.detached_at),
            )

    def announce(self, job_id: str, now: float) -> None:
        """Tells all zones of a job whose runs may go on, from time to time."""
        if now - self._announced_at.get(job_id, -1e9) < ANNOUNCE_INTERVAL_S:
            return
        # Removed first, so that the table stays in the order of the times.
        self._announced_at.pop(job_id, None)
        self._announced_at[job_id] = now
        self._emit(orders_lib.AnnounceJob(job_id))

    def drop_expired(self, now: float) -> None:
        """Removes the times of announcements that no longer matter."""
        while self._announced_at:
            job_id = next(iter(self._announced_at))
            if now - self._announced_at[job_id] < ANNOUNCE_INTERVAL_S:
                return
            del self._announced_at[job_id]

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))
