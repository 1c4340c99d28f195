"""Free capacity of pools by failure domain, exchanged between hosts."""

import random
from datetime import timedelta

from attrs import define, field, frozen

ROLLOUT_SHARE = 0.75  # of all slots; the rest is reserved for live calls
MAX_SUMMARY_AGE = timedelta(seconds=15)


@frozen
class PoolSummary:
    """Load of a pool in one failure domain.

    Attributes:
        slots: Maximum number of concurrent requests of its usable targets.
        busy: Requests running or queued at these targets.
        origin: Time of the summary on the clock of the receiving host.
    """

    pool: str
    domain: str
    slots: int
    busy: int
    origin: timedelta

    def free_slots(self, share: float = 1) -> float:
        """Return the number of free slots within a share of all slots."""
        return max(0, self.slots * share - self.busy)


@define
class PoolTable:
    """Newest summaries by pool and failure domain."""

    summaries: dict[tuple[str, str], PoolSummary] = field(factory=dict)

    def accept(self, summary: PoolSummary) -> bool:
        """Store a summary; return False if the known one is as new."""
        key = (summary.pool, summary.domain)
        known = self.summaries.get(key)
        if known and known.origin >= summary.origin:
            return False
        self.summaries[key] = summary
        return True

    def fresh(self, pool: str, now: timedelta) -> list[PoolSummary]:
        """Return the summaries of a pool that are not outdated."""
        return [
            summary
            for summary in self.summaries.values()
            if summary.pool == pool and now - summary.origin < MAX_SUMMARY_AGE
        ]

    def choose_domain(
        self,
        pool: str,
        allowed: frozenset[str],
        now: timedelta,
        rng: random.Random,
    ) -> str | None:
        """Choose a random failure domain for a live call.

        The choice is weighted by free slots; a domain without free slots
        keeps a small weight. Returns None if no domain is allowed.
        """
        summaries = [
            summary
            for summary in self._fresh_in(pool, allowed, now)
            if summary.slots
        ]
        return draw_domain(
            summaries, [summary.free_slots() + 1 for summary in summaries], rng
        )

    def choose_rollout_domain(
        self,
        pool: str,
        allowed: frozenset[str],
        now: timedelta,
        rng: random.Random,
    ) -> str | None:
        """Choose a random failure domain with free slots for rollouts.

        The choice is weighted by free slots. Returns None if there is no
        such domain.
        """
        summaries = [
            summary
            for summary in self._fresh_in(pool, allowed, now)
            if summary.free_slots(ROLLOUT_SHARE) >= 1
        ]
        weights = [summary.free_slots(ROLLOUT_SHARE) for summary in summaries]
        return draw_domain(summaries, weights, rng)

    def _fresh_in(
        self,
        pool: str,
        allowed: frozenset[str],
        now: timedelta,
    ) -> list[PoolSummary]:
        return [
            summary
            for summary in self.fresh(pool, now)
            if summary.domain in allowed
        ]


def draw_domain(
    summaries: list[PoolSummary],
    weights: list[float],
    rng: random.Random,
) -> str | None:
    """Return a random failure domain, weighted; None without summaries."""
    if not summaries:
        return None
    return rng.choices(summaries, weights)[0].domain
