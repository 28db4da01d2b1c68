"""Runs that were lost with their backend servers, counted by task.

A task may crash each backend server that starts it. What is known of its losses
outlives its runs and its placer: it is shared with the other candidates of the
zone and with the placers of the other zones, as clients may send the job again
to any of them.
"""

import attrs

MAX_CRASHES = 2  # a task under which so many servers crashed is given up
# The same for servers that crashed before they answered its start: one of these
# alone proves nothing, as the start may have been lost.
MAX_UNCERTAIN_CRASHES = 4
RETENTION_S = 60.0  # clients send a job again within seconds
MAX_JOBS = 10_000  # those with the oldest losses are dropped


@attrs.frozen
class TaskLosses:
    """How often the backend server of a task has crashed.

    Attributes:
        crashes: While the task certainly ran.
        uncertain: While its start had no response.
    """

    crashes: int = 0
    uncertain: int = 0

    @property
    def is_given_up(self) -> bool:
        """Whether the task must not start any more."""
        return (
            self.crashes >= MAX_CRASHES
            or self.crashes + self.uncertain >= MAX_UNCERTAIN_CRASHES
        )

    def change(self, is_certain: bool, by: int) -> "TaskLosses":
        """Returns the losses with one kind of crashes more or fewer."""
        if is_certain:
            return attrs.evolve(self, crashes=max(0, self.crashes + by))
        return attrs.evolve(self, uncertain=max(0, self.uncertain + by))

    def merge(self, other: "TaskLosses") -> "TaskLosses":
        """Returns what two placers know together."""
        return TaskLosses(
            max(self.crashes, other.crashes),
            max(self.uncertain, other.uncertain),
        )


NO_LOSSES = TaskLosses()


@attrs.define(eq=False)
class _JobLosses:
    """Losses of the tasks of one job, by index."""

    tasks: dict[int, TaskLosses] = attrs.field(factory=dict)
    changed_at: float = 0.0


@attrs.define(eq=False)
class LossTable:
    """Losses of recent jobs, in the order of their last change."""

    _jobs: dict[str, _JobLosses] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Returns the number of jobs with losses."""
        return len(self._jobs)

    def get(self, job_id: str, index: int) -> TaskLosses:
        """Returns the losses of a task."""
        job = self._jobs.get(job_id)
        return job.tasks.get(index, NO_LOSSES) if job else NO_LOSSES

    def is_suspect(self, job_id: str, index: int) -> bool:
        """Returns whether a backend server crashed while it ran a task."""
        return self.get(job_id, index).crashes > 0

    def is_given_up(self, job_id: str) -> bool:
        """Returns whether a task of a job is given up."""
        job = self._jobs.get(job_id)
        return bool(job) and any(t.is_given_up for t in job.tasks.values())

    def add(
        self, job_id: str, index: int, is_certain: bool, now: float
    ) -> TaskLosses:
        """Counts the crash of a server; returns the losses of the task."""
        counted = self.get(job_id, index).change(is_certain, 1)
        return self._replace(job_id, index, counted, now)

    def retract(
        self, job_id: str, index: int, is_certain: bool, now: float
    ) -> None:
        """Counts a crash no longer, as the server has not crashed."""
        left = self.get(job_id, index).change(is_certain, -1)
        self._replace(job_id, index, left, now)

    def merge(
        self, job_id: str, index: int, losses: TaskLosses, now: float
    ) -> None:
        """Adds what another placer knows of a task."""
        known = self.get(job_id, index)
        self._replace(job_id, index, known.merge(losses), now)

    def _replace(
        self, job_id: str, index: int, losses: TaskLosses, now: float
    ) -> TaskLosses:
        # Removed first, so that the table stays in the order of the changes.
        job = self._jobs.pop(job_id, None) or _JobLosses()
        job.tasks[index] = losses
        job.changed_at = now
        self._jobs[job_id] = job
        while len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return losses

    def drop_expired(self, now: float) -> None:
        """Removes the jobs without a loss for RETENTION_S."""
        while self._jobs:
            job_id = next(iter(self._jobs))
            if now - self._jobs[job_id].changed_at < RETENTION_S:
                return
            del self._jobs[job_id]
