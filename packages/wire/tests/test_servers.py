"""Tests of the HTTP server: invalid input gets an error code, never a crash."""

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
VALID_REQUEST = (
    b'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc'
)


async def echo(exchange):
    """Respond with the request body; some paths fail."""
    body = await exchange.read_body()
    if exchange.head.path == '/bug':
        raise KeyError('unexpected error in a handler')
    if exchange.head.path == '/refuse':
        raise ServiceError(Code.OVERLOADED, retry_after=timedelta(seconds=3))
    await exchange.respond(200, body)


async def with_server(work):
    """Run ``work(address)`` with a running server."""
    server = HttpServer(Address('127.0.0.1', 0), echo, LIMITS)
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    outcome = await work(server.address)
    await task.cancel()
    return outcome


def send(*pieces, pause=0.0, finish=True):
    """Return the bytes that a server sends in response to ``pieces``."""
    return curio.run(
        with_server,
        lambda address: exchange_bytes(
            address,
            *pieces,
            delay=pause,
            half_close=finish,
        ),
    )


def test_consecutive_requests_on_a_connection_get_responses():
    assert send(VALID_REQUEST, VALID_REQUEST, pause=0.02).count(b'200') == 2


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
        (VALID_REQUEST.replace(b'/echo', b'/bug'), b'500', b'internal'),
        (VALID_REQUEST.replace(b'/echo', b'/refuse'), b'503', b'overloaded'),
    ],
)
def test_failed_requests_get_a_code_and_a_verdict(request_bytes, status, code):
    response = send(request_bytes)
    assert response.startswith(b'HTTP/1.1 %b' % status)
    assert b'sequoia-code: %b' % code in response
    expected = b'may-have-run' if code == b'internal' else b'not-run'
    assert b'sequoia-verdict: %b' % expected in response


def test_refusal_includes_retry_after():
    assert b'retry-after: 3' in send(
        VALID_REQUEST.replace(b'/echo', b'/refuse')
    )


def test_stalled_body_is_refused():
    response = send(VALID_REQUEST[:-2], finish=False)
    assert b'sequoia-code: stalled' in response


def test_truncated_body_is_refused():
    assert b'sequoia-code: bad_request' in send(VALID_REQUEST[:-2])


def test_idle_connection_is_closed_without_a_response():
    assert send(b'', finish=False) == b''


def test_stalled_head_is_refused():
    response = send(b'GET / HT', finish=False)
    assert b'sequoia-code: stalled' in response


async def exceed_connection_limit(address):
    socks = [
        await curio.open_connection(address.host, address.port)
        for _ in range(6)
    ]
    response = await exchange_bytes(address, VALID_REQUEST, half_close=True)
    for sock in socks:
        await sock.close()
    return response


def test_requests_over_the_connection_limit_are_refused():
    response = curio.run(with_server, exceed_connection_limit)
    assert b'sequoia-code: too_many_connections' in response


async def drain_with_request_in_flight():
    """Drain a server while a request is in flight and new sockets are opened.

    Closing the listener while its task still waited on it let a new socket
    reuse the file descriptor, which broke the event loop.
    """
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
    work = await curio.spawn(exchange_bytes, server.address, VALID_REQUEST)
    await started.wait()
    draining = await curio.spawn(server.drain)
    responses = []
    for _ in range(5):
        responses.append(
            await exchange_bytes(other.address, VALID_REQUEST, half_close=True)
        )
    await draining.join()
    return await work.join(), responses


def test_drain_completes_the_request_and_keeps_the_event_loop_running():
    whole, responses = curio.run(drain_with_request_in_flight)
    assert whole.endswith(b'whole')
    assert all(b'200' in response for response in responses)


@settings(max_examples=40)
@given(st.lists(st.binary(max_size=200), max_size=4))
def test_server_responds_after_random_bytes(pieces):
    async def work(address):
        await exchange_bytes(address, *pieces, half_close=True)
        return await exchange_bytes(address, VALID_REQUEST, half_close=True)

    assert b'200' in curio.run(with_server, work)


@settings(max_examples=40)
@given(st.integers(0, len(VALID_REQUEST)), st.integers(0, 255))
def test_server_responds_after_a_request_with_a_modified_byte(position, value):
    modified = (
        VALID_REQUEST[:position]
        + bytes([value])
        + VALID_REQUEST[position + 1 :]
    )

    async def work(address):
        await exchange_bytes(address, modified, half_close=True)
        return await exchange_bytes(address, VALID_REQUEST, half_close=True)

    assert b'200' in curio.run(with_server, work)
