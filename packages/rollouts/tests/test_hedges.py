"""Tests of live requests whose target is slow or silent."""

from datetime import timedelta

import curio
from engine_standin import SERVICE
from sequoia_policy.permits import Urgency
from sequoia_policy.routing import Route, RouteKind
from sequoia_rollouts.live.hedges import RouteDurations
from sites import make_manifest, open_site, wait_until

OBJECTIVE = timedelta(milliseconds=200)  # of the routes of the site
ROUTE = Route(
    'live', 'h', '/live/', RouteKind.IDEMPOTENT, (), timedelta(2), OBJECTIVE
)


async def call_timed(site, path='/live/a', request_id='r1'):
    """Return a response and its duration."""
    host = site.hosts[0]
    started_at = host.clock.elapsed()
    response = await site.call(host, 'POST', path, attempt_id=request_id)
    return response, host.clock.elapsed() - started_at


def list_runs(site):
    return sorted(run[0] for scorer in site.scorers for run in scorer.runs)


def make_one_slow(site, delay=3.0):
    """Make the target slow that receives the first request."""
    for scorer in site.scorers:
        scorer.first_delay = delay
        scorer.site_servers = site.scorers


def run_hedged(path='/live/a', prepare=make_one_slow, scorers=2):
    """Send a request to a site; return its response, duration and runs.

    By default, the target that receives the first request is slow.
    """

    async def main():
        async with open_site(scorers=scorers) as site:
            prepare(site)
            response, elapsed = await call_timed(site, path)
            await curio.sleep(0.05)
            return response, elapsed, list_runs(site)

    return curio.run(main)


def test_request_to_slow_target_is_answered_by_hedge_within_objective():
    response, elapsed, runs = run_hedged()
    assert response.status == 200
    assert elapsed < OBJECTIVE
    assert runs == ['r1', 'r1']


def test_non_idempotent_request_is_sent_to_one_target():
    response, _elapsed, runs = run_hedged('/once/a')
    assert response.status != 200 or runs == ['r1']
    assert len(runs) == 1


def test_generation_request_is_not_hedged():
    async def main():
        async with open_site(pace=0.15) as site:
            manifest = make_manifest(version=4)
            live = manifest['routes'][1]
            manifest['routes'].append(
                {**live, 'pathPrefix': '/whole/', 'service': SERVICE},
            )
            site.store.put('op', 'config', manifest)
            host = site.hosts[0]
            await wait_until(
                lambda: host.directory.configuration.version == 4,
            )
            response, _elapsed = await call_timed(site, '/whole/a')
            runs = [run for engine in site.engines for run in engine.runs]
            return response, runs

    response, runs = curio.run(main)
    assert response.status == 200
    assert runs == [('r1', 1)]


def test_request_with_single_target_waits_for_it():
    def prepare(site):
        site.scorers[0].delay = 0.5

    response, elapsed, runs = run_hedged(prepare=prepare, scorers=1)
    assert response.status == 200
    assert elapsed > timedelta(seconds=0.5)
    assert runs == ['r1']


def test_refused_hedge_does_not_cancel_first_attempt():
    def refuse_second(site):
        make_one_slow(site, 0.4)
        for scorer in site.scorers:
            scorer.refuses_second = True

    response, _elapsed, _runs = run_hedged(prepare=refuse_second)
    assert response.status == 200


def test_slow_target_is_cancelled_and_becomes_unusable():
    async def main():
        async with open_site(scorers=2) as site:
            make_one_slow(site)
            await call_timed(site)
            slow = next(
                scorer for scorer in site.scorers if scorer.received_first
            )
            await wait_until(lambda: not slow.running, 1)
            host = site.hosts[0]
            now = host.clock.elapsed()
            usable = host.directory.registry.find_open('app', Urgency.LIVE, now)
            return slow.name, [target.name for target in usable]

    slow, usable = curio.run(main)
    assert slow not in usable
    assert len(usable) == 1


def test_cut_off_host_fails_unanswered_request_early():
    """Callers can reach other hosts, so they should not wait for a timeout."""

    async def main():
        async with open_site(scorers=2) as site:
            for scorer in site.scorers:
                scorer.delay = 9.0
            site.hosts[0].live.hedged_sender.is_cut_off = lambda: True
            return await call_timed(site)

    response, elapsed = curio.run(main)
    assert response.status == 502
    assert OBJECTIVE * 2 < elapsed < OBJECTIVE * 3


def test_request_succeeds_despite_slow_and_unreachable_targets():
    async def main():
        async with open_site(scorers=3) as site:
            make_one_slow(site)
            unreachable = site.scorers[2]
            await unreachable.server.accepting.cancel()
            await unreachable.server.listener.close()
            return await call_timed(site)

    response, elapsed = curio.run(main)
    assert response.status == 200
    assert elapsed < OBJECTIVE * 2


def test_hedges_are_limited_by_retry_budget():
    async def main():
        async with open_site(scorers=2) as site:
            for scorer in site.scorers:
                scorer.delay = 0.15
            site.hosts[0].live.retries.budget.balance = 0
            response, _elapsed = await call_timed(site)
            return response, list_runs(site)

    response, runs = curio.run(main)
    assert response.status == 200
    assert runs == ['r1']


def test_hedge_delay_grows_with_mean_duration_of_route():
    durations = RouteDurations()
    assert durations.find_hedge_delay(ROUTE) == OBJECTIVE * 0.6
    for _ in range(60):
        durations.record(ROUTE, OBJECTIVE)
    assert durations.find_hedge_delay(ROUTE) > OBJECTIVE * 2
