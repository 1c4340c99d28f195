"""Stand-in of a model engine: streams tokens, each with its version."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import curio
import mmh3
from attrs import define, evolve, field, frozen
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.generations import GenerationRequest, TokenChunk
from sequoia_wire.messages import encode_headers
from sequoia_wire.orders import has_valid_signature
from sequoia_wire.platform_messages import Order, TargetStatus

from sequoia_standins.caches import PREFIX, CacheKeeper
from sequoia_standins.slots import SlotQueue

OK = 200
CONFLICT = 409
UNAVAILABLE = 503
SWAPPING = -1
VOCABULARY = 32000
HASH_RANGE = 1 << 32
SHORTEST_SHARE = 0.15  # of the longest answer
TAIL = 0.6  # exponent of the distribution of lengths
SKIPPED_CHUNK = 2
NDJSON = encode_headers({'content-type': 'application/x-ndjson'})
NOT_RUN = encode_headers({'sequoia-verdict': 'not-run'})


@frozen
class EngineTraits:
    """How fast an engine is and how it behaves.

    Attributes:
        token_time: Between two tokens of one stream.
        chunk_tokens: Tokens sent at a time.
        slots: Streams that run at a time.
        load_time: To fetch a version.
        swap_time: To activate a loaded version.
        checks_fencing: Whether old fencing numbers and orders with a wrong
            signature are refused.
        order_secret: Secret that signs orders.
    """

    token_time: timedelta = timedelta(milliseconds=2)
    chunk_tokens: int = 8
    slots: int = 16
    load_time: timedelta = timedelta(milliseconds=300)
    swap_time: timedelta = timedelta(milliseconds=50)
    checks_fencing: bool = False
    order_secret: str = ''


@frozen
class EngineFaults:
    """Faults that an experiment may switch on.

    Attributes:
        fail_swaps: Next activations that stop partway.
        omit_versions: Chunks do not name their version.
        skip_tokens: Each stream loses its second chunk.
        breaks: Next streams that break off after their first chunk.
        swap_to: Version that the engine takes after the next chunk.
    """

    fail_swaps: int = 0
    omit_versions: bool = False
    skip_tokens: bool = False
    breaks: int = 0
    swap_to: int | None = None


@frozen
class RanRequest:
    """A request that an engine ran, as the engine saw it."""

    request_id: str
    label: str
    first_token: int
    tokens: int
    whole: bool


@frozen
class RanRequests:
    """All requests that an engine ran."""

    name: str
    domain: str
    requests: tuple[RanRequest, ...]


def make_token(prompt: str, seed: int, version: int, index: int) -> int:
    """Return the token that a version makes at an index."""
    text = f'{prompt}|{seed}|{version}|{index}'
    return mmh3.hash(text, signed=False) % VOCABULARY


def find_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the length of an answer: a heavy tail up to ``max_tokens``."""
    drawn = mmh3.hash(f'{prompt}|{seed}|length', signed=False) / HASH_RANGE
    length = max_tokens * SHORTEST_SHARE * (1 - drawn) ** -TAIL
    return max(1, min(max_tokens, round(length)))


@define
class EngineStandin:
    """Serves generations, status and orders over HTTP."""

    status: TargetStatus
    domain: str
    traits: EngineTraits = EngineTraits()
    faults: EngineFaults = EngineFaults()
    fencing: int = 0
    orders: list[Order] = field(factory=list)
    ran: list[RanRequest] = field(factory=list)
    caches: CacheKeeper = field(factory=CacheKeeper)
    queue: SlotQueue = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the queue of running slots."""
        self.queue = SlotQueue(self.traits.slots)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        body = await exchange.read_body()
        path = exchange.head.path
        if path == '/generate':
            await self._generate(exchange, decode(body, GenerationRequest))
        elif path == '/orders':
            await self._obey(exchange, decode(body, Order))
        elif path.startswith(PREFIX):
            await self.caches.export(exchange)
        elif path == '/ran':
            seen = RanRequests(self.status.name, self.domain, tuple(self.ran))
            await exchange.respond(OK, encode(seen))
        else:
            self._disturb(path, body)
            await exchange.respond(OK, encode(self.read_status()))

    def read_status(self) -> TargetStatus:
        """Return the status with the present load."""
        return evolve(
            self.status,
            running=self.queue.running,
            waiting=len(self.queue.waiting),
            slots=self.traits.slots,
        )

    def take_version(self, version: int) -> None:
        """Take a version at once, as a swap within a stream would."""
        self.faults = evolve(self.faults, swap_to=None)
        self.status = evolve(self.status, version=version)

    def _disturb(self, path: str, body: bytes) -> None:
        """Do what an experiment asks for, if anything."""
        if path == '/leave':
            self.status = evolve(self.status, leaving=True)
        elif path == '/faults':
            self.faults = decode(body, EngineFaults)

    async def _generate(
        self, exchange: Exchange, wanted: GenerationRequest
    ) -> None:
        if self.status.leaving or self.status.version == SWAPPING:
            await exchange.respond(UNAVAILABLE, b'', NOT_RUN)
            return
        await self.queue.acquire(wanted.priority)
        stream = TokenStream(self, exchange, wanted)
        async with self._running(stream):
            await stream.run()

    @asynccontextmanager
    async def _running(self, stream: 'TokenStream') -> AsyncIterator[None]:
        try:
            yield
        finally:
            self.ran.append(stream.record())
            await self.queue.release()

    async def _obey(self, exchange: Exchange, order: Order) -> None:
        if self.traits.checks_fencing and not self._accepts(order):
            await exchange.respond(CONFLICT, b'', NOT_RUN)
            return
        self.fencing = max(self.fencing, order.fencing)
        self.orders.append(order)
        if order.load is not None:
            await curio.sleep(self.traits.load_time.total_seconds())
            self.status = evolve(self.status, loaded=order.load)
        if order.activate is not None:
            await self._activate(order.activate)
        self._change_outfit(order)
        await exchange.respond(OK, encode(self.read_status()))

    def _change_outfit(self, order: Order) -> None:
        adapters = set(self.status.adapters)
        if order.load_adapter:
            adapters.add(order.load_adapter)
        if order.unload_adapter:
            adapters.discard(order.unload_adapter)
        self.status = evolve(
            self.status,
            role=order.role or self.status.role,
            adapters=tuple(sorted(adapters)),
        )

    def _accepts(self, order: Order) -> bool:
        if order.engine != self.status.name or order.fencing < self.fencing:
            return False
        return has_valid_signature(order, self.traits.order_secret)

    async def _activate(self, version: int) -> None:
        """Swap versions; a failed swap leaves the engine without one."""
        if self.faults.fail_swaps:
            left = self.faults.fail_swaps - 1
            self.faults = evolve(self.faults, fail_swaps=left)
            self.status = evolve(self.status, version=SWAPPING)
            raise OSError('the swap fails partway on purpose')
        await curio.sleep(self.traits.swap_time.total_seconds())
        self.status = evolve(self.status, version=version)


@define
class TokenStream:
    """One generation under way."""

    engine: EngineStandin
    exchange: Exchange
    wanted: GenerationRequest
    sent: int = 0
    chunks: int = 0
    length: int = 0

    def __attrs_post_init__(self) -> None:
        """Fix the length of the answer."""
        wanted = self.wanted
        self.length = find_length(wanted.prompt, wanted.seed, wanted.max_tokens)

    async def run(self) -> None:
        """Send all chunks; a swap may change the version in between."""
        echo = encode_headers({'sequoia-request-id': self.wanted.request_id})
        await self.exchange.start(OK, (*NDJSON, *echo))
        self.sent = self.wanted.resume_from
        await self.engine.caches.fill(self.wanted)
        while self.sent < self.length:
            await self._send_chunk()
        last = TokenChunk(self.wanted.request_id, self.sent, done=True)
        await self._send_line(last)
        await self.exchange.finish()

    def record(self) -> RanRequest:
        """Return what the engine knows of the request."""
        return RanRequest(
            self.wanted.request_id,
            self.exchange.head.header('sequoia-label') or '',
            self.wanted.resume_from,
            self.sent,
            self.sent >= self.length,
        )

    async def _send_line(self, chunk: TokenChunk) -> None:
        await self.exchange.send(b'%b\n' % encode(chunk))

    async def _send_chunk(self) -> None:
        left = self.length - self.sent
        size = min(self.engine.traits.chunk_tokens, left)
        pause = size * self.engine.traits.token_time
        await curio.sleep(pause.total_seconds())
        version = self.engine.status.version
        tokens = tuple(
            make_token(
                self.wanted.prompt,
                self.wanted.seed,
                version,
                self.sent + offset,
            )
            for offset in range(size)
        )
        faults = self.engine.faults
        named = None if faults.omit_versions else version
        chunk = TokenChunk(self.wanted.request_id, self.sent, tokens, named)
        self.sent += size
        self.chunks += 1
        self.engine.caches.keep(self.wanted.request_id, self.sent)
        if not faults.skip_tokens or self.chunks != SKIPPED_CHUNK:
            await self._send_line(chunk)
        if faults.swap_to is not None:
            self.engine.take_version(faults.swap_to)
        if faults.breaks:
            self.engine.faults = evolve(faults, breaks=faults.breaks - 1)
            raise OSError('the stream breaks off on purpose')
