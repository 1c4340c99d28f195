"""The engines of one kind in one failure domain: how many there should be."""

import enum
from collections.abc import Mapping
from datetime import timedelta

from attrs import define, field, frozen

from sequoia_policy.capacity_counts import EngineCount
from sequoia_policy.capacity_demands import StepView

# Beyond the time in which a new engine starts, until it is taken for missing.
ORDER_MARGIN = timedelta(seconds=6)
# Within which an order without a response may still be carried out.
LATE_EXECUTION = timedelta(seconds=5)
UNAVAILABLE_PAUSE = timedelta(seconds=15)
RECLAIM_PAUSE = timedelta(seconds=60)
REDUCTION_TIME = timedelta(seconds=60)
MAX_ATTEMPTS = 2


@frozen
class Pool:
    """The engines of one kind in one failure domain.

    Attributes:
        reclaimable: Whether the platform may take them away.
    """

    domain: str
    reclaimable: bool = False


@frozen
class CapacityView:
    """What is known of a service at one moment.

    Attributes:
        counts: Engines that serve or start, by pool.
        leaving: Engines that leave, by pool.
        steps: Steps of the service that the table of owners lists.
    """

    now: timedelta
    counts: Mapping[Pool, int]
    leaving: Mapping[Pool, int]
    steps: tuple[StepView, ...] = ()


class Reason(enum.Enum):
    """Why a number is ordered."""

    ADDED = 'added'
    REPLACED = 'replaced'
    REDUCED = 'reduced'


@frozen
class PlannedOrder:
    """A number of engines to order."""

    pool: Pool
    count: int
    reason: Reason


@define
class PoolPlan:
    """How many engines a pool should have, and what was ordered.

    Attributes:
        min_count: Number that stays wanted though none are available.
        wanted: Number of engines that should run.
        change: Why the wanted number changed and is to be ordered; None if it
            was ordered.
        ordered: Why the last order was made.
        attempts: Orders since the pool was last complete.
        is_given_up: Whether missing engines are no longer ordered here. The
            platform has the number that was ordered before: a smaller one could
            take engines away that run unlisted.
        repeat_at: When the same number may be ordered again.
        held_until: When an order without a response can no longer be carried
            out.
        unavailable_until: Until when no engines are ordered here.
        reduced_at: When the wanted number was last reduced.
    """

    pool: Pool
    min_count: int = 0
    count: EngineCount = field(factory=EngineCount)
    wanted: int = 0
    change: Reason | None = None
    ordered: Reason | None = None
    attempts: int = 0
    is_given_up: bool = False
    repeat_at: timedelta = timedelta()
    held_until: timedelta = timedelta()
    unavailable_until: timedelta = timedelta()
    reduced_at: timedelta | None = None

    def begin(self) -> None:
        """Want what ran, and forget what was ordered."""
        self.wanted = self.count.level
        self.change = None
        self.ordered = None
        self.attempts = 0
        self.is_given_up = False
        self.reduced_at = None

    def find_missing(self, now: timedelta) -> int:
        """Return how many engines have been missing for long.

        Those that were just ordered are not missing while they start.
        """
        if self.is_given_up:
            return 0
        if self.ordered is Reason.ADDED and now < self.repeat_at:
            return 0
        return self._count_missing(now)

    def add(self, count: int) -> None:
        """Want more engines."""
        self.wanted += count
        self.change = Reason.ADDED
        self.is_given_up = False
        self.reduced_at = None

    def reduce(self, count: int, now: timedelta) -> None:
        """Want fewer engines."""
        self.wanted -= count
        self.change = Reason.REDUCED
        self.reduced_at = now

    def give_up(self, count: int, until: timedelta) -> int:
        """Want no longer what this pool does not get; return how many.

        The fewest engines of the failure domain stay wanted here.
        """
        given_up = max(0, min(count, self.wanted - self.min_count))
        self.wanted -= given_up
        self.change = None
        self.attempts = 0
        self.is_given_up = True
        self.unavailable_until = until
        return given_up

    def give_up_lost(self, now: timedelta, leaving: int) -> int:
        """Want no longer what was reclaimed or does not come back.

        Args:
            now: The present time.
            leaving: Number of engines of this pool that leave.

        Returns:
            How many are no longer wanted here.
        """
        if self.pool.reclaimable and leaving:
            reclaimed = max(0, self.wanted - self.count.newest)
            return self.give_up(reclaimed, now + RECLAIM_PAUSE)
        missing = self._count_missing(now)
        if self.has_failed(now):
            return self.give_up(missing, now + UNAVAILABLE_PAUSE)
        if not missing and now >= self.repeat_at:
            self.attempts = 0
            self.is_given_up = False
        return 0

    def adopt(self, now: timedelta) -> int:
        """Want what runs beyond the wanted number; return how many."""
        if self.is_reducing(now):
            return 0
        running = min(self.count.middle, self.count.newest)
        more = max(0, running - self.wanted)
        self.wanted += more
        return more

    def is_reducing(self, now: timedelta) -> bool:
        """Return whether engines that were given back may still run."""
        if self.reduced_at is None:
            return False
        return now - self.reduced_at < REDUCTION_TIME

    def find_order(self, now: timedelta) -> PlannedOrder | None:
        """Return the order that is due, or None."""
        if now < max(self.held_until, self.unavailable_until):
            return None
        reason = self.change
        if reason is None and now >= self.repeat_at:
            reason = self._find_repeat(now)
        return reason and PlannedOrder(self.pool, self.wanted, reason)

    def has_failed(self, now: timedelta) -> bool:
        """Return whether the orders of missing engines had no effect."""
        if not self.attempts or now < self.repeat_at:
            return False
        # A failure domain in which none runs was probably lost.
        lasting = self.count.count_lasting(now)
        if lasting and self.attempts < MAX_ATTEMPTS:
            return False
        return self.find_missing(now) > 0

    def record_order(
        self, order: PlannedOrder, now: timedelta, boot: timedelta
    ) -> None:
        """Record that an order was accepted."""
        self.change = None
        self.ordered = order.reason
        self.attempts += 1
        self.repeat_at = now + boot + ORDER_MARGIN

    def record_unknown(self, now: timedelta) -> None:
        """Record that an order had no response."""
        self.held_until = now + LATE_EXECUTION

    def _count_missing(self, now: timedelta) -> int:
        lasting = self.count.count_lasting(now)
        return 0 if lasting is None else max(0, self.wanted - lasting)

    def _find_repeat(self, now: timedelta) -> Reason | None:
        if self.find_missing(now):
            return Reason.REPLACED
        lasting = self.count.count_lasting(now) or 0
        if lasting > self.wanted and self.is_reducing(now):
            return Reason.REDUCED
        return None
