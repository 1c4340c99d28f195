"""Follows a table of the store: a listing, then changes."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.stores import (
    HistoryLostError,
    Row,
    RowPage,
    RowRange,
    Store,
    read_all,
)

FOLLOW_PATIENCE = timedelta(seconds=1)
RETRY_PAUSE = timedelta(milliseconds=100)

log = Log('feed')
STORE_IS_BACK = log.event('store is back', 'table')
STORE_IS_AWAY = log.event(
    'store is away', 'table', 'detail', kind=LogKind.FAILURE
)
HISTORY_LOST = log.event('history lost', 'table', kind=LogKind.FAILURE)


@define
class TableFollower:
    """Keeps one host's view of a table up to date.

    Attributes:
        table: Table to follow.
        parts: Parts that a listing reads.
        on_listing: Takes all rows, also after history was lost.
        on_change: Takes one changed or removed row.
        find_period: Returns the shortest time between two reads of changes.
        version: Version up to which changes were taken; None before the
            first listing.
        in_touch: When the store last answered.
        troubled: When the store last failed to answer.
    """

    store: Store
    clock: Clock
    table: str
    on_listing: Callable[[tuple[Row, ...]], Awaitable[None]]
    on_change: Callable[[Row], Awaitable[None]]
    find_period: Callable[[], timedelta]
    parts: tuple[str, ...] = ('',)
    version: int | None = None
    in_touch: timedelta | None = None
    troubled: timedelta | None = None
    listed: curio.Event = field(factory=curio.Event)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self.step()
            except HistoryLostError:
                HISTORY_LOST.write(table=self.table)
                self.version = None
            except ServiceError as failure:
                self._note_trouble(failure)
                await curio.sleep(RETRY_PAUSE.total_seconds())

    async def step(self) -> None:
        """Take a listing, or the next changes.

        Raises:
            HistoryLostError: If a listing is needed.
            ServiceError: If the store does not answer.
        """
        if self.version is None:
            await self._list()
        else:
            await self._follow(self.version)
        if self._is_cut_off():
            STORE_IS_BACK.write(table=self.table)
        self.in_touch = self.clock.elapsed()

    def age(self) -> timedelta | None:
        """Return the time since the store last confirmed the table."""
        if self.in_touch is None:
            return None
        return self.clock.elapsed() - self.in_touch

    def had_trouble(self, span: timedelta) -> bool:
        """Tell whether the store failed within the last ``span``."""
        if self.troubled is None:
            return False
        return self.clock.elapsed() - self.troubled < span

    async def _list(self) -> None:
        pages = [await self._read_part(part) for part in self.parts]
        rows = [row for page in pages for row in page.rows]
        await self.on_listing(tuple(rows))
        self.version = min(page.version for page in pages)
        await self.listed.set()

    async def _read_part(self, part: str) -> RowPage:
        return await read_all(self.store, RowRange(self.table, part))

    async def _follow(self, after: int) -> None:
        started = self.clock.elapsed()
        changes = await self.store.follow(self.table, after, FOLLOW_PATIENCE)
        for row in changes.rows:
            await self.on_change(row)
        self.version = max(after, changes.version)
        left = started + self.find_period() - self.clock.elapsed()
        if left > timedelta():
            await curio.sleep(left.total_seconds())

    def _is_cut_off(self) -> bool:
        if self.troubled is None or self.in_touch is None:
            return False
        return self.troubled > self.in_touch

    def _note_trouble(self, failure: ServiceError) -> None:
        if not self._is_cut_off():
            STORE_IS_AWAY.write(table=self.table, detail=failure.detail)
        self.troubled = self.clock.elapsed()
