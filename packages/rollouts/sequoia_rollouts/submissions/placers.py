"""Chooses targets for items and reward calls."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.subsets import (
    find_free,
    find_search_pause,
    find_subset_size,
)
from sequoia_policy.target_choices import choose_fastest

from sequoia_rollouts.targets.directories import Directory

# An item moves to another engine if its engine is slower by more than this
# factor.
MOVE_PACE_RATIO = 1.4
LIVE_RESERVE = 1  # slots of a plain target kept free for live requests


@frozen
class EngineRequirements:
    """Requirements of an item for its engine.

    Attributes:
        min_version: Oldest version of ``model`` that may generate the item.
        release: Release that began the text; empty if none did.
    """

    service: str
    model: str = ''
    min_version: int = 0
    release: str = ''

    def is_of_release(self, target: RegisteredTarget) -> bool:
        """Return whether an engine may go on with the text."""
        return self.release in {'', target.registration.release}

    def is_met_by(self, target: RegisteredTarget, now: timedelta) -> bool:
        """Return whether an engine can start the item now."""
        if not self.is_of_release(target):
            return False
        if not self.model:
            return True
        if target.is_loading(self.model, now):
            return False
        return target.version_of(self.model) >= self.min_version


@define
class Placer:
    """Chooses the target that is expected to finish first.

    Attributes:
        name: Name of this host; hosts prefer different plain targets.
        count_hosts: Returns the number of hosts that run submissions,
            including this one; they share the targets.
        running: Items and reward calls of this host in flight, by service.
        search_after: When to search again for an engine that meets
            requirements after no free one was found.
    """

    clock: Clock
    directory: Directory
    name: str
    count_hosts: Callable[[], int]
    rng: random.Random
    running: Counter[str] = field(factory=Counter)
    search_after: dict[EngineRequirements, timedelta] = field(factory=dict)

    def choose_engine(
        self, requirements: EngineRequirements
    ) -> RegisteredTarget | None:
        """Return an engine with a free slot, or None.

        Hosts that run items of the same model prefer the same engines, which
        load its versions first.
        """
        now = self.clock.elapsed()
        if now < self.search_after.get(requirements, now):
            return None
        ranked = self._rank(requirements.service, requirements.model, now)
        free = self._find_free(
            requirements.service,
            ranked,
            lambda target: (
                target.running < target.slots
                and target.is_open(Urgency.ROLLOUT, now)
                and requirements.is_met_by(target, now)
            ),
        )
        if not free:
            self._pause_search(requirements, len(ranked), now)
        return choose_fastest(free, now)

    def choose_scorer(self, service: str) -> RegisteredTarget | None:
        """Return a plain target with room for a reward call, or None."""
        now = self.clock.elapsed()
        hosts = max(1, self.count_hosts())
        free = self._find_free(
            service,
            self._rank(service, self.name, now),
            lambda target: (
                target.running < limit_reward_calls(target.slots, hosts)
                and target.is_open(Urgency.ROLLOUT, now)
            ),
        )
        return choose_fastest(free, now)

    def has_faster_engine(
        self, requirements: EngineRequirements, target: RegisteredTarget
    ) -> bool:
        """Return whether a run should move to a much faster engine."""
        now = self.clock.elapsed()
        pace = target.known_seconds(now)
        other = self.choose_engine(requirements)
        if pace is None or other is None or other is target:
            return False
        other_pace = other.known_seconds(now)
        return other_pace is not None and pace > other_pace * MOVE_PACE_RATIO

    def has_release(self, required: EngineRequirements) -> bool:
        """Return whether an engine of the required release takes new work."""
        now = self.clock.elapsed()
        return any(
            required.is_of_release(target) and not target.is_leaving
            for target in self._rank(required.service, required.model, now)
        )

    def acquire(self, target: RegisteredTarget) -> None:
        """Acquire a slot of a target."""
        target.running += 1
        self.running[target.registration.service] += 1

    def release(self, target: RegisteredTarget) -> None:
        """Release a slot of a target."""
        target.running -= 1
        self.running[target.registration.service] -= 1

    def _rank(
        self, service: str, key: str, now: timedelta
    ) -> Sequence[RegisteredTarget]:
        self.directory.registry.expire(now)
        return self.directory.registry.rank(service, key)

    def _find_free(
        self,
        service: str,
        ranked: Sequence[RegisteredTarget],
        is_free: Callable[[RegisteredTarget], bool],
    ) -> list[RegisteredTarget]:
        if not ranked:
            return []
        size = find_subset_size(self.running[service], ranked[0].slots)
        return find_free(ranked, is_free, size, self.rng)

    def _pause_search(
        self,
        requirements: EngineRequirements,
        targets: int,
        now: timedelta,
    ) -> None:
        self.search_after = {
            paused: until
            for paused, until in self.search_after.items()
            if until > now
        }
        self.search_after[requirements] = now + find_search_pause(targets)


def limit_reward_calls(slots: int, hosts: int) -> int:
    """Return the number of reward calls that one host may run at a target.

    Args:
        slots: Slots of the target.
        hosts: Number of hosts that share the target.
    """
    return max(1, (slots - LIVE_RESERVE) // hosts)
