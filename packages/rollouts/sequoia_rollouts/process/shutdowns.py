"""Shuts a host down without aborting what is in flight."""

from contextlib import suppress
from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.stops import StopTimes
from sequoia_wire.clients import HttpClient
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.servers import HttpServer

from sequoia_rollouts.fleet.lease_keepers import LeaseKeeper
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.process.duties import Duties
from sequoia_rollouts.submissions.submission_handlers import SubmissionHandler
from sequoia_rollouts.weights.weight_managers import WeightManagers

ITEM_FINISH_TIMEOUT = timedelta(milliseconds=2500)  # items in flight at a stop
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)

log = Log('host')
HOST_DRAINS = log.event('host drains', 'host')
HOST_STOPPED = log.event('host stopped', 'host')
REQUESTS_ABORTED = log.event(
    'requests aborted', 'requests', kind=LogKind.FAILURE
)
HAND_OVER_FAILED = log.event('hand-over failed', 'error', kind=LogKind.FAILURE)
NOT_HANDED_OVER = log.event(
    'not handed over', 'submission', 'detail', kind=LogKind.FAILURE
)


@define
class Shutdown:
    """Shutdown of a host that already reports that it is not ready.

    Attributes:
        client: Sends the requests of callers and the items to targets.
        times: When it refuses new requests, answers the last one and ends.
    """

    clock: Clock
    submission_handler: SubmissionHandler
    ownership: OwnershipTable
    weights: WeightManagers
    duties: Duties
    front: HttpServer
    client: HttpClient
    lease_keeper: LeaseKeeper
    times: StopTimes

    async def run(self) -> None:
        """Finish all work or hand it over, and answer what is left in time."""
        HOST_DRAINS.write(host=self.ownership.heartbeats.own.host)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._finish)
            await group.spawn(self._answer_the_rest)
        HOST_STOPPED.write(host=self.ownership.heartbeats.own.host)

    async def _finish(self) -> None:
        async with curio.TaskGroup() as group:
            await group.spawn(self._try_hand_over)
            await group.spawn(self._end_calls)
        await self.duties.finish()

    async def _answer_the_rest(self) -> None:
        """Let requests in flight fail while there is time to say so."""
        await self._wait_until(self.times.answers_by)
        aborted = self.client.abort()
        if aborted:
            REQUESTS_ABORTED.write(requests=aborted)
        await self._wait_until(self.times.ends_at)

    async def _wait_until(self, time: timedelta) -> None:
        """Wait by the host's clock, which also runs while it is suspended."""
        while self.clock.elapsed() < time:
            await curio.sleep(DRAIN_POLL_INTERVAL.total_seconds())

    async def _try_hand_over(self) -> None:
        """Hand over; a failure of it must not cut off requests in flight."""
        try:
            await self._hand_over()
        except Exception as error:  # noqa: BLE001
            HAND_OVER_FAILED.write(error=repr(error))

    async def _hand_over(self) -> None:
        """Finish items in flight, then release the rest to other hosts."""
        with suppress(ServiceError):
            await self.weights.release()
        await self.duties.release()
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
        await self._wait_until(self.times.refuses_at)
        await self.front.drain()
