"""Deletes rows of finished claims after their retention time."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import RowWrite

from sequoiashed.states import HostState

SWEEP_INTERVAL = timedelta(seconds=5)
BATCH_ROWS = 64
MAX_ROWS = 100000  # rows that a host tracks for deletion

log = Log('sweep')


@frozen
class ExpiringRow:
    """A row that may be deleted once it has expired."""

    expires_at: timedelta
    key: str
    revision: int


@define
class ClaimSweeper:
    """Tracks the claims that this host wrote, and deletes expired ones.

    Claims of a host that dies remain in the table.
    """

    state: HostState
    rows: list[ExpiringRow] = field(factory=list)

    def add(self, key: str, revision: int, horizon: timedelta) -> None:
        """Track a row at the revision that this host wrote.

        The row is ignored if ``MAX_ROWS`` rows are tracked already.
        """
        if len(self.rows) < MAX_ROWS:
            expires_at = self.state.clock.elapsed() + horizon
            self.rows.append(ExpiringRow(expires_at, key, revision))

    async def run(self) -> None:
        """Delete expired rows until cancelled."""
        while True:
            await curio.sleep(SWEEP_INTERVAL.total_seconds())
            await self.sweep()

    async def sweep(self) -> None:
        """Delete all tracked rows that have expired."""
        now = self.state.clock.elapsed()
        expired = [row for row in self.rows if row.expires_at <= now]
        for start in range(0, len(expired), BATCH_ROWS):
            await self._delete(expired[start : start + BATCH_ROWS])

    async def _delete(self, batch: list[ExpiringRow]) -> None:
        """Delete rows in one transaction, or singly if one of them changed."""
        try:
            if not await self._commit(batch):
                for row in batch:
                    await self._commit([row])
        except ServiceError as error:
            log.write(
                'failed to delete expired claims; retrying', detail=error.detail
            )
            return
        deleted = set(batch)
        self.rows = [row for row in self.rows if row not in deleted]

    async def _commit(self, batch: list[ExpiringRow]) -> bool:
        writes = [RowWrite(row.key, row.revision, None) for row in batch]
        response = await self.state.store.commit(*writes)
        return response.committed
