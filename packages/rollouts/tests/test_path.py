"""End-to-end tests of live requests, submissions and orders at a site."""

from datetime import timedelta

import curio
import orjson
from sites import make_manifest, open_site, wait_until


def check_results(results, count=6):
    assert sorted(item['id'] for item in results) == [
        f'item{number}' for number in range(count)
    ]
    for item in results:
        assert item['state'] == 'completed'
        words = [f'{item["id"]}-{number}' for number in (1, 2, 3)]
        assert item['text'] == '\n'.join(words)
        assert item['score'].endswith('.stamp')


def test_live_request_returns_body_and_signature_of_target():
    async def main():
        async with open_site() as site:
            return await site.call(
                site.hosts[0],
                'POST',
                '/live/a?b=1',
                b'report',
                attempt_id='r1',
            )

    response = curio.run(main)
    assert response.status == 200
    assert response.body == b'done'
    assert response.head.header('server-stamp') == 'p0.stamp'
    assert response.head.header('attempt-id') == 'r1'


def test_submission_is_run_scored_readable_on_any_host_and_ended():
    async def main():
        async with open_site(hosts=2) as site:
            first, second = site.hosts
            assert (await site.submit(first)).status == 202
            here = await site.read_all_results(first)
            there = await site.read_all_results(second)
            body = await site.call(
                second,
                'GET',
                '/v1/items/lot1?id=item4',
            )
            ended = [
                await site.call(host, 'DELETE', '/v1/lots/lot1')
                for host in (second, second, first)
            ]
            after = await site.read_all_results(second)
            return here, there, after, body, ended

    here, there, after, body, ended = curio.run(main)
    check_results(here)
    assert here == there == after
    assert body.body == b'body 4'
    assert [response.status for response in ended] == [200, 200, 200]


def test_repeated_submission_is_accepted_once():
    async def main():
        async with open_site(hosts=2) as site:
            responses = [
                await site.submit(host) for host in (*site.hosts, *site.hosts)
            ]
            results = await site.read_all_results(site.hosts[1])
            return responses, results, len(site.store.find('results'))

    responses, results, rows = curio.run(main)
    assert {response.status for response in responses} == {202}
    check_results(results)
    assert rows == 6


def test_unknown_submission_is_404_but_503_while_store_is_down():
    async def main():
        async with open_site() as site:
            with_store = await site.call(site.hosts[0], 'GET', '/v1/lots/none')
            site.store.down = 503
            without_store = await site.call(
                site.hosts[0], 'GET', '/v1/lots/none'
            )
            return with_store, without_store

    with_store, without_store = curio.run(main)
    assert with_store.status == 404
    assert without_store.status == 503
    assert float(without_store.head.header('retry-after')) > 0


def test_lost_store_responses_neither_lose_nor_duplicate_results():
    async def main():
        async with open_site() as site:
            site.store.responses_to_lose = 3
            response = await site.submit(site.hosts[0])
            site.store.responses_to_lose = 5
            results = await site.read_all_results(site.hosts[0], seconds=10)
            return response, results

    response, results = curio.run(main)
    assert response.status == 202
    check_results(results)


def test_submission_refused_while_store_is_down_never_runs():
    async def main():
        async with open_site() as site:
            site.store.down = 503
            response = await site.submit(site.hosts[0])
            site.store.down = 0
            await curio.sleep(0.5)
            return response, [engine.runs for engine in site.engines]

    response, runs = curio.run(main)
    assert response.status == 503
    assert response.head.header('retry-after')
    assert runs == [[], []]


def test_results_are_stored_after_store_was_down():
    async def main():
        async with open_site(pace=0.05) as site:
            await site.submit(site.hosts[0])
            site.store.down = 503
            await curio.sleep(1.0)
            site.store.down = 0
            return await site.read_all_results(site.hosts[0])

    check_results(curio.run(main))


def test_other_host_adopts_submission_of_killed_host_within_two_seconds():
    async def main():
        async with open_site(hosts=2, pace=0.2) as site:
            await site.submit(site.hosts[0])
            owner, other = await site.find_owner()
            clock = other.clock
            await site.kill(owner)
            killed_at = clock.elapsed()
            await wait_until(lambda: other.submission_handler.runners)
            adopted_at = clock.elapsed()
            return await site.read_all_results(other), (
                adopted_at - killed_at
            ).total_seconds()

    results, seconds = curio.run(main)
    check_results(results)
    assert seconds < 2


def test_restarted_host_resumes_its_submission():
    async def main():
        async with open_site(hosts=1, pace=0.2) as site:
            host = site.hosts[0]
            await site.submit(host)
            await wait_until(lambda: host.submission_handler.runners)
            await site.kill(host)
            restarted = await site.start_host('h1')
            return await site.read_all_results(restarted)

    check_results(curio.run(main))


def test_stopping_host_hands_over_its_submission():
    async def main():
        async with open_site(hosts=2, pace=1.2) as site:
            await site.submit(site.hosts[0])
            owner, other = await site.find_owner()
            stopping = await curio.spawn(owner.shut_down)
            await curio.sleep(0.1)
            assert not owner.is_ready
            results = await site.read_all_results(other, seconds=15)
            await stopping.join()
            return results

    check_results(curio.run(main))


def test_interrupted_stream_is_resumed_after_last_event():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].break_after = 2
            await site.submit(site.hosts[0], count=1)
            results = await site.read_all_results(site.hosts[0])
            return results, site.engines[0].runs

    results, runs = curio.run(main)
    check_results(results, 1)
    assert runs == [('item0', 1), ('item0', 3)]


def test_result_lists_versions_before_and_after_change_during_generation():
    async def main():
        async with open_site(engines=1, pace=0.1) as site:
            await site.submit(site.hosts[0], count=1)
            await wait_until(lambda: site.engines[0].runs)
            await curio.sleep(0.15)
            site.engines[0].version = 2
            return await site.read_all_results(site.hosts[0])

    assert curio.run(main)[0]['versions'] == [1, 2]


def test_items_wait_until_an_engine_has_the_minimum_version():
    async def main():
        async with open_site() as site:
            await site.submit(site.hosts[0], min_version=2)
            await curio.sleep(0.3)
            early = [list(engine.runs) for engine in site.engines]
            site.store.put('op', 'version/m0', {'model': 'm0', 'version': 2})
            results = await site.read_all_results(site.hosts[0])
            return early, results, [engine.orders for engine in site.engines]

    early, results, orders = curio.run(main)
    assert early == [[], []]
    assert {tuple(item['versions']) for item in results} == {(2,)}
    assert [len(engine_orders) for engine_orders in orders] == [1, 1]


def test_order_without_response_is_not_sent_again():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].unanswered_orders = 1
            site.store.put('op', 'version/m0', {'model': 'm0', 'version': 2})
            await wait_until(lambda: site.engines[0].orders)
            await curio.sleep(1.5)
            return site.engines[0].orders

    assert len(curio.run(main)) == 1


def test_fencing_number_grows_when_another_host_sends_orders():
    async def main():
        async with open_site(hosts=2, engines=1) as site:
            engine = site.engines[0]
            site.store.put('op', 'version/m0', {'model': 'm0', 'version': 2})
            await wait_until(lambda: engine.orders)
            holder = engine.orders[0]['holder']
            owner = next(
                host for host in site.hosts if host.settings.name == holder
            )
            await site.kill(owner)
            site.store.put('op', 'version/m0', {'model': 'm0', 'version': 3})
            await wait_until(lambda: len(engine.orders) > 1)
            return engine.orders

    first, second = curio.run(main)
    assert second['fence'] > first['fence']
    assert second['holder'] != first['holder']


def test_item_that_always_fails_is_dead_after_max_attempts():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].fail = 3
            await site.submit(site.hosts[0], count=1)
            results = await site.read_all_results(site.hosts[0])
            return results, site.engines[0].runs

    results, runs = curio.run(main)
    assert results[0]['state'] == 'dead'
    assert len(runs) == 3


def test_text_that_fits_into_no_transaction_ends_as_dead_item():
    async def main():
        async with open_site(engines=1, words=30) as site:
            site.engines[0].word_bytes = 40_000
            await site.submit(site.hosts[0], count=2)
            return await site.read_all_results(site.hosts[0])

    results = curio.run(main)
    assert [item['state'] for item in results] == ['dead', 'dead']


def test_live_requests_meet_objective_during_reward_calls():
    async def main():
        async with open_site(engines=3) as site:
            host = site.hosts[0]
            site.scorers[0].delay = 0.1
            await site.submit(host, count=24)
            await wait_until(lambda: site.scorers[0].running >= 2)
            durations = []
            for number in range(4):
                started_at = host.clock.elapsed()
                response = await site.call(
                    host, 'POST', '/live/a', attempt_id=f'r{number}'
                )
                assert response.status == 200
                durations.append(host.clock.elapsed() - started_at)
            busy = site.scorers[0].running
            await site.read_all_results(host)
            return durations, busy

    durations, busy = curio.run(main)
    assert max(durations) < timedelta(milliseconds=200)
    assert busy


def test_refusals_are_retried_and_response_to_another_request_becomes_502():
    async def main():
        async with open_site(scorers=2) as site:
            site.scorers[0].refuse = 1
            site.scorers[1].refuse = 1
            refused = await site.call(
                site.hosts[0], 'POST', '/live/a', attempt_id='r1'
            )
            for scorer in site.scorers:
                scorer.wrong_ids = 1
            wrong = await site.call(
                site.hosts[0], 'POST', '/live/a', attempt_id='r2'
            )
            return refused, wrong

    refused, wrong = curio.run(main)
    assert refused.status == 200
    assert wrong.status == 502


def test_non_idempotent_request_is_not_sent_again_after_wrong_response():
    async def main():
        async with open_site(scorers=2) as site:
            for scorer in site.scorers:
                scorer.wrong_ids = 1
            response = await site.call(
                site.hosts[0], 'POST', '/once/a', attempt_id='r1'
            )
            return response, [
                run for scorer in site.scorers for run in scorer.runs
            ]

    response, runs = curio.run(main)
    assert response.status == 502
    assert len(runs) == 1


def test_attempt_is_cancelled_when_caller_disconnects():
    async def main():
        async with open_site() as site:
            site.scorers[0].delay = 5
            call = await curio.spawn(
                site.call(site.hosts[0], 'POST', '/live/a', attempt_id='r1'),
            )
            await wait_until(lambda: site.scorers[0].running)
            await call.cancel()
            await site.client.close()
            target = next(iter(site.hosts[0].directory.registry.find('app')))
            await wait_until(lambda: not target.running, 0.5)

    curio.run(main)


def test_leaving_target_gets_no_requests():
    async def main():
        async with open_site(scorers=2) as site:
            leaving = site.scorers[0]
            entry = leaving.entry(state='draining')
            site.store.put('servers', leaving.name, entry)
            await curio.sleep(0.1)
            for number in range(8):
                await site.call(
                    site.hosts[0], 'POST', '/live/a', attempt_id=f'r{number}'
                )
            return leaving.runs

    assert curio.run(main) == []


def test_only_newer_manifest_is_applied_after_store_history_was_lost():
    async def main():
        async with open_site() as site:
            site.store.forget_history()
            site.store.put('op', 'config', make_manifest(version=9))
            host = site.hosts[0]
            await wait_until(
                lambda: host.directory.configuration.version == 9,
                2,
            )
            site.store.put('op', 'config', make_manifest(version=5))
            await curio.sleep(0.1)
            return host.directory.configuration.version

    assert curio.run(main) == 9


def test_unreadable_manifest_and_entries_do_not_stop_live_requests():
    async def main():
        async with open_site() as site:
            site.store.put_bytes('op', 'config', b'{"version": 99, "routes"')
            site.store.put('op', 'config', {'version': 'x', 'routes': 7})
            site.store.put_bytes('servers', 'ghost', b'\xff\x00')
            site.store.put('servers', 'other', {'state': 'odd', 'slots': []})
            await curio.sleep(0.1)
            return await site.call(
                site.hosts[0], 'POST', '/live/a', attempt_id='r1'
            )

    assert curio.run(main).status == 200


def test_removed_route_is_404_and_missing_manifest_is_503():
    async def main():
        async with open_site() as site:
            empty = {**make_manifest(version=8), 'routes': []}
            site.store.put('op', 'config', empty)
            host = site.hosts[0]
            await wait_until(
                lambda: host.directory.configuration.version == 8,
            )
            unrouted = await site.call(host, 'POST', '/live/a', attempt_id='r1')
            site.store.remove('op', 'config')
            new_host = await site.start_host('h9', wait_until_ready=False)
            unconfigured = await site.call(
                new_host, 'POST', '/live/a', attempt_id='r2'
            )
            return unrouted, unconfigured, new_host.is_ready

    unrouted, unconfigured, ready = curio.run(main)
    assert unrouted.status == 404
    assert unconfigured.status == 503
    assert not ready


def test_malformed_submissions_are_refused_with_400():
    async def main():
        async with open_site() as site:
            bodies = (
                b'{',
                b'[]',
                b'{"requests": [{"id": 1}]}',
                orjson.dumps(
                    {'requests': [{'id': 'a', 'path': '/x', 'body': '%'}]}
                ),
            )
            return [
                await site.call(
                    site.hosts[0], 'POST', '/train/x', body, attempt_id='bad'
                )
                for body in bodies
            ]

    assert {response.status for response in curio.run(main)} == {400}


def test_half_of_the_groups_are_complete_after_three_quarters_of_the_results():
    """A trainer that waits for a number of complete groups gets them sooner."""

    async def main():
        async with open_site(engines=4) as site:
            site.scorers[0].delay = 0.1
            await site.submit(site.hosts[0], count=16)
            return await site.read_all_results(site.hosts[0])

    results = curio.run(main)
    groups = [int(item['id'].removeprefix('item')) // 2 for item in results]
    complete_after = [
        max(
            position for position, group in enumerate(groups) if group == number
        )
        for number in range(8)
    ]
    half_complete_after = sorted(complete_after)[3]
    assert half_complete_after < 12


def test_a_host_sends_no_order_from_an_old_view_of_its_duty():
    """A host that was cut off renewed its lease and ordered at once."""

    async def main():
        async with open_site() as site:
            host = site.hosts[0]
            await wait_until(lambda: host.ownership.duties)
            manager = host.weights.managers['pool']
            owned = host.ownership.duties[manager.duty.name]
            await wait_until(lambda: manager.duty.may_act(owned))
            site.store.down = 503
            await wait_until(lambda: not host.heartbeats.holds_lease())
            await curio.sleep(2)
            host.heartbeats.own.renewed_at = host.clock.elapsed()
            allowed_while_unknown = manager.duty.may_act(owned)
            site.store.down = 0
            await wait_until(lambda: manager.duty.may_act(owned))
            return allowed_while_unknown

    assert curio.run(main) is False
