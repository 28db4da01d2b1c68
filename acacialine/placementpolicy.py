"""Policy of a placer under contention, as the settings ask for it."""

import attrs


@attrs.frozen
class PlacementPolicy:
    """What a placer does when more work arrives than fits.

    The defaults are the behaviour without any of the settings.

    Attributes:
        sized_forecast: Whether a job's end is forecast with the sizes of all
            tasks and the speeds of servers, instead of slots of its own size.
        look_ahead: Whether servers are reserved for the most urgent job that
            can't be placed, and tasks are paired by what fits together.
        fair_share: Whether queues and the zones of clients get shares under
            contention.
        priority_first: Whether jobs are ordered by the priority of their
            queues before their shares.
        spread_retries: Whether refused clients are told to return when room is
            forecast for them, and are not put behind newcomers then.
    """

    sized_forecast: bool = False
    look_ahead: bool = False
    fair_share: bool = False
    priority_first: bool = False
    spread_retries: bool = False

    @property
    def measures_demand(self) -> bool:
        """Whether the demand of competitors has to be known."""
        return self.fair_share or self.spread_retries
