"""Tests of forwarded calls: verdicts stay correct on broken connections."""

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


def make_host_with_peer(peer_address):
    """Return the state of a host without targets that knows one peer.

    The peer belongs to another domain.
    """
    state = make_state()
    now = state.clock.elapsed()
    peer = Member('entry-far', 'danshui', 'g', str(peer_address), 1, 2)
    state.members.receive(Digest('entry-far', (peer,)), now)
    state.pools.accept(PoolSummary('dispatch-app', 'danshui', 9, 0, now))
    return state


async def forward(cut_bytes=None):
    """Forward a call to a peer, cutting the connection after some bytes."""
    standin = PlainStandin(TargetStatus('app-far', 1), 'danshui')
    target_address, target_task = await listen_http(standin.handle)
    remote = make_state('entry-far', 'danshui')
    add_target(remote, 'app-far', target_address, domain='danshui')
    server, peer_task = await serve_peers(remote)
    relay = ByteRelay(server.address, cut_bytes)
    relay_address, relay_task = await listen(relay.serve)
    local = make_host_with_peer(relay_address)
    call = make_call(local)
    sink = ListSink()
    failure = await run_call(local, call, sink)
    for task in (target_task, peer_task, relay_task):
        await task.cancel()
    return failure, sink, standin, relay


class ByteRelay:
    """Relays a connection and closes it after ``limit`` bytes in total."""

    def __init__(self, address, limit):
        self.address = address
        self.limit = limit
        self.relayed = 0

    async def serve(self, sock, _address):
        peer = await curio.open_connection(self.address.host, self.address.port)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self.copy, sock, peer)
            await group.spawn(self.copy, peer, sock)
        await peer.close()

    async def copy(self, source, sink):
        chunk = await source.recv(1)
        while chunk and (self.limit is None or self.relayed < self.limit):
            self.relayed += 1
            await sink.sendall(chunk)
            chunk = await source.recv(1)


def test_call_succeeds_through_a_peer_of_another_domain():
    failure, sink, standin, _relay = curio.run(forward)
    assert failure is None
    assert sink.body == b'done: body-end'
    assert [run.request_id for run in standin.runs] == ['request-1']
    assert [run.label for run in standin.runs] == ['village-report']


async def cut_forwards():
    """Run one forward for each cut, after every third byte."""
    relay = (await forward())[-1]
    return [
        (await forward(cut_bytes))[:3]
        for cut_bytes in range(0, relay.relayed, 3)
    ]


def test_cut_forward_reports_not_run_only_if_it_did_not_run():
    for failure, sink, standin in curio.run(cut_forwards):
        assert len(standin.runs) <= 1
        assert failure is None or not sink.finished
        if failure and failure.verdict is Verdict.NOT_RUN:
            assert not standin.runs


async def forward_refusal():
    """Forward a call to a peer without a target; return the error."""
    remote = make_state('entry-far', 'danshui')
    add_target(remote, 'other', find_free_address(), pool='lm-pool')
    server, task = await serve_peers(remote)
    local = make_host_with_peer(server.address)
    failure = await run_call(local, make_call(local, max_attempts=1))
    await task.cancel()
    return failure


def test_refusal_of_a_peer_keeps_its_code_and_verdict():
    failure = curio.run(forward_refusal)
    assert failure.code is Code.NO_TARGET
    assert failure.verdict is Verdict.NOT_RUN


def test_call_is_not_forwarded_into_a_forbidden_domain():
    state = make_state()
    now = state.clock.elapsed()
    peer = Member('entry-far', 'sanzhi', 'g', '127.0.0.1:1', 1, 2)
    state.members.receive(Digest('entry-far', (peer,)), now)
    state.pools.accept(PoolSummary('dispatch-app', 'sanzhi', 9, 0, now))
    failure = curio.run(run_call, state, make_call(state))
    assert failure.code is Code.NO_TARGET


def test_host_in_a_forbidden_domain_does_not_use_its_targets():
    state = make_state('entry-9', 'sanzhi')
    add_target(state, 'app-9', find_free_address(), domain='sanzhi')
    failure = curio.run(run_call, state, make_call(state))
    assert failure.code is Code.NO_TARGET
