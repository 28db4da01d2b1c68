"""Exchanges the summaries of `zonebalance` between dispatchers.

The placer of a zone sends its summary to the placers of the other zones, since
bytes between zones are priced, and each placer passes those on to the
dispatchers of its own zone.
"""

import math

import attrs

from acacialine import clock
from acacialine import errors
from acacialine import events
from acacialine import messages
from acacialine import peering
from acacialine import zonebalance
from acacialine import zonetables

MAX_AGE_MS = 60_000  # of a received summary


@attrs.define(eq=False)
class SummaryExchange:
    """The summaries that one dispatcher sends and has received.

    Uses `evacuation_relay`, `hub`, `intake`, `log`, `meters`, `placer_host`,
    `settings`, `store_reader` and `zone` of its dispatcher.

    Attributes:
        balancer: Chooses zones by the summaries.
    """

    _dispatcher: object
    balancer: zonebalance.Balancer = attrs.field(init=False)
    _summarizer: zonebalance.Summarizer | None = None
    _pressed_since: float | None = None

    def __attrs_post_init__(self):
        self.balancer = zonebalance.Balancer(self._dispatcher.zone)

    def tick(self, now: float) -> None:
        """Sends a summary if this dispatcher is the placer and one is due."""
        dispatcher = self._dispatcher
        if not dispatcher.settings.placement.balance_zones:
            dispatcher.intake.balancer = None
            return
        dispatcher.intake.balancer = self.balancer
        host = dispatcher.placer_host
        if host is None:
            self._summarizer = self._pressed_since = None
            return
        if self._summarizer is None or self._summarizer.epoch != host.epoch:
            self._summarizer = zonebalance.Summarizer(
                dispatcher.zone, host.epoch
            )
        summary = self._summarizer.update(
            host.placer.tables,
            self.balancer.is_peer_pressed(now),
            dispatcher.zone in dispatcher.evacuation_relay.state.zones,
            now,
        )
        self._log_pressure(now)
        if summary is not None:
            self._send(summary, now)

    def _log_pressure(self, now: float) -> None:
        """Logs when the pressure on the zone begins and ends."""
        is_pressed = self._summarizer.is_pressed
        if is_pressed and self._pressed_since is None:
            self._pressed_since = now
            self._dispatcher.log(
                events.Event.ZONE_PRESSED, zone=self._dispatcher.zone
            )
        elif not is_pressed and self._pressed_since is not None:
            self._dispatcher.log(
                events.Event.ZONE_RELIEVED,
                zone=self._dispatcher.zone,
                pressed_ms=zonetables.milliseconds(now - self._pressed_since),
            )
            self._pressed_since = None

    def _send(self, summary: zonebalance.Summary, now: float) -> None:
        """Sends the own summary to other placers and to the own zone."""
        dispatcher = self._dispatcher
        self._record(summary)
        frame = peering.encode_frame(encode_summary(summary, now))
        receivers = 0
        for link in dispatcher.hub.dialled_links.values():
            if (
                link.is_open
                and link.heartbeat.claim
                and link.heartbeat.zone != dispatcher.zone
            ):
                link.post_frame(frame)
                receivers += 1
        meter = dispatcher.meters.summary_bytes
        meter.labels("other_zones").inc(receivers * len(frame))
        self._send_within_zone(frame)

    def _send_within_zone(self, frame: bytes) -> None:
        dispatcher = self._dispatcher
        receivers = dispatcher.hub.post_to_accepted(dispatcher.zone, frame)
        meter = dispatcher.meters.summary_bytes
        meter.labels("own_zone").inc(receivers * len(frame))

    def receive(self, message: messages.ZoneSummary) -> None:
        """Records a summary; the placer passes those of other zones on.

        Raises:
            errors.PeerError: A number is out of its range.
        """
        dispatcher = self._dispatcher
        now = clock.now()
        summary = decode_summary(message, now)
        was_peer_pressed = self.balancer.is_peer_pressed(now)
        is_newer = self._record(summary)
        if not was_peer_pressed and self.balancer.is_peer_pressed(now):
            dispatcher.wake()  # the own summary is due at once
        if (
            is_newer
            and dispatcher.placer_host is not None
            and dispatcher.settings.placement.balance_zones
            and summary.zone != dispatcher.zone
        ):
            self._send_within_zone(
                peering.encode_frame(encode_summary(summary, now))
            )

    def _record(self, summary: zonebalance.Summary) -> bool:
        records = self._dispatcher.store_reader.directory.records.values()
        sharers = sum(r.zone == self._dispatcher.zone for r in records)
        self.balancer.sharers = max(1, sharers)
        return self.balancer.record(summary)


def encode_summary(
    summary: zonebalance.Summary, now: float
) -> messages.ZoneSummary:
    """Returns the message that contains a summary."""
    return messages.ZoneSummary(
        summary.zone,
        summary.epoch,
        summary.version,
        min(zonetables.milliseconds(now - summary.made_at), MAX_AGE_MS),
        summary.is_pressed,
        summary.is_full,
        [
            messages.ServiceSummary(
                service.name,
                service.largest_cpu,
                list(service.holes),
                list(service.soon_cpu),
                list(service.waiting_cpu),
                service.waiting_core_s,
                service.usable_cpu,
                service.slowness,
                service.task_cpu,
            )
            for service in summary.services.values()
        ],
    )


def decode_summary(
    message: messages.ZoneSummary, now: float
) -> zonebalance.Summary:
    """Returns the summary that a message contains.

    Raises:
        errors.PeerError: A number is out of its range, or a list of numbers
            has a wrong length.
    """
    if (
        message.age_ms > MAX_AGE_MS
        or len(message.services) > zonebalance.MAX_SERVICES
        or not all(_is_valid(service) for service in message.services)
    ):
        raise errors.PeerError(
            f"summary of {message.zone!r} has a number out of range"
        )
    return zonebalance.Summary(
        message.zone,
        message.epoch,
        message.version,
        now - message.age_ms / 1000,
        message.is_pressed,
        message.is_full,
        {
            service.name: zonebalance.ServiceSummary(
                service.name,
                service.largest_cpu,
                tuple(service.holes),
                tuple(service.soon_cpu),
                tuple(service.waiting_cpu),
                service.waiting_core_s,
                service.usable_cpu,
                service.slowness,
                service.task_cpu,
            )
            for service in message.services
        },
    )


def _is_valid(service: messages.ServiceSummary) -> bool:
    horizons = len(zonebalance.HORIZONS_S)
    numbers = [
        service.largest_cpu,
        service.usable_cpu,
        service.task_cpu,
        *service.soon_cpu,
        *service.waiting_cpu,
    ]
    return (
        len(service.holes) == zonebalance.HOLE_STEPS + 1
        and len(service.soon_cpu) == horizons
        and len(service.waiting_cpu) == horizons + 1
        and service.soon_cpu == sorted(service.soon_cpu)
        and all(0 <= number <= zonebalance.MAX_CPU for number in numbers)
        and 0 <= service.waiting_core_s <= zonebalance.MAX_CPU
        and math.isfinite(service.slowness)
        and 0 < service.slowness <= zonebalance.MAX_CPU
    )
