"""Prometheus metrics of a dispatcher, served as text at /metrics."""

import prometheus_client
from prometheus_client import exposition

from acacialine import clientlimits
from acacialine import clock
from acacialine import events
from acacialine import httpserver

# The text is encoded at most this often, since that takes several ms.
TEXT_MAX_AGE_S = 0.2

# Upper bounds from below a task of 50 ms to beyond a client's timeout.
_LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class PrometheusMetrics:
    """The metrics of one process, described in docs/OPERATIONS.md."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._event_counters: dict[events.Event, prometheus_client.Counter] = {}
        self.answers = self._counter(
            "acacialine_answers", "Answers to callers.", ("queue", "status")
        )
        self.refusals = self._counter(
            "acacialine_refusals", "Jobs answered as not run.", ("reason",)
        )
        self.events = self._counter(
            "acacialine_events", "Numbered events.", ("event",)
        )
        self.answer_seconds = self._histogram(
            "acacialine_answer_seconds", "Time to the answer.", ("queue",)
        )
        self.first_start_seconds = self._histogram(
            "acacialine_first_start_seconds",
            "Time from a job's arrival to its first start.",
            ("queue",),
        )
        self.runs_ended = self._counter(
            "acacialine_runs_ended", "Runs by how they ended.", ("how",)
        )
        self.contention = self._counter(
            "acacialine_contention",
            "Decisions of the placer under contention.",
            ("decision",),
        )
        self.share_credit = self._gauge(
            "acacialine_share_credit_core_seconds",
            "Work that a zone of clients or a queue may start beyond its rate.",
            ("zone", "queue"),
        )
        self.store_calls = self._counter(
            "acacialine_store_calls",
            "Calls to the platform's store.",
            ("call", "outcome"),
        )
        self.loop_lag_seconds = self._histogram(
            "acacialine_loop_lag_seconds", "Lateness of the loop.", ()
        )
        self.log_dropped = self._gauge(
            "acacialine_log_dropped", "Log lines dropped so far.", ()
        )
        self.epoch = self._gauge(
            "acacialine_epoch", "Epoch of the own claim; 0 without.", ()
        )
        self.servers = self._gauge(
            "acacialine_servers", "Backend servers by state.", ("state",)
        )
        self.server_cpu_millicores = self._gauge(
            "acacialine_cpu_millicores", "Processors of servers.", ("state",)
        )
        self.open_jobs = self._gauge(
            "acacialine_jobs_open", "Jobs at this placer.", ()
        )
        self.open_runs = self._gauge(
            "acacialine_runs_open",
            "Runs on the backend servers of this placer.",
            (),
        )
        self.evacuated = self._gauge(
            "acacialine_zone_evacuated",
            "Whether a zone is evacuated, as far as known here.",
            ("zone",),
        )
        self.moved_jobs = self._counter(
            "acacialine_jobs_moved",
            "Jobs sent to a zone instead of another one.",
            ("zone", "reason"),
        )
        self.summary_age_seconds = self._histogram(
            "acacialine_summary_age_seconds",
            "Age of the summaries by which jobs were moved.",
            (),
        )
        self.summary_bytes = self._counter(
            "acacialine_summary_bytes",
            "Bytes of summaries sent to other zones or in the own one.",
            ("scope",),
        )
        self.silent_runs = self._gauge(
            "acacialine_silent_runs",
            "Runs on backend servers that do not answer polls.",
            (),
        )
        self.unattended_jobs = self._gauge(
            "acacialine_unattended_jobs",
            "Jobs that keep the leases of their servers short.",
            (),
        )
        self.lingering_runs = self._gauge(
            "acacialine_lingering_runs",
            "Runs without a job that have not ended.",
            (),
        )

        self.doubtful_runs = self._gauge(
            "acacialine_doubtful_runs",
            "Runs of which it is not known whether they have started.",
            (),
        )
        self.doubtful_cpu_millicores = self._gauge(
            "acacialine_doubtful_cpu_millicores",
            "Processors that such runs may occupy.",
            (),
        )
        self.job_fates = self._gauge(
            "acacialine_job_fates", "Ended jobs that are remembered.", ()
        )
        self.fates_sent = self._counter(
            "acacialine_fates_sent",
            "Ends of jobs that the placer sent to others.",
            ("to",),
        )
        self.client_connections = self._gauge(
            "acacialine_client_connections",
            "Open connections of clients.",
            ("address",),
        )
        self.client_held_bytes = self._gauge(
            "acacialine_client_held_bytes",
            "Memory charged to connections of clients.",
            ("address",),
        )
        self.client_refusals = self._counter(
            "acacialine_client_refusals",
            "Connections closed and requests refused by limits on clients.",
            ("address", "cause"),
        )
        self._counted_refusals: dict[tuple[str, str], int] = {}
        self._text = b""
        self._text_at = -1e9

    def update_budget(self, address: str, budget: clientlimits.Budget) -> None:
        """Updates what the clients of an address hold and were refused."""
        self.client_connections.labels(address).set(len(budget.accounts))
        self.client_held_bytes.labels(address).set(budget.held_bytes)
        for cause, count in budget.counts.items():
            key = (address, cause.value)
            increase = count - self._counted_refusals.get(key, 0)
            if increase:
                self._counted_refusals[key] = count
                self.client_refusals.labels(*key).inc(increase)

    def count_event(self, event: events.Event) -> None:
        """Counts a numbered event."""
        counter = self._event_counters.get(event)
        if counter is None:
            counter = self.events.labels(event.name.lower())
            self._event_counters[event] = counter
        counter.inc()

    def _counter(self, name: str, help_text: str, labels: tuple):
        return prometheus_client.Counter(
            name, help_text, labels, registry=self.registry
        )

    def _gauge(self, name: str, help_text: str, labels: tuple):
        return prometheus_client.Gauge(
            name, help_text, labels, registry=self.registry
        )

    def _histogram(self, name: str, help_text: str, labels: tuple):
        return prometheus_client.Histogram(
            name,
            help_text,
            labels,
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def handle(self, exchange: httpserver.Exchange) -> None:
        """Serves the metrics at /metrics."""
        if exchange.request.path != "/metrics":
            exchange.answer(404)
            return
        now = clock.now()
        if now - self._text_at > TEXT_MAX_AGE_S:
            self._text = exposition.generate_latest(self.registry)
            self._text_at = now
        content_type = exposition.CONTENT_TYPE_LATEST.encode()
        exchange.answer(200, self._text, ((b"content-type", content_type),))
