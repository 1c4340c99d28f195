"""Tests of gossip: state that one host learns reaches the others."""

from datetime import timedelta

import curio
from hosts import add_target, make_state
from sequoia_policy.errors import Code
from sequoia_policy.plan_states import PlanState
from sequoia_standins.ports import find_free_address
from sequoia_wire.frames import encode_thrift
from sequoia_wire.peer_types import ttypes
from sequoia_wire.signatures import seal_datagram
from sequoiashed.gossips import Gossiper
from sequoiashed.plans import PlanFollower
from sequoiashed.watchers import mark_leaving


def make_gossiper(name, domain):
    state = make_state(
        name,
        domain,
        gossip=str(find_free_address()),
        gossip_period='60ms',
    )
    return Gossiper(state, PlanFollower(state))


async def gossip(gossipers, seconds, during=None):
    """Run gossip between hosts that know each other as contacts.

    ``during`` is called after half of the seconds.
    """
    tasks = []
    for gossiper in gossipers:
        for other in gossipers:
            gossiper.state.members.add_contact(other.state.members.own_member)
        gossiper.open()
        for loop in (gossiper.run_receiver, gossiper.run_sender):
            tasks.append(await curio.spawn(loop, daemon=True))
    await curio.sleep(seconds / 2)
    if during:
        await during()
    await curio.sleep(seconds / 2)
    for task in tasks:
        await task.cancel()


def make_domains():
    return [
        make_gossiper(f'entry-{number}', domain)
        for number, domain in enumerate(['bali', 'danshui', 'bali', 'danshui'])
    ]


def test_leave_order_at_a_host_of_another_domain_reaches_all_hosts():
    """The host that receives the order has no report of the target."""
    gossipers = make_domains()
    for gossiper in gossipers:
        add_target(
            gossiper.state,
            'app-1',
            find_free_address(),
            domain='danshui',
        )
    first = gossipers[0].state
    first.targets.states['app-1'].report = None

    async def order():
        mark_leaving(first, 'app-1', 'operator')

    curio.run(gossip, gossipers, 2.4, order)
    for gossiper in gossipers:
        targets = gossiper.state.targets
        assert targets.states['app-1'].is_leaving


def test_gossiping_hosts_see_each_other_as_alive():
    gossipers = make_domains()
    curio.run(gossip, gossipers, 1.2)
    for gossiper in gossipers:
        state = gossiper.state
        now = state.clock.elapsed()
        for domain in ('bali', 'danshui'):
            alive = state.members.live_members(domain, now)
            assert len(alive) == 2


def test_peers_confirm_a_plan_without_the_platform():
    gossipers = make_domains()
    unconfirmed_host = gossipers[1].state
    plan_state = PlanState(unconfirmed_host.plan)
    unconfirmed_host.plan_state = plan_state
    curio.run(gossip, gossipers, 1.2)
    assert not plan_state.is_expired(unconfirmed_host.clock.elapsed())


async def send_datagrams(gossiper, datagrams):
    gossiper.open()
    task = await curio.spawn(gossiper.run_receiver, daemon=True)
    sock = curio.socket.socket(
        curio.socket.AF_INET,
        curio.socket.SOCK_DGRAM,
    )
    address = gossiper.state.settings.gossip
    for datagram in datagrams:
        await sock.sendto(datagram, (address.host, address.port))
    await curio.sleep(0.1)
    running = not task.terminated
    await task.cancel()
    return running


def test_invalid_and_unauthenticated_datagrams_do_not_stop_the_receiver():
    gossiper = make_gossiper('entry-0', 'bali')
    key = gossiper.state.peer_key
    unequal_lists = ttypes.Gossip(sender='x', beat_keys=[1, 2], beats=[1])
    datagrams = [
        b'',
        b'garbage' * 9,
        seal_datagram(b'another key', b'payload'),
        seal_datagram(key, b'not a frame'),
        seal_datagram(key, b'\x01\x80\x80\x80'),
        seal_datagram(key, encode_thrift(unequal_lists)),
        seal_datagram(key, encode_thrift(ttypes.Gossip())),
    ]
    assert curio.run(send_datagrams, gossiper, datagrams)
    dropped = gossiper.state.metrics.gossip_dropped
    label = Code.PEER_UNAUTHENTICATED.value.label
    assert dropped.labels(label)._value.get() == 3
    assert gossiper.state.clock.elapsed() > timedelta()
