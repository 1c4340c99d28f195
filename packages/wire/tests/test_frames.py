"""Tests of peer frames: forged, truncated and oversized frames are rejected."""

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
    PeerChannel,
    decode_thrift,
    encode_thrift,
)
from sequoia_wire.signatures import (
    TAG_SIZE,
    derive_key,
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
TIMEOUT = timedelta(milliseconds=200)
MESSAGE = PeerRequest(plan=PlanRequest(above=7))


@given(st.binary(max_size=200), st.text(max_size=30), st.integers(0, 2**31 - 1))
def test_thrift_messages_round_trip(body, text, number):
    message = ForwardRequest(
        request_id=text,
        body=body,
        deadline_ms=number,
        idempotent=True,
    )
    assert decode_thrift(encode_thrift(message), ForwardRequest) == message


@given(st.binary(max_size=300))
def test_random_bytes_decode_or_raise_bad_request(payload):
    try:
        decode_thrift(payload, Gossip)
    except ServiceError as error:
        assert error.code is Code.BAD_REQUEST


@given(st.binary(max_size=50), st.integers(0, 200), st.integers(1, 255))
def test_modified_datagram_is_rejected(payload, position, mask):
    datagram = bytearray(seal_datagram(KEY, payload))
    assert open_datagram(KEY, bytes(datagram)) == payload
    datagram[position % len(datagram)] ^= mask
    with pytest.raises(ServiceError) as error:
        open_datagram(KEY, bytes(datagram))
    assert error.value.code is Code.PEER_UNAUTHENTICATED


def test_datagram_signed_with_another_secret_is_rejected():
    other = derive_key('another secret of hosts')
    with pytest.raises(ServiceError):
        open_datagram(other, seal_datagram(KEY, b'payload'))


def make_channels():
    """Return two connected channels that share a nonce."""
    client_sock, server_sock = socket.socketpair()
    nonce = b'n' * 16
    return (
        PeerChannel(curio.io.Socket(client_sock), KEY, FROM_CLIENT, nonce),
        PeerChannel(curio.io.Socket(server_sock), KEY, FROM_SERVER, nonce),
    )


async def read_raw(channel, count):
    return await channel._read_exactly(count)


async def replay():
    """Send a captured frame twice."""
    client, server = make_channels()
    payload = encode_thrift(MESSAGE)
    await client.send(MESSAGE)
    size = HEADER.size + TAG_SIZE + len(payload)
    frame = await read_raw(server, size)
    await client.sock.sendall(frame + frame)
    first = await server.receive(PeerRequest, TIMEOUT)
    with pytest.raises(ServiceError) as error:
        await server.receive(PeerRequest, TIMEOUT)
    return first, error.value.code


def test_replayed_frame_is_rejected():
    first, code = curio.run(replay)
    assert first == MESSAGE
    assert code is Code.PEER_UNAUTHENTICATED


async def reflect():
    """Send a captured frame back to its sender."""
    client, server = make_channels()
    await client.send(MESSAGE)
    size = HEADER.size + TAG_SIZE + len(encode_thrift(MESSAGE))
    await server.sock.sendall(await read_raw(server, size))
    with pytest.raises(ServiceError) as error:
        await client.receive(PeerRequest, TIMEOUT)
    return error.value.code


def test_reflected_frame_is_rejected():
    assert curio.run(reflect) is Code.PEER_UNAUTHENTICATED


async def send_oversized():
    client, server = make_channels()
    await client.sock.sendall(HEADER.pack(MAX_FRAME_SIZE + 1))
    with pytest.raises(ServiceError) as error:
        await server.receive(PeerRequest, TIMEOUT)
    return error.value.code


def test_oversized_frame_is_rejected_before_it_is_read():
    assert curio.run(send_oversized) is Code.BODY_TOO_LARGE


async def truncate_frame(count):
    client, server = make_channels()
    await client.send(MESSAGE)
    size = HEADER.size + TAG_SIZE + len(encode_thrift(MESSAGE))
    frame = await read_raw(server, size)
    await client.sock.sendall(frame[: count % size])
    await client.sock.close()
    with pytest.raises(OSError):
        await server.receive(PeerRequest, TIMEOUT)


@pytest.mark.parametrize('count', range(0, 28, 3))
def test_truncated_frame_raises_os_error(count):
    curio.run(truncate_frame, count)
