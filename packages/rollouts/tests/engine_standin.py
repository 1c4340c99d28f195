"""Stand-ins for model engines and plain servers of the platform."""

import time

import curio
import orjson
from attrs import define, field
from sequoia_wire.messages import Address, encode_headers
from sequoia_wire.servers import HttpServer

SERVICE = 'pool'
SCORERS = 'app'
MODEL = 'm0'
LEAVING_HEADERS = encode_headers({'server-leaving': '1'})


@define
class ReceivedRequest:
    """A request as a server received it."""

    id: str
    method: str
    target: str
    headers: tuple
    body: bytes


@define
class LeavingExchange:
    """An exchange whose response says that the server leaves."""

    exchange: object

    def __getattr__(self, name):
        return getattr(self.exchange, name)

    async def respond(self, status, body=b'', headers=()):
        headers = (*headers, *LEAVING_HEADERS)
        await self.exchange.respond(status, body, headers)

    async def start(self, status, headers=()):
        await self.exchange.start(status, (*headers, *LEAVING_HEADERS))


@define(eq=False)
class EngineStandin:
    """A model engine that streams words, one per event.

    Attributes:
        words: Number of events of a complete stream.
        word_bytes: Minimum length of a word.
        pace: Seconds between two events.
        release: Version of its software.
        break_after: Events after which the next stream is aborted; 0 for never.
        silent_after: Events after which the next stream sends nothing more and
            stays open; 0 for never.
        trickle_after: Events after which the next stream sends only parts of
            comments and stays open; 0 for never.
        fail: Number of requests to run and respond to with status 500.
        refuse: Number of requests to refuse as not run.
        unanswered_orders: Number of orders to execute without a response.
        wrong_ids: Number of responses to label with another request id.
        leaving: Whether all answers say that the server leaves.
        limit: Requests per second that responses name as the limit; empty for
            none.
        health_delay: Seconds until it tells its health.
        received_at: When each request for this server arrived.
        crash_path: Requests whose path begins so end the server, which starts
            again under another name; empty for none.
        crashed_at: When it ended each time.
        runs: Id and first event of each request that ran.
        priorities: Values of the priority header of the requests that ran; None
            where it is missing.
        requests: Received requests, without those for another server.
        orders: Orders that were executed.
    """

    name: str
    words: int = 3
    word_bytes: int = 0
    pace: float = 0.005
    version: int = 1
    release: str = 'v1'
    break_after: int = 0
    silent_after: int = 0
    trickle_after: int = 0
    fail: int = 0
    refuse: int = 0
    unanswered_orders: int = 0
    wrong_ids: int = 0
    limit: str = ''
    leaving: bool = False
    health_delay: float = 0
    received_at: list = field(factory=list)
    crash_path: str = ''
    crashed_at: list = field(factory=list)
    runs: list = field(factory=list)
    priorities: list = field(factory=list)
    requests: list = field(factory=list)
    orders: list = field(factory=list)
    fence: int = 0
    seq: int = 0
    running: int = 0
    max_running: int = 0
    server: HttpServer = field(init=False)

    def __attrs_post_init__(self):
        self.server = HttpServer(Address('127.0.0.1', 0), self.handle)

    def entry(self, state='ready', zone='z1', started_at=1):
        return {
            'service': SERVICE,
            'address': str(self.server.address),
            'zone': zone,
            'version': self.release,
            'slots': 4,
            'state': state,
            'coldLeftMs': 0,
            'seq': 3,
            'born': started_at,
            'models': [
                {'name': MODEL, 'version': self.version, 'adapters': []},
            ],
        }

    async def handle(self, exchange):
        body = await exchange.read_body()
        if self.leaving:
            exchange = LeavingExchange(exchange)
        path = exchange.head.path
        expected_name = exchange.head.header('expect-instance')
        if expected_name and expected_name != self.name:
            await exchange.respond(
                421, headers=encode_headers({'not-run': '1'})
            )
        elif path == '/v1/report':
            await exchange.respond(200, orjson.dumps(self.report()))
        elif path == '/health':
            await self.wait_for_health()
            await exchange.respond(
                200, headers=encode_headers({'instance-id': self.name})
            )
        elif path == '/v1/order':
            await self.handle_order(exchange, orjson.loads(body))
        else:
            self.received_at.append(time.monotonic())
            self.requests.append(
                ReceivedRequest(
                    exchange.head.header('attempt-id'),
                    exchange.head.method,
                    exchange.head.target,
                    exchange.head.headers,
                    body,
                ),
            )
            await self.serve(exchange)

    async def wait_for_health(self):
        await curio.sleep(self.health_delay)

    def report(self):
        return {
            'models': self.entry()['models'],
            'busy': False,
            'seq': self.seq,
            'numRunning': self.running,
        }

    async def handle_order(self, exchange, order):
        if order['fence'] < self.fence:
            await exchange.respond(412)
            return
        if order['expectedRev'] != self.seq:
            await exchange.respond(409)
            return
        self.fence = order['fence']
        self.seq += 1
        self.version = order['version']
        self.orders.append(order)
        if self.unanswered_orders:
            self.unanswered_orders -= 1
            raise ConnectionAbortedError('response to the order dropped')
        await exchange.respond(202)

    async def serve(self, exchange):
        if self.refuse:
            self.refuse -= 1
            await exchange.respond(
                503, headers=encode_headers({'not-run': '1'})
            )
            return
        if self.crash_path and exchange.head.path.startswith(self.crash_path):
            self.crash()
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self.run(exchange)
        finally:
            self.running -= 1

    def crash(self):
        self.crashed_at.append(time.monotonic())
        self.name = f'{self.name.partition("-")[0]}-{len(self.crashed_at)}'
        raise ConnectionAbortedError('the server crashes')

    async def run(self, exchange):
        request_id = exchange.head.header('attempt-id')
        first = int(exchange.head.header('last-event-id') or 0) + 1
        self.runs.append((request_id, first))
        if self.fail:
            self.fail -= 1
            await exchange.respond(
                500, headers=self.make_label_headers(request_id)
            )
            return
        self.priorities.append(exchange.head.header('request-priority'))
        break_after, self.break_after = self.break_after, 0
        silent_after, self.silent_after = self.silent_after, 0
        trickle_after, self.trickle_after = self.trickle_after, 0
        await exchange.start(
            200,
            (
                *self.make_label_headers(request_id),
                *encode_headers({'weight-versions': str(self.version)}),
            ),
        )
        version = self.version
        for number in range(first, self.words + 1):
            await curio.sleep(self.pace)
            if break_after and number > break_after:
                await exchange.send(b'id: 99\ndata: ha')
                raise ConnectionAbortedError('the stream is aborted')
            if silent_after and number > silent_after:
                await self.wait_for_disconnect(exchange)
            if trickle_after and number > trickle_after:
                await self.trickle(exchange)
            change = ''
            if version != self.version:
                version = self.version
                change = f'weight-versions: {version}\n'
            word = self.make_word(request_id, number)
            event = f'{change}id: {number}\ndata: {word}\n\n'
            await exchange.send(event.encode())
        await exchange.finish()

    def make_word(self, request_id, number):
        return f'{request_id}-{number}'.ljust(self.word_bytes, '.')

    async def trickle(self, exchange):
        """Send bytes that belong to no event until the peer disconnects."""
        while True:
            await exchange.send(b': wait\n\n')
            await curio.sleep(0.2)

    async def wait_for_disconnect(self, exchange):
        await exchange.sock.recv(1)
        raise ConnectionAbortedError('the host disconnected')

    def make_label_headers(self, request_id):
        if self.wrong_ids:
            self.wrong_ids -= 1
            request_id = 'another'
        labels = {
            'attempt-id': request_id,
            'server-stamp': f'{self.name}.stamp',
        }
        if self.limit:
            labels['server-limit'] = self.limit
        return encode_headers(labels)


@define(eq=False)
class PlainStandin(EngineStandin):
    """A plain server that responds after a fixed delay without streaming.

    Attributes:
        delay: Seconds that a request takes.
        slots: Number of requests that run at a time.
        first_delay: Seconds that requests take at the server that received
            the first request of the site; 0 for ``delay``.
        site_servers: All servers of the site; empty if none of them is to be
            marked as the first.
        refuses_second: Whether the server refuses requests if another server
            received the first one.
        refuses_when_full: Whether the server refuses requests while all slots
            are in use.
        received_first: Whether this server received the first request.
        health_takes_slot: Whether the health waits for a slot as requests do.
        free_slots: Semaphore with one permit per slot.
    """

    delay: float = 0.005
    slots: int = 4
    first_delay: float = 0
    site_servers: list = field(factory=list)
    refuses_second: bool = False
    refuses_when_full: bool = False
    received_first: bool = False
    health_takes_slot: bool = False
    free_slots: curio.Semaphore = field(init=False)

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.free_slots = curio.Semaphore(self.slots)

    def entry(self, state='ready', zone='z1', started_at=1):
        entry = super().entry(state, zone, started_at)
        entry.pop('models')
        return {**entry, 'service': SCORERS}

    async def run(self, exchange):
        request_id = exchange.head.header('attempt-id')
        is_first = not any(
            server.received_first for server in self.site_servers
        )
        self.received_first = self.received_first or (
            bool(self.site_servers) and is_first
        )
        is_full = self.refuses_when_full and not self.free_slots.value
        if is_full or (self.refuses_second and not self.received_first):
            await exchange.respond(
                503, headers=encode_headers({'not-run': '1'})
            )
            return
        async with self.free_slots:
            self.runs.append((request_id, exchange.head.header('deadline-ms')))
            await self.work(exchange)
        status = 200
        if self.fail:
            self.fail -= 1
            status = 500
        await exchange.respond(
            status, b'done', self.make_label_headers(request_id)
        )

    async def wait_for_health(self):
        await super().wait_for_health()
        if self.health_takes_slot:
            async with self.free_slots:
                return

    async def work(self, exchange):
        """Wait for the delay; abort if the sender disconnects first."""
        delay = self.delay
        if self.received_first and self.first_delay:
            delay = self.first_delay
        async with curio.ignore_after(delay):
            await exchange.sock.recv(1)
            raise ConnectionAbortedError('the host disconnected')
