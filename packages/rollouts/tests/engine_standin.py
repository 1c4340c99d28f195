"""Stand-ins of the platform's engines and plain servers."""

import curio
import orjson
from attrs import define, field
from sequoia_wire.messages import Address, encode_headers
from sequoia_wire.servers import HttpServer

SERVICE = 'pool'
SCORERS = 'app'
MODEL = 'm0'


@define
class SeenRequest:
    """A request as a server got it."""

    id: str
    method: str
    target: str
    headers: tuple
    body: bytes


@define(eq=False)
class EngineStandin:
    """A model engine that streams words, one an event.

    Attributes:
        words: Number of events of a whole stream.
        pace: Seconds an event.
        break_after: Events after which the next stream breaks off.
        silent_after: Events after which the next stream falls silent.
        ranks: Priorities that requests asked for.
        requests: Requests that were not meant for another server.
        fail: Number of requests that are answered 500.
        refuse: Number of requests that are refused as not run.
        late_orders: Number of orders that get no answer, and are carried out.
        runs: Ids of the requests that ran, with their first event.
        orders: Orders that were carried out.
    """

    name: str
    words: int = 3
    pace: float = 0.005
    version: int = 1
    break_after: int = 0
    silent_after: int = 0
    fail: int = 0
    refuse: int = 0
    late_orders: int = 0
    wrong_ids: int = 0
    runs: list = field(factory=list)
    ranks: list = field(factory=list)
    requests: list = field(factory=list)
    orders: list = field(factory=list)
    fence: int = 0
    seq: int = 0
    running: int = 0
    most_running: int = 0
    server: HttpServer = field(init=False)

    def __attrs_post_init__(self):
        self.server = HttpServer(Address('127.0.0.1', 0), self.handle)

    def entry(self, state='ready', zone='z1', born=1):
        return {
            'service': SERVICE,
            'address': str(self.server.address),
            'zone': zone,
            'version': 'v1',
            'slots': 4,
            'state': state,
            'coldLeftMs': 0,
            'seq': 3,
            'born': born,
            'models': [
                {'name': MODEL, 'version': self.version, 'adapters': []},
            ],
        }

    async def handle(self, exchange):
        body = await exchange.read_body()
        path = exchange.head.path
        meant = exchange.head.header('expect-instance')
        if meant and meant != self.name:
            await exchange.respond(
                421, headers=encode_headers({'not-run': '1'})
            )
        elif path == '/v1/report':
            await exchange.respond(200, orjson.dumps(self.report()))
        elif path == '/v1/order':
            await self.take_order(exchange, orjson.loads(body))
        else:
            self.requests.append(
                SeenRequest(
                    exchange.head.header('attempt-id'),
                    exchange.head.method,
                    exchange.head.target,
                    exchange.head.headers,
                    body,
                ),
            )
            await self.serve(exchange)

    def report(self):
        return {
            'models': self.entry()['models'],
            'busy': False,
            'seq': self.seq,
            'numRunning': self.running,
        }

    async def take_order(self, exchange, order):
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
        if self.late_orders:
            self.late_orders -= 1
            raise ConnectionAbortedError('answer lost')
        await exchange.respond(202)

    async def serve(self, exchange):
        if self.refuse:
            self.refuse -= 1
            await exchange.respond(
                503, headers=encode_headers({'not-run': '1'})
            )
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self.run(exchange)
        finally:
            self.running -= 1

    async def run(self, exchange):
        request_id = exchange.head.header('attempt-id')
        first = int(exchange.head.header('last-event-id') or 0) + 1
        self.runs.append((request_id, first))
        if self.fail:
            self.fail -= 1
            await exchange.respond(500, headers=self.stamp(request_id))
            return
        self.ranks.append(exchange.head.header('request-priority'))
        limit, self.break_after = self.break_after, 0
        silent, self.silent_after = self.silent_after, 0
        await exchange.start(
            200,
            (
                *self.stamp(request_id),
                *encode_headers({'weight-versions': str(self.version)}),
            ),
        )
        version = self.version
        for number in range(first, self.words + 1):
            await curio.sleep(self.pace)
            if limit and number > limit:
                await exchange.send(b'id: 99\ndata: ha')
                raise ConnectionAbortedError('broken off')
            if silent and number > silent:
                await self.wait_for_end(exchange)
            change = ''
            if version != self.version:
                version = self.version
                change = f'weight-versions: {version}\n'
            event = f'{change}id: {number}\ndata: {request_id}-{number}\n\n'
            await exchange.send(event.encode())
        await exchange.finish()

    async def wait_for_end(self, exchange):
        await exchange.sock.recv(1)
        raise ConnectionAbortedError('the host has left')

    def stamp(self, request_id):
        if self.wrong_ids:
            self.wrong_ids -= 1
            request_id = 'another'
        return encode_headers(
            {'attempt-id': request_id, 'server-stamp': f'{self.name}.stamp'},
        )


@define(eq=False)
class PlainStandin(EngineStandin):
    """A plain server that answers each request at once.

    Attributes:
        first_delay: Seconds that the first request takes, at whichever of
            the servers it arrives.
        others: All servers of the site, if the first request is told apart.
        refuses_second: Whether the server refuses if another was asked first.
        asked_first: Whether the first request came here.
    """

    delay: float = 0.005
    slots: int = 4
    first_delay: float = 0
    others: list = field(factory=list)
    refuses_second: bool = False
    asked_first: bool = False
    places: curio.Semaphore = field(init=False)

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.places = curio.Semaphore(self.slots)

    def entry(self, state='ready', zone='z1', born=1):
        entry = super().entry(state, zone, born)
        entry.pop('models')
        return {**entry, 'service': SCORERS}

    async def run(self, exchange):
        request_id = exchange.head.header('attempt-id')
        is_first = not any(one.asked_first for one in self.others)
        self.asked_first = self.asked_first or (bool(self.others) and is_first)
        if self.refuses_second and not self.asked_first:
            await exchange.respond(
                503, headers=encode_headers({'not-run': '1'})
            )
            return
        async with self.places:
            self.runs.append((request_id, exchange.head.header('deadline-ms')))
            await self.work(exchange)
        status = 200
        if self.fail:
            self.fail -= 1
            status = 500
        await exchange.respond(status, b'done', self.stamp(request_id))

    async def work(self, exchange):
        """Take the time of a request; end early if its sender leaves."""
        delay = self.delay
        if self.asked_first and self.first_delay:
            delay = self.first_delay
        async with curio.ignore_after(delay):
            await exchange.sock.recv(1)
            raise ConnectionAbortedError('the host has left')
