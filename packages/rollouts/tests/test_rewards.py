"""Tests of reward calls that wait."""

import curio
import orjson
from engine_standin import SCORERS, PlainStandin
from sites import make_lot, make_manifest, open_site, wait_until


class OtherScorer(PlainStandin):
    def entry(self, state='ready', zone='z1', started_at=1):
        return {**super().entry(state, zone, started_at), 'service': 'other'}


def move_rewards(version):
    """Return a manifest that routes reward calls to another service."""
    manifest = make_manifest(version)
    (route,) = (
        route for route in manifest['routes'] if route['name'] == 'score'
    )
    route['service'] = 'other'
    manifest['services'].append({'name': 'other', 'maxConns': 100})
    return manifest


def test_waiting_reward_call_follows_its_route_to_another_service():
    """It waited without end for a service that had lost all servers."""

    async def main():
        async with open_site(scorers=0) as site:
            host = site.hosts[0]
            await site.submit(host, count=2)
            await wait_until(lambda: host.live.directory.configuration.version)
            scorers = host.submission_handler.dependencies.rewards.scorers
            await wait_until(lambda: len(scorers.queued) == 2)
            assert {call.service for call in scorers.queued} == {SCORERS}
            server = OtherScorer('q0')
            server.server.open()
            await curio.spawn(server.server.run, daemon=True)
            site.store.put('servers', server.name, server.entry())
            site.store.put('op', 'config', move_rewards(5))
            return await site.read_all_results(host)

    results = curio.run(main)
    assert [item['score'] for item in results] == ['q0.stamp'] * 2


async def submit_step(site, step, count):
    """Submit a step whose reward calls bear its number."""
    lot = make_lot(count)
    for request in lot['requests']:
        request['id'] = f's{step}{request["id"]}'
        request['scorer']['id'] = f's{step}-{request["id"]}'
    body = orjson.dumps({**lot, 'step': step})
    response = await site.call(
        site.hosts[0], 'POST', '/train/x', body, attempt_id=f'lot{step}'
    )
    assert response.status == 202


def run_two_steps(due_ms):
    """Run a step and then an earlier one; return the steps as rewarded."""

    async def main():
        async with open_site(scorers=1) as site:
            host, scorer = site.hosts[0], site.scorers[0]
            site.store.put('op', 'config', make_manifest(5, dueMs=due_ms))
            directory = host.directory
            await wait_until(lambda: directory.configuration.version == 5)
            scorer.delay = 0.3
            rewards = host.submission_handler.dependencies.rewards
            await submit_step(site, 6, 12)
            await wait_until(lambda: len(rewards.scorers.queued) > 8)
            await submit_step(site, 5, 24)
            await site.read_all_results(host, 'lot5')
            await site.read_all_results(host, 'lot6')
            return [run[0].partition('-')[0] for run in scorer.runs]

    return curio.run(main)


def test_earlier_step_is_rewarded_first_though_it_was_accepted_later():
    """After an outage it shared the targets, and ended late for its trainer."""
    assert run_two_steps(due_ms=7500)[-1] == 's6'


def test_step_that_is_late_already_delays_no_other():
    assert run_two_steps(due_ms=1)[-1] == 's5'
