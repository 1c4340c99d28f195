"""Polls the rows that a host follows with one query per interval."""

from datetime import timedelta
from typing import Protocol

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Row, TableQuery

from sequoiashed.states import HostState

JITTER = 0.3  # fraction of the interval

log = Log('board')


class RowSubscriber(Protocol):
    """A component that is notified of the rows it follows."""

    def keys(self) -> tuple[str, ...]:
        """Return the keys of the rows to read."""

    async def accept(
        self, rows: dict[str, Row], requested_at: timedelta
    ) -> None:
        """Handle the rows as they were at or after ``requested_at``."""


@define
class RowPoller:
    """Reads the rows of all subscribers in one query, at jittered intervals."""

    state: HostState
    subscribers: tuple[RowSubscriber, ...]

    async def run(self) -> None:
        """Poll until cancelled or draining."""
        interval = self.state.settings.board_period.total_seconds()
        while not self.state.draining:
            await self.read_once()
            jitter = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
            await curio.sleep(interval * jitter)

    async def read_once(self) -> None:
        """Read all rows and pass them to the subscribers."""
        requested_at = self.state.clock.elapsed()
        keys = [
            key for subscriber in self.subscribers for key in subscriber.keys()
        ]
        try:
            rows = await self.state.store.read(TableQuery(tuple(keys)))
        except ServiceError as error:
            self.state.metrics.store_errors.labels('board').inc()
            log.write('failed to read the store', detail=error.detail)
            return
        for subscriber in self.subscribers:
            await subscriber.accept(rows, requested_at)
