"""Stand-in of the platform's table and object store, with faults."""

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
    TableResponse,
    TableQuery,
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
    """Faults that an experiment may switch on.

    Attributes:
        down: Every call is refused.
        delay: Seconds added to every call.
        lose_answers: Share of commits whose answer is lost after the write.
    """

    down: bool = False
    delay: float = 0
    lose_answers: float = 0


@frozen
class StoreCounts:
    """Calls since the start."""

    reads: int
    commits: int
    refused: int
    rows: int


@define
class Budget:
    """A token bucket of one second's worth of calls."""

    per_second: float
    clock: Clock
    tokens: float = 0
    last: timedelta = field(factory=timedelta)

    def take(self) -> bool:
        """Take one call, if the rate allows it."""
        now = self.clock.elapsed()
        grown = (now - self.last).total_seconds() * self.per_second
        self.tokens = min(self.per_second, self.tokens + grown)
        self.last = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@define
class Table:
    """Rows with revisions and conditional transactions."""

    rows: dict[str, Row] = field(factory=dict)
    revision: int = ABSENT

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Apply all writes, or none if a revision differs."""
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
        """Return the rows that a query asks for."""
        wanted = {key for key in query.keys if key in self.rows}
        for prefix in query.prefixes:
            wanted.update(key for key in self.rows if key.startswith(prefix))
        return TableResponse(tuple(self.rows[key] for key in sorted(wanted)))

    def find(self, key: str) -> Row:
        """Return a row, with revision ``ABSENT`` if there is none."""
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
    chance: random.Random = field(factory=lambda: random.Random(1))
    faults: StoreFaults = StoreFaults()
    table: Table = field(factory=Table)
    objects: dict[str, bytes] = field(factory=dict)
    counts: StoreCounts = StoreCounts(0, 0, 0, 0)
    write_budget: Budget = field(init=False)
    read_budget: Budget = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the budgets."""
        self.write_budget = Budget(self.commits_per_second, self.clock)
        self.read_budget = Budget(self.reads_per_second, self.clock)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
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
        if not self.write_budget.take():
            self._count(refused=1)
            await exchange.respond(TOO_MANY)
            return
        self._count(commits=1)
        answer = self.table.commit(decode(body, Transaction))
        if self.chance.random() < self.faults.lose_answers:
            raise OSError('the answer is lost on purpose')
        await exchange.respond(OK, encode(answer))

    async def _serve_read(self, exchange: Exchange, body: bytes) -> None:
        if not self.read_budget.take():
            self._count(refused=1)
            await exchange.respond(TOO_MANY)
            return
        self._count(reads=1)
        answer = self.table.read(decode(body, TableQuery))
        await exchange.respond(OK, encode(answer))

    async def _serve_object(self, exchange: Exchange, body: bytes) -> None:
        key = exchange.head.path.removeprefix('/objects/')
        if exchange.head.method == 'PUT':
            self._count(commits=1)
            self.objects[key] = body
            await exchange.respond(OK)
            return
        self._count(reads=1)
        found = self.objects.get(key)
        status = NOT_FOUND if found is None else OK
        await exchange.respond(status, found or b'')

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
