"""Hosts of a large fleet read what coordinators publish of the targets."""

from datetime import timedelta

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy import publications
from sequoia_policy.registries import (
    ModelVersion,
    Registration,
    TargetRegistry,
)
from sequoia_rollouts.targets.published_targets import MARKER, TABLE
from sites import open_site, wait_until

MAX_DELAY = 4  # seconds for which a target that leaves still serves


@pytest.fixture(autouse=True)
def few_targets_are_many(monkeypatch):
    monkeypatch.setattr(publications, 'MAX_DIRECT_TARGETS', 2)


async def start_other(site):
    """Start a host that is no coordinator; wait until it uses the rows."""
    host = await site.start_host('h4', wait_until_ready=False)
    await wait_until(lambda: host.is_ready)
    await wait_until(lambda: host.publisher.published.is_applied)
    assert not host.heartbeats.is_coordinator
    return host


def find_names(host):
    return set(host.directory.registry.targets)


async def renew_registrations(site, changes=None):
    """Write all registrations again and again, as live targets do.

    Args:
        site: The site.
        changes: Changed fields by name of the target.
    """
    count = 0
    while True:
        await curio.sleep(0.1)
        count += 1
        for server in (*site.engines, *site.scorers):
            if server.name in site.store.find('servers'):
                fields = {
                    **server.entry(),
                    **(changes or {}).get(server.name, {}),
                    'seq': count,
                }
                site.store.put('servers', server.name, fields)


def test_other_hosts_learn_of_changes_without_reading_renewals():
    async def main():
        async with open_site(hosts=3, engines=4) as site:
            changes = {}
            renewals = await curio.spawn(
                renew_registrations, site, changes, daemon=True
            )
            host = await start_other(site)
            before = find_names(host)
            site.store.remove('servers', 'e1')
            await wait_until(lambda: 'e1' not in find_names(host), MAX_DELAY)
            site.store.put('servers', 'e1', site.engines[1].entry())
            await wait_until(lambda: 'e1' in find_names(host), MAX_DELAY)
            changes['e2'] = {'state': 'draining'}
            target = host.directory.registry.targets['e2']
            await wait_until(lambda: target.registration.leaving, MAX_DELAY)
            live = await site.call(host, 'POST', '/live/a', attempt_id='r1')
            rows = len(site.store.history)
            await curio.sleep(1)
            written = site.store.history[rows:]
            await renewals.cancel()
            published = [name for _, name, _ in written if name[0] == TABLE]
            return before, host, live, published

    before, host, live, published = curio.run(main)
    assert before == {'e0', 'e1', 'e2', 'e3', 'p0'}
    assert host.directory.target_follower.version is None
    assert live.status == 200
    assert {name[2] for name in published} <= {MARKER.key}
    assert len(published) <= 3


def test_hosts_read_registrations_if_nobody_publishes():
    async def main():
        async with open_site(hosts=3, engines=4) as site:
            renewals = await curio.spawn(renew_registrations, site, daemon=True)
            host = await start_other(site)
            for coordinator in site.hosts[:3]:
                coordinator.publisher.heartbeats = host.heartbeats
            site.store.remove('servers', 'e1')
            await wait_until(lambda: 'e1' not in find_names(host), 6)
            await renewals.cancel()
            return host

    host = curio.run(main)
    assert not host.publisher.published.in_use


def test_outage_of_the_store_changes_no_source():
    async def main():
        async with open_site(hosts=3, engines=4) as site:
            renewals = await curio.spawn(renew_registrations, site, daemon=True)
            host = await start_other(site)
            site.store.down = 503
            await curio.sleep(4)
            during = host.publisher.published.in_use, find_names(host)
            site.store.down = 0
            await curio.sleep(2)
            await renewals.cancel()
            return during, host.publisher.published.in_use

    (during, names), after = curio.run(main)
    assert during
    assert after
    assert names == {'e0', 'e1', 'e2', 'e3', 'p0'}


def test_coordinator_with_old_reads_publishes_nothing():
    async def main():
        async with open_site(hosts=3, engines=4) as site:
            renewals = await curio.spawn(renew_registrations, site, daemon=True)
            host = await start_other(site)
            late = site.hosts[0]
            await late.heartbeats.read()
            late.directory.target_follower.is_active = bool  # False
            await wait_until(
                lambda: late.directory.target_follower.version is None
            )
            site.store.remove('servers', 'e1')
            await wait_until(lambda: 'e1' not in find_names(host), MAX_DELAY)
            changes = len(site.store.history)
            late.directory.target_follower.version = 1  # far behind
            late.publisher.differing_since = {'e1': timedelta()}  # its turn
            await late.publisher.step()
            await curio.sleep(0.5)
            await renewals.cancel()
            written = [name for _, name, _ in site.store.history[changes:]]
            return find_names(late), written

    known_to_late, written = curio.run(main)
    assert 'e1' in known_to_late
    assert (TABLE, '', 'e1') not in written


def test_undecodable_rows_are_ignored():
    async def main():
        async with open_site(hosts=3, engines=4) as site:
            renewals = await curio.spawn(renew_registrations, site, daemon=True)
            host = await start_other(site)
            site.store.put_bytes(TABLE, 'e9', b'\xff')
            site.store.put_bytes(TABLE, MARKER.key, b'[]')
            await curio.sleep(1)
            site.store.remove('servers', 'e1')
            await wait_until(lambda: 'e1' not in find_names(host), MAX_DELAY)
            await renewals.cancel()
            return find_names(host)

    assert curio.run(main) == {'e0', 'e2', 'e3', 'p0'}


names = st.sampled_from([f't{number}' for number in range(6)])
registrations = st.builds(
    Registration,
    name=st.just('t'),
    service=st.just('pool'),
    address=st.just('10.0.0.1:80'),
    domain=st.just('z1'),
    leaving=st.booleans(),
    versions=st.sampled_from([(), (ModelVersion('m', 3),)]),
)


@given(
    st.dictionaries(names, registrations),
    st.dictionaries(names, st.none() | registrations),
)
def test_published_rows_equal_registrations_after_the_differences(
    current, published
):
    registry = TargetRegistry()
    for name, registration in current.items():
        registry.register(
            Registration(
                name,
                registration.service,
                registration.address,
                registration.domain,
                leaving=registration.leaving,
                versions=registration.versions,
            )
        )
    rows = {
        name: publications.PublishedRow(7, registration)
        for name, registration in published.items()
    }
    targets = list(registry.targets.values())
    for difference in publications.find_differences(targets, rows):
        known = rows.get(difference.name)
        is_present = known is not None and known.registration is not None
        expected_version = 7 if is_present else 0
        assert difference.row_version == expected_version
        rows[difference.name] = publications.PublishedRow(
            8, difference.registration
        )
    assert publications.find_differences(targets, rows) == []
    present = {name for name, row in rows.items() if row.registration}
    assert present == set(current)
    written = [row.registration for row in rows.values() if row.version == 8]
    assert not any(row.versions for row in written if row)


def test_marker_age_covers_the_turn_of_the_next_coordinator():
    last_turn = publications.MARKER_INTERVAL + publications.STAGGER * 8
    assert last_turn < publications.MAX_MARKER_AGE
    assert publications.MAX_MARKER_AGE < timedelta(seconds=MAX_DELAY)
