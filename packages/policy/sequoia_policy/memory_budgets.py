"""Decides who gets memory for bodies, and who is closed when it is short."""

import enum
import math
from collections.abc import Callable
from datetime import timedelta

from attrs import define, field

# Bodies up to this size may use all of the budget.
SMALL_BYTES = 65536
LARGE_SHARE = 0.75  # of the budget, for larger bodies together
MIN_RATE = 65536  # bytes per second, under which a transfer is slow
RATE_WINDOW = timedelta(seconds=1)


class Use(enum.Enum):
    """What memory is reserved for.

    Attributes:
        BODY: A request body that is being received.
        WORK: A request that is being served.
        RESPONSE: A response that a caller reads.
    """

    BODY = 'body'
    WORK = 'work'
    RESPONSE = 'response'


def close_nothing() -> None:
    """Close nothing."""


@define(eq=False)
class Reservation:
    """Memory that one request or response holds.

    Attributes:
        created_at: When its current use began.
        close: Ends the transfer, so that its memory is released.
        use: What it is for.
        size: Reserved bytes.
        is_closing: Whether ``close`` was called.
        moved: Bytes transferred since ``window_start``.
        rate: Bytes per second in the last complete window.
        moved_at: Time of the last transfer.
    """

    created_at: timedelta
    close: Callable[[], None] = close_nothing
    use: Use = Use.WORK
    size: int = 0
    is_closing: bool = False
    moved: int = 0
    rate: float = math.inf
    window_start: timedelta = field(init=False)
    moved_at: timedelta = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin the first window."""
        self.begin(self.use, self.created_at)

    @property
    def is_large(self) -> bool:
        """Whether it belongs to the large bodies."""
        return self.size > SMALL_BYTES

    @property
    def large_size(self) -> int:
        """Its size if it belongs to the large bodies, else zero."""
        return self.size if self.is_large else 0

    def begin(self, use: Use, now: timedelta) -> None:
        """Begin another use, such as that for the next request."""
        self.use = use
        self.created_at = now
        self.window_start = now
        self.moved_at = now
        self.moved = 0
        self.rate = math.inf

    def record_transfer(self, size: int, now: timedelta) -> None:
        """Count bytes that were transferred."""
        self.moved += size
        self.moved_at = now
        elapsed = now - self.window_start
        if elapsed >= RATE_WINDOW:
            self.rate = self.moved / elapsed.total_seconds()
            self.window_start = now
            self.moved = 0

    def find_rate(self, now: timedelta) -> float:
        """Return the bytes per second that were transferred lately."""
        return 0 if now - self.moved_at >= RATE_WINDOW else self.rate

    def is_slow(self, now: timedelta) -> bool:
        """Return whether a transfer may be closed when memory is short."""
        if self.use is Use.WORK or self.is_closing:
            return False
        return self.find_rate(now) < MIN_RATE


@define
class MemoryBudget:
    """The memory of a process for bodies and responses.

    Attributes:
        size: Bytes that may be reserved; None for no limit.
        reserved: Bytes that are reserved.
        reserved_large: Bytes of reservations over ``SMALL_BYTES``.
        reservations: All that hold memory, oldest first.
    """

    size: int | None = None
    reserved: int = 0
    reserved_large: int = 0
    reservations: dict[Reservation, None] = field(factory=dict)

    def fits(self, holder: Reservation, size: int) -> bool:
        """Return whether a reservation may become as large as ``size``.

        A large reservation may exceed the budget if there is no other one:
        a single request is never refused.
        """
        if self.size is None:
            return True
        if size <= SMALL_BYTES:
            return self.reserved - holder.size + size <= self.size
        others = self.reserved_large - holder.large_size
        return others == 0 or others + size <= self.size * LARGE_SHARE

    def resize(self, holder: Reservation, size: int) -> None:
        """Set the size of a reservation; zero releases it."""
        self._count(holder, -1)
        holder.size = size
        self._count(holder, 1)
        if size:
            self.reservations[holder] = None
        else:
            self.reservations.pop(holder, None)

    def choose_victims(
        self, holder: Reservation, size: int, now: timedelta
    ) -> list[Reservation] | None:
        """Return what to close so that a reservation may grow to ``size``.

        Slow bodies come first, then slow responses, the largest and slowest
        first; then bodies that began after that of ``holder``, the newest
        first. What is closing already counts as released.

        Returns:
            None if that is not enough: ``holder`` is to be refused.
        """
        missing = self._find_missing(holder, size)
        victims: list[Reservation] = []
        for candidate in self._list_candidates(holder, now):
            if missing <= 0:
                break
            if candidate.is_large or size <= SMALL_BYTES:
                victims.append(candidate)
                missing -= candidate.size
        return None if missing > 0 else victims

    def _find_missing(self, holder: Reservation, size: int) -> float:
        """Return how much must be released before ``size`` fits."""
        if self.size is None:
            return 0
        closing = sum(
            other.size for other in self.reservations if other.is_closing
        )
        if size <= SMALL_BYTES:
            return self.reserved - holder.size + size - closing - self.size
        others = self.reserved_large - holder.large_size
        return others + size - closing - self.size * LARGE_SHARE

    def _list_candidates(
        self, holder: Reservation, now: timedelta
    ) -> list[Reservation]:
        """Return what may be closed, in order."""
        slow = [
            other
            for other in self.reservations
            if other is not holder and other.is_slow(now)
        ]
        slow.sort(
            key=lambda other: (
                other.use is not Use.BODY,
                -other.size,
                other.find_rate(now),
            )
        )
        newer = [
            other
            for other in reversed(self.reservations)
            if other.created_at > holder.created_at
            and other.use is Use.BODY
            and not other.is_closing
            and other not in slow
        ]
        return [*slow, *newer] if holder.use is Use.BODY else slow

    def _count(self, holder: Reservation, sign: int) -> None:
        self.reserved += sign * holder.size
        if holder.is_large:
            self.reserved_large += sign * holder.size
