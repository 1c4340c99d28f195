"""Reads the rows that a host follows in one query a period."""

from datetime import timedelta
from typing import Protocol

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import Row, TableQuery

from sequoiashed.states import HostState

JITTER = 0.3  # share of the period

log = Log('board')


class RowSubscriber(Protocol):
    """A part of the daemon that follows some rows."""

    def keys(self) -> tuple[str, ...]:
        """Return the rows to read."""

    async def accept(self, rows: dict[str, Row], asked: timedelta) -> None:
        """Take the rows as they were at or after the time ``asked``."""


@define
class RowPoller:
    """Reads the rows of all parts at once, with jitter between reads."""

    state: HostState
    readers: tuple[RowSubscriber, ...]

    async def run(self) -> None:
        """Read until cancelled."""
        period = self.state.settings.board_period.total_seconds()
        while not self.state.draining:
            await self.read_once()
            spread = self.state.rng.uniform(1 - JITTER, 1 + JITTER)
            await curio.sleep(period * spread)

    async def read_once(self) -> None:
        """Read all rows and pass them to the parts."""
        asked = self.state.clock.elapsed()
        keys = [key for reader in self.readers for key in reader.keys()]
        try:
            rows = await self.state.store.read(TableQuery(tuple(keys)))
        except ServiceError as failure:
            self.state.metrics.store_errors.labels('board').inc()
            log.write('store is away', detail=failure.detail)
            return
        for reader in self.readers:
            await reader.accept(rows, asked)
