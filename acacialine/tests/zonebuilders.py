"""Builders of test data for the placer and its backend servers."""

import attrs

from acacialine import leases
from acacialine import orders
from acacialine import placer as placer_lib
from acacialine import resources
from acacialine import zonetables

LEASE_TIMES = leases.LeaseTimes(1.0)


def queue(**changes) -> zonetables.Queue:
    """Returns a queue of short tasks."""
    default = zonetables.Queue("gate-check", "closure-desk", 0, 2, 1.6, 0.06)
    return attrs.evolve(default, **changes)


def step(count: int = 2, cpu: int = 7000, estimate_s: float = 0.1, **changes):
    """Returns a step of `count` identical tasks."""
    demand = resources.Resources(cpu, 64, 0)
    return zonetables.Step(count, demand, estimate_s, **changes)


def submission(job_id: str = "00000000000000aa", **changes):
    """Returns a job of two tasks as a dispatcher submits it."""
    default = placer_lib.Submission(job_id, queue(), "spec", step(), 0.0, 2.0)
    return attrs.evolve(default, **changes)


def server(server_id: str = "i-1", cpu: int = 16000, **changes):
    """Returns a backend server as the store announces it."""
    default = zonetables.Server(
        server_id,
        ("10.1.0.1", 8000),
        "zone-a",
        "closure-desk",
        resources.Resources(cpu, 32768, 0),
    )
    return attrs.evolve(default, **changes)


def placer(*servers: zonetables.Server, now: float = 0.0):
    """Returns a placer that has polled its servers, all of them idle."""
    built = placer_lib.new_placer("zone-a", 0.3, now)
    built.runs.apply_servers(list(servers) or [server()], now)
    for polled in built.tables.servers.values():
        poll_idle(built, polled, now)
    built.take_orders()
    return built


def poll_idle(built: placer_lib.Placer, polled: zonetables.Server, now: float):
    """Applies a poll of a backend server that runs nothing."""
    result = orders.PollResult(1, 1000 + round(now * 1000), (), ())
    built.runs.apply_poll(polled, result, now, now)


class ServerObserver:
    """Records what a client of a backend server reports."""

    def __init__(self):
        self.outcomes = []
        self.stops = []
        self.polls = []
        self.poll_errors = []
        self.fenced = []
        self.listing_errors = []

    def may_extend_leases(self):
        return True

    def handle_start_outcome(self, run, outcome):
        self.outcomes.append((run, outcome))

    def handle_stop_outcome(self, run, confirmed):
        self.stops.append((run, confirmed))

    def handle_unanswered_stop(self, run):
        self.stops.append((run, False))

    def handle_poll_result(self, server, result, sent_at):
        self.polls.append(result)

    def handle_fenced(self, server):
        self.fenced.append(server)

    def handle_poll_end(self, server, error):
        self.poll_errors.append(error)

    def handle_listing_end(self, server, sent_at, error):
        self.listing_errors.append(error)


def starts(new_orders: list) -> list[zonetables.Run]:
    """Returns the runs of the start orders."""
    return [o.run for o in new_orders if isinstance(o, orders.StartRun)]


def stops(new_orders: list) -> list[zonetables.Run]:
    """Returns the runs of the stop orders."""
    return [o.run for o in new_orders if isinstance(o, orders.StopRun)]


def answers(new_orders: list) -> list[orders.AnswerJob]:
    """Returns the orders that answer a job."""
    return [o for o in new_orders if isinstance(o, orders.AnswerJob)]


def announced(new_orders: list) -> list[str]:
    """Returns the ids of the jobs that all zones are told of."""
    return [o.job_id for o in new_orders if isinstance(o, orders.AnnounceJob)]


def logged(new_orders: list) -> list[tuple]:
    """Returns the logged events with their fields."""
    return [
        (o.event, o.fields)
        for o in new_orders
        if isinstance(o, orders.LogDecision)
    ]
