"""Shuts a host down without aborting what is in flight."""

from contextlib import suppress
from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.servers import HttpServer

from sequoia_rollouts.lease_keepers import LeaseKeeper
from sequoia_rollouts.ownership import OwnershipTable
from sequoia_rollouts.submissions import SubmissionHandler
from sequoia_rollouts.weights import WeightManagers

ROTATION_TIME = timedelta(milliseconds=3200)  # until callers choose other hosts
ITEM_FINISH_TIMEOUT = timedelta(milliseconds=2500)  # items in flight at a stop
STOP_MARGIN = timedelta(seconds=1)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)

log = Log('host')
HOST_DRAINS = log.event('host drains', 'host')
HOST_STOPPED = log.event('host stopped', 'host')
NOT_HANDED_OVER = log.event(
    'not handed over', 'submission', 'detail', kind=LogKind.FAILURE
)


@define
class Shutdown:
    """Shutdown of a host that already reports that it is not ready."""

    submission_handler: SubmissionHandler
    ownership: OwnershipTable
    weights: WeightManagers
    front: HttpServer
    lease_keeper: LeaseKeeper

    async def run(self, stop_limit: timedelta) -> None:
        """Wait until all work is finished or handed over, or until a time limit.

        Args:
            stop_limit: Time after which the process is killed.
        """
        HOST_DRAINS.write(host=self.ownership.heartbeats.own.host)
        limit = stop_limit - STOP_MARGIN
        async with curio.ignore_after(limit.total_seconds()):
            async with curio.TaskGroup() as group:
                await group.spawn(self._hand_over)
                await group.spawn(self._end_calls)
        HOST_STOPPED.write(host=self.ownership.heartbeats.own.host)

    async def _hand_over(self) -> None:
        """Finish items in flight, then release the rest to other hosts."""
        with suppress(ServiceError):
            await self.weights.release()
        for runner in self.submission_handler.runners.values():
            runner.draining = True
        async with curio.ignore_after(ITEM_FINISH_TIMEOUT.total_seconds()):
            while not self._is_idle():
                await curio.sleep(DRAIN_POLL_INTERVAL.total_seconds())
        for submission_id, runner in tuple(
            self.submission_handler.runners.items()
        ):
            await runner.saver.save()
            await self._release(submission_id)
        with suppress(ServiceError):
            await self.lease_keeper.release()

    async def _release(self, submission_id: str) -> None:
        try:
            await self.ownership.release(submission_id)
        except ServiceError as failure:
            NOT_HANDED_OVER.write(submission=submission_id, detail=str(failure))

    def _is_idle(self) -> bool:
        return all(
            runner.is_idle
            for runner in self.submission_handler.runners.values()
        )

    async def _end_calls(self) -> None:
        await curio.sleep(ROTATION_TIME.total_seconds())
        await self.front.drain()
