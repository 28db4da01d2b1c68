"""Dispatchers with one rule broken on purpose, to show that the soak sees it.

    python -m acacialine.tools.mutants NAME dispatcher -c FILE

Each mutant replaces one function of the product in its own process.
"""

import sys

from acacialine import __main__ as main_lib
from acacialine import dispatcher
from acacialine import judge
from acacialine import ownership
from acacialine import placer
from acacialine import zoneadmission
from acacialine import zoneruns
from acacialine import zonetables

_CONSTANT_EPOCH = 1 << 50


def _equal_epochs() -> None:
    """All owners of a zone have the same epoch; servers can't tell them."""
    decide = ownership.Ownership.decide

    def mutated(self, now, wall_s, random_bits):
        role = decide(self, now, wall_s, random_bits)
        if role is ownership.Role.PLACER:
            self.epoch = self.highest_epoch = _CONSTANT_EPOCH
        return role

    ownership.Ownership.decide = mutated


def _judge_as_if(name: str, value: bool) -> None:
    """Makes servers usable whatever one of their attributes says."""
    is_usable = judge.is_usable

    def mutated(server, now):
        kept = getattr(server, name)
        setattr(server, name, value)
        try:
            return is_usable(server, now)
        finally:
            setattr(server, name, kept)

    judge.is_usable = mutated


def _no_list_at_takeover() -> None:
    """An owner starts tasks before it knows what its servers run."""
    _judge_as_if("listed", True)
    zoneruns.has_unclaimed = lambda server: False
    zoneruns.Runs.are_known = property(lambda self: True)


def _unanswered_starts_free() -> None:
    """A start without an answer gives its room and its task back at once."""

    def mutated(self, run, now):
        self._run_ended(run, zonetables.EndKind.LOST, now)

    zoneruns.Runs._doubt = mutated


def _no_attaching() -> None:
    """The same job again is taken for another one."""
    submit = placer.Placer.submit

    def mutated(self, submission, origin, now):
        self.tables.jobs.pop(submission.job_id, None)
        self.tables.recent.pop(submission.job_id, None)
        self.tables.live_runs.clear()
        submit(self, submission, origin, now)

    placer.Placer.submit = mutated


def _no_draining() -> None:
    """Servers that leave get new tasks."""
    _judge_as_if("draining", False)


def _false_refusals() -> None:
    """A job that is given up after a start is answered as not run."""

    def mutated(self, job, reason, now):
        outlook = placer.schedule.new_outlook(self.tables, job, now)
        self._refuse(job, reason, outlook, now)

    placer.Placer._fail = mutated
    zoneadmission.Admission.latest_end = lambda self, job, fullness: 0.0
    give_up = placer.Placer._give_up

    def eager(self, now):
        for job in list(self.tables.jobs.values()):
            if now - job.arrived_at > 0.3:
                self._fail(job, "overloaded", now)
        give_up(self, now)

    placer.Placer._give_up = eager


def _abrupt_stops() -> None:
    """A planned stop waits for nothing."""

    async def mutated(self):
        return None

    dispatcher.Dispatcher._stop_in_order = mutated


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
