"""Tests of the whole path over the platform's protocol."""

from datetime import timedelta

import curio
import orjson
from sites import make_manifest, open_site, wait_until


def check_results(found, count=6):
    assert sorted(one['id'] for one in found) == [
        f'item{number}' for number in range(count)
    ]
    for one in found:
        assert one['state'] == 'completed'
        words = [f'{one["id"]}-{number}' for number in (1, 2, 3)]
        assert one['text'] == '\n'.join(words)
        assert one['score'].endswith('.stamp')


def test_a_live_request_gets_the_bytes_and_receipt_of_its_target():
    async def main():
        async with open_site() as site:
            return await site.call(
                site.hosts[0],
                'POST',
                '/live/a?b=1',
                b'report',
                attempt_id='r1',
            )

    answer = curio.run(main)
    assert answer.status == 200
    assert answer.body == b'done'
    assert answer.head.header('server-stamp') == 'p0.stamp'
    assert answer.head.header('attempt-id') == 'r1'


def test_a_submission_is_run_rewarded_read_anywhere_and_ended():
    async def main():
        async with open_site(hosts=2) as site:
            first, second = site.hosts
            assert (await site.submit(first)).status == 202
            here = await site.read_whole(first)
            there = await site.read_whole(second)
            body = await site.call(
                second,
                'GET',
                '/v1/items/lot1?id=item4',
            )
            ended = [
                await site.call(host, 'DELETE', '/v1/lots/lot1')
                for host in (second, second, first)
            ]
            after = await site.read_whole(second)
            return here, there, after, body, ended

    here, there, after, body, ended = curio.run(main)
    check_results(here)
    assert here == there == after
    assert body.body == b'body 4'
    assert [answer.status for answer in ended] == [200, 200, 200]


def test_a_submission_that_comes_again_is_accepted_once():
    async def main():
        async with open_site(hosts=2) as site:
            answers = [
                await site.submit(host) for host in (*site.hosts, *site.hosts)
            ]
            found = await site.read_whole(site.hosts[1])
            return answers, found, len(site.store.find('results'))

    answers, found, rows = curio.run(main)
    assert {answer.status for answer in answers} == {202}
    check_results(found)
    assert rows == 6


def test_an_unknown_submission_is_404_and_503_while_the_store_is_away():
    async def main():
        async with open_site() as site:
            sure = await site.call(site.hosts[0], 'GET', '/v1/lots/none')
            site.store.down = 503
            unsure = await site.call(site.hosts[0], 'GET', '/v1/lots/none')
            return sure, unsure

    sure, unsure = curio.run(main)
    assert sure.status == 404
    assert unsure.status == 503
    assert float(unsure.head.header('retry-after')) > 0


def test_lost_answers_of_the_store_neither_lose_nor_double():
    async def main():
        async with open_site() as site:
            site.store.lose = 3
            answer = await site.submit(site.hosts[0])
            site.store.lose = 5
            found = await site.read_whole(site.hosts[0], seconds=10)
            return answer, found

    answer, found = curio.run(main)
    assert answer.status == 202
    check_results(found)


def test_a_submission_refused_while_the_store_is_down_never_runs():
    async def main():
        async with open_site() as site:
            site.store.down = 503
            answer = await site.submit(site.hosts[0])
            site.store.down = 0
            await curio.sleep(0.5)
            return answer, [engine.runs for engine in site.engines]

    answer, runs = curio.run(main)
    assert answer.status == 503
    assert answer.head.header('retry-after')
    assert runs == [[], []]


def test_results_wait_for_a_store_that_is_down():
    async def main():
        async with open_site(pace=0.05) as site:
            await site.submit(site.hosts[0])
            site.store.down = 503
            await curio.sleep(1.0)
            site.store.down = 0
            return await site.read_whole(site.hosts[0])

    check_results(curio.run(main))


def test_another_host_takes_up_a_submission_within_two_seconds():
    async def main():
        async with open_site(hosts=2, pace=0.2) as site:
            await site.submit(site.hosts[0])
            owner, other = await site.find_owner()
            clock = other.clock
            await site.kill(owner)
            killed = clock.elapsed()
            await wait_until(lambda: other.submission_handler.runners)
            taken = clock.elapsed()
            return await site.read_whole(other), (
                taken - killed
            ).total_seconds()

    found, took = curio.run(main)
    check_results(found)
    assert took < 2


def test_a_host_that_restarts_takes_up_its_submission_at_once():
    async def main():
        async with open_site(hosts=1, pace=0.2) as site:
            host = site.hosts[0]
            await site.submit(host)
            await wait_until(lambda: host.submission_handler.runners)
            await site.kill(host)
            again = await site.start_host('h1')
            return await site.read_whole(again)

    check_results(curio.run(main))


def test_a_stopping_host_hands_its_submission_over():
    async def main():
        async with open_site(hosts=2, pace=1.2) as site:
            await site.submit(site.hosts[0])
            owner, other = await site.find_owner()
            stopping = await curio.spawn(owner.shut_down)
            await curio.sleep(0.1)
            assert not owner.is_ready
            found = await site.read_whole(other, seconds=15)
            await stopping.join()
            return found

    check_results(curio.run(main))


def test_a_broken_stream_goes_on_at_another_engine():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].break_after = 2
            await site.submit(site.hosts[0], count=1)
            found = await site.read_whole(site.hosts[0])
            return found, site.engines[0].runs

    found, runs = curio.run(main)
    check_results(found, 1)
    assert runs == [('item0', 1), ('item0', 3)]


def test_versions_are_labelled_event_by_event():
    async def main():
        async with open_site(engines=1, pace=0.1) as site:
            await site.submit(site.hosts[0], count=1)
            await wait_until(lambda: site.engines[0].runs)
            await curio.sleep(0.15)
            site.engines[0].version = 2
            return await site.read_whole(site.hosts[0])

    assert curio.run(main)[0]['versions'] == [1, 2]


def test_items_wait_for_an_engine_that_is_new_enough():
    async def main():
        async with open_site() as site:
            await site.submit(site.hosts[0], min_version=2)
            await curio.sleep(0.3)
            early = [list(engine.runs) for engine in site.engines]
            site.store.put('op', 'version/m0', {'model': 'm0', 'version': 2})
            found = await site.read_whole(site.hosts[0])
            return early, found, [engine.orders for engine in site.engines]

    early, found, orders = curio.run(main)
    assert early == [[], []]
    assert {tuple(one['versions']) for one in found} == {(2,)}
    assert [len(given) for given in orders] == [1, 1]


def test_an_order_without_an_answer_is_settled_by_the_report():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].late_orders = 1
            site.store.put('op', 'version/m0', {'model': 'm0', 'version': 2})
            await wait_until(lambda: site.engines[0].orders)
            await curio.sleep(1.5)
            return site.engines[0].orders

    assert len(curio.run(main)) == 1


def test_fences_grow_when_another_host_gives_orders():
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


def test_an_item_that_always_fails_is_dead_after_its_attempts():
    async def main():
        async with open_site(engines=1) as site:
            site.engines[0].fail = 3
            await site.submit(site.hosts[0], count=1)
            found = await site.read_whole(site.hosts[0])
            return found, site.engines[0].runs

    found, runs = curio.run(main)
    assert found[0]['state'] == 'dead'
    assert len(runs) == 3


def test_live_requests_meet_their_objective_beside_reward_calls():
    async def main():
        async with open_site(engines=3) as site:
            host = site.hosts[0]
            site.scorers[0].delay = 0.1
            await site.submit(host, count=24)
            await wait_until(lambda: site.scorers[0].running >= 2)
            took = []
            for number in range(4):
                started = host.clock.elapsed()
                answer = await site.call(
                    host, 'POST', '/live/a', attempt_id=f'r{number}'
                )
                assert answer.status == 200
                took.append(host.clock.elapsed() - started)
            busy = site.scorers[0].running
            await site.read_whole(host)
            return took, busy

    took, busy = curio.run(main)
    assert max(took) < timedelta(milliseconds=200)
    assert busy


def test_a_refusal_is_tried_elsewhere_and_a_wrong_answer_not_passed_on():
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


def test_a_request_that_may_run_once_is_not_sent_again():
    async def main():
        async with open_site(scorers=2) as site:
            for scorer in site.scorers:
                scorer.wrong_ids = 1
            answer = await site.call(
                site.hosts[0], 'POST', '/once/a', attempt_id='r1'
            )
            return answer, [run for one in site.scorers for run in one.runs]

    answer, runs = curio.run(main)
    assert answer.status == 502
    assert len(runs) == 1


def test_work_ends_when_its_caller_leaves():
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


def test_a_target_that_leaves_gets_no_more_requests():
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


def test_a_manifest_comes_into_force_after_history_was_lost():
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


def test_a_manifest_that_cannot_be_read_changes_nothing():
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


def test_a_dropped_route_is_404_and_an_unknown_manifest_503():
    async def main():
        async with open_site() as site:
            empty = {**make_manifest(version=8), 'routes': []}
            site.store.put('op', 'config', empty)
            host = site.hosts[0]
            await wait_until(
                lambda: host.directory.configuration.version == 8,
            )
            gone = await site.call(host, 'POST', '/live/a', attempt_id='r1')
            site.store.remove('op', 'config')
            late = await site.start_host('h9', boot=False)
            early = await site.call(late, 'POST', '/live/a', attempt_id='r2')
            return gone, early, late.is_ready

    gone, early, ready = curio.run(main)
    assert gone.status == 404
    assert early.status == 503
    assert not ready


def test_bad_submissions_are_refused_clearly():
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

    assert {answer.status for answer in curio.run(main)} == {400}


def test_groups_are_rewarded_one_after_the_other():
    """A trainer that waits for some whole groups gets them sooner."""

    async def main():
        async with open_site(engines=4) as site:
            site.scorers[0].delay = 0.1
            await site.submit(site.hosts[0], count=16)
            return await site.read_whole(site.hosts[0])

    found = curio.run(main)
    groups = [int(one['id'].removeprefix('item')) // 2 for one in found]
    whole_after = [
        max(at for at, group in enumerate(groups) if group == number)
        for number in range(8)
    ]
    half = sorted(whole_after)[3]
    assert half < 12
