"""Stand-in for the platform's store, with faults that tests inject."""

import base64
import time
from urllib.parse import parse_qs

import curio
import orjson
from attrs import define, field
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

FEED_POLL_INTERVAL = 0.005  # seconds
MAX_ROWS = 500
MAX_ENTRIES = 100  # of one transaction
MAX_TRANSACTION_BYTES = 1_000_000
MAX_VALUE_CHARACTERS = 65536  # in base64


@define(eq=False)
class StoreStandin:
    """In-memory store that implements the platform's protocol.

    Attributes:
        rows: Value and version by table, part and key.
        history: Changed rows in order of version.
        history_start: Version before which the history is discarded.
        down: Status of every response while the store is down; 0 if it is up.
        responses_to_lose: Number of further transactions that get no response.
        transactions_until_down: Number of further transactions on the tables
            ``cut_off_tables`` before these are refused; None for no limit.
        refused: Number of transactions over the limits.
        now_ms: What the store's clock showed when the store started.
        started_at: When the store started.
        calls: Number of calls by path.
    """

    rows: dict = field(factory=dict)
    history: list = field(factory=list)
    version: int = 1
    history_start: int = 0
    down: int = 0
    responses_to_lose: int = 0
    transactions_until_down: int | None = None
    cut_off_tables: frozenset = frozenset()
    refused: int = 0
    now_ms: int = 50000
    started_at: float = field(factory=time.monotonic)
    calls: dict = field(factory=dict)
    server: HttpServer = field(init=False)

    def __attrs_post_init__(self):
        self.server = HttpServer(Address('127.0.0.1', 0), self.handle)

    def put(self, table, key, fields, part=''):
        """Write a row as an operator or a server does."""
        self.put_bytes(table, key, orjson.dumps(fields), part)

    def put_bytes(self, table, key, content, part=''):
        value = None
        if content is not None:
            value = base64.b64encode(content).decode()
        self.version += 1
        self.write((table, part, key), value)

    def remove(self, table, key, part=''):
        self.put_bytes(table, key, None, part)

    def count_ready(self, release):
        """Return the number of ready servers of a release."""
        entries = [
            orjson.loads(base64.b64decode(value))
            for (table, _part, _key), (value, _version) in self.rows.items()
            if table == 'servers'
        ]
        return sum(
            entry['version'] == release and entry['state'] == 'ready'
            for entry in entries
        )

    def forget_history(self):
        self.history_start = self.version + 1
        self.version += 2

    def write(self, name, value):
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.history.append((self.version, name, value))

    def encode_row(self, name):
        table, part, key = name
        fields = {'table': table, 'part': part, 'key': key, 'ver': 0}
        if name in self.rows:
            value, version = self.rows[name]
            return {**fields, 'value': value, 'ver': version}
        return fields

    def find(self, table):
        """Return the decoded rows of a table by key."""
        return {
            name[2]: base64.b64decode(value)
            for name, (value, _version) in self.rows.items()
            if name[0] == table
        }

    async def handle(self, exchange):
        path = exchange.head.path
        body = await exchange.read_body()
        self.calls[path] = self.calls.get(path, 0) + 1
        if self.down:
            await exchange.respond(self.down)
            return
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                exchange.head.target.partition('?')[2],
                keep_blank_values=True,
            ).items()
        }
        if path == '/v1/rows-tx':
            status, fields = self.transact_within_limits(body)
            if self.responses_to_lose:
                self.responses_to_lose -= 1
                raise ConnectionAbortedError('response lost')
        elif path == '/v1/rows-get':
            status, fields = 200, self.read(query)
        else:
            status, fields = await self.follow(query)
        await exchange.respond(
            status,
            orjson.dumps(
                {**fields, 'ver': self.version, 'nowMs': self.read_clock()}
            ),
        )

    def read_clock(self):
        elapsed = time.monotonic() - self.started_at
        return self.now_ms + round(elapsed * 1000)

    def transact_within_limits(self, body):
        fields = orjson.loads(body)
        entries = [
            entry
            for name in ('expectedRev', 'setKeys', 'remove')
            for entry in fields[name]
        ]
        if self.is_cut_off(entries):
            return 503, {}
        values = [len(entry['value']) for entry in fields['setKeys']]
        too_large = len(body) > MAX_TRANSACTION_BYTES
        too_large = too_large or max(values, default=0) > MAX_VALUE_CHARACTERS
        if too_large or len(entries) > MAX_ENTRIES:
            self.refused += 1
            return 413, {}
        return self.transact(fields)

    def is_cut_off(self, entries):
        if self.transactions_until_down is None:
            return False
        if any(entry['table'] in self.cut_off_tables for entry in entries):
            self.transactions_until_down -= 1
            return self.transactions_until_down < 0
        return False

    def transact(self, fields):
        names = {
            read_name(entry): entry['ver'] for entry in fields['expectedRev']
        }
        guards_hold = all(
            self.encode_row(name)['ver'] == version
            for name, version in names.items()
        )
        if not guards_hold:
            return 412, {'rows': [self.encode_row(name) for name in names]}
        written = [*fields['setKeys'], *fields['remove']]
        assert len({entry['part'] for entry in written}) == 1
        self.version += 1
        for entry in fields['setKeys']:
            self.write(read_name(entry), entry['value'])
        for entry in fields['remove']:
            self.write(read_name(entry), None)
        return 200, {}

    def read(self, query):
        start, end = query.get('from', ''), query.get('to')
        keys = sorted(
            name
            for name in self.rows
            if name[:2] == (query['table'], query.get('part', ''))
            and name[2] >= start
            and (end is None or name[2] < end)
        )
        rows = [self.encode_row(name) for name in keys[:MAX_ROWS]]
        return {'rows': rows, 'hasMore': len(keys) > MAX_ROWS}

    async def follow(self, query):
        after = int(query['after'])
        if after < self.history_start:
            return 410, {}
        # A call must not last longer than its caller asked for when sleeps take
        # longer than they should: the hosts then count it as a failure.
        over = time.monotonic() + int(query['waitMs']) / 1000
        while not self.down:
            found = {
                name: self.encode_change(version, name, value)
                for version, name, value in self.history
                if version > after and name[0] == query['table']
            }
            if found:
                return 200, {'rows': list(found.values())}
            if time.monotonic() >= over:
                break
            await curio.sleep(FEED_POLL_INTERVAL)
            if after < self.history_start:
                return 410, {}
        return 200, {'rows': []}

    def encode_change(self, version, name, value):
        table, part, key = name
        fields = {'table': table, 'part': part, 'key': key, 'ver': version}
        if value is None:
            return {**fields, 'tombstone': True}
        return {**fields, 'value': value}


def read_name(entry):
    return entry['table'], entry['part'], entry['key']
