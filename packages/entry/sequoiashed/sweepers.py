"""Removes rows of finished claims once their horizon has passed."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import RowWrite

from sequoiashed.states import HostState

PERIOD = timedelta(seconds=5)
BATCH_ROWS = 64
MOST_ROWS = 100000  # rows that a host remembers to remove

log = Log('sweep')


@frozen
class ExpiringRow:
    """A row that may be removed from a time on."""

    expires: timedelta
    key: str
    revision: int


@define
class ClaimSweeper:
    """Remembers the claims that this host wrote, and removes old ones.

    Claims of a host that dies are left in the table.
    """

    state: HostState
    rows: list[ExpiringRow] = field(factory=list)

    def add(self, key: str, revision: int, horizon: timedelta) -> None:
        """Remember a row that was written last by this host."""
        if len(self.rows) < MOST_ROWS:
            expires = self.state.clock.elapsed() + horizon
            self.rows.append(ExpiringRow(expires, key, revision))

    async def run(self) -> None:
        """Remove old rows until cancelled."""
        while True:
            await curio.sleep(PERIOD.total_seconds())
            await self.sweep()

    async def sweep(self) -> None:
        """Remove all rows whose horizon has passed."""
        now = self.state.clock.elapsed()
        expired = [row for row in self.rows if row.expires <= now]
        for start in range(0, len(expired), BATCH_ROWS):
            await self._remove(expired[start : start + BATCH_ROWS])

    async def _remove(self, batch: list[ExpiringRow]) -> None:
        """Remove rows together, or one by one if one of them changed."""
        try:
            if not await self._commit(batch):
                for row in batch:
                    await self._commit([row])
        except ServiceError as failure:
            log.write('claims stay for now', detail=failure.detail)
            return
        gone = set(batch)
        self.rows = [row for row in self.rows if row not in gone]

    async def _commit(self, batch: list[ExpiringRow]) -> bool:
        writes = [RowWrite(row.key, row.revision, None) for row in batch]
        answer = await self.state.store.commit(*writes)
        return answer.committed
