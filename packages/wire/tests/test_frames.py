"""Tests of frames between hosts: forged, cut or large ones are refused."""

import socket
from datetime import timedelta

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.frames import (
    FROM_CLIENT,
    FROM_SERVER,
    HEADER,
    MAX_FRAME_SIZE,
    TAG_SIZE,
    PeerChannel,
    decode_thrift,
    derive_key,
    encode_thrift,
    open_datagram,
    seal_datagram,
)
from sequoia_wire.peer_types.ttypes import (
    ForwardRequest,
    Gossip,
    PeerRequest,
    PlanRequest,
)

KEY = derive_key('a secret of all hosts')
PATIENCE = timedelta(milliseconds=200)
MESSAGE = PeerRequest(plan=PlanRequest(above=7))


@given(st.binary(max_size=200), st.text(max_size=30), st.integers(0, 2**31 - 1))
def test_messages_read_as_written(body, text, number):
    message = ForwardRequest(
        request_id=text,
        body=body,
        deadline_ms=number,
        idempotent=True,
    )
    assert decode_thrift(encode_thrift(message), ForwardRequest) == message


@given(st.binary(max_size=300))
def test_garbage_is_refused_not_crashed_on(payload):
    try:
        decode_thrift(payload, Gossip)
    except ServiceError as refused:
        assert refused.code is Code.BAD_REQUEST


@given(st.binary(max_size=50), st.integers(0, 200), st.integers(1, 255))
def test_a_changed_datagram_is_refused(payload, place, change):
    datagram = bytearray(seal_datagram(KEY, payload))
    assert open_datagram(KEY, bytes(datagram)) == payload
    datagram[place % len(datagram)] ^= change
    with pytest.raises(ServiceError) as refused:
        open_datagram(KEY, bytes(datagram))
    assert refused.value.code is Code.PEER_UNAUTHENTICATED


def test_another_secret_is_refused():
    other = derive_key('another secret of hosts')
    with pytest.raises(ServiceError):
        open_datagram(other, seal_datagram(KEY, b'payload'))


def make_channels():
    """Return two connected channels with one nonce."""
    left, right = socket.socketpair()
    nonce = b'n' * 16
    return (
        PeerChannel(curio.io.Socket(left), KEY, FROM_CLIENT, nonce),
        PeerChannel(curio.io.Socket(right), KEY, FROM_SERVER, nonce),
    )


async def read_raw(channel, count):
    return await channel._read_exactly(count)


async def replay():
    """Send the same frame twice, as an eavesdropper would."""
    client, server = make_channels()
    payload = encode_thrift(MESSAGE)
    await client.send(MESSAGE)
    size = HEADER.size + TAG_SIZE + len(payload)
    frame = await read_raw(server, size)
    await client.sock.sendall(frame + frame)
    first = await server.receive(PeerRequest, PATIENCE)
    with pytest.raises(ServiceError) as refused:
        await server.receive(PeerRequest, PATIENCE)
    return first, refused.value.code


def test_a_replayed_frame_is_refused():
    first, code = curio.run(replay)
    assert first == MESSAGE
    assert code is Code.PEER_UNAUTHENTICATED


async def send_back():
    """A frame that comes back in the other direction is refused."""
    client, server = make_channels()
    await client.send(MESSAGE)
    size = HEADER.size + TAG_SIZE + len(encode_thrift(MESSAGE))
    await server.sock.sendall(await read_raw(server, size))
    with pytest.raises(ServiceError) as refused:
        await client.receive(PeerRequest, PATIENCE)
    return refused.value.code


def test_a_reflected_frame_is_refused():
    assert curio.run(send_back) is Code.PEER_UNAUTHENTICATED


async def send_large():
    client, server = make_channels()
    await client.sock.sendall(HEADER.pack(MAX_FRAME_SIZE + 1))
    with pytest.raises(ServiceError) as refused:
        await server.receive(PeerRequest, PATIENCE)
    return refused.value.code


def test_a_large_frame_is_refused_before_it_is_read():
    assert curio.run(send_large) is Code.BODY_TOO_LARGE


async def cut_frame(count):
    client, server = make_channels()
    await client.send(MESSAGE)
    size = HEADER.size + TAG_SIZE + len(encode_thrift(MESSAGE))
    frame = await read_raw(server, size)
    await client.sock.sendall(frame[: count % size])
    await client.sock.close()
    with pytest.raises(OSError):
        await server.receive(PeerRequest, PATIENCE)


@pytest.mark.parametrize('count', range(0, 28, 3))
def test_a_cut_frame_is_an_error(count):
    curio.run(cut_frame, count)
