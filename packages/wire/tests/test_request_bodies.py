"""Bodies in any pieces are read as they were sent, and leave nothing reserved."""

import socket
from datetime import timedelta

import curio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sequoia_policy.memory_budgets import MemoryBudget, Use
from sequoia_standins.fakes import exchange_bytes
from sequoia_wire.chunk_mergers import ChunkMerger
from sequoia_wire.exchanges import ServerLimits
from sequoia_wire.memory import Memory
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

LIMITS = ServerLimits(
    header_bytes=512,
    body_bytes=300_000,
    progress=timedelta(milliseconds=100),
    idle=timedelta(milliseconds=200),
)
BUDGET = 400_000  # bytes
RELEASE_TIMEOUT = 3.0  # seconds
HEAD = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
EXTENSIONS = st.sampled_from([b'', b';a=b', b' ', b';"x"\t'])
CONTENTS = st.lists(
    st.one_of(st.binary(min_size=1, max_size=5), st.just(b'y' * 70_000)),
    max_size=6,
)


def make_chunked(contents, extensions):
    chunks = [
        b'%x%b\r\n%b\r\n' % (len(content), extension, content)
        for content, extension in zip(contents, extensions, strict=False)
    ]
    return b''.join((*chunks, b'0\r\n\r\n'))


def cut(text, positions):
    marks = sorted({0, len(text), *(at % (len(text) + 1) for at in positions)})
    return [
        text[start:end]
        for start, end in zip(marks[:-1], marks[1:], strict=True)
    ]


def parse(pieces, merger):
    """Return what the parser makes of a body: its content and its outcome."""
    state = h11.Connection(our_role=h11.SERVER)
    state.receive_data(HEAD)
    state.next_event()
    content = b''
    try:
        for piece in pieces:
            given_bytes = merger.merge(piece) if merger else piece
            if given_bytes:
                state.receive_data(given_bytes)
            event = state.next_event()
            while isinstance(event, h11.Data):
                content += bytes(event.data)
                event = state.next_event()
            if isinstance(event, h11.EndOfMessage):
                return content, 'whole'
    except h11.RemoteProtocolError:
        return b'', 'malformed'
    return content, 'unfinished'


POSITIONS = st.lists(st.integers(0, 200_000), max_size=12)


@given(CONTENTS, st.lists(EXTENSIONS, min_size=6, max_size=6), POSITIONS)
def test_merged_chunks_have_the_same_content(contents, extensions, positions):
    body = make_chunked(contents, extensions)
    assert parse(cut(body, positions), ChunkMerger()) == (
        b''.join(contents),
        'whole',
    )


@given(
    CONTENTS,
    st.integers(0, 400),
    st.binary(min_size=1, max_size=4),
    POSITIONS,
)
def test_malformed_chunks_are_refused_as_the_parser_refuses_them(
    contents, position, wrong, positions
):
    """A body that two readers understand differently smuggles a request."""
    body = make_chunked(contents, [b''] * len(contents))
    start = position % len(body)
    body = body[:start] + wrong + body[start + len(wrong) :]
    pieces = cut(body, positions)
    merged, found = parse(pieces, ChunkMerger())
    expected, outcome = parse([body], None)
    assert found == outcome
    if outcome == 'whole':
        assert merged == expected


@pytest.mark.parametrize(
    'end', [b'XX', b'\rX', b'X\n', b'0\r\n\r\n', b'5\r\nhello\r\n0\r\n\r\n']
)
def test_a_chunk_without_its_end_is_refused(end):
    """What follows must not be read as another chunk."""
    pieces = [bytes([byte]) for byte in b'5\r\nhello%b' % end]
    assert parse(pieces, ChunkMerger())[1] == 'malformed'


def test_tiny_chunks_reach_the_parser_as_one():
    body = b'2\r\nab\r\n' * 1000
    assert ChunkMerger().merge(body) == b'7d0\r\n%b\r\n' % (b'ab' * 1000)


async def echo_size(exchange):
    body = await exchange.read_body()
    await exchange.respond(200, b'%d' % len(body))


async def serve(work):
    """Run ``work(address)`` with a server; check that it holds nothing after."""
    memory = Memory(MemoryBudget(BUDGET))
    server = HttpServer(
        Address('127.0.0.1', 0), echo_size, LIMITS, memory=memory
    )
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    try:
        return await find_outcome(work, server)
    finally:
        await task.cancel()


async def find_outcome(work, server):
    """Return what ``work`` returns, once all connections are closed."""
    outcome = await work(server.address)
    async with curio.timeout_after(RELEASE_TIMEOUT):
        while server.connections:
            await curio.sleep(0.005)
    budget = server.memory.budget
    assert (budget.reserved, budget.reserved_large) == (0, 0)
    assert not budget.reservations
    return outcome


SIZES = st.sampled_from([0, 1, 64, 65536, 65537, 200_000, 300_000, 300_001])
ENDS = st.sampled_from(['whole', 'stop', 'close', 'reset'])


async def send(address, pieces, end):
    """Send pieces, then stop, close or reset; or read until the server ends."""
    sock = await curio.open_connection(address.host, address.port)
    async with sock:
        try:
            for piece in pieces:
                await sock.sendall(piece)
            if end == 'stop':
                await curio.sleep(0.15)
            elif end == 'whole':
                await sock.shutdown(socket.SHUT_WR)
                received = b'x'
                while received:
                    received = await sock.recv(65536)
        except OSError:
            return  # the server has refused it
        if end == 'reset':
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                b'\1\0\0\0\0\0\0\0',
            )


CALLERS = st.lists(
    st.tuples(SIZES, st.booleans(), POSITIONS, ENDS, st.integers(0, 300_000)),
    min_size=1,
    max_size=4,
)


def make_request(size, is_chunked):
    if is_chunked:
        contents = [b'z' * size] if size else []
        return HEAD + make_chunked(contents, [b''])
    return b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n%b' % (
        size,
        b'z' * size,
    )


@settings(max_examples=40)
@given(CALLERS)
def test_nothing_is_reserved_when_all_connections_are_closed(callers):
    """A reservation that stays takes memory from all later requests."""

    async def work(address):
        async with curio.TaskGroup() as group:
            for size, is_chunked, positions, end, missing in callers:
                request = make_request(size, is_chunked)
                if end != 'whole':
                    request = request[: len(request) - missing % len(request)]
                await group.spawn(send, address, cut(request, positions), end)
        return await exchange_bytes(
            address, make_request(5, is_chunked=False), half_close=True
        )

    assert curio.run(serve, work).endswith(b'5')


@pytest.mark.parametrize('is_chunked', [True, False])
def test_one_body_of_the_largest_size_is_served(is_chunked):
    async def work(address):
        return await exchange_bytes(
            address, make_request(300_000, is_chunked), half_close=True
        )

    assert curio.run(serve, work).endswith(b'300000')


def test_a_refusal_for_memory_says_when_to_return():
    """The request has not run, so the caller may send it again."""

    async def work(address):
        request = make_request(300_000, is_chunked=False)
        holding = await curio.spawn(send, address, [request[:-10]], 'stop')
        await curio.sleep(0.05)
        head = make_request(200_000, is_chunked=False)[:60]
        response = await exchange_bytes(address, head, half_close=True)
        await holding.join()
        return response

    response = curio.run(serve, work)
    assert response.startswith(b'HTTP/1.1 503')
    assert b'retry-after: 1' in response
    assert b'sequoia-verdict: not-run' in response


async def read_slowly(address):
    """Read a response in small pieces, longer than the progress timeout."""
    sock = await curio.open_connection(address.host, address.port)
    async with sock:
        await sock.sendall(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        received = 0
        while received < 3_000_000:
            piece = await sock.recv(200_000)
            if not piece:
                break
            received += len(piece)
            await curio.sleep(0.02)
    return received


def test_a_caller_that_reads_slowly_gets_the_whole_response():
    """A response that took longer than the progress timeout was cut off."""

    async def respond(exchange):
        await exchange.respond(200, bytes(3_000_000))

    async def main():
        limits = ServerLimits(
            progress=timedelta(milliseconds=100), buffer_bytes=65536
        )
        server = HttpServer(Address('127.0.0.1', 0), respond, limits)
        server.open()
        task = await curio.spawn(server.run, daemon=True)
        received = await read_slowly(server.address)
        await task.cancel()
        return received

    assert curio.run(main) >= 3_000_000


def test_a_request_after_a_large_response_is_not_taken_for_a_slow_reader():
    """It was closed for memory while its target worked on it."""
    uses = []

    async def respond(exchange):
        await exchange.read_body()
        uses.append(exchange.holder.use)
        await exchange.respond(200, bytes(200_000))

    async def main():
        server = HttpServer(Address('127.0.0.1', 0), respond, LIMITS)
        server.open()
        task = await curio.spawn(server.run, daemon=True)
        request = make_request(5, is_chunked=False)
        await exchange_bytes(
            server.address, request, request, delay=0.05, half_close=True
        )
        await task.cancel()

    curio.run(main)
    assert uses == [Use.WORK, Use.WORK]
