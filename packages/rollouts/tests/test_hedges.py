"""Tests of live requests whose target is slow or silent."""

from datetime import timedelta

import curio
from engine_standin import SERVICE
from sequoia_policy.routing import Route, RouteKind
from sequoia_rollouts.hedges import RouteDurations
from sites import make_manifest, open_site, wait_until

OBJECTIVE = timedelta(milliseconds=200)  # of the routes of the site
ROUTE = Route(
    'live', 'h', '/live/', RouteKind.IDEMPOTENT, (), timedelta(2), OBJECTIVE
)


async def call_timed(site, path='/live/a', request_id='r1'):
    """Return an answer and the time that it took."""
    host = site.hosts[0]
    started = host.clock.elapsed()
    answer = await site.call(host, 'POST', path, attempt_id=request_id)
    return answer, host.clock.elapsed() - started


def list_runs(site):
    return sorted(run[0] for one in site.scorers for run in one.runs)


def make_one_slow(site, delay=3.0):
    """Make the target slow that the host asks first."""
    for one in site.scorers:
        one.first_delay = delay
        one.others = site.scorers


def play(path='/live/a', prepare=make_one_slow, scorers=2):
    """Return the answer to a request beside a slow target, and the runs."""

    async def main():
        async with open_site(scorers=scorers) as site:
            prepare(site)
            answer, took = await call_timed(site, path)
            await curio.sleep(0.05)
            return answer, took, list_runs(site)

    return curio.run(main)


def test_a_request_at_a_slow_target_is_answered_by_another_in_time():
    answer, took, runs = play()
    assert answer.status == 200
    assert took < OBJECTIVE
    assert runs == ['r1', 'r1']


def test_a_request_that_may_run_once_is_sent_to_one_target():
    answer, _took, runs = play('/once/a')
    assert answer.status != 200 or runs == ['r1']
    assert len(runs) == 1


def test_a_generation_is_made_at_one_engine():
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
            answer, _took = await call_timed(site, '/whole/a')
            runs = [run for engine in site.engines for run in engine.runs]
            return answer, runs

    answer, runs = curio.run(main)
    assert answer.status == 200
    assert runs == [('r1', 1)]


def test_a_request_with_one_target_waits_for_it():
    def prepare(site):
        site.scorers[0].delay = 0.5

    answer, took, runs = play(prepare=prepare, scorers=1)
    assert answer.status == 200
    assert took > timedelta(seconds=0.5)
    assert runs == ['r1']


def test_a_failure_of_the_second_target_does_not_end_the_first():
    def refuse_second(site):
        make_one_slow(site, 0.4)
        for one in site.scorers:
            one.refuses_second = True

    answer, _took, _runs = play(prepare=refuse_second)
    assert answer.status == 200


def test_the_slow_target_is_left_and_asked_less():
    async def main():
        async with open_site(scorers=2) as site:
            make_one_slow(site)
            await call_timed(site)
            slow = next(one for one in site.scorers if one.asked_first)
            await wait_until(lambda: not slow.running, 1)
            host = site.hosts[0]
            now = host.clock.elapsed()
            usable = host.directory.registry.usable('app', now)
            return slow.name, [target.name for target in usable]

    slow, usable = curio.run(main)
    assert slow not in usable
    assert len(usable) == 1


def test_a_host_that_is_cut_off_soon_ends_what_no_target_answers():
    """Callers reach other hosts, so they should not wait out their time."""

    async def main():
        async with open_site(scorers=2) as site:
            for one in site.scorers:
                one.delay = 9.0
            site.hosts[0].live.hedged_sender.is_cut_off = lambda: True
            return await call_timed(site)

    answer, took = curio.run(main)
    assert answer.status == 502
    assert OBJECTIVE * 2 < took < OBJECTIVE * 3


def test_a_second_target_that_cannot_be_reached_is_no_end_of_the_search():
    async def main():
        async with open_site(scorers=3) as site:
            make_one_slow(site)
            gone = site.scorers[2]
            await gone.server.accepting.cancel()
            await gone.server.listener.close()
            return await call_timed(site)

    answer, took = curio.run(main)
    assert answer.status == 200
    assert took < OBJECTIVE * 2


def test_second_sends_keep_to_the_budget_of_retries():
    async def main():
        async with open_site(scorers=2) as site:
            for one in site.scorers:
                one.delay = 0.15
            site.hosts[0].live.retries.budget.balance = 0
            answer, _took = await call_timed(site)
            return answer, list_runs(site)

    answer, runs = curio.run(main)
    assert answer.status == 200
    assert runs == ['r1']


def test_what_is_usual_on_a_route_is_not_slow():
    durations = RouteDurations()
    assert durations.find_hedge_delay(ROUTE) == OBJECTIVE * 0.6
    for _ in range(60):
        durations.record(ROUTE, OBJECTIVE)
    assert durations.find_hedge_delay(ROUTE) > OBJECTIVE * 2
