"""Lets other hosts own the work of a host that reaches no target."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.target_paths import TargetPath
from sequoia_policy.work_releases import WorkRelease
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.coordination import Coordination
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.submissions.submission_handlers import SubmissionHandler

CHECK_INTERVAL = timedelta(milliseconds=200)

log = Log('host')
WORK_RELEASED = log.event('work released', 'submissions', kind=LogKind.FAILURE)
WORK_RESUMED = log.event('work resumed')
WORK_NOT_RELEASED = log.event(
    'work not released', 'detail', kind=LogKind.FAILURE
)


class Releasable(Protocol):
    """Duties that a host may hold."""

    async def release(self) -> None:
        """Release the duties for other hosts.

        Raises:
            ServiceError: If the store does not respond.
        """


@define(eq=False)
class PathRelease:
    """Releases submissions and duties while the path to targets is cut.

    The heartbeat then says that this host is draining, so that hosts, also those
    of older builds, choose it neither as an owner nor as a peer.

    Attributes:
        duties: Released with the submissions.
        is_stopping: Returns whether the host is shutting down, which releases
            its work by itself.
    """

    clock: Clock
    path: TargetPath
    coordination: Coordination
    ownership: OwnershipTable
    submission_handler: SubmissionHandler
    duties: tuple[Releasable, ...]
    is_stopping: Callable[[], bool]
    release: WorkRelease = field(factory=WorkRelease)

    @property
    def gives_work_away(self) -> bool:
        """Whether other hosts are to go on with the work of this host."""
        heartbeats = self.ownership.heartbeats
        return self.release.is_released and bool(heartbeats.live_owners())

    async def run(self) -> None:
        """Release and resume work until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL.total_seconds())
            if not self.is_stopping():
                await self._step()

    async def _step(self) -> None:
        was_released = self.release.is_released
        is_released = self.release.update(
            is_suspected=self.path.is_suspected,
            is_cut=self.path.is_cut,
            now=self.clock.elapsed(),
        )
        if is_released and not was_released:
            self.coordination.start_draining()
        elif was_released and not is_released:
            self.coordination.stop_draining()
            WORK_RESUMED.write()
        if self.gives_work_away:
            await self._release_all()

    async def _release_all(self) -> None:
        """Release what this host owns; what the store refuses is tried again."""
        try:
            for duty in self.duties:
                await duty.release()
            released = await self._release_submissions()
        except ServiceError as failure:
            WORK_NOT_RELEASED.write(detail=str(failure))
            return
        if released:
            WORK_RELEASED.write(submissions=released)

    async def _release_submissions(self) -> list[str]:
        released = []
        runners = self.submission_handler.runners
        for submission_id, runner in tuple(runners.items()):
            await runner.saver.save()
            await self.ownership.release(submission_id)
            released.append(submission_id)
        return released
