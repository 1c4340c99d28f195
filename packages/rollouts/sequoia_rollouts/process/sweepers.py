"""Removes stored rows that callers can no longer request."""

from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.submissions.abandonments import make_abandonment_sweeper
from sequoia_rollouts.storage.batches import split_writes
from sequoia_rollouts.fleet.ownership import (
    OwnedSubmission,
    OwnershipTable,
    is_first,
)
from sequoia_rollouts.live import quarantines, stream_records
from sequoia_rollouts.targets import permit_rows
from sequoia_rollouts.fleet.partition_sweepers import (
    PartitionSweeper,
    make_row_sweeper,
)
from sequoia_rollouts.storage.stores import (
    ConflictError,
    Guard,
    RowWrite,
    Store,
    Transaction,
    read_all,
)
from sequoia_rollouts.base.supervisors import supervise
from sequoia_rollouts.storage.tables import (
    progress_range,
    results_range,
    specification_range,
    submission_key,
)

SWEEP_INTERVAL = timedelta(seconds=5)
# Both count from acceptance. Callers may read a submission for 120 s.
ENDED_RETENTION = timedelta(seconds=180)
OPEN_RETENTION = timedelta(seconds=3600)  # for submissions never ended

log = Log('sweep')
SUBMISSION_REMOVED = log.event('submission removed', 'submission', 'rows')
NOT_REMOVED = log.event('not removed', 'key', 'detail', kind=LogKind.FAILURE)


@define
class Sweeper:
    """Removes expired submissions.

    Each is removed by one coordinator: the first in the rendezvous order of its
    id. Other hosts only drop their copy of its ownership.
    """

    store: Store
    clock: Clock
    ownership: OwnershipTable
    abandonments: PartitionSweeper = field(init=False)
    permits: PartitionSweeper = field(init=False)
    crashes: PartitionSweeper = field(init=False)
    streams: PartitionSweeper = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the sweepers of single tables."""
        self.abandonments = make_abandonment_sweeper(self.store, self.ownership)
        self.permits = make_row_sweeper(
            self.store,
            self.ownership,
            permit_rows.TABLE,
            permit_rows.is_outdated,
        )
        self.crashes = make_row_sweeper(
            self.store,
            self.ownership,
            quarantines.TABLE,
            quarantines.is_outdated,
            quarantines.PARTITIONS,
        )
        self.streams = make_row_sweeper(
            self.store,
            self.ownership,
            stream_records.TABLE,
            stream_records.is_outdated,
        )

    async def run(self) -> None:
        """Sweep until cancelled."""
        async with curio.TaskGroup(wait=all) as group:
            await group.spawn(supervise, self.abandonments.run)
            await group.spawn(supervise, self.permits.run)
            await group.spawn(supervise, self.crashes.run)
            await group.spawn(supervise, self.streams.run)
            await group.spawn(supervise, self.run_removals)

    async def run_removals(self) -> None:
        """Remove expired submissions until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL.total_seconds())
            await self.sweep()

    async def sweep(self) -> None:
        """Remove expired submissions."""
        for owned in tuple(self.ownership.submissions.values()):
            now = self.ownership.heartbeats.store_clock.now()
            if now is None or not is_expired(owned, now):
                continue
            if is_first(self.ownership, owned.id):
                await self._try_remove(owned)
            elif not self.ownership.heartbeats.is_coordinator:
                self.ownership.submissions.pop(owned.id, None)

    async def _try_remove(self, owned: OwnedSubmission) -> None:
        try:
            await self._remove(owned)
        except (ConflictError, ServiceError) as failure:
            NOT_REMOVED.write(key=owned.id, detail=str(failure))

    async def _remove(self, owned: OwnedSubmission) -> None:
        """Remove all rows of a submission, its ownership row last.

        Its age is judged by the clock of the store in each response.
        """
        writes: list[RowWrite] = []
        for key_range in (
            progress_range(owned.id),
            results_range(owned.id),
            specification_range(owned.id),
        ):
            page = await read_all(self.store, key_range)
            if not is_expired(owned, page.now):
                return
            writes.extend(RowWrite(row.key) for row in page.rows)
        for batch in split_writes(writes):
            await self.store.commit(Transaction(batch))
        key = submission_key(owned.id)
        await self.store.commit(
            Transaction((RowWrite(key),), (Guard(key, owned.version),)),
        )
        self.ownership.submissions.pop(owned.id, None)
        SUBMISSION_REMOVED.write(submission=owned.id, rows=len(writes))


def is_expired(owned: OwnedSubmission, now: timedelta) -> bool:
    """Return whether callers can no longer request a submission.

    Args:
        owned: The submission.
        now: Time by the clock of the store.
    """
    retention = ENDED_RETENTION if owned.ownership.ended else OPEN_RETENTION
    return now - owned.ownership.accepted > retention
