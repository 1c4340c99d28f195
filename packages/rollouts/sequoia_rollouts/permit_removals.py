"""Removes the stored permits of limits that no host has seen for long."""

from datetime import timedelta

from attrs import define
from sequoia_policy.permits import PermitState
from sequoia_policy.target_limits import FORGET_AFTER
from sequoia_wire.codecs import decode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.ownership import OwnershipTable
from sequoia_rollouts.partition_sweepers import PartitionSweeper
from sequoia_rollouts.permits import TABLE
from sequoia_rollouts.stores import Guard, Row, RowWrite, Store, Transaction

log = Log('sweep')
PERMITS_NOT_REMOVED = log.event(
    'permits not removed', 'key', 'detail', kind=LogKind.FAILURE
)


@define
class PermitRemover:
    """Removes the stored permits of one target."""

    store: Store

    async def remove_outdated(self, row: Row, now: timedelta) -> None:
        """Remove a row whose limit was last named long ago.

        Raises:
            ConflictError: If a host has changed the row.
            ServiceError: If it cannot be decoded, or the store does not
                respond.
        """
        state = decode(row.body or b'', PermitState)
        if now - max(state.named_at, state.due_at) > FORGET_AFTER:
            removal = (RowWrite(row.key),)
            guard = (Guard(row.key, row.version),)
            await self.store.commit(Transaction(removal, guard))


def make_permit_sweeper(
    store: Store, ownership: OwnershipTable
) -> PartitionSweeper:
    """Return the sweeper of the stored permits."""
    return PartitionSweeper(
        store,
        ownership,
        TABLE,
        PermitRemover(store).remove_outdated,
        PERMITS_NOT_REMOVED,
    )
