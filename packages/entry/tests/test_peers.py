"""Tests of the peer server against malformed and forged messages."""

import curio
from hosts import (
    BALI,
    ListSink,
    add_target,
    listen_http,
    make_call,
    make_state,
    make_test_router,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from sequoia_policy.errors import Code
from sequoia_policy.members import Member
from sequoia_standins.fakes import exchange_bytes
from sequoia_standins.plain_services import PlainStandin
from sequoia_standins.ports import find_free_address
from sequoia_wire.frames import HEADER
from sequoia_wire.platform_messages import TargetStatus
from sequoia_wire.signatures import TAG_SIZE
from sequoiashed.peers import PeerServer
from sequoiashed.plans import PlanFollower

NONCE_SIZE = 16


async def send_garbage_then_forward(pieces):
    """Send garbage, then a valid forward; return both responses."""
    standin = PlainStandin(TargetStatus('app-1', 1), BALI)
    target_address, target_task = await listen_http(standin.handle)
    state = make_state()
    add_target(state, 'app-1', target_address)
    server = PeerServer(
        state,
        make_test_router(state),
        PlanFollower(state),
        find_free_address(),
    )
    server.open()
    task = await curio.spawn(server.run, daemon=True)
    garbage = await exchange_bytes(server.address, *pieces, half_close=True)
    sink = ListSink()
    local = make_state('entry-2', 'danshui')
    router = make_test_router(local)
    peer = Member('entry-1', BALI, 'g', str(server.address))
    await router.forwarder.run(make_call(local), peer, sink)
    await task.cancel()
    await target_task.cancel()
    return garbage, sink, state, standin


@settings(max_examples=25)
@given(st.lists(st.binary(max_size=120), max_size=3))
def test_garbage_gets_only_a_nonce_and_valid_forwards_still_run(pieces):
    garbage, sink, _state, standin = curio.run(
        send_garbage_then_forward, pieces
    )
    assert len(garbage) <= NONCE_SIZE
    assert sink.body == b'done: body-end'
    assert len(standin.runs) == 1


def test_forged_frame_is_refused_and_counted():
    frame = b'%b%b%b' % (HEADER.pack(4), bytes(TAG_SIZE), b'body')
    _garbage, _sink, state, _standin = curio.run(
        send_garbage_then_forward, [frame]
    )
    label = Code.PEER_UNAUTHENTICATED.value.label
    refused = state.metrics.refused.labels(label, 'not-run')
    assert refused._value.get() == 1
