"""Assigns the slots of plain targets to reward calls by rank."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.submissions import GroupRank

from sequoia_rollouts.submissions.placers import Placer

POLL_INTERVAL = timedelta(milliseconds=20)


@define(eq=False)
class QueuedRewardCall:
    """A reward call that waits for a slot.

    Attributes:
        rank: Returns the current rank of the call; the lowest rank is next.
        target: The target whose slot the call has acquired.
        ready: Set when ``target`` is set.
    """

    service: str
    rank: Callable[[], GroupRank]
    target: RegisteredTarget | None = None
    ready: curio.Event = field(factory=curio.Event)


@define
class ScorerQueue:
    """Gives the next free slot to the queued reward call of the lowest rank.

    Attributes:
        poll_at: When the calls to a service are dispatched again although no
            slot was released, by service.
    """

    placer: Placer
    queued: list[QueuedRewardCall] = field(factory=list)
    poll_at: dict[str, timedelta] = field(factory=dict)

    async def acquire(
        self,
        service: str,
        rank: Callable[[], GroupRank],
    ) -> RegisteredTarget:
        """Wait for a free slot at a target of a service and acquire it."""
        queued_call = QueuedRewardCall(service, rank)
        self.queued.append(queued_call)
        try:
            await self._dispatch(service)
            while queued_call.target is None:
                await self._poll(service)
                async with curio.ignore_after(POLL_INTERVAL.total_seconds()):
                    await queued_call.ready.wait()
        except curio.CancelledError:
            await self._cancel(queued_call)
            raise
        return queued_call.target

    async def release(self, target: RegisteredTarget) -> None:
        """Release a slot and dispatch the next queued call."""
        self.placer.release(target)
        await self._dispatch(target.registration.service)

    async def _cancel(self, queued_call: QueuedRewardCall) -> None:
        if queued_call.target is None:
            self.queued.remove(queued_call)
        else:
            await self.release(queued_call.target)

    async def _poll(self, service: str) -> None:
        """Dispatch calls whose target has become usable again.

        All waiting calls poll, and one of them at a time dispatches.
        """
        now = self.placer.clock.elapsed()
        if now >= self.poll_at.get(service, now):
            self.poll_at[service] = now + POLL_INTERVAL
            await self._dispatch(service)

    async def _dispatch(self, service: str) -> None:
        candidates = [
            queued_call
            for queued_call in self.queued
            if queued_call.service == service
        ]
        while candidates:
            target = self.placer.choose_scorer(service)
            if target is None:
                return
            chosen = min(candidates, key=lambda queued_call: queued_call.rank())
            candidates.remove(chosen)
            self.queued.remove(chosen)
            self.placer.acquire(target)
            chosen.target = target
            await chosen.ready.set()
