"""Priority queue for the slots of a stand-in engine."""

import heapq

import curio
from attrs import define, field


@define
class SlotQueue:
    """Grants slots to streams by priority, then in order of arrival.

    Attributes:
        slots: Maximum number of concurrent streams.
        running: Number of slots in use.
        arrivals: Number of streams that had to wait so far.
        waiting: Heap of (priority, arrival number, event set when granted).
    """

    slots: int
    running: int = 0
    arrivals: int = 0
    waiting: list[tuple[int, int, curio.Event]] = field(factory=list)

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; lower numbers have higher priority."""
        if self.running < self.slots:
            self.running += 1
            return
        self.arrivals += 1
        granted = curio.Event()
        entry = (priority, self.arrivals, granted)
        heapq.heappush(self.waiting, entry)
        try:
            await granted.wait()
        except curio.CancelledError:
            await self._withdraw(entry)
            raise

    async def release(self) -> None:
        """Hand the slot to the next waiting stream, or free it."""
        if self.waiting:
            _priority, _arrival, granted = heapq.heappop(self.waiting)
            await granted.set()
            return
        self.running -= 1

    async def _withdraw(self, entry: tuple[int, int, curio.Event]) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            heapq.heapify(self.waiting)
            return
        # The slot was granted before the cancellation was delivered.
        await self.release()
