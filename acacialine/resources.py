"""Resources of backend servers and the demands of tasks."""

import attrs


@attrs.frozen
class Resources:
    """An amount of each resource, used for capacities and demands.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MB.
        gpu: Accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, free: "Resources") -> bool:
        """Returns whether this demand fits into the free resources."""
        return (
            self.cpu <= free.cpu
            and self.memory_mb <= free.memory_mb
            and self.gpu <= free.gpu
        )

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )


NO_RESOURCES = Resources()
