"""Hands out the slots of plain targets to reward calls, by rank."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.submissions import GroupRank

from sequoia_rollouts.placers import Placer

LOOK_PERIOD = timedelta(milliseconds=20)


@define(eq=False)
class Waiter:
    """A reward call that waits for a slot.

    Attributes:
        rank: Returns the rank of the call as it is now; the lowest is next.
        target: The target whose slot it got.
    """

    service: str
    rank: Callable[[], GroupRank]
    target: RegisteredTarget | None = None
    ready: curio.Event = field(factory=curio.Event)


@define
class ScorerQueue:
    """Lets the reward call of the lowest rank have the next free slot."""

    placer: Placer
    waiters: list[Waiter] = field(factory=list)

    async def acquire(
        self,
        service: str,
        rank: Callable[[], GroupRank],
    ) -> RegisteredTarget:
        """Wait for a target of a service and take one of its slots."""
        waiter = Waiter(service, rank)
        self.waiters.append(waiter)
        try:
            while waiter.target is None:
                await self._dispatch(service)
                async with curio.ignore_after(LOOK_PERIOD.total_seconds()):
                    await waiter.ready.wait()
        except curio.CancelledError:
            await self._abandon(waiter)
            raise
        return waiter.target

    async def release(self, target: RegisteredTarget) -> None:
        """Give a slot back, to the next call if one waits."""
        self.placer.release(target)
        await self._dispatch(target.registration.service)

    async def _abandon(self, waiter: Waiter) -> None:
        if waiter.target is None:
            self.waiters.remove(waiter)
        else:
            await self.release(waiter.target)

    async def _dispatch(self, service: str) -> None:
        waiting = [one for one in self.waiters if one.service == service]
        while waiting:
            target = self.placer.choose_scorer(service)
            if target is None:
                return
            chosen = min(waiting, key=lambda one: one.rank())
            waiting.remove(chosen)
            self.waiters.remove(chosen)
            target.running += 1
            chosen.target = target
            await chosen.ready.set()
