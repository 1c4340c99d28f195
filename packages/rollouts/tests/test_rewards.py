"""Tests of reward calls whose route changes while they wait."""

import curio
from engine_standin import SCORERS, PlainStandin
from sites import make_manifest, open_site, wait_until


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
