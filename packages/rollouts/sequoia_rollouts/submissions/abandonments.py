"""Removes what hosts have stored of submissions that were never accepted."""

from datetime import timedelta

from attrs import define
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.submissions.acceptance_markers import (
    ACCEPTANCES,
    marker_key,
    read_marker,
)
from sequoia_rollouts.storage.batches import split_writes
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.fleet.partition_sweepers import PartitionSweeper
from sequoia_rollouts.storage.stores import (
    ABSENT,
    Guard,
    Row,
    RowWrite,
    Store,
    Transaction,
    read_all,
)
from sequoia_rollouts.storage.tables import specification_range, submission_key

MAX_ACCEPTANCE_AGE = timedelta(seconds=120)  # callers retry within seconds

log = Log('sweep')
ACCEPTANCE_REMOVED = log.event('acceptance removed', 'submission', 'rows')
ACCEPTANCE_NOT_REMOVED = log.event(
    'acceptance not removed', 'key', 'detail', kind=LogKind.FAILURE
)


@define
class AbandonmentRemover:
    """Removes the rows of an acceptance that no host has completed."""

    store: Store

    async def remove_outdated(self, marker: Row, now: timedelta) -> None:
        """Remove the rows that an old marker names, and the marker.

        Raises:
            ConflictError: If a host has started the acceptance again.
            ServiceError: If the marker cannot be decoded, or the store does
                not respond.
        """
        stored = read_marker(marker.body or b'')
        if now - stored.started > MAX_ACCEPTANCE_AGE:
            await self._remove(marker)

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


def make_abandonment_sweeper(
    store: Store, ownership: OwnershipTable
) -> PartitionSweeper:
    """Return the sweeper of abandoned acceptances."""
    return PartitionSweeper(
        store,
        ownership,
        ACCEPTANCES,
        AbandonmentRemover(store).remove_outdated,
        ACCEPTANCE_NOT_REMOVED,
    )
