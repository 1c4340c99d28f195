"""Hands out places at targets to items and reward calls."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.registries import RegisteredTarget, median_seconds

from sequoia_rollouts.directories import Directory

MOVE_FACTOR = 1.4  # times slower than the engine to move to
LIVE_RESERVE = 1  # slots of a plain target that reward calls leave free


@frozen
class EngineNeed:
    """What an item needs of an engine.

    Attributes:
        min_version: Oldest version of ``model`` that may generate.
    """

    service: str
    model: str = ''
    min_version: int = 0

    def fits(self, target: RegisteredTarget, now: timedelta) -> bool:
        """Tell whether an engine can start with a version new enough."""
        if not self.model:
            return True
        if target.is_loading(self.model, now):
            return False
        return target.version_of(self.model) >= self.min_version


@define
class Placer:
    """Gives each item the engine that should finish it first.

    Attributes:
        sharers: Returns the number of hosts that run submissions, with this
            one; they share the targets.
    """

    clock: Clock
    directory: Directory
    sharers: Callable[[], int]

    def choose_engine(self, need: EngineNeed) -> RegisteredTarget | None:
        """Return an engine with a free slot, or None."""
        now = self.clock.elapsed()
        usable = self.directory.registry.usable(need.service, now)
        free = [
            target
            for target in usable
            if target.running < target.slots and need.fits(target, now)
        ]
        return self._choose(free, now)

    def choose_scorer(self, service: str) -> RegisteredTarget | None:
        """Return a plain target that takes one more reward call, or None."""
        now = self.clock.elapsed()
        usable = self.directory.registry.usable(service, now)
        sharers = max(1, self.sharers())
        free = [
            target
            for target in usable
            if target.running < bound_rewards(target.slots, sharers)
        ]
        return self._choose(free, now)

    def finds_faster(self, need: EngineNeed, target: RegisteredTarget) -> bool:
        """Tell whether a run should go on at a much faster engine."""
        now = self.clock.elapsed()
        pace = target.known_seconds(now)
        other = self.choose_engine(need)
        if pace is None or other is None or other is target:
            return False
        known = other.known_seconds(now)
        return known is not None and pace > known * MOVE_FACTOR

    def release(self, target: RegisteredTarget) -> None:
        """Give a slot back."""
        target.running -= 1

    def _choose(
        self,
        free: list[RegisteredTarget],
        now: timedelta,
    ) -> RegisteredTarget | None:
        if not free:
            return None
        usual = median_seconds(free, now)
        return min(free, key=lambda target: target.estimate(now, usual))


def bound_rewards(slots: int, sharers: int) -> int:
    """Return the reward calls that one host may run at a plain target."""
    return max(1, (slots - LIVE_RESERVE) // sharers)
