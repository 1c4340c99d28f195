"""Removes what hosts have stored of submissions that were never accepted."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.acceptance_markers import (
    ACCEPTANCES,
    marker_key,
    read_marker,
)
from sequoia_rollouts.batches import split_writes
from sequoia_rollouts.ownership import OwnershipTable, is_first
from sequoia_rollouts.stores import (
    ABSENT,
    ConflictError,
    Guard,
    Row,
    RowRange,
    RowWrite,
    Store,
    Transaction,
    read_all,
)
from sequoia_rollouts.tables import (
    PARTITIONS,
    specification_range,
    submission_key,
)

SWEEP_INTERVAL = timedelta(seconds=60)
MAX_ACCEPTANCE_AGE = timedelta(seconds=120)  # callers retry within seconds

log = Log('sweep')
ACCEPTANCE_REMOVED = log.event('acceptance removed', 'submission', 'rows')
ACCEPTANCE_NOT_REMOVED = log.event(
    'acceptance not removed', 'key', 'detail', kind=LogKind.FAILURE
)


@define
class AbandonmentSweeper:
    """Removes the rows of acceptances that no host has completed.

    Each partition is swept by the first coordinator in its rendezvous order.
    """

    store: Store
    ownership: OwnershipTable

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL.total_seconds())
            await self.sweep()

    async def sweep(self) -> None:
        """Remove the rows of all abandoned acceptances."""
        for partition in PARTITIONS:
            if is_first(self.ownership, partition):
                await self._sweep_partition(partition)

    async def _sweep_partition(self, partition: str) -> None:
        try:
            page = await read_all(self.store, RowRange(ACCEPTANCES, partition))
        except ServiceError as failure:
            ACCEPTANCE_NOT_REMOVED.write(key=partition, detail=failure.detail)
            return
        for row in page.rows:
            await self._try_remove(row, page.now)

    async def _try_remove(self, marker: Row, now: timedelta) -> None:
        try:
            stored = read_marker(marker.body or b'')
            if now - stored.started > MAX_ACCEPTANCE_AGE:
                await self._remove(marker)
        except (ConflictError, ServiceError) as failure:
            ACCEPTANCE_NOT_REMOVED.write(
                key=marker.key.key, detail=str(failure)
            )

    async def _remove(self, marker: Row) -> None:
        """Remove the marker, then the rows that it names.

        Without the marker no host can complete the acceptance. The guards keep
        the rows if a host has started a new one.
        """
        submission_id = marker.key.key
        await self.store.commit(
            Transaction(
                (RowWrite(marker.key),),
                (Guard(marker.key, marker.version),),
            )
        )
        page = await read_all(self.store, specification_range(submission_id))
        removals = [RowWrite(row.key) for row in page.rows]
        guards = (
            Guard(marker_key(submission_id), ABSENT),
            Guard(submission_key(submission_id), ABSENT),
        )
        for batch in split_writes(removals):
            await self.store.commit(Transaction(batch, guards))
        ACCEPTANCE_REMOVED.write(submission=submission_id, rows=len(removals))
