"""The shared store as the service sees it, and how lost answers settle."""

from datetime import timedelta
from typing import Protocol

import curio
from attrs import field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict, merge_verdicts
from sequoia_wire.logs import Log, LogKind

ABSENT = 0  # version of a row that does not exist
FIRST_PAUSE = timedelta(milliseconds=30)
LONGEST_PAUSE = timedelta(milliseconds=400)
RETRY_AFTER = timedelta(milliseconds=500)

log = Log('store')
COMMIT_WAS_GIVEN_UP = log.event(
    'commit was given up', 'detail', 'verdict', kind=LogKind.FAILURE
)


@frozen
class RowKey:
    """Where a row stands; rows of one part can change together."""

    table: str
    part: str
    key: str


@frozen
class Row:
    """A row as the store gives it.

    Attributes:
        version: Grows over the whole store with each transaction.
        body: Content; None for a row that was removed.
    """

    key: RowKey
    version: int
    body: bytes | None = field(default=None, repr=False)


@frozen
class Guard:
    """A version that a row must have; ``ABSENT`` for none."""

    key: RowKey
    version: int


@frozen
class RowWrite:
    """New content of a row; None removes it."""

    key: RowKey
    body: bytes | None = field(repr=False)


@frozen
class Transaction:
    """Writes that happen together if all guards hold."""

    writes: tuple[RowWrite, ...]
    guards: tuple[Guard, ...] = ()


@frozen
class RowRange:
    """Asks for the rows of a part from ``start`` up to before ``end``."""

    table: str
    part: str = ''
    start: str = ''
    end: str = ''


@frozen
class RowPage:
    """Rows as of one moment.

    Attributes:
        more: Whether further rows follow in the range.
        version: Newest version of the store.
        now: The store's steady clock.
    """

    rows: tuple[Row, ...]
    version: int
    now: timedelta = timedelta()
    more: bool = False


@frozen
class Changes:
    """Rows that changed since a version, oldest first."""

    rows: tuple[Row, ...]
    version: int


class ConflictError(Exception):
    """A guard did not hold.

    Attributes:
        rows: The guarded rows as they are now.
    """

    def __init__(self, rows: tuple[Row, ...]) -> None:
        """Create the error."""
        super().__init__(f'{len(rows)} rows differ')
        self.rows = rows

    def find(self, key: RowKey) -> Row | None:
        """Return the present state of a row, None if it does not exist."""
        for row in self.rows:
            if row.key == key and row.body is not None:
                return row
        return None


class HistoryLostError(Exception):
    """The store has forgotten the changes since the asked version."""


class Store(Protocol):
    """A transactional table store."""

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction; return its version.

        Raises:
            ConflictError: If a guard did not hold.
            ServiceError: With verdict NOT_RUN only if nothing was or will be
                written.
        """

    async def read(self, wanted: RowRange) -> RowPage:
        """Return the first rows of a range.

        Raises:
            ServiceError: If the store does not answer.
        """

    async def follow(
        self,
        table: str,
        after: int,
        patience: timedelta,
    ) -> Changes:
        """Return the changes of a table, waiting for at least one.

        Raises:
            HistoryLostError: If the store has forgotten them.
            ServiceError: If the store does not answer.
        """


async def read_all(store: Store, wanted: RowRange) -> RowPage:
    """Return all rows of a range; the version is that of the first page."""
    page = await store.read(wanted)
    rows = list(page.rows)
    more = page.more
    while more:
        start = f'{rows[-1].key.key}\0'
        following = await store.read(
            RowRange(wanted.table, wanted.part, start, wanted.end),
        )
        rows.extend(following.rows)
        more = following.more and bool(following.rows)
    return RowPage(tuple(rows), page.version, page.now)


@frozen
class Committer:
    """Commits transactions and settles those whose answer was lost."""

    store: Store
    clock: Clock

    async def commit(
        self,
        transaction: Transaction,
        patience: timedelta,
    ) -> int:
        """Commit, trying again until ``patience`` is over.

        Every write must be guarded. A transaction whose guards fail because
        its own writes are already there has taken effect.

        Returns:
            The version of the written rows.

        Raises:
            ConflictError: If somebody else changed a guarded row.
            ServiceError: With verdict NOT_RUN only if nothing was or will be
                written.
        """
        end = self.clock.elapsed() + patience
        verdict = Verdict.NOT_RUN
        pause = FIRST_PAUSE
        while True:
            try:
                return await self.store.commit(transaction)
            except ConflictError as conflict:
                return settle(transaction, conflict)
            except ServiceError as failure:
                verdict = merge_verdicts(verdict, failure.verdict)
                if self.clock.elapsed() + pause >= end:
                    raise explain_failure(failure, verdict) from failure
            await curio.sleep(pause.total_seconds())
            pause = min(LONGEST_PAUSE, pause * 2)


def explain_failure(failure: ServiceError, verdict: Verdict) -> ServiceError:
    """Return the error of a commit that was given up."""
    COMMIT_WAS_GIVEN_UP.write(
        detail=failure.detail,
        verdict=verdict.value,
    )
    return ServiceError(
        Code.STORE_UNAVAILABLE,
        failure.detail,
        verdict=verdict,
        retry_after=RETRY_AFTER,
    )


def settle(transaction: Transaction, conflict: ConflictError) -> int:
    """Return the version of the rows if they are as the transaction wants.

    Raises:
        ConflictError: If they are not.
    """
    version = ABSENT
    for write in transaction.writes:
        row = conflict.find(write.key)
        if row is None and write.body is None:
            continue
        if row is None or row.body != write.body:
            raise conflict
        version = max(version, row.version)
    return version
