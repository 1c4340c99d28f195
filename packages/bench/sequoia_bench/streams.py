"""Measures token streams through an entry host, for several chunk sizes."""

from datetime import timedelta

import curio
from attrs import define, evolve, field
from hdrh.histogram import HdrHistogram
from sequoia_standins.demos import prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    Layout,
    demo_key,
    make_layout,
)
from sequoia_standins.experiments import Deployment
from sequoia_standins.processes import (
    ProcessGroup,
    start_host,
    start_platform,
)
from sequoia_wire.clients import HttpClient, Timeouts
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.generations import (
    GenerationRequest,
    GenerationCall,
    TokenChunk,
)
from sequoia_wire.messages import Address, RequestHead, encode_headers
from sequoia_wire.platform_messages import TargetStatus
from sequoia_wire.servers import HttpServer

from sequoia_bench.figures import Figure
from sequoia_bench.processes import read_usage

BENCH = 'streams'
SHAPE = evolve(TAMSUI, hosts=1, engines=1, plain_targets=0)
CHUNK_TOKENS = (1, 8, 32, 128)
STREAMS = 16
FAST_CHUNKS = 1500  # chunks a stream at full speed
PACED_CHUNKS = 100  # chunks a stream at an engine's speed
PACE_SECONDS = 0.02
LONGEST = 10_000_000  # microseconds
DIGITS = 3
MICROSECOND = timedelta(microseconds=1)
OK = 200
PATIENCE = Timeouts(timedelta(seconds=1), timedelta(seconds=30))
HEADERS = encode_headers(
    {
        'sequoia-caller': 'chief-app',
        'authorization': f'Bearer {demo_key("caller", "chief-app")}',
        'sequoia-label': 'village-report',
    },
)


@define
class StreamSource:
    """An engine that sends chunks of one size, fast or paced."""

    clock: SystemClock = field(factory=SystemClock)
    chunk_tokens: int = 1
    chunks: int = FAST_CHUNKS
    pace: float = 0
    sent_at: dict[tuple[str, int], timedelta] = field(factory=dict)

    async def handle(self, exchange: Exchange) -> None:
        """Answer a status or a generation."""
        body = await exchange.read_body()
        if exchange.head.path == '/status':
            status = TargetStatus('lm-pool-0', 1, 1, 1, slots=64)
            await exchange.respond(OK, encode(status))
            return
        wanted = decode(body, GenerationRequest)
        echo = encode_headers({'sequoia-request-id': wanted.request_id})
        await exchange.start(OK, echo)
        await self._send_chunks(exchange, wanted.request_id)
        await exchange.finish()

    async def _send_chunks(self, exchange: Exchange, request_id: str) -> None:
        tokens = tuple(range(20000, 20000 + self.chunk_tokens))
        for number in range(self.chunks):
            start = number * self.chunk_tokens
            chunk = TokenChunk(request_id, start, tokens, 1)
            line = b'%b\n' % encode(chunk)
            self.sent_at[request_id, start] = self.clock.elapsed()
            await exchange.send(line)
            await curio.sleep(self.pace)
        end = self.chunks * self.chunk_tokens
        last = TokenChunk(request_id, end, done=True)
        await exchange.send(b'%b\n' % encode(last))


@define
class StreamReader:
    """Reads streams and notes how long chunks were under way."""

    source: StreamSource
    address: Address
    client: HttpClient = field(factory=HttpClient)
    delays: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, LONGEST, DIGITS),
    )

    async def read(self, request_id: str) -> None:
        """Read one stream to its end."""
        headers = (
            *HEADERS,
            *encode_headers({'sequoia-request-id': request_id}),
        )
        head = RequestHead('POST', '/v1/services/lm/x', headers)
        body = encode(GenerationCall('p', 1 << 20))
        held = b''
        async with self.client.call(self.address, PATIENCE) as call:
            await call.send(head, body)
            chunk = await call.read_chunk()
            while chunk:
                held = self._take(request_id, held + chunk)
                chunk = await call.read_chunk()

    def _take(self, request_id: str, received: bytes) -> bytes:
        now = self.source.clock.elapsed()
        whole, _separator, rest = received.rpartition(b'\n')
        if not self.source.pace:
            return rest
        for line in whole.splitlines():
            start = decode(line, TokenChunk).start
            sent = self.source.sent_at.get((request_id, start))
            if sent is not None:
                delay = (now - sent) / MICROSECOND
                self.delays.record_value(max(1, round(delay)))
        return rest


async def read_streams(reader: StreamReader) -> None:
    """Read several streams at once."""
    async with curio.TaskGroup() as group:
        for number in range(STREAMS):
            await group.spawn(reader.read, f'stream-{number}')


async def compare(group: ProcessGroup, layout: Layout) -> list[Figure]:
    """Measure tokens a core and added delay for each chunk size."""
    source = StreamSource()
    server = HttpServer(layout.targets[0].address, source.handle)
    server.open()
    await curio.spawn(server.run, daemon=True)
    await Deployment(layout).publish_plan()
    host = layout.hosts[0]
    process = group.processes[host.name].pid
    figures = []
    for chunk_tokens in CHUNK_TOKENS:
        source.chunk_tokens = chunk_tokens
        figures.append(await measure_rate(source, host.http, process))
        figures.extend(await measure_delays(source, host.http))
    return figures


async def measure_rate(
    source: StreamSource,
    address: Address,
    process: int,
) -> Figure:
    """Return the tokens that a host passes on in a second of its core."""
    source.chunks = FAST_CHUNKS
    source.pace = 0
    before = read_usage(process).seconds
    await read_streams(StreamReader(source, address))
    used = read_usage(process).seconds - before
    tokens = STREAMS * FAST_CHUNKS * source.chunk_tokens
    case = f'{source.chunk_tokens} tokens a chunk'
    return Figure(BENCH, case, 'tokens a core', tokens / used, '/s')


async def measure_delays(
    source: StreamSource,
    address: Address,
) -> list[Figure]:
    """Return the delays of chunks that come at an engine's pace."""
    source.chunks = PACED_CHUNKS
    source.pace = PACE_SECONDS
    source.sent_at.clear()
    reader = StreamReader(source, address)
    await read_streams(reader)
    return describe_delays(f'{source.chunk_tokens} tokens a chunk', reader)


def describe_delays(case: str, reader: StreamReader) -> list[Figure]:
    """Return the time of a chunk from the engine to the caller."""
    return [
        Figure(
            BENCH,
            case,
            f'delay p{share}',
            reader.delays.get_value_at_percentile(share) / 1000,
            'ms',
        )
        for share in (50, 99)
    ]


def measure_streams(_seed: int) -> list[Figure]:
    """Return the figures of streams through one host."""
    layout = make_layout(SHAPE)
    engines = layout.targets_of(SHAPE.engine_pool)
    layout = evolve(layout, targets=engines)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_platform(group, layout)
        start_host(group, layout, layout.hosts[0])
        with curio.Kernel() as kernel:
            return kernel.run(compare, group, layout)
