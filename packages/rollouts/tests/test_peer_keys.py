"""Tests that hosts believe only signed and current datagrams of other hosts."""

from datetime import timedelta

import curio
from fleet_simulation import simulate
from sequoia_policy.errors import ServiceError
from sequoia_policy.reachability import PeerState
from sequoia_rollouts.fleet.peer_keys import (
    KEY_LIFETIME,
    READ_INTERVAL,
    SIGN_AFTER,
    KeyRing,
)
from sequoia_rollouts.fleet.peers import PeerMessage
from sequoia_wire.codecs import encode
from sites import open_site, wait_until

SECOND = timedelta(seconds=1)
FRESH = timedelta(milliseconds=1)


async def send_datagram(datagram, address):
    sock = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_DGRAM)
    await sock.sendto(datagram, (address.host, address.port))
    await sock.close()


def test_datagrams_of_strangers_are_ignored():
    """Anyone on the network could say that a host reaches the store."""

    async def main():
        async with open_site(hosts=2) as site:
            host = site.hosts[0]
            peers = host.coordination.peers
            await wait_until(lambda: peers.key_ring.keys)
            state = PeerState('stranger', 'z2', FRESH)
            message = PeerMessage(state, is_question=False)
            await send_datagram(encode(message), peers.address)
            replayed = peers.key_ring.seal(encode(message))
            await send_datagram(replayed, peers.address)
            await send_datagram(b'\x00' * 40, peers.address)
            await curio.sleep(0.2)
            return peers.reachability.observed

    assert curio.run(main) == {}


def test_malformed_datagrams_do_not_end_the_receiver():
    async def main():
        async with open_site(hosts=1) as site:
            peers = site.hosts[0].coordination.peers
            await wait_until(lambda: peers.key_ring.keys)
            bodies = (
                b'',
                b'[]',
                b'{"state":null}',
                b'{"state":{"host":"h","domain":"z","store_age":1e300},'
                b'"is_question":true,"nonce":"n"}',
                b'{"state":{"host":1,"domain":[],"store_age":"x"},'
                b'"is_question":3}',
            )
            for body in bodies:
                sealed = peers.key_ring.seal(body)
                await send_datagram(sealed, peers.address)
            sock = curio.socket.socket(
                curio.socket.AF_INET, curio.socket.SOCK_DGRAM
            )
            state = PeerState('h9', 'z2', FRESH)
            question = encode(PeerMessage(state, True, 'n1'))
            await sock.sendto(
                peers.key_ring.seal(question),
                (peers.address.host, peers.address.port),
            )
            async with curio.timeout_after(1):
                response, _address = await sock.recvfrom(2000)
            return peers.key_ring.open(response)

    assert b'"nonce":"n1"' in curio.run(main)


def can_talk(rings):
    """Return whether each ring accepts what each other one signs."""
    for sender in rings:
        sealed = sender.seal(b'payload')
        for receiver in rings:
            try:
                assert receiver.open(sealed) == b'payload'
            except ServiceError:
                return False
    return True


def test_all_hosts_accept_each_other_while_keys_are_replaced():
    async def scenario(fleet):
        fleet.start_domains(3, 3)
        await fleet.run(4 * SECOND)
        rings = [
            KeyRing(host.heartbeats, fleet.store, fleet.clock)
            for host in fleet.hosts.values()
        ]
        for ring in rings:
            await ring.step()
        for ring in rings:
            await ring.step()
        versions = {ring.version for ring in rings}
        assert len(versions) == 1
        fleet.clock.now += KEY_LIFETIME + SECOND
        for number, ring in enumerate(rings):
            await ring.step()
            assert can_talk(rings), number
            fleet.clock.now += READ_INTERVAL / len(rings)
        assert {ring.version for ring in rings} != versions
        fleet.clock.now += SIGN_AFTER
        assert can_talk(rings)
        assert rings[0].seal(b'') != rings[0].seal(b'x')

    simulate(scenario)
