"""Stand-in for a model engine: streams tokens tagged with their version."""

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

from sequoia_standins.caches import KV_PREFIX, KvCacheManager
from sequoia_standins.slots import SlotQueue

OK = 200
CONFLICT = 409
UNAVAILABLE = 503
SWAPPING = -1  # version of an engine after a failed swap
VOCABULARY = 32000
HASH_RANGE = 1 << 32
MIN_LENGTH_SHARE = 0.15  # of max_tokens
TAIL_EXPONENT = 0.6  # of the heavy-tailed distribution of lengths
SKIPPED_CHUNK = 2  # number of the chunk that skip_tokens drops
NDJSON = encode_headers({'content-type': 'application/x-ndjson'})
NOT_RUN = encode_headers({'sequoia-verdict': 'not-run'})


@frozen
class EngineTraits:
    """Speed and behaviour of an engine.

    Attributes:
        token_time: Time between two tokens of one stream.
        chunk_tokens: Number of tokens per chunk.
        slots: Maximum number of concurrent streams.
        load_time: Time to load a version.
        swap_time: Time to activate a loaded version.
        checks_fencing: Whether orders with an old fencing number or an
            invalid signature are refused.
        order_secret: Secret with which orders are signed.
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
    """Faults that an experiment may enable.

    Attributes:
        fail_swaps: Number of upcoming activations that fail partway.
        omit_versions: Whether chunks omit their version.
        skip_tokens: Whether each stream drops its second chunk.
        breaks: Number of streams that break off after their next chunk.
        swap_to: Version that the engine switches to after the next chunk.
    """

    fail_swaps: int = 0
    omit_versions: bool = False
    skip_tokens: bool = False
    breaks: int = 0
    swap_to: int | None = None


@frozen
class ExecutedRequest:
    """A request that an engine executed.

    Attributes:
        first_token: Index at which the stream started.
        tokens: Number of tokens sent, including those before a resume.
        whole: Whether the response was complete.
    """

    request_id: str
    label: str
    first_token: int
    tokens: int
    whole: bool


@frozen
class ExecutedRequests:
    """All requests that an engine executed."""

    name: str
    domain: str
    requests: tuple[ExecutedRequest, ...]


def make_token(prompt: str, seed: int, version: int, index: int) -> int:
    """Return the token that a weight version generates at an index."""
    text = f'{prompt}|{seed}|{version}|{index}'
    return mmh3.hash(text, signed=False) % VOCABULARY


def find_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return a heavy-tailed response length, at most ``max_tokens``."""
    fraction = mmh3.hash(f'{prompt}|{seed}|length', signed=False) / HASH_RANGE
    length = max_tokens * MIN_LENGTH_SHARE * (1 - fraction) ** -TAIL_EXPONENT
    return max(1, min(max_tokens, round(length)))


@define
class EngineStandin:
    """Serves generations, status and orders over HTTP.

    Attributes:
        fencing: Highest fencing number of an accepted order.
        orders: Accepted orders.
    """

    status: TargetStatus
    domain: str
    traits: EngineTraits = EngineTraits()
    faults: EngineFaults = EngineFaults()
    fencing: int = 0
    orders: list[Order] = field(factory=list)
    executed: list[ExecutedRequest] = field(factory=list)
    caches: KvCacheManager = field(factory=KvCacheManager)
    queue: SlotQueue = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the slot queue."""
        self.queue = SlotQueue(self.traits.slots)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        body = await exchange.read_body()
        path = exchange.head.path
        if path == '/generate':
            await self._generate(exchange, decode(body, GenerationRequest))
        elif path == '/orders':
            await self._handle_order(exchange, decode(body, Order))
        elif path.startswith(KV_PREFIX):
            await self.caches.export(exchange)
        elif path == '/ran':
            report = ExecutedRequests(
                self.status.name, self.domain, tuple(self.executed)
            )
            await exchange.respond(OK, encode(report))
        else:
            self._handle_control(path, body)
            await exchange.respond(OK, encode(self.read_status()))

    def read_status(self) -> TargetStatus:
        """Return the status with the current load."""
        return evolve(
            self.status,
            running=self.queue.running,
            waiting=len(self.queue.waiting),
            slots=self.traits.slots,
        )

    def switch_version(self, version: int) -> None:
        """Switch to a version at once, even in the middle of a stream."""
        self.faults = evolve(self.faults, swap_to=None)
        self.status = evolve(self.status, version=version)

    def _handle_control(self, path: str, body: bytes) -> None:
        """Apply a control request of an experiment; ignore other paths."""
        if path == '/leave':
            self.status = evolve(self.status, leaving=True)
        elif path == '/faults':
            self.faults = decode(body, EngineFaults)

    async def _generate(
        self, exchange: Exchange, request: GenerationRequest
    ) -> None:
        if self.status.leaving or self.status.version == SWAPPING:
            await exchange.respond(UNAVAILABLE, b'', NOT_RUN)
            return
        await self.queue.acquire(request.priority)
        stream = TokenStream(self, exchange, request)
        async with self._record_and_release(stream):
            await stream.run()

    @asynccontextmanager
    async def _record_and_release(
        self, stream: 'TokenStream'
    ) -> AsyncIterator[None]:
        try:
            yield
        finally:
            self.executed.append(stream.make_record())
            await self.queue.release()

    async def _handle_order(self, exchange: Exchange, order: Order) -> None:
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
        self._change_profile(order)
        await exchange.respond(OK, encode(self.read_status()))

    def _change_profile(self, order: Order) -> None:
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
        """Activate a version; a failed swap leaves the engine without one."""
        if self.faults.fail_swaps:
            remaining = self.faults.fail_swaps - 1
            self.faults = evolve(self.faults, fail_swaps=remaining)
            self.status = evolve(self.status, version=SWAPPING)
            raise OSError('injected fault: version swap failed partway')
        await curio.sleep(self.traits.swap_time.total_seconds())
        self.status = evolve(self.status, version=version)


@define
class TokenStream:
    """A generation in progress.

    Attributes:
        sent: Number of tokens sent, including those before a resume.
        chunks: Number of chunks generated.
        length: Number of tokens of the complete response.
    """

    engine: EngineStandin
    exchange: Exchange
    request: GenerationRequest
    sent: int = 0
    chunks: int = 0
    length: int = 0

    def __attrs_post_init__(self) -> None:
        """Compute the length of the response."""
        request = self.request
        self.length = find_length(
            request.prompt, request.seed, request.max_tokens
        )

    async def run(self) -> None:
        """Send all chunks; the version may change between chunks."""
        echo = encode_headers({'sequoia-request-id': self.request.request_id})
        await self.exchange.start(OK, (*NDJSON, *echo))
        self.sent = self.request.resume_from
        await self.engine.caches.fill(self.request)
        while self.sent < self.length:
            await self._send_chunk()
        last = TokenChunk(self.request.request_id, self.sent, done=True)
        await self._send_line(last)
        await self.exchange.finish()

    def make_record(self) -> ExecutedRequest:
        """Return the record of this request as executed so far."""
        return ExecutedRequest(
            self.request.request_id,
            self.exchange.head.header('sequoia-label') or '',
            self.request.resume_from,
            self.sent,
            self.sent >= self.length,
        )

    async def _send_line(self, chunk: TokenChunk) -> None:
        await self.exchange.send(b'%b\n' % encode(chunk))

    async def _send_chunk(self) -> None:
        remaining = self.length - self.sent
        size = min(self.engine.traits.chunk_tokens, remaining)
        duration = size * self.engine.traits.token_time
        await curio.sleep(duration.total_seconds())
        version = self.engine.status.version
        tokens = tuple(
            make_token(
                self.request.prompt,
                self.request.seed,
                version,
                self.sent + offset,
            )
            for offset in range(size)
        )
        faults = self.engine.faults
        reported_version = None if faults.omit_versions else version
        chunk = TokenChunk(
            self.request.request_id, self.sent, tokens, reported_version
        )
        self.sent += size
        self.chunks += 1
        self.engine.caches.store(self.request.request_id, self.sent)
        if not faults.skip_tokens or self.chunks != SKIPPED_CHUNK:
            await self._send_line(chunk)
        if faults.swap_to is not None:
            self.engine.switch_version(faults.swap_to)
        if faults.breaks:
            self.engine.faults = evolve(faults, breaks=faults.breaks - 1)
            raise OSError('injected fault: the stream breaks off')
