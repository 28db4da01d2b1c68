"""Run numbers of the tasks of one job."""

import attrs


@attrs.define
class RunNumbers:
    """The lowest unused run number of each task of a job.

    Jobs may have thousands of tasks that wait, so only those whose number
    differs from that of all others take memory.
    """

    _common: int = 1
    _by_index: dict[int, int] = attrs.field(factory=dict)

    @property
    def is_used(self) -> bool:
        """Whether a task may have a run."""
        return self._common > 1 or bool(self._by_index)

    def lowest(self, index: int) -> int:
        """Returns the lowest unused run number of a task."""
        return max(self._common, self._by_index.get(index, 1))

    def use(self, index: int, number: int) -> None:
        """Records that all run numbers up to one are used for a task."""
        self._by_index[index] = max(self.lowest(index), number + 1)

    def raise_all(self, number: int) -> None:
        """Makes no run number of any task lower than `number`."""
        self._common = max(self._common, number)
        self._by_index = {
            index: used
            for index, used in self._by_index.items()
            if used > self._common
        }

    def copy(self) -> "RunNumbers":
        """Returns a copy that changes by itself."""
        return RunNumbers(self._common, dict(self._by_index))
