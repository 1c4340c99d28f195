"""Tests of the HTTP client: its verdict when the peer breaks off anywhere."""

from datetime import timedelta

import curio
import pytest
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_standins.fakes import CutServer
from sequoia_standins.ports import find_free_address
from sequoia_wire.clients import HttpClient, Timeouts, verdict_of
from sequoia_wire.messages import Address, RequestHead

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'
BODY = b'body-end'
HEAD = RequestHead('POST', '/jobs')
PATIENCE = Timeouts(timedelta(seconds=1), timedelta(milliseconds=300))


async def listen(server):
    """Start a server on a free port; return its address and task."""
    sock = curio.network.tcp_server_socket('127.0.0.1', 0)
    host, port = sock._socket.getsockname()
    task = await curio.spawn(
        curio.network.run_server,
        sock,
        server.serve,
        daemon=True,
    )
    return Address(host, port), task


async def attempt(address):
    """Return the verdict of one request, and its body if it was whole."""
    client = HttpClient()
    async with client.call(address, PATIENCE) as call:
        try:
            await call.send(HEAD, BODY)
            body = await call.read_body()
        except ServiceError as failure:
            return verdict_of(failure, sent=call.sent), None
    await client.close()
    return Verdict.RAN, body


async def measure_request():
    server = CutServer(ANSWER, request_end=b'-end')
    address, task = await listen(server)
    await attempt(address)
    await task.cancel()
    return server.received[0]


async def cut_request_everywhere():
    outcomes = []
    length = await measure_request()
    for limit in range(length):
        server = CutServer(ANSWER, read_limit=limit, request_end=b'-end')
        address, task = await listen(server)
        verdict, body = await attempt(address)
        outcomes.append((verdict, body, server))
        await task.cancel()
    return outcomes


def test_cut_at_every_byte_of_the_request():
    for verdict, body, server in curio.run(cut_request_everywhere):
        assert body is None
        assert verdict is Verdict.MAY_HAVE_RUN
        assert not server.whole_requests


async def cut_answer_everywhere():
    outcomes = []
    for limit in range(len(ANSWER) + 1):
        server = CutServer(ANSWER, send_limit=limit, request_end=b'-end')
        address, task = await listen(server)
        outcomes.append(await attempt(address))
        await task.cancel()
    return outcomes


def test_cut_at_every_byte_of_the_answer():
    outcomes = curio.run(cut_answer_everywhere)
    assert outcomes.pop() == (Verdict.RAN, b'hello')
    for verdict, body in outcomes:
        assert body is None
        assert verdict is not Verdict.NOT_RUN


def test_nobody_listens():
    verdict, body = curio.run(attempt, find_free_address())
    assert verdict is Verdict.NOT_RUN
    assert body is None


class Silent:
    """Accepts and never answers."""

    async def serve(self, sock, _address):
        await curio.sleep(10)


async def ask_silent():
    address, task = await listen(Silent())
    client = HttpClient()
    with pytest.raises(ServiceError) as failure:
        await client.fetch(address, HEAD, BODY, PATIENCE)
    await task.cancel()
    return failure.value


def test_a_silent_peer_may_have_run_the_request():
    failure = curio.run(ask_silent)
    assert failure.code is Code.TARGET_STALLED
    assert failure.verdict is Verdict.MAY_HAVE_RUN


async def reuse_a_closed_connection():
    """The peer closes the kept connection; the next call takes a new one."""
    server = CutServer(ANSWER, request_end=b'-end')
    address, task = await listen(server)
    client = HttpClient()
    answers = []
    for _ in range(3):
        answers.append(await client.fetch(address, HEAD, BODY, PATIENCE))
        await curio.sleep(0.02)
    await client.close()
    await task.cancel()
    return answers, server.whole_requests


def test_a_connection_that_the_peer_closed_is_not_reused():
    answers, requests = curio.run(reuse_a_closed_connection)
    assert [answer.body for answer in answers] == [b'hello'] * 3
    assert requests == 3
