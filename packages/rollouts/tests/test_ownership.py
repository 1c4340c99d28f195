"""Tests of hosts whose submissions were taken over, ended or removed."""

import curio
from attrs import evolve
from sequoia_policy.coordinators import list_lease_names
from sequoia_policy.liveness import Heartbeat
from sequoia_rollouts.storage.tables import COORDINATORS, submission_key
from sequoia_policy.submissions import Ownership
from sequoia_wire.codecs import decode, encode
from sites import DEFAULT_TIMEOUT, open_site, wait_until
from test_runners import UnresponsiveStore

CANCEL_SECONDS = 0.5  # from the end of a submission to its last item


def hide_store(host, follower):
    """Let one follower get no response; return how to end that."""
    store, follower.store = follower.store, UnresponsiveStore()

    def restore():
        follower.store = store

    return restore


async def start_owner(site, count=40):
    """Submit more items than the engines run at once; return the owner."""
    await site.submit(site.hosts[0], count=count)
    await wait_until(
        lambda: any(host.submission_handler.runners for host in site.hosts)
    )
    owner = next(host for host in site.hosts if host.submission_handler.runners)
    await wait_until(lambda: site.engines[0].runs)
    return owner


async def lose_lease(site, host):
    """Let other processes hold all leases of the host's failure domain."""
    await curio.spawn(hold_leases, site, daemon=True)
    await wait_until(lambda: not host.heartbeats.is_coordinator)


async def hold_leases(site):
    for count in range(100):
        for number, name in enumerate(list_lease_names('z1')):
            heartbeat = Heartbeat(f'h{7 + number}', 'b0', count, domain='z1')
            site.store.put_bytes(COORDINATORS, name, encode(heartbeat))
        await curio.sleep(0.2)


def end_elsewhere(site, host):
    """Write what two other hosts do: one adopts the submission, one ends it."""
    key = submission_key('lot1')
    row = site.store.find(key.table)[key.key]
    owned = evolve(decode(row, Ownership), owner='h9/b0', ended=True)
    assert host.heartbeats.owner.encode() in row
    site.store.put_bytes(key.table, key.key, encode(owned), key.part)


async def count_late_runs(site, seconds=2.0):
    """Return how many runs begin after the time that an end may take."""
    await curio.sleep(CANCEL_SECONDS)
    before = sum(len(engine.runs) for engine in site.engines)
    await curio.sleep(seconds)
    return sum(len(engine.runs) for engine in site.engines) - before


def test_host_that_lost_its_lease_stops_when_another_one_took_over():
    """It no longer read who owns what, and ran items of an ended step."""

    async def main():
        async with open_site(pace=0.05, words=20) as site:
            owner = await start_owner(site)
            restore = hide_store(owner, owner.ownership.follower)
            await wait_until(lambda: owner.ownership.follower.store_failed_at)
            await lose_lease(site, owner)
            end_elsewhere(site, owner)
            await curio.sleep(0.2)
            restore()
            return await count_late_runs(site)

    assert curio.run(main) == 0


def test_host_without_lease_sends_no_item_before_it_has_read_the_owner():
    """What it knew before the loss says nothing about the owner."""

    async def main():
        async with open_site(pace=0.05, words=20) as site:
            owner = await start_owner(site)
            hide_store(owner, owner.ownership.follower)
            await wait_until(lambda: owner.ownership.follower.store_failed_at)
            await lose_lease(site, owner)
            runner = owner.submission_handler.runners['lot1']
            queued = len(runner.queue.waiting)
            await curio.sleep(0.5)
            return queued, len(runner.queue.waiting)

    queued, later = curio.run(main)
    assert queued > 0
    assert later == queued


def test_host_stops_when_its_results_meet_another_owner():
    """It took the conflict of its writes for a late answer of the store."""

    async def main():
        async with open_site(pace=0.05, words=20) as site:
            owner = await start_owner(site)
            hide_store(owner, owner.ownership.follower)
            await wait_until(lambda: owner.ownership.follower.store_failed_at)
            end_elsewhere(site, owner)
            await wait_until(lambda: not owner.submission_handler.runners)
            return await count_late_runs(site)

    assert curio.run(main) == 0


def test_host_stops_when_its_submission_was_removed():
    """The runner of a removed submission went on."""

    async def main():
        async with open_site(pace=0.05, words=20) as site:
            await start_owner(site)
            key = submission_key('lot1')
            site.store.remove(key.table, key.key, key.part)
            return await count_late_runs(site)

    assert curio.run(main) == 0


def test_submission_that_was_removed_during_a_gap_is_forgotten():
    """A listing shows only what exists; the host kept what was gone."""

    async def main():
        async with open_site(pace=0.05, words=20) as site:
            owner = await start_owner(site)
            restore = hide_store(owner, owner.ownership.follower)
            await wait_until(lambda: owner.ownership.follower.store_failed_at)
            key = submission_key('lot1')
            site.store.remove(key.table, key.key, key.part)
            site.store.forget_history()
            restore()
            await wait_until(lambda: 'lot1' not in owner.ownership.submissions)
            return await count_late_runs(site)

    assert curio.run(main) == 0


def test_end_of_a_submission_that_was_removed_is_answered():
    """The end was tried again and again, as its guard never held."""

    async def main():
        async with open_site(hosts=2) as site:
            owner = await start_owner(site, count=6)
            other = next(host for host in site.hosts if host is not owner)
            await site.read_all_results(owner)
            await wait_until(lambda: 'lot1' in other.ownership.submissions)
            hide_store(other, other.ownership.follower)
            await wait_until(lambda: other.ownership.follower.store_failed_at)
            key = submission_key('lot1')
            site.store.remove(key.table, key.key, key.part)
            async with curio.timeout_after(DEFAULT_TIMEOUT):
                return await site.call(other, 'DELETE', '/v1/lots/lot1')

    assert curio.run(main).status == 404
