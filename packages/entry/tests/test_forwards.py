"""Tests of forwards: the verdict crosses hosts unharmed, also when cut."""

import curio
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
from sequoia_policy.members import Digest, Member
from sequoia_policy.pools import PoolSummary
from sequoia_policy.verdicts import Verdict
from sequoia_standins.plain_services import PlainStandin
from sequoia_standins.ports import find_free_address
from sequoia_wire.platform_messages import TargetStatus
from sequoiashed.peers import PeerServer
from sequoiashed.plans import PlanFollower


async def serve_peers(state):
    """Serve other hosts; return the server and its task."""
    server = PeerServer(
        state,
        make_test_router(state),
        PlanFollower(state),
        find_free_address(),
    )
    server.open()
    return server, await curio.spawn(server.run, daemon=True)


def make_neighbour(peer_address):
    """Return a host without targets that knows a peer of another domain."""
    state = make_state()
    now = state.clock.elapsed()
    peer = Member('entry-far', 'danshui', 'g', str(peer_address), 1, 2)
    state.members.receive(Digest('entry-far', (peer,)), now)
    state.pools.accept(PoolSummary('dispatch-app', 'danshui', 9, 0, now))
    return state


async def forward(cut_bytes=None):
    """Run a call through a peer of another domain that may be cut off."""
    standin = PlainStandin(TargetStatus('app-far', 1), 'danshui')
    target_address, target_task = await listen_http(standin.handle)
    far = make_state('entry-far', 'danshui')
    add_target(far, 'app-far', target_address, domain='danshui')
    server, peer_task = await serve_peers(far)
    relay = ByteRelay(server.address, cut_bytes)
    relay_address, relay_task = await listen(relay.serve)
    near = make_neighbour(relay_address)
    call = make_call(near)
    sink = ListSink()
    failure = await run_call(near, call, sink)
    for task in (target_task, peer_task, relay_task):
        await task.cancel()
    return failure, sink, standin, relay


class ByteRelay:
    """Relays a connection and cuts it after some bytes in either way."""

    def __init__(self, address, limit):
        self.address = address
        self.limit = limit
        self.passed = 0

    async def serve(self, sock, _address):
        peer = await curio.open_connection(self.address.host, self.address.port)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.copy, sock, peer)
            await group.spawn(self.copy, peer, sock)
        await peer.close()

    async def copy(self, source, sink):
        chunk = await source.recv(1)
        while chunk and (self.limit is None or self.passed < self.limit):
            self.passed += 1
            await sink.sendall(chunk)
            chunk = await source.recv(1)


def test_a_call_is_answered_through_a_peer_of_another_domain():
    failure, sink, standin, _relay = curio.run(forward)
    assert failure is None
    assert sink.body == b'done: body-end'
    assert [run.request_id for run in standin.runs] == ['request-1']
    assert [run.label for run in standin.runs] == ['village-report']


async def cut_forwards():
    relay = (await forward())[-1]
    return [
        (await forward(cut_bytes))[:3]
        for cut_bytes in range(0, relay.passed, 3)
    ]


def test_forward_cut_at_any_byte_never_says_not_run_wrongly():
    for failure, sink, standin in curio.run(cut_forwards):
        assert len(standin.runs) <= 1
        assert failure is None or not sink.finished
        if failure and failure.verdict is Verdict.NOT_RUN:
            assert not standin.runs


async def forward_refusal():
    """The peer has no target: its verdict comes back unharmed."""
    far = make_state('entry-far', 'danshui')
    add_target(far, 'other', find_free_address(), pool='lm-pool')
    server, task = await serve_peers(far)
    near = make_neighbour(server.address)
    failure = await run_call(near, make_call(near, max_attempts=1))
    await task.cancel()
    return failure


def test_a_peers_refusal_keeps_its_code_and_verdict():
    failure = curio.run(forward_refusal)
    assert failure.code is Code.NO_TARGET
    assert failure.verdict is Verdict.NOT_RUN


def test_no_forward_into_a_forbidden_domain():
    state = make_state()
    now = state.clock.elapsed()
    peer = Member('entry-far', 'sanzhi', 'g', '127.0.0.1:1', 1, 2)
    state.members.receive(Digest('entry-far', (peer,)), now)
    state.pools.accept(PoolSummary('dispatch-app', 'sanzhi', 9, 0, now))
    failure = curio.run(run_call, state, make_call(state))
    assert failure.code is Code.NO_TARGET


def test_a_host_of_a_forbidden_domain_uses_no_own_target():
    state = make_state('entry-9', 'sanzhi')
    add_target(state, 'app-9', find_free_address(), domain='sanzhi')
    failure = curio.run(run_call, state, make_call(state))
    assert failure.code is Code.NO_TARGET
