"""Tests of the duty to order engines, with hosts, a store and an API."""

from contextlib import asynccontextmanager
from datetime import timedelta

import curio
import pytest
from capacity_standin import CONFLICT, OK, TOO_MANY, CapacityStandin
from engine_standin import SERVICE
from sequoia_platform.apis import PlatformHttpApi
from sequoia_policy import capacity_counts, capacity_plans
from sequoia_rollouts.base.settings import DutySettings
from sequoia_rollouts.capacity.capacity_managers import CallPace
from sites import make_lot, make_manifest, open_site, wait_until

DUTY = f'capacity/{SERVICE}'
ENABLED = DutySettings(orders_capacity=True, call_rate=4)
SCALING = {
    'min': 1,
    'max': 5,
    'bootS': 1,
    'spotPrice': 0.22,
    'zonePrices': {'z1': 1, 'z2': 1.2},
}
ZONES = ('z1', 'z1', 'z2', 'z2')


@pytest.fixture(autouse=True)
def _short_times(monkeypatch):
    """Shorten the times that would only be waited for."""
    second = timedelta(seconds=1)
    monkeypatch.setattr(capacity_plans, 'WATCH_TIME', 2 * second)
    monkeypatch.setattr(capacity_counts, 'RESTART_TIME', second)


@asynccontextmanager
async def open_scaled_site(hosts=1, duties=ENABLED, scaling=SCALING):
    """Run a site whose engines stand in two failure domains."""
    async with open_site(hosts=0, engines=len(ZONES)) as site:
        api = CapacityStandin()
        api.server.open()
        task = await curio.spawn(api.server.run, daemon=True)
        site.api = PlatformHttpApi(api.server.address)
        site.duties = duties
        for engine, zone in zip(site.engines, ZONES, strict=True):
            site.store.put('servers', engine.name, engine.entry(zone=zone))
        manifest = make_manifest(4)
        manifest['services'][0]['scaling'] = scaling
        site.store.put('op', 'config', manifest)
        for number in range(hosts):
            await site.start_host(f'h{number + 1}')
        try:
            yield site, api
        finally:
            await task.cancel()


def find_holder(site):
    """Return the host that holds the duty, or None."""
    for host in site.hosts:
        duty = host.ownership.duties.get(DUTY)
        if duty and duty.owner == host.heartbeats.owner:
            return host
    return None


def find_planner(host):
    return host.duties.capacity.managers[SERVICE].planner


async def wait_for_planning(site):
    """Return the holder of the duty once it has watched."""
    await wait_until(lambda: find_holder(site))
    holder = find_holder(site)
    await wait_until(lambda: SERVICE in holder.duties.capacity.managers)
    await wait_until(lambda: find_planner(holder).planning)
    return holder


def test_lost_engine_is_ordered_by_the_holder_with_its_fence():
    async def main():
        async with open_scaled_site() as (site, api):
            holder = await wait_for_planning(site)
            assert not api.calls
            site.store.remove('servers', 'e0')
            await wait_until(lambda: api.calls)
            version = holder.ownership.duties[DUTY].version
            return api.calls[0], version

    call, version = curio.run(main)
    assert (call.domain, call.count, call.reclaimable) == ('z1', 2, False)
    assert (call.holder, call.fence) == ('h1', version)


@pytest.mark.parametrize(
    ('duties', 'scaling'),
    [(DutySettings(), SCALING), (ENABLED, None)],
)
def test_nothing_is_ordered_unless_settings_and_service_enable_it(
    duties, scaling
):
    """Guards against a changed behaviour of deployments that enable nothing."""

    async def main():
        async with open_scaled_site(1, duties, scaling) as (site, api):
            site.store.remove('servers', 'e0')
            await curio.sleep(4)
            return api.calls, site.hosts[0].ownership.duties

    calls, duties_known = curio.run(main)
    assert not calls
    assert DUTY not in duties_known


def test_next_holder_goes_on_from_the_list_if_one_is_killed_before_its_order():
    """The decision is lost with the holder, which had not sent it."""

    async def main():
        async with open_scaled_site(2) as (site, api):
            holder = await wait_for_planning(site)
            decided = curio.Event()

            async def hang(order, _permit):
                await decided.set()
                await curio.sleep(1000)

            manager = holder.duties.capacity.managers[SERVICE]
            manager.api = type('Hanging', (), {'order_targets': hang})
            first = holder.ownership.duties[DUTY].version
            site.store.remove('servers', 'e0')
            async with curio.timeout_after(10):
                await decided.wait()
            await site.kill(holder)
            await wait_until(lambda: api.calls, seconds=20)
            return api.calls[0], first, holder.settings.name

    call, first, killed = curio.run(main)
    assert (call.domain, call.count) == ('z1', 2)
    assert call.fence > first
    assert call.holder != killed


def test_stopped_holder_releases_the_duty():
    """Without the release others wait until its lease has expired."""

    async def main():
        async with open_scaled_site(2) as (site, _api):
            holder = await wait_for_planning(site)
            other = next(host for host in site.hosts if host is not holder)
            owner = holder.heartbeats.owner
            holder.coordination.start_draining()
            await holder.duties.release()
            released = other.ownership
            await wait_until(
                lambda: released.duties[DUTY].owner not in {owner, ''}
            )
            return released.duties[DUTY].owner == other.heartbeats.owner

    assert curio.run(main)


def test_refused_call_is_made_again_after_a_pause():
    async def main():
        async with open_scaled_site() as (site, api):
            await wait_for_planning(site)
            api.refusals = 1
            site.store.remove('servers', 'e0')
            await wait_until(lambda: len(api.calls) > 1)
            return api.calls[:2]

    first, second = curio.run(main)
    assert (first.status, second.status) == (TOO_MANY, OK)
    assert second.count == first.count
    assert second.at - first.at >= 1


def test_engines_that_are_not_available_are_ordered_elsewhere():
    async def main():
        async with open_scaled_site() as (site, api):
            await wait_for_planning(site)
            api.unavailable.add('z1')
            site.store.remove('servers', 'e0')
            await wait_until(lambda: api.numbers)
            return api.calls[:2]

    first, second = curio.run(main)
    assert (first.domain, first.count, first.status) == ('z1', 2, CONFLICT)
    assert (second.domain, second.count, second.status) == ('z2', 3, OK)


def test_order_without_response_is_not_overtaken_by_the_next_one():
    """It is carried out late, and would undo a newer order."""

    async def main():
        async with open_scaled_site() as (site, api):
            await wait_for_planning(site)
            api.unanswered = 1
            site.store.remove('servers', 'e0')
            await wait_until(lambda: api.calls)
            site.store.remove('servers', 'e1')
            await wait_until(lambda: len(api.calls) > 1, seconds=12)
            return api.calls[:2], dict(api.numbers)

    (first, second), numbers = curio.run(main)
    assert second.at - first.at > 5
    assert second.count == 2
    assert numbers == {('z1', False): 2}


def test_late_steps_add_engines():
    """Reads the steps from the table of owners, and the time from the route."""

    async def main():
        async with open_scaled_site() as (site, api):
            holder = await wait_for_planning(site)
            site.store.put(
                'op', 'config', scale_manifest(make_manifest(5, dueMs=1500))
            )
            for engine in site.engines:
                engine.pace = 1.0
            for number in range(3):
                await site.submit(holder, f'lot{number}')
            await wait_until(lambda: api.numbers)
            return api.calls[0], find_planner(holder).need

    call, need = curio.run(main)
    assert (call.domain, call.reclaimable) == ('z1', False)
    assert call.count > 2
    assert need > capacity_plans.GROWTH_SHARE


def scale_manifest(manifest):
    manifest['services'][0]['scaling'] = SCALING
    return manifest


def test_ended_steps_are_known_by_the_time_that_they_took():
    async def main():
        async with open_scaled_site() as (site, _api):
            holder = await wait_for_planning(site)
            await site.submit(holder, 'lot1')
            history = find_planner(holder).history
            await wait_until(lambda: history.running)
            response = await site.call(holder, 'DELETE', '/v1/lots/lot1')
            await wait_until(lambda: history.finished)
            return response.status, history.finished[0], history.running

    status, step, running = curio.run(main)
    assert status < 300
    assert step.items == len(make_lot()['requests'])
    assert 0 < step.share < 1
    assert step.engines == len(ZONES)
    assert not running


def test_old_list_of_targets_orders_nothing():
    """Guards against orders by a host that the store does not reach."""

    async def main():
        async with open_scaled_site() as (site, api):
            holder = await wait_for_planning(site)
            site.store.remove('servers', 'e0')
            await wait_until(
                lambda: 'e0' not in holder.directory.registry.targets
            )
            site.store.down = 503
            await curio.sleep(6)
            return api.calls

    assert not curio.run(main)


def test_calls_keep_the_rate_and_pause_longer_after_failures():
    pace, now = CallPace(), timedelta(seconds=10)
    pace.record_call(now, timedelta(seconds=2))
    assert pace.next_at == timedelta(seconds=12)
    pauses = []
    while len(pauses) < 6:
        pace.record_failure(pace.next_at)
        pauses.append(pace.next_at - now)
        now = pace.next_at
    assert [pause.seconds for pause in pauses[1:]] == [2, 4, 8, 8, 8]


def test_services_and_the_usage_report_share_the_rate():
    async def main():
        async with open_scaled_site() as (site, _api):
            capacity = site.hosts[0].duties.capacity
            alone = capacity.find_interval()
            capacity.settings = DutySettings(
                reports_usage=True, orders_capacity=True, call_rate=4
            )
            return alone, capacity.find_interval()

    alone, shared = curio.run(main)
    assert alone == timedelta(seconds=0.25)
    assert shared == timedelta(seconds=0.5)


def test_holder_keeps_its_plan_if_the_store_is_away_for_a_moment():
    """Guards against a watch, and so no orders, after each such moment."""

    async def main():
        async with open_scaled_site() as (site, api):
            holder = await wait_for_planning(site)
            taken_at = find_planner(holder).taken_at
            site.store.down = 503
            await curio.sleep(3.5)
            site.store.down = 0
            await curio.sleep(1)
            site.store.remove('servers', 'e0')
            await wait_until(lambda: api.calls)
            return taken_at == find_planner(holder).taken_at, api.calls[0]

    is_kept, call = curio.run(main)
    assert is_kept
    assert (call.domain, call.count) == ('z1', 2)
