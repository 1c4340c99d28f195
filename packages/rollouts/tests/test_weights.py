"""Tests of when a host may order engines after another one did."""

from datetime import timedelta

import curio
from attrs import evolve
from engine_standin import MODEL
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict
from sequoia_rollouts.weights.orders import OrderSender
from sequoia_rollouts.fleet.duty_holders import MAX_OWNERSHIP_AGE
from sites import open_site, wait_until
from test_runners import UnresponsiveStore

LEASE = timedelta(seconds=1)


class CommitterWithoutResponse:
    """Commits, but the response is lost."""

    def __init__(self, committer):
        self.committer = committer
        self.commits = 0

    async def commit(self, transaction, timeout):
        await self.committer.commit(transaction, timeout)
        self.commits += 1
        raise ServiceError(
            Code.STORE_UNAVAILABLE,
            'response lost',
            verdict=Verdict.MAY_HAVE_RUN,
        )


async def find_manager(host):
    await wait_until(lambda: host.weights.managers)
    host.weights.set_lease(LEASE)
    return host.weights.managers['pool']


def owns_duty(host):
    duty = host.ownership.duties.get('weights/pool')
    return duty is not None and duty.owner == host.heartbeats.owner


def name_version(site, version):
    site.store.put(
        'op', f'version/{MODEL}', {'model': MODEL, 'version': version}
    )


def test_next_holder_waits_though_the_response_to_its_write_was_lost():
    """It saw itself as the holder in the feed and ordered at once."""

    async def main():
        async with open_site(engines=1) as site:
            await wait_until(lambda: owns_duty(site.hosts[0]))
            second = await site.start_host('h2')
            manager = await find_manager(second)
            manager.duty.committer = CommitterWithoutResponse(
                manager.duty.committer
            )
            site.hosts[0].coordination.start_draining()
            await site.hosts[0].weights.release()
            released_at = second.clock.elapsed()
            name_version(site, 2)
            await wait_until(lambda: owns_duty(second))
            await wait_until(lambda: site.engines[0].orders)
            waited = second.clock.elapsed() - released_at
            return manager.duty.committer.commits, waited

    commits, waited = curio.run(main)
    assert commits > 0
    assert waited >= LEASE


def test_restarted_holder_waits_as_the_process_before_may_have_had_to():
    """A holder that was killed while it waited ordered at once when back."""

    async def main():
        async with open_site(engines=1) as site:
            first = site.hosts[0]
            await wait_until(lambda: owns_duty(first))
            await site.kill(first)
            killed_at = first.clock.elapsed()
            name_version(site, 2)
            restarted = site.make_host('h1')
            restarted.weights.set_lease(LEASE)
            await site.run_host(restarted)
            await wait_until(lambda: site.engines[0].orders)
            return restarted.clock.elapsed() - killed_at

    assert curio.run(main) >= LEASE


def test_holder_whose_lease_had_lapsed_reads_the_duty_before_it_orders():
    """Another host may have taken it; a view from before seemed new enough."""

    async def main():
        async with open_site(engines=1) as site:
            host = site.hosts[0]
            await wait_until(lambda: owns_duty(host))
            manager = await find_manager(host)
            owned = host.ownership.duties[manager.duty.name]
            await wait_until(lambda: manager.duty.may_act(owned))
            follower = host.ownership.follower
            store, follower.store = follower.store, UnresponsiveStore()
            site.store.down = 503
            await wait_until(lambda: not host.heartbeats.holds_lease())
            site.store.down = 0
            await wait_until(host.heartbeats.holds_lease)
            is_view_new = follower.is_current(MAX_OWNERSHIP_AGE)
            early = manager.duty.may_act(owned)
            follower.store = store
            await wait_until(lambda: manager.duty.may_act(owned))
            return is_view_new, early

    assert curio.run(main) == (True, False)


def test_order_is_not_sent_if_the_duty_was_lost_meanwhile(monkeypatch):
    """Its announcement in the store may take most of a second."""

    async def main():
        async with open_site(engines=1) as site:
            host = site.hosts[0]
            await wait_until(lambda: owns_duty(host))
            manager = await find_manager(host)

            async def lose_duty(_sender, _target, _announced, *, loading):
                duty = host.ownership.duties[manager.duty.name]
                host.ownership.duties[manager.duty.name] = evolve(
                    duty, owner='h9/b0', version=duty.version + 1000
                )

            monkeypatch.setattr(OrderSender, '_announce', lose_duty)
            name_version(site, 2)
            await wait_until(lambda: not owns_duty(host))
            await curio.sleep(0.3)
            return site.engines[0].orders

    assert curio.run(main) == []
