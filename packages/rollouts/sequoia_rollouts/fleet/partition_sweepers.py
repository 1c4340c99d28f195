"""Removes outdated rows of a table, one partition at a time."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogEvent, LogKind

from sequoia_rollouts.fleet.ownership import OwnershipTable, is_first
from sequoia_rollouts.storage.stores import (
    ConflictError,
    Guard,
    Row,
    RowRange,
    RowWrite,
    Store,
    Transaction,
    read_all,
)
from sequoia_rollouts.storage.tables import PARTITIONS

SWEEP_INTERVAL = timedelta(seconds=60)

log = Log('sweep')
ROW_NOT_REMOVED = log.event(
    'row not removed', 'key', 'detail', kind=LogKind.FAILURE
)


@define
class PartitionSweeper:
    """Removes the outdated rows of one table.

    Each partition is swept by the first coordinator in its rendezvous order.

    Attributes:
        remove_outdated: Removes a row if it is outdated at a time of the
            store's clock.
        not_removed: Logged with the key and the reason if that failed.
        partitions: Partitions of the table.
    """

    store: Store
    ownership: OwnershipTable
    table: str
    remove_outdated: Callable[[Row, timedelta], Awaitable[None]]
    not_removed: LogEvent
    partitions: tuple[str, ...] = PARTITIONS

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL.total_seconds())
            await self.sweep()

    async def sweep(self) -> None:
        """Remove all outdated rows of the table."""
        for partition in self.partitions:
            if is_first(self.ownership, partition):
                await self._sweep_partition(partition)

    async def _sweep_partition(self, partition: str) -> None:
        try:
            page = await read_all(self.store, RowRange(self.table, partition))
        except ServiceError as failure:
            self.not_removed.write(key=partition, detail=failure.detail)
            return
        for row in page.rows:
            await self._try_remove(row, page.now)

    async def _try_remove(self, row: Row, now: timedelta) -> None:
        try:
            await self.remove_outdated(row, now)
        except (ConflictError, ServiceError) as failure:
            self.not_removed.write(key=row.key.key, detail=str(failure))


@define
class RowRemover:
    """Removes single rows.

    Attributes:
        is_outdated: Returns whether a row is outdated at a time of the store's
            clock; raises ``ServiceError`` if the row cannot be decoded.
    """

    store: Store
    is_outdated: Callable[[Row, timedelta], bool]

    async def remove_outdated(self, row: Row, now: timedelta) -> None:
        """Remove a row if it is outdated.

        Raises:
            ConflictError: If a host has changed the row.
            ServiceError: If it cannot be decoded, or the store does not
                respond.
        """
        if self.is_outdated(row, now):
            removal = (RowWrite(row.key),)
            guard = (Guard(row.key, row.version),)
            await self.store.commit(Transaction(removal, guard))


def make_row_sweeper(
    store: Store,
    ownership: OwnershipTable,
    table: str,
    is_outdated: Callable[[Row, timedelta], bool],
    partitions: tuple[str, ...] = PARTITIONS,
) -> PartitionSweeper:
    """Return a sweeper of single rows."""
    return PartitionSweeper(
        store,
        ownership,
        table,
        RowRemover(store, is_outdated).remove_outdated,
        ROW_NOT_REMOVED,
        partitions,
    )
