"""Tests of verdicts, retries and resumption when connections break."""

import curio
import pytest
from attrs import evolve
from hosts import (
    ListSink,
    add_target,
    listen,
    listen_http,
    make_call,
    make_state,
    make_test_router,
    run_call,
)
from sequoia_policy.errors import Code
from sequoia_policy.verdicts import Verdict
from sequoia_standins.engines import EngineStandin, EngineTraits
from sequoia_standins.fakes import TruncatingServer
from sequoia_standins.loads import check_tokens
from sequoia_standins.plain_services import PlainStandin
from sequoia_standins.ports import find_free_address
from sequoia_wire.generations import GenerationCall
from sequoia_wire.platform_messages import TargetStatus
from sequoiashed.calls import CallerDisconnectedError

PLAIN_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nsequoia-request-id: request-1\r\n'
    b'content-length: 4\r\n\r\ndone'
)
REFUSAL = (
    b'HTTP/1.1 503 No\r\nsequoia-verdict: not-run\r\ncontent-length: 0\r\n\r\n'
)


async def run_against(servers, *, idempotent=False):
    """Run one call against targets that close connections as scripted."""
    state = make_state()
    tasks = []
    for server in servers:
        address, task = await listen(server.serve)
        add_target(state, f'app-{len(tasks)}', address)
        tasks.append(task)
    sink = ListSink()
    failure = await run_call(
        state, make_call(state, idempotent=idempotent), sink
    )
    for task in tasks:
        await task.cancel()
    return failure, sink


def make_cut(*, read=None, send=None, response=PLAIN_RESPONSE):
    return TruncatingServer(response, read, send, request_end=b'-end')


async def measure_request():
    server = make_cut()
    await run_against([server])
    return server.received[0]


async def cut_requests():
    outcomes = []
    for limit in range(await measure_request()):
        servers = [make_cut(read=limit), make_cut(read=limit)]
        failure, _sink = await run_against(servers)
        outcomes.append((failure, servers))
    return outcomes


def test_request_cut_at_any_byte_is_sent_once_and_may_have_run():
    for failure, servers in curio.run(cut_requests):
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert sum(len(server.received) for server in servers) == 1


async def cut_responses():
    outcomes = []
    for limit, _ in enumerate(PLAIN_RESPONSE):
        servers = [make_cut(send=limit), make_cut(send=limit)]
        failure, sink = await run_against(servers)
        outcomes.append((failure, sink, servers))
    return outcomes


def test_response_cut_at_any_byte_runs_once_and_is_never_complete():
    for failure, sink, servers in curio.run(cut_responses):
        assert failure.verdict is not Verdict.NOT_RUN
        assert not sink.finished
        assert sum(server.whole_requests for server in servers) == 1


def test_idempotent_call_is_retried_before_the_response_starts():
    healthy = make_cut()
    broken = make_cut(send=3)
    failure, sink = curio.run(
        lambda: run_against(
            [healthy, broken, make_cut(read=5)], idempotent=True
        ),
    )
    assert failure is None
    assert sink.body == b'done'
    assert healthy.whole_requests == 1


def test_call_refused_by_a_target_is_retried_at_another():
    healthy = make_cut()
    refusing = make_cut(response=REFUSAL)
    failure, sink = curio.run(
        lambda: run_against([healthy, refusing, refusing])
    )
    assert failure is None
    assert sink.body == b'done'


def test_call_refused_by_all_targets_fails_as_not_run():
    failure, _sink = curio.run(
        lambda: run_against([make_cut(response=REFUSAL)])
    )
    assert failure.code is Code.TARGET_REFUSED
    assert failure.verdict is Verdict.NOT_RUN


def test_response_to_another_request_is_not_passed_on():
    wrong = PLAIN_RESPONSE.replace(b'request-1', b'request-2')
    failure, sink = curio.run(lambda: run_against([make_cut(response=wrong)]))
    assert failure.code is Code.WRONG_ANSWER
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert not sink.chunks


async def run_without_listener():
    state = make_state()
    add_target(state, 'app-1', find_free_address())
    return await run_call(state, make_call(state))


def test_call_with_refused_connections_fails_as_not_run():
    failure = curio.run(run_without_listener)
    assert failure.code is Code.CONNECT_FAILED
    assert failure.verdict is Verdict.NOT_RUN


async def run_silent_target():
    async def never_respond(_sock, _address):
        await curio.sleep(5)

    state = make_state()
    address, task = await listen(never_respond)
    add_target(state, 'app-1', address)
    failure = await run_call(state, make_call(state))
    await task.cancel()
    return failure


def test_call_to_a_silent_target_fails_as_may_have_run():
    failure = curio.run(run_silent_target)
    assert failure.code is Code.TARGET_STALLED
    assert failure.verdict is Verdict.MAY_HAVE_RUN


async def run_with_disconnected_caller():
    standin = PlainStandin(TargetStatus('app-1', 1), 'bali')
    state = make_state()
    address, task = await listen_http(standin.handle)
    add_target(state, 'app-1', address)
    call = make_call(state, idempotent=True)
    with pytest.raises(CallerDisconnectedError):
        await make_test_router(state).run(call, ListSink(fails=True))
    await task.cancel()
    return standin


def test_call_of_a_disconnected_caller_is_not_retried():
    assert len(curio.run(run_with_disconnected_caller).runs) == 1


def make_engine(name, version=1):
    status = TargetStatus(name, 1, version=version)
    return EngineStandin(status, 'bali', EngineTraits(chunk_tokens=2))


class BrokenEngine:
    """Relays an engine's stream and disconnects after ``limit`` bytes."""

    def __init__(self, engine_address, limit):
        self.engine_address = engine_address
        self.limit = limit

    async def serve(self, sock, _address):
        target = self.engine_address
        engine = await curio.open_connection(target.host, target.port)
        request = await sock.recv(65536)
        await engine.sendall(request)
        remaining = self.limit
        while remaining > 0:
            chunk = await engine.recv(remaining)
            if not chunk:
                break
            await sock.sendall(chunk)
            remaining -= len(chunk)
        await engine.close()


async def resume_after_cut(limit):
    """Cut the first engine's stream after some bytes; another resumes it."""
    state = make_state()
    engine_address, task = await listen_http(make_engine('inner').handle)
    broken = BrokenEngine(engine_address, limit)
    broken_address, broken_task = await listen(broken.serve)
    good_address, good_task = await listen_http(make_engine('good').handle)
    add_target(state, 'broken', broken_address, pool='lm-pool')
    call = make_call(state, engine=True, idempotent=True, max_attempts=4)
    sink = ListSink()
    router = make_test_router(state)
    state.targets.states['broken'].report = evolve(
        state.targets.states['broken'].report,
        slots=64,
    )
    router.chooser = BrokenFirstChooser()
    add_target(state, 'good', good_address, pool='lm-pool')
    await router.run(call, sink)
    for server_task in (task, broken_task, good_task):
        await server_task.cancel()
    return sink.body


class BrokenFirstChooser:
    """Chooses the broken target first, until it was tried."""

    def choose(self, usable, affinity=''):
        return min(usable, key=lambda state: state.target.name)


@pytest.mark.parametrize('limit', range(0, 900, 45))
def test_cut_token_stream_is_resumed_at_another_engine(limit):
    body = curio.run(resume_after_cut, limit)
    assert check_tokens(body, GenerationCall('p', 8))


class LargeResponseServer:
    """A target whose response is far larger than all socket buffers."""

    size = 64 * 1024 * 1024
    chunk = b'x' * 65536

    def __init__(self):
        self.sent = 0

    async def serve(self, sock, _address):
        await sock.recv(65536)
        await sock.sendall(
            b'HTTP/1.1 200 OK\r\nsequoia-request-id: request-1\r\n'
            b'content-length: %d\r\n\r\n' % self.size,
        )
        while self.sent < self.size:
            await sock.sendall(self.chunk)
            self.sent += len(self.chunk)


class SlowSink(ListSink):
    """A caller that reads one chunk and then stops reading."""

    async def send(self, chunk):
        await super().send(chunk)
        await curio.sleep(30)


async def respond_to_slow_caller():
    target = LargeResponseServer()
    address, task = await listen(target.serve)
    state = make_state()
    add_target(state, 'app-1', address)
    sink = SlowSink()
    router = make_test_router(state)
    running = await curio.spawn(router.run, make_call(state), sink)
    await curio.sleep(1)
    received = len(sink.body)
    await running.cancel()
    await task.cancel()
    return received, target


def test_slow_caller_causes_backpressure_at_the_target():
    """No response is read ahead: only socket buffers fill up."""
    received, target = curio.run(respond_to_slow_caller)
    assert 0 < received <= 65536
    assert target.sent < target.size / 2
