"""Chooses failure domains within the bounds of a service."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import frozen

from sequoia_policy.capacity_pools import Pool, PoolPlan
from sequoia_policy.routing import Scaling

# Without the reclaimable engines of a failure domain, steps that take
# GROWTH_SHARE of their time must still be on time.
MAX_RECLAIMABLE_SHARE = 0.15


@frozen
class CapacityBounds:
    """Bounds and prices of a service, and the plans that they apply to."""

    scaling: Scaling
    pools: Mapping[Pool, PoolPlan]

    def list_priced(self) -> list[Pool]:
        """Return the pools in which engines may be ordered."""
        domains = [entry.domain for entry in self.scaling.prices]
        return [
            Pool(domain, reclaimable)
            for domain in domains
            for reclaimable in (False, True)
        ]

    def enforce(self, now: timedelta, *, knows_empty: bool) -> int:
        """Keep the wanted numbers within the bounds.

        Args:
            now: The present time.
            knows_empty: Whether pools without listed engines have none.

        Returns:
            How many engines were added.
        """
        added = 0
        # Reclaimable engines are given back before regular ones.
        for plan in sorted(self.pools.values(), key=self._rank_kind):
            wanted = self._count(plan.pool.domain)
            excess = min(wanted - self.scaling.max_count, plan.wanted)
            if excess > 0:
                plan.reduce(excess, now)
            elif plan.wanted or knows_empty:
                added += self._fill(plan, wanted, now)
        return added

    def count_room(self) -> int:
        """Return how many more engines the bounds allow."""
        domains = {pool.domain for pool in self.pools}
        return sum(
            max(0, self.scaling.max_count - self._count(domain))
            for domain in domains
        )

    def place(self, count: int, now: timedelta) -> int:
        """Add regular engines, cheapest first; return how many have room."""
        placed = 0
        while placed < count and self._add(now, reclaimable=False):
            placed += 1
        return placed

    def place_reclaimable(self, now: timedelta) -> int:
        """Add a reclaimable engine if there is room; return how many."""
        return int(self._add(now, reclaimable=True))

    def release_one(self, now: timedelta) -> bool:
        """Give one engine back, the dearest first; return whether one was.

        Reclaimable engines go first where they are too many for the others.
        """
        plans = [
            plan
            for plan in self.pools.values()
            if plan.wanted
            and self._count(plan.pool.domain) > self.scaling.min_count
        ]
        if not plans:
            return False
        chosen = max(plans, key=self._rank_release)
        chosen.reduce(1, now)
        return True

    def find_price(self, pool: Pool) -> float:
        """Return the price of an engine of a pool for a second."""
        prices = {entry.domain: entry.price for entry in self.scaling.prices}
        share = self.scaling.reclaimable_price if pool.reclaimable else 1
        return prices.get(pool.domain, 1) * share

    def _fill(self, plan: PoolPlan, wanted: int, now: timedelta) -> int:
        """Add engines up to the lower bound; return how many."""
        missing = max(0, self.scaling.min_count - wanted)
        if plan.pool.reclaimable or now < plan.unavailable_until:
            return 0
        if missing:
            plan.add(missing)
        return missing

    def _add(self, now: timedelta, *, reclaimable: bool) -> bool:
        plans = [
            plan
            for pool, plan in self.pools.items()
            if pool.reclaimable is reclaimable and self._has_room(plan, now)
        ]
        if not plans:
            return False
        min(plans, key=self._rank_addition).add(1)
        return True

    def _has_room(self, plan: PoolPlan, now: timedelta) -> bool:
        if now < plan.unavailable_until:
            return False
        if self._count(plan.pool.domain) >= self.scaling.max_count:
            return False
        return not plan.pool.reclaimable or not self._is_over_share(plan, 1)

    def _is_over_share(self, plan: PoolPlan, added: int) -> bool:
        """Return whether a pool has too many reclaimable engines."""
        if not plan.pool.reclaimable:
            return False
        total = sum(other.wanted for other in self.pools.values())
        return plan.wanted + added > MAX_RECLAIMABLE_SHARE * total

    def _rank_kind(self, plan: PoolPlan) -> bool:
        return not plan.pool.reclaimable

    def _rank_addition(self, plan: PoolPlan) -> tuple[float, int, str]:
        return self.find_price(plan.pool), plan.wanted, plan.pool.domain

    def _rank_release(self, plan: PoolPlan) -> tuple[bool, float, int]:
        over = self._is_over_share(plan, 0)
        return over, self.find_price(plan.pool), plan.wanted

    def _count(self, domain: str) -> int:
        """Return the number of engines that a failure domain should have."""
        return sum(
            plan.wanted
            for pool, plan in self.pools.items()
            if pool.domain == domain
        )
