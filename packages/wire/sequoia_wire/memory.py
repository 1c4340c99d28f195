"""Reserves memory for bodies before they are read."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.memory_budgets import (
    SMALL_BYTES,
    MemoryBudget,
    Reservation,
    Use,
    close_nothing,
)

from sequoia_wire.clocks import monotonic_time
from sequoia_wire.logs import Log, LogKind

RETRY_AFTER = timedelta(seconds=1)
RELEASE_WAIT = timedelta(milliseconds=500)  # for what is being closed
POLL_INTERVAL = timedelta(milliseconds=5)

log = Log('memory')
MEMORY_REFUSED = log.event(
    'memory refused',
    'code',
    'size',
    'reserved',
    kind=LogKind.FAILURE,
)
TRANSFER_CLOSED = log.event(
    'transfer closed for memory',
    'code',
    'size',
    'reserved',
    kind=LogKind.FAILURE,
)


def make_queues() -> dict[bool, curio.Lock]:
    """Return a lock for tasks that wait for little, and one for much."""
    return {False: curio.Lock(), True: curio.Lock()}


@define
class Memory:
    """The memory budget of a process, which tasks wait for.

    Attributes:
        queues: Locks of the tasks that wait for little and for much.
    """

    budget: MemoryBudget = field(factory=MemoryBudget)
    queues: dict[bool, curio.Lock] = field(factory=make_queues)

    @contextmanager
    def hold(
        self, close: Callable[[], None] = close_nothing
    ) -> Iterator[Reservation]:
        """Release what is reserved in the context when it ends.

        Args:
            close: Ends the transfer if its memory is needed for others.
        """
        holder = Reservation(monotonic_time(), close)
        try:
            yield holder
        finally:
            self.release(holder)

    async def reserve(
        self,
        holder: Reservation,
        size: int,
        patience: timedelta = RELEASE_WAIT,
    ) -> None:
        """Let a reservation become as large as ``size``.

        Args:
            holder: The reservation.
            size: Its new size.
            patience: Time to wait for what others release.

        Raises:
            ServiceError: With code BODY_MEMORY if the memory is needed for
                others.
        """
        if self.budget.fits(holder, size):
            self.budget.resize(holder, size)
            return
        self._close_others(holder, size)
        await self._wait(holder, size, patience)
        self.budget.resize(holder, size)

    async def extend(
        self, holder: Reservation, size: int, patience: timedelta
    ) -> None:
        """Let a reservation grow, to which others may add meanwhile.

        Raises:
            ServiceError: With code BODY_MEMORY if the memory is needed for
                others.
        """
        with self.hold() as added:
            await self.reserve(added, size, patience)
        self.overdraw(holder, holder.size + size)

    def shrink(self, holder: Reservation | None, size: int) -> None:
        """Release a part of a reservation."""
        if holder is not None and size:
            self.budget.resize(holder, max(0, holder.size - size))

    def release(self, holder: Reservation) -> None:
        """Release what a reservation holds."""
        if holder.size:
            self.budget.resize(holder, 0)

    def overdraw(self, holder: Reservation, size: int) -> None:
        """Count memory that is in use already."""
        self.budget.resize(holder, size)

    async def _wait(
        self, holder: Reservation, size: int, patience: timedelta
    ) -> None:
        """Close others if that helps, and wait until ``size`` fits.

        One task at a time waits for much memory, so that the first to ask gets
        it first, and one for little.
        """
        try:
            async with curio.timeout_after(patience.total_seconds()):
                async with self.queues[size > SMALL_BYTES]:
                    await self._wait_until_fits(holder, size)
        except curio.TaskTimeout as error:
            raise self._make_refusal(holder, size) from error

    async def _wait_until_fits(self, holder: Reservation, size: int) -> None:
        while not self.budget.fits(holder, size):
            self._close_others(holder, size)
            await curio.sleep(POLL_INTERVAL.total_seconds())

    def _close_others(self, holder: Reservation, size: int) -> None:
        """Close what should give way to a reservation.

        Raises:
            ServiceError: If that is not enough for a body, which is refused at
                once.
        """
        victims = self.budget.choose_victims(holder, size, monotonic_time())
        if victims is None and holder.use is Use.BODY:
            raise self._make_refusal(holder, size)
        for victim in victims or ():
            self._close(victim)

    def _make_refusal(self, holder: Reservation, size: int) -> ServiceError:
        MEMORY_REFUSED.write(
            code=holder.use.value, size=size, reserved=self.budget.reserved
        )
        return make_memory_error()

    def _close(self, victim: Reservation) -> None:
        victim.is_closing = True
        victim.close()
        TRANSFER_CLOSED.write(
            code=victim.use.value,
            size=victim.size,
            reserved=self.budget.reserved,
        )


def make_reservation() -> Reservation:
    """Return a reservation that holds nothing yet."""
    return Reservation(monotonic_time())


def make_memory_error() -> ServiceError:
    """Return the error of a request for whose body there is no memory."""
    return ServiceError(
        Code.BODY_MEMORY,
        'the memory is needed for other requests',
        retry_after=RETRY_AFTER,
    )
