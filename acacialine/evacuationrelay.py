"""Applies which zones are evacuated, and relays it between dispatchers."""

import math

import attrs

from acacialine import clock
from acacialine import errors
from acacialine import evacuation
from acacialine import events
from acacialine import messages
from acacialine import zonetables


@attrs.define(eq=False)
class EvacuationRelay:
    """The evacuated zones as one dispatcher knows and tells them.

    Uses `hub`, `intake`, `log`, `meters`, `placer_host`, `settings`, `wake` and
    `zone` of its dispatcher.

    Attributes:
        state: The evacuated zones, from the store and from peers.
    """

    _dispatcher: object
    state: evacuation.Evacuations = attrs.field(factory=evacuation.Evacuations)

    def apply(
        self, offset: int, since_by_zone: dict[str, float], source: str
    ) -> None:
        """Applies which zones are evacuated, unless a newer state is known.

        Args:
            offset: Version of the state.
            since_by_zone: See `evacuation.Evacuations.apply`.
            source: Where it comes from, for the log.
        """
        now = clock.now()
        changes = self.state.apply(offset, since_by_zone, now)
        if not changes:
            return
        for change in changes:
            event = events.Event.ZONE_EVACUATION_ENDED
            if change.is_evacuated:
                event = events.Event.ZONE_EVACUATED
            self._dispatcher.log(
                event,
                zone=change.zone,
                version=offset,
                age_ms=zonetables.milliseconds(change.age_s)
                if math.isfinite(change.age_s)
                else "unknown",
                source=source,
            )
            self._dispatcher.meters.evacuated.labels(change.zone).set(
                change.is_evacuated
            )
        self._dispatcher.intake.evacuated_zones = self.state.zones
        if any(change.zone == self._dispatcher.zone for change in changes):
            self.apply_to_placer()
        self._dispatcher.hub.broadcast(self.build_state())
        self._dispatcher.wake()

    def apply_to_placer(self) -> None:
        """Tells the placer in this process whether its zone is evacuated."""
        if self._dispatcher.placer_host is None:
            return
        evacuate_s = self._dispatcher.settings.placement.evacuate_ms / 1000
        self._dispatcher.placer_host.set_evacuation(
            self.state.last_start_at(self._dispatcher.zone, evacuate_s)
        )

    def build_state(self) -> messages.EvacuationState:
        """Returns the message that tells peers of the state."""
        ages_s = self.state.ages_s(clock.now())
        return messages.EvacuationState(
            self.state.offset,
            [messages.EvacuatedZone(z, age) for z, age in ages_s.items()],
        )

    def receive(self, message: messages.EvacuationState, post) -> None:
        """Applies a state of a peer, or answers an older one by the own."""
        now = clock.now()
        since_by_zone = {}
        for evacuated in message.zones:
            if not 0 <= evacuated.age_s <= evacuation.MAX_AGE_S:
                raise errors.PeerError(
                    f"evacuation of {evacuated.zone!r} has an age out of range"
                )
            since_by_zone[evacuated.zone] = now - evacuated.age_s
        if message.offset >= self.state.offset:
            self.apply(message.offset, since_by_zone, "peer")
        elif since_by_zone.keys() != self.state.zones:
            post(self.build_state())
