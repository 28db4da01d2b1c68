"""Runs a dispatcher with one rule broken, to show that the soak detects it.

    python -m acacialine.tools.mutants NAME dispatcher -c FILE

Each mutant patches functions of acacialine in its own process.
"""

import sys

from acacialine import __main__ as main_lib
from acacialine import dispatcher
from acacialine import doubtfulruns
from acacialine import ownership
from acacialine import placer
from acacialine import serverhealth
from acacialine import zoneadmission
from acacialine import zoneruns
from acacialine import zonetables

_CONSTANT_EPOCH = 1 << 50


def _equal_epochs() -> None:
    """Gives all owners of a zone one epoch, so that servers fence none."""
    original = ownership.Ownership.decide

    def mutated(self, now, wall_s, random_bits):
        role = original(self, now, wall_s, random_bits)
        if role is ownership.Role.PLACER:
            self.epoch = self.highest_epoch = _CONSTANT_EPOCH
        return role

    ownership.Ownership.decide = mutated


def _override_in_is_usable(attribute: str, value: bool) -> None:
    """Makes `serverhealth.is_usable` see a fixed value of an attribute."""
    original = serverhealth.is_usable

    def mutated(server, now):
        original_value = getattr(server, attribute)
        setattr(server, attribute, value)
        try:
            return original(server, now)
        finally:
            setattr(server, attribute, original_value)

    serverhealth.is_usable = mutated


def _no_list_at_takeover() -> None:
    """Lets a new owner start tasks before it knows what its servers run."""
    _override_in_is_usable("runs_listed", True)
    zoneruns.has_unclaimed_runs = lambda server: False
    zoneruns.Runs.all_runs_known = property(lambda self: True)


def _unanswered_starts_free() -> None:
    """Frees the capacity and the task of an unanswered start at once."""

    def mutated(self, run, now):
        self._end_run(run, zonetables.EndKind.LOST, now)

    doubtfulruns.DoubtfulRuns.handle_unanswered_start = mutated


def _no_attaching() -> None:
    """Runs a resent job again instead of attaching to the running one."""
    original = placer.Placer.submit

    def mutated(self, submission, origin, now):
        self.tables.jobs.pop(submission.job_id, None)
        self.tables.ended_jobs.pop(submission.job_id, None)
        self.tables.live_runs.clear()
        original(self, submission, origin, now)

    placer.Placer.submit = mutated


def _no_draining() -> None:
    """Starts new tasks on draining servers."""
    _override_in_is_usable("draining", False)


def _false_refusals() -> None:
    """Answers jobs that are given up after a start as not run."""

    def mutated(self, job, reason, now):
        forecast = placer.schedule.new_forecast(self.tables, job, now)
        self._refuse_job(job, reason, forecast, now)

    placer.Placer._fail_job = mutated
    zoneadmission.Admission.latest_end = lambda self, job, fullness: 0.0
    original = placer.Placer._end_overdue_jobs

    def mutated_give_up(self, now):
        for job in list(self.tables.jobs.values()):
            if now - job.arrived_at > 0.3:
                self._fail_job(job, "overloaded", now)
        original(self, now)

    placer.Placer._end_overdue_jobs = mutated_give_up


def _abrupt_stops() -> None:
    """Stops a dispatcher without waiting for its requests."""

    async def mutated(self):
        return None

    dispatcher.Dispatcher._shut_down = mutated


MUTANTS = {
    "equal-epochs": _equal_epochs,
    "no-list-at-takeover": _no_list_at_takeover,
    "unanswered-starts-free": _unanswered_starts_free,
    "no-attaching": _no_attaching,
    "no-draining": _no_draining,
    "false-refusals": _false_refusals,
    "abrupt-stops": _abrupt_stops,
}

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    main_lib.main()
