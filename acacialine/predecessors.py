"""Whether earlier placers of a zone had servers or jobs that a new one lacks.

A placer that the store turns away goes on with the list of servers that it
read last, which may have lost some of them since. Lists are compared by the
offset in the store up to which they are current, so no clocks matter.
"""

import math

import attrs


@attrs.define(eq=False)
class Predecessors:
    """The lists of the placers of this zone, as their heartbeats tell.

    Attributes:
        epoch: Highest epoch of a placer that was heard.
        list_offset: Offset up to which the list of that placer was current.
        uninformed_at: When a placer was last heard, or succeeded here, whose
            list may have had servers that the local one lacked.
        heard_at: When a placer was last heard.
        told_epoch: Highest epoch of a placer that told of its jobs.
        told_at: Until when it certainly did.
    """

    epoch: int = 0
    list_offset: float = -1
    uninformed_at: float = -math.inf
    heard_at: float = -math.inf
    told_epoch: int = 0
    told_at: float = -math.inf

    def record_heartbeat(
        self, epoch: int, list_offset: int, removal_offset: int, now: float
    ) -> None:
        """Records a heartbeat of a placer.

        Args:
            epoch: The epoch of its claim.
            list_offset: Offset up to which its list is current.
            removal_offset: Offset at which the local list last lost a server.
            now: The current time.
        """
        self.heard_at = now
        if epoch >= self.epoch:
            self.epoch, self.list_offset = epoch, list_offset
        if list_offset < removal_offset:
            self.uninformed_at = now

    def record_told(self, epoch: int, at: float) -> None:
        """Records that a placer has told of all its jobs until some time."""
        if epoch >= self.told_epoch:
            self.told_epoch, self.told_at = epoch, at

    def told_age_s(self, last_epoch: int, now: float) -> float:
        """Returns for how long the last placer has not told of its jobs.

        It is infinite if that placer never did.

        Args:
            last_epoch: Highest epoch known of any earlier claim.
            now: The current time.
        """
        if self.told_epoch < last_epoch:
            return math.inf
        return now - self.told_at

    def take_over(
        self,
        own_epoch: int,
        superseded_epoch: int,
        removal_offset: int,
        now: float,
        max_age_s: float,
    ) -> bool:
        """Records that this dispatcher becomes the placer.

        Args:
            own_epoch: The epoch of its claim.
            superseded_epoch: Highest epoch known of any earlier claim.
            removal_offset: Offset at which the local list last lost a server.
            now: The current time.
            max_age_s: Time after which the runs of a placer that has a
                successor have ended.

        Returns:
            Whether all runs of earlier placers are on servers that the local
            list has, or that it lost a short time ago.
        """
        if self.epoch < superseded_epoch or self.list_offset < removal_offset:
            self.uninformed_at = now
        # This process knows the servers of its own placer.
        self.epoch, self.list_offset = own_epoch, math.inf
        return now - self.uninformed_at > max_age_s
