"""Chooses targets for items and reward calls."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.registries import RegisteredTarget, median_seconds

from sequoia_rollouts.directories import Directory

# An item moves to another engine if its engine is slower by more than this
# factor.
MOVE_PACE_RATIO = 1.4
LIVE_RESERVE = 1  # slots of a plain target kept free for live requests


@frozen
class EngineRequirements:
    """Requirements of an item for its engine.

    Attributes:
        min_version: Oldest version of ``model`` that may generate the item.
    """

    service: str
    model: str = ''
    min_version: int = 0

    def is_met_by(self, target: RegisteredTarget, now: timedelta) -> bool:
        """Return whether an engine can start the item now."""
        if not self.model:
            return True
        if target.is_loading(self.model, now):
            return False
        return target.version_of(self.model) >= self.min_version


@define
class Placer:
    """Chooses the target that is expected to finish first.

    Attributes:
        count_hosts: Returns the number of hosts that run submissions,
            including this one; they share the targets.
    """

    clock: Clock
    directory: Directory
    count_hosts: Callable[[], int]

    def choose_engine(
        self, requirements: EngineRequirements
    ) -> RegisteredTarget | None:
        """Return an engine with a free slot, or None."""
        now = self.clock.elapsed()
        usable = self.directory.registry.usable(requirements.service, now)
        free = [
            target
            for target in usable
            if target.running < target.slots
            and requirements.is_met_by(target, now)
        ]
        return self._choose(free, now)

    def choose_scorer(self, service: str) -> RegisteredTarget | None:
        """Return a plain target with room for a reward call, or None."""
        now = self.clock.elapsed()
        usable = self.directory.registry.usable(service, now)
        hosts = max(1, self.count_hosts())
        free = [
            target
            for target in usable
            if target.running < limit_reward_calls(target.slots, hosts)
        ]
        return self._choose(free, now)

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

    def release(self, target: RegisteredTarget) -> None:
        """Release a slot of a target."""
        target.running -= 1

    def _choose(
        self,
        free: list[RegisteredTarget],
        now: timedelta,
    ) -> RegisteredTarget | None:
        if not free:
            return None
        median = median_seconds(free, now)
        return min(free, key=lambda target: target.estimate(now, median))


def limit_reward_calls(slots: int, hosts: int) -> int:
    """Return the number of reward calls that one host may run at a target.

    Args:
        slots: Slots of the target.
        hosts: Number of hosts that share the target.
    """
    return max(1, (slots - LIVE_RESERVE) // hosts)
