"""Plans how many engines of a service run in each failure domain."""

import math
from datetime import timedelta

from attrs import define, field

from sequoia_policy.capacity_bounds import CapacityBounds
from sequoia_policy.capacity_counts import MEMORY, EngineCount
from sequoia_policy.capacity_demands import HISTORY, StepHistory
from sequoia_policy.capacity_pools import (
    UNAVAILABLE_PAUSE,
    CapacityView,
    PlannedOrder,
    Pool,
    PoolPlan,
    Reason,
)
from sequoia_policy.routing import Scaling

WATCH_TIME = timedelta(seconds=10)
START_MARGIN = timedelta(seconds=2)
WARM_UP = timedelta(seconds=1)  # in which a new engine loads weights
# Of their time that steps need, from which engines are added. Long texts make steps
# take most of their time however many engines there are, and each engine that is
# added loads all weights: only steps that are late show that engines lack.
GROWTH_SHARE = 1
GROWN_SHARE = 0.75  # that steps should need with the added engines
SPARE_SHARE = 0.95  # from which reclaimable engines are added
MAX_BUSY = 0.85  # of the engines that the added ones leave busy on average
MAX_GROWTH = 0.5  # of the engines that run
IDLE_SHARE = 0.35  # below which engines are given back
RELEASE_INTERVAL = timedelta(seconds=30)
# Growth that shortens no step is repeated only after this time.
INEFFECTIVE_PAUSE = timedelta(seconds=300)
SPARE_INTERVAL = timedelta(seconds=20)  # between additional reclaimable ones
MAX_INEFFECTIVE = 2
EFFECTIVE_RATIO = 0.95


@define
class Growth:
    """What adding engines has led to.

    Attributes:
        need: Share of their time that steps needed before.
        ineffective: Number of additions in a row that shortened no step.
    """

    at: timedelta = timedelta()
    need: float = math.inf
    ineffective: int = 0

    def may_repeat(self, now: timedelta, need: float) -> bool:
        """Return whether engines may be added now.

        Args:
            now: The present time.
            need: Share of their time that steps need; late ones need over 1.
        """
        if self.ineffective < MAX_INEFFECTIVE or need > 1:
            return True
        return now - self.at >= INEFFECTIVE_PAUSE

    def record(self, now: timedelta, need: float) -> None:
        """Record that engines are added."""
        has_helped = need < self.need * EFFECTIVE_RATIO
        self.ineffective = 0 if has_helped else self.ineffective + 1
        self.need = need
        self.at = now


@define(eq=False)
class CapacityPlanner:
    """Plans for one service; ``observe`` is called on every coordinator.

    Attributes:
        may_reduce: Whether engines that no step needs may be given back.
        taken_at: When this host took the duty; None before it first plans.
        planning: Whether it has watched for long enough.
        unplaced: Engines that are missing, and that no pool was to have so far.
        settled_at: Steps that began before do not show what is needed.
        changed_at: When an engine was last missing or added.
        released_at: When an engine was last given back.
        count_before_idle: Engines that ran before some were given back because
            there were no steps; 0 if none were.
        spare_at: When a reclaimable engine was last added.
        need: Share of their time that steps needed when that was last asked.
    """

    scaling: Scaling
    may_reduce: bool = True
    pools: dict[Pool, PoolPlan] = field(factory=dict)
    total: EngineCount = field(factory=EngineCount)
    history: StepHistory = field(factory=StepHistory)
    growth: Growth = field(factory=Growth)
    taken_at: timedelta | None = None
    planning: bool = False
    unplaced: int = 0
    settled_at: timedelta = timedelta()
    changed_at: timedelta = timedelta()
    released_at: timedelta = timedelta()
    count_before_idle: int = 0
    spare_at: timedelta = timedelta()
    need: float = 0

    @property
    def wanted(self) -> int:
        """Number of engines that should run."""
        return sum(plan.wanted for plan in self.pools.values())

    @property
    def bounds(self) -> CapacityBounds:
        """What the configuration allows."""
        return CapacityBounds(self.scaling, self.pools)

    def observe(self, view: CapacityView) -> None:
        """Record what runs."""
        for pool in (*view.counts, *view.leaving, *self.bounds.list_priced()):
            for known in (Pool(pool.domain), Pool(pool.domain, True)):
                self.pools.setdefault(known, PoolPlan(known))
        for pool, plan in self.pools.items():
            plan.min_count = 0 if pool.reclaimable else self.scaling.min_count
            plan.count.observe(view.now, view.counts.get(pool, 0))
        engines = sum(view.counts.values())
        self.total.observe(view.now, engines)
        self.history.observe(view.now, view.steps, engines)

    def release(self) -> None:
        """Watch again before the next plan, as another host may have planned."""
        self.taken_at = None
        self.planning = False

    def plan(self, view: CapacityView) -> PlannedOrder | None:
        """Return the most urgent order that is due, or None.

        Args:
            view: What was observed last.
        """
        now = view.now
        if self.taken_at is None:
            self.taken_at = now
        if not self._may_plan(now, self.taken_at):
            return None
        for plan in self.pools.values():
            self.unplaced -= plan.adopt(now)
        knows_empty = now - self.taken_at >= MEMORY
        self.unplaced -= self.bounds.enforce(now, knows_empty=knows_empty)
        self._replace(view)
        if self._is_complete(now):
            self._grow(now)
            self._shrink(now)
        else:
            self.settled_at = now + self.scaling.boot + WARM_UP
            self.changed_at = now
        return self._choose_order(now)

    def record_unavailable(self, order: PlannedOrder, now: timedelta) -> None:
        """Record that the platform has no engines for an order."""
        plan = self.pools[order.pool]
        missing = max(0, plan.wanted - plan.count.newest)
        given_up = plan.give_up(missing, now + UNAVAILABLE_PAUSE)
        if order.reason is Reason.REPLACED or not order.pool.reclaimable:
            self.unplaced += given_up

    def _may_plan(self, now: timedelta, taken_at: timedelta) -> bool:
        """Return whether this host has watched since it took the duty."""
        # What the holder before has ordered must have started.
        watch_time = max(WATCH_TIME, self.scaling.boot + START_MARGIN)
        if now - taken_at < watch_time:
            return False
        if not self.planning:
            self.planning = True
            self._begin(now)
        return True

    def _begin(self, now: timedelta) -> None:
        """Want what ran, in the pools that have it now if others lost it."""
        for plan in self.pools.values():
            plan.begin()
        self.unplaced = 0
        self.growth = Growth()
        self.count_before_idle = 0
        self.changed_at = now
        excess = max(0, self.wanted - self.total.level)
        for other in self.pools.values():
            lost = min(excess, max(0, other.wanted - other.count.middle))
            if lost:
                excess -= other.give_up(lost, now)

    def _replace(self, view: CapacityView) -> None:
        """Place what pools have lost and do not get back."""
        now = view.now
        lost = sum(
            plan.give_up_lost(now, view.leaving.get(pool, 0))
            for pool, plan in self.pools.items()
        )
        room = self.bounds.count_room()
        self.unplaced = min(max(0, self.unplaced) + lost, room)
        self.unplaced -= self.bounds.place(self.unplaced, now)

    def _is_complete(self, now: timedelta) -> bool:
        """Return whether no regular engine is missing."""
        if self.unplaced:
            return False
        return not any(
            plan.find_missing(now)
            for pool, plan in self.pools.items()
            if not pool.reclaimable
        )

    def _grow(self, now: timedelta) -> None:
        need = self._find_need(now)
        self.need = round(need, 2)
        if self.count_before_idle and self.history.running:
            added = self.bounds.place(self.count_before_idle - self.wanted, now)
            self.count_before_idle = 0
        elif need > GROWTH_SHARE and self.growth.may_repeat(now, need):
            added = self._add(need, now)
        else:
            added = 0
            if need > SPARE_SHARE:
                self._add_spare(now)
        if added:
            self.growth.record(now, need)
            self.changed_at = now
            self.settled_at = now + self.scaling.boot + WARM_UP

    def _find_need(self, now: timedelta) -> float:
        """Return the share of their time that steps need with what is wanted."""
        if not self.wanted:
            return 0
        return self.history.find_need(now, self.settled_at)

    def _add(self, need: float, now: timedelta) -> int:
        """Add regular engines; return how many have room."""
        engines = self.wanted
        wanted = max(
            engines * need / GROWN_SHARE,
            self.history.find_busy(now) / MAX_BUSY,
        )
        most = math.ceil(engines * MAX_GROWTH)
        return self.bounds.place(min(math.ceil(wanted) - engines, most), now)

    def _add_spare(self, now: timedelta) -> None:
        """Add a reclaimable engine once in a while."""
        if now - self.spare_at < SPARE_INTERVAL:
            return
        if self.bounds.place_reclaimable(now):
            self.spare_at = now
            self.changed_at = now

    def _shrink(self, now: timedelta) -> None:
        """Give one engine back if all have been idle for long."""
        if not self.may_reduce or now - self.changed_at < HISTORY:
            return
        if now - self.released_at < RELEASE_INTERVAL:
            return
        engines = self.wanted
        peak = self.history.find_peak(engines)
        if peak > IDLE_SHARE * (engines - 1):
            return
        if self._find_need(now) > IDLE_SHARE:
            return
        if self.bounds.release_one(now):
            self.released_at = now
            if not peak:
                self.count_before_idle = max(engines, self.count_before_idle)

    def _choose_order(self, now: timedelta) -> PlannedOrder | None:
        """Return the due order for most engines; reductions come last."""
        orders = [plan.find_order(now) for plan in self.pools.values()]
        return max(
            (order for order in orders if order),
            key=self._rank,
            default=None,
        )

    def _rank(self, order: PlannedOrder) -> tuple[bool, int]:
        plan = self.pools[order.pool]
        return (
            order.reason is not Reason.REDUCED,
            plan.wanted - plan.count.newest,
        )
