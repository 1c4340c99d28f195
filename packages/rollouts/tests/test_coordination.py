"""Tests of leases, failure detection and census in fleets of many hosts."""

from datetime import timedelta

import pytest
from fleet_simulation import PARTITION_RATE, simulate
from sequoia_rollouts.storage.stores import RowKey, RowWrite, Transaction
from sequoia_rollouts.storage.tables import COORDINATORS, lease_key

DOMAINS = 5
HOSTS_PER_DOMAIN = 40
SETTLE = timedelta(seconds=4)
SECOND = timedelta(seconds=1)
DETECTION_LIMIT = timedelta(seconds=2)


async def start_large_fleet(fleet):
    fleet.start_domains(DOMAINS, HOSTS_PER_DOMAIN)
    await fleet.run(SETTLE)


def find_dead(fleet, observer):
    return [
        host.name
        for host in fleet.coordinators()
        if observer.heartbeats.is_dead(host.owner)
    ]


def test_200_hosts_that_start_at_once_agree_on_their_coordinators():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        assert set(fleet.stored_holders()) == fleet.lease_names(DOMAINS)
        held = [host.heartbeats.own.lease.name for host in fleet.coordinators()]
        assert len(held) == len(set(held)) == len(fleet.lease_names(DOMAINS))
        expected = sorted(host.owner for host in fleet.coordinators())
        for host in fleet.hosts.values():
            assert host.heartbeats.live_owners() == expected
        assert fleet.store.refused == 0

    simulate(scenario)


@pytest.mark.parametrize('seed', range(5))
def test_no_calm_coordinator_loses_its_lease_or_looks_dead(seed):
    async def scenario(fleet):
        await start_large_fleet(fleet)

        def check():
            for host in fleet.coordinators():
                assert host.heartbeats.holds_lease()
                assert not find_dead(fleet, host)

        fleet.losses = 0
        await fleet.run(10 * SECOND, check)
        assert fleet.losses == 0
        assert len(fleet.coordinators()) == len(fleet.lease_names(DOMAINS))

    simulate(scenario, seed)


def test_calls_of_400_hosts_stay_within_the_rates_of_the_store():
    async def scenario(fleet):
        fleet.start_domains(DOMAINS, 2 * HOSTS_PER_DOMAIN)
        await fleet.run(SETTLE)
        store = fleet.store
        store.transactions = 0
        store.reads = 0
        store.read_rows = 0
        await fleet.run(10 * SECOND)
        return (
            store.transactions / 10,
            store.reads / 10,
            store.read_rows / 10 / len(fleet.hosts),
            store.refused,
        )

    writes, reads, rows_per_host, refused = simulate(scenario)
    assert refused == 0
    assert writes < PARTITION_RATE / 2
    assert reads < 300
    assert rows_per_host < 15  # rows of about 300 bytes a second


def test_a_dead_coordinator_is_detected_within_two_seconds():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        dead, *others = fleet.coordinators()
        dead.paused_until = fleet.clock.now + 600 * SECOND
        await fleet.run(DETECTION_LIMIT)
        return [other.heartbeats.is_dead(dead.owner) for other in others]

    assert all(simulate(scenario))


def test_the_lease_of_a_dead_coordinator_is_claimed_by_a_host_of_its_domain():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        dead = fleet.coordinators()[0]
        name = dead.heartbeats.own.lease.name
        dead.paused_until = fleet.clock.now + 600 * SECOND
        await fleet.run(8 * SECOND)
        holder = next(
            host
            for host in fleet.coordinators()
            if host is not dead and host.heartbeats.own.lease.name == name
        )
        assert holder.heartbeats.own.domain == dead.heartbeats.own.domain

    simulate(scenario)


def test_a_host_that_wakes_up_after_its_lease_was_claimed_gives_it_up():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        frozen = fleet.coordinators()[0]
        frozen.paused_until = fleet.clock.now + 8 * SECOND
        await fleet.run(8 * SECOND)
        assert not frozen.heartbeats.holds_lease()
        await fleet.run(SECOND)
        assert not frozen.heartbeats.is_coordinator
        holders = fleet.stored_holders()
        assert len(holders) == len(fleet.coordinators())

    simulate(scenario)


@pytest.mark.parametrize('seed', range(5))
def test_a_restarted_coordinator_replaces_its_own_previous_process(seed):
    async def scenario(fleet):
        await start_large_fleet(fleet)
        before = fleet.coordinators()[0]
        name = before.heartbeats.own.lease.name
        after = fleet.restart(before.name)
        await fleet.run(SECOND)
        assert after.heartbeats.own.lease.name == name
        for host in fleet.coordinators():
            assert host.heartbeats.is_dead(before.owner)
            assert not host.heartbeats.is_dead(after.owner)

    simulate(scenario, seed)


@pytest.mark.parametrize('seed', range(5))
def test_no_process_looks_dead_while_all_hosts_restart_at_once(seed):
    """Hosts took work from owners that started after their last read."""

    async def scenario(fleet):
        await start_large_fleet(fleet)
        for name in tuple(fleet.hosts):
            fleet.restart(name)

        def check():
            for host in fleet.coordinators():
                assert not find_dead(fleet, host)

        await fleet.run(SETTLE, check)
        assert len(fleet.coordinators()) == len(fleet.lease_names(DOMAINS))

    simulate(scenario, seed)


def test_an_outage_of_the_store_costs_no_host_its_lease():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        fleet.losses = 0
        before = {host.name for host in fleet.coordinators()}
        fleet.store.is_down = True
        await fleet.run(6 * SECOND)
        fleet.store.is_down = False
        for host in fleet.coordinators():
            assert not host.heartbeats.holds_lease()
        await fleet.run(SETTLE)
        assert fleet.losses == 0
        assert {host.name for host in fleet.coordinators()} == before

    simulate(scenario)


@pytest.mark.parametrize('seed', range(5))
def test_hosts_that_were_cut_off_take_no_work_from_live_hosts(seed):
    """They took it when they renewed their lease before their next read."""

    async def scenario(fleet):
        await start_large_fleet(fleet)
        cut = [
            host
            for host in fleet.coordinators()
            if host.heartbeats.own.domain == 'z0'
        ]

        def check():
            for host in cut:
                assert not find_dead(fleet, host)

        for host in cut:
            host.reaches_store = False
        await fleet.run(3 * SECOND, check)
        for host in cut:
            host.reaches_store = True
        await fleet.run(2 * SECOND, check)

    simulate(scenario, seed)


def test_lost_responses_cost_no_host_its_lease():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        fleet.losses = 0
        fleet.store.lose_share = 0.4
        await fleet.run(5 * SECOND)
        fleet.store.lose_share = 0
        await fleet.run(SECOND)
        assert fleet.losses == 0
        for host in fleet.coordinators():
            assert host.heartbeats.holds_lease()

    simulate(scenario)


def test_the_hosts_of_the_fleet_are_counted_soon_after_the_start():
    async def scenario(fleet):
        await start_large_fleet(fleet)
        interval = next(iter(fleet.hosts.values())).heartbeats
        return interval.find_feed_interval()

    seconds = simulate(scenario).total_seconds()
    assert seconds == pytest.approx(
        DOMAINS * HOSTS_PER_DOMAIN * 3 / 1200, rel=0.1
    )


def test_a_lease_that_cannot_be_read_is_claimed_after_the_timeout():
    """All hosts of the domain tried to claim it again and again."""

    async def scenario(fleet):
        write = RowWrite(lease_key('z0/0'), b'no heartbeat')
        await fleet.store.commit(Transaction((write,)))
        fleet.start_domains(1, HOSTS_PER_DOMAIN)
        await fleet.run(8 * SECOND)
        assert len(fleet.coordinators()) == 3
        fleet.store.transactions = 0
        await fleet.run(4 * SECOND)
        return fleet.store.transactions / 4

    assert simulate(scenario) < 15  # heartbeats of three coordinators


def test_rows_of_other_writers_are_ignored():
    async def scenario(fleet):
        fleet.start_domains(1, 4)
        foreign = (
            (lease_key('z0/9'), b'\xff\x00 no heartbeat'),
            (lease_key('z0/8'), b'{"host":"","boot":"","count":1}'),
            (
                lease_key('z0/7'),
                b'{"host":"x","boot":"y","count":1,"address":"nowhere"}',
            ),
            (RowKey('hosts', 'z0', 'x'), b'[]'),
        )
        for key, body in foreign:
            await fleet.store.commit(Transaction((RowWrite(key, body),)))
        await fleet.run(SETTLE)
        held = [
            name
            for name in fleet.lease_names(1)
            if name in fleet.stored_holders()
        ]
        assert len(held) == 3
        assert RowKey(COORDINATORS, '', 'z0/9') in fleet.store.rows
        for host in fleet.hosts.values():
            assert len(host.heartbeats.live_owners()) == 3

    simulate(scenario)
