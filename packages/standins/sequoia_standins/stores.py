"""Stand-in for the platform's table and object store, with faults."""

import random
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.platform_messages import (
    ABSENT,
    Row,
    RowWrite,
    TableQuery,
    TableResponse,
    Transaction,
    TransactionResult,
)

UNAVAILABLE = 503
TOO_MANY = 429
NOT_FOUND = 404
OK = 200
POST = 'POST'


@frozen
class StoreFaults:
    """Faults that an experiment may enable.

    Attributes:
        down: Whether all calls are refused.
        delay: Delay added to each call, in seconds.
        lose_answers: Share of commits whose response is lost after the write.
    """

    down: bool = False
    delay: float = 0
    lose_answers: float = 0


@frozen
class StoreCounts:
    """Numbers of calls since the start, and of rows before the last call."""

    reads: int
    commits: int
    refused: int
    rows: int


@define
class TokenBucket:
    """A token bucket whose capacity is one second of calls."""

    per_second: float
    clock: Clock
    tokens: float = 0
    refilled_at: timedelta = field(factory=timedelta)

    def try_acquire(self) -> bool:
        """Take a token; return whether one was available."""
        now = self.clock.elapsed()
        refill = (now - self.refilled_at).total_seconds() * self.per_second
        self.tokens = min(self.per_second, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@define
class Table:
    """Rows with revisions, written by conditional transactions."""

    rows: dict[str, Row] = field(factory=dict)
    revision: int = ABSENT

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply all writes, or none if a row has an unexpected revision."""
        writes = transaction.writes
        matches = all(
            self.find(write.key).revision == write.expected for write in writes
        )
        if matches:
            for write in writes:
                self._apply(write, transaction.writer)
        rows = tuple(self.find(write.key) for write in writes)
        return TransactionResult(matches, rows)

    def read(self, query: TableQuery) -> TableResponse:
        """Return the rows that match a query."""
        keys = {key for key in query.keys if key in self.rows}
        for prefix in query.prefixes:
            keys.update(key for key in self.rows if key.startswith(prefix))
        return TableResponse(tuple(self.rows[key] for key in sorted(keys)))

    def find(self, key: str) -> Row:
        """Return a row; its revision is ``ABSENT`` if it does not exist."""
        return self.rows.get(key, Row(key))

    def _apply(self, write: RowWrite, writer: str) -> None:
        if write.body is None:
            self.rows.pop(write.key, None)
            return
        self.revision += 1
        self.rows[write.key] = Row(
            write.key,
            self.revision,
            writer,
            write.body,
        )


@define
class StoreStandin:
    """Serves a table and objects over HTTP."""

    commits_per_second: float = 400
    reads_per_second: float = 2000
    clock: Clock = field(factory=SystemClock)
    rng: random.Random = field(factory=lambda: random.Random(1))
    faults: StoreFaults = StoreFaults()
    table: Table = field(factory=Table)
    objects: dict[str, bytes] = field(factory=dict)
    counts: StoreCounts = StoreCounts(0, 0, 0, 0)
    commit_bucket: TokenBucket = field(init=False)
    read_bucket: TokenBucket = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the token buckets."""
        self.commit_bucket = TokenBucket(self.commits_per_second, self.clock)
        self.read_bucket = TokenBucket(self.reads_per_second, self.clock)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        body = await exchange.read_body()
        path = exchange.head.path
        if path == '/faults':
            await self._serve_faults(exchange, body)
            return
        await curio.sleep(self.faults.delay)
        if self.faults.down:
            await exchange.respond(UNAVAILABLE)
        elif path == '/table/commit':
            await self._serve_commit(exchange, body)
        elif path == '/table/read':
            await self._serve_read(exchange, body)
        else:
            await self._serve_object(exchange, body)

    async def _serve_faults(self, exchange: Exchange, body: bytes) -> None:
        if exchange.head.method == POST:
            self.faults = decode(body, StoreFaults)
        await exchange.respond(OK, encode(self.counts))

    async def _serve_commit(self, exchange: Exchange, body: bytes) -> None:
        if not self.commit_bucket.try_acquire():
            self._count(refused=1)
            await exchange.respond(TOO_MANY)
            return
        self._count(commits=1)
        outcome = self.table.commit(decode(body, Transaction))
        if self.rng.random() < self.faults.lose_answers:
            raise OSError('injected fault: response lost after the commit')
        await exchange.respond(OK, encode(outcome))

    async def _serve_read(self, exchange: Exchange, body: bytes) -> None:
        if not self.read_bucket.try_acquire():
            self._count(refused=1)
            await exchange.respond(TOO_MANY)
            return
        self._count(reads=1)
        response = self.table.read(decode(body, TableQuery))
        await exchange.respond(OK, encode(response))

    async def _serve_object(self, exchange: Exchange, body: bytes) -> None:
        key = exchange.head.path.removeprefix('/objects/')
        if exchange.head.method == 'PUT':
            self._count(commits=1)
            self.objects[key] = body
            await exchange.respond(OK)
            return
        self._count(reads=1)
        stored = self.objects.get(key)
        status = NOT_FOUND if stored is None else OK
        await exchange.respond(status, stored or b'')

    def _count(
        self,
        reads: int = 0,
        commits: int = 0,
        refused: int = 0,
    ) -> None:
        self.counts = StoreCounts(
            self.counts.reads + reads,
            self.counts.commits + commits,
            self.counts.refused + refused,
            len(self.table.rows),
        )
