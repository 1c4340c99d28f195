"""Tests of the HTTP server: bad input gets a coded answer, never a crash."""

from datetime import timedelta

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_standins.fakes import exchange_bytes
from sequoia_wire.exchanges import ServerLimits
from sequoia_wire.messages import Address
from sequoia_wire.servers import HttpServer

LIMITS = ServerLimits(
    header_bytes=512,
    body_bytes=64,
    connections=4,
    progress=timedelta(milliseconds=150),
    idle=timedelta(milliseconds=400),
)
GOOD = b'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc'


async def echo(exchange):
    """Answer with the request's body; some paths fail."""
    body = await exchange.read_body()
    if exchange.head.path == '/bug':
        raise KeyError('a bug in a handler')
    if exchange.head.path == '/refuse':
        raise ServiceError(Code.OVERLOADED, retry_after=timedelta(seconds=3))
    await exchange.respond(200, body)


async def with_server(work):
    """Run ``work(address)`` beside a server."""
    server = HttpServer(Address('127.0.0.1', 0), echo, LIMITS)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    outcome = await work(server.address)
    await task.cancel()
    return outcome


def send(*pieces, pause=0.0, finish=True):
    """Return what a server answers to some bytes."""
    return curio.run(
        with_server,
        lambda address: exchange_bytes(
            address,
            *pieces,
            pause=pause,
            finish=finish,
        ),
    )


def test_good_requests_are_answered_in_turn():
    assert send(GOOD, GOOD, pause=0.02).count(b'200') == 2


@pytest.mark.parametrize(
    ('request_bytes', 'status', 'code'),
    [
        (b'garbage\r\n\r\n', b'400', b'bad_request'),
        (b'GET / HTTP/1.1\r\n\r\n', b'400', b'bad_request'),
        (
            b'GET / HTTP/1.1\r\nhost: a\r\nx: %b\r\n\r\n' % (b'y' * 2000),
            b'431',
            b'headers_too_large',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n',
            b'413',
            b'body_too_large',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
            b'80\r\n%b\r\n0\r\n\r\n' % (b'z' * 128),
            b'413',
            b'body_too_large',
        ),
        (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n',
            b'400',
            b'bad_request',
        ),
        (GOOD.replace(b'/echo', b'/bug'), b'500', b'internal'),
        (GOOD.replace(b'/echo', b'/refuse'), b'503', b'overloaded'),
    ],
)
def test_bad_requests_get_a_code_and_a_verdict(request_bytes, status, code):
    answer = send(request_bytes)
    assert answer.startswith(b'HTTP/1.1 %b' % status)
    assert b'sequoia-code: %b' % code in answer
    expected = b'may-have-run' if code == b'internal' else b'not-run'
    assert b'sequoia-verdict: %b' % expected in answer


def test_a_refusal_says_when_to_come_back():
    assert b'retry-after: 3' in send(GOOD.replace(b'/echo', b'/refuse'))


def test_a_stalled_body_is_refused():
    answer = send(GOOD[:-2], finish=False)
    assert b'sequoia-code: stalled' in answer


def test_a_half_closed_request_is_refused():
    assert b'sequoia-code: bad_request' in send(GOOD[:-2])


def test_an_idle_connection_is_closed_without_an_answer():
    assert send(b'', finish=False) == b''


def test_a_head_that_stalls_is_refused():
    answer = send(b'GET / HT', finish=False)
    assert b'sequoia-code: stalled' in answer


async def open_many(address):
    socks = [
        await curio.open_connection(address.host, address.port)
        for _ in range(6)
    ]
    answer = await exchange_bytes(address, GOOD, finish=True)
    for sock in socks:
        await sock.close()
    return answer


def test_connections_are_bounded():
    answer = curio.run(with_server, open_many)
    assert b'sequoia-code: too_many_connections' in answer


async def drain_under_way():
    """Drain while a request is under way and new sockets are opened."""
    started = curio.Event()

    async def slow(exchange):
        await exchange.read_body()
        await started.set()
        await curio.sleep(0.2)
        await exchange.respond(200, b'whole')

    server = HttpServer(Address('127.0.0.1', 0), slow, LIMITS)
    server.open()
    other = HttpServer(Address('127.0.0.1', 0), echo, LIMITS)
    other.open()
    for running in (server, other):
        await curio.spawn(running.run, daemon=True)
    work = await curio.spawn(exchange_bytes, server.address, GOOD)
    await started.wait()
    draining = await curio.spawn(server.drain)
    answers = []
    for _ in range(5):
        answers.append(await exchange_bytes(other.address, GOOD, finish=True))
    await draining.join()
    return await work.join(), answers


def test_a_drain_breaks_neither_the_request_nor_the_loop():
    whole, answers = curio.run(drain_under_way)
    assert whole.endswith(b'whole')
    assert all(b'200' in answer for answer in answers)


@settings(max_examples=40)
@given(st.lists(st.binary(max_size=200), max_size=4))
def test_garbage_never_stops_the_server(pieces):
    async def work(address):
        await exchange_bytes(address, *pieces, finish=True)
        return await exchange_bytes(address, GOOD, finish=True)

    assert b'200' in curio.run(with_server, work)


@settings(max_examples=40)
@given(st.integers(0, len(GOOD)), st.integers(0, 255))
def test_a_changed_byte_never_stops_the_server(place, value):
    changed = GOOD[:place] + bytes([value]) + GOOD[place + 1 :]

    async def work(address):
        await exchange_bytes(address, changed, finish=True)
        return await exchange_bytes(address, GOOD, finish=True)

    assert b'200' in curio.run(with_server, work)
