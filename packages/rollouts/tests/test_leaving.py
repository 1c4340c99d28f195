"""Tests that targets whose responses say that they leave get no new work."""

import curio
import pytest
from engine_standin import MODEL
from scripted_servers import answer_in_chunks, make_events, make_head
from sites import DEFAULT_TIMEOUT, open_site, wait_until
from test_broken_answers import open_scripted_site
from test_streams import fetch_stream, open_streams

IMMEDIATE_SECONDS = 0.3
SLOTS = 4  # of an engine
PATHS = ('/live/a', '/once/a')


async def call_often(site, path, count=20):
    """Return the statuses of requests that are sent one after the other."""
    return [
        (
            await site.call(
                site.hosts[0], 'POST', path, attempt_id=f'{path}{number}'
            )
        ).status
        for number in range(count)
    ]


def find_target(site, server):
    return site.hosts[0].directory.registry.targets.get(server.name)


def list_leaving(host):
    """Return all processes that announced to the host that they leave."""
    processes = host.directory.registry.announcements.processes
    return [process for process, known in processes.items() if known.leaving]


async def let_leave(site, server):
    """Make a server leave and wait until a response said so."""
    server.leaving = True
    async with curio.timeout_after(DEFAULT_TIMEOUT):
        while not find_target(site, server).announced.leaving:
            await call_often(site, '/live/a', 1)


@pytest.mark.parametrize('path', PATHS)
def test_leaving_server_gets_no_request_though_it_is_registered(path):
    """Hosts sent it requests until its registration said that it leaves."""

    async def main():
        async with open_site(scorers=2) as site:
            leaving = site.scorers[0]
            await let_leave(site, leaving)
            site.store.put('servers', leaving.name, leaving.entry())
            before = len(leaving.runs)
            statuses = await call_often(site, path)
            return statuses, len(leaving.runs) - before

    statuses, runs = curio.run(main)
    assert set(statuses) == {200}
    assert runs == 0


def test_refusal_that_says_so_is_enough():
    """A full server that leaves says it with its refusals only."""

    async def main():
        async with open_site(scorers=2) as site:
            leaving = site.scorers[0]
            leaving.refuse = 1
            await let_leave(site, leaving)
            refused = not leaving.runs
            await call_often(site, '/live/a')
            return refused, leaving.runs

    assert curio.run(main) == (True, [])


def test_request_is_refused_at_once_if_all_servers_leave():
    """The verdict is true: not run, with the time to come back."""

    async def main():
        async with open_site(scorers=2) as site:
            for server in site.scorers:
                await let_leave(site, server)
            started_at = site.hosts[0].clock.elapsed()
            response = await site.call(
                site.hosts[0], 'POST', '/once/a', attempt_id='r1'
            )
            duration = site.hosts[0].clock.elapsed() - started_at
            return response, duration.total_seconds()

    response, seconds = curio.run(main)
    assert response.status == 503
    assert response.head.header('retry-after')
    assert seconds < IMMEDIATE_SECONDS


def test_word_of_a_server_outlives_its_registration():
    """An entry that expires and comes back is that of the same process."""

    async def main():
        async with open_site(scorers=2) as site:
            leaving = site.scorers[0]
            await let_leave(site, leaving)
            site.store.remove('servers', leaving.name)
            await wait_until(lambda: find_target(site, leaving) is None)
            site.store.put('servers', leaving.name, leaving.entry())
            await wait_until(lambda: find_target(site, leaving))
            before = len(leaving.runs)
            await call_often(site, '/live/a')
            return len(leaving.runs) - before

    assert curio.run(main) == 0


def test_new_process_of_the_same_name_gets_requests():
    """What a process said belongs to it, not to its name or address."""

    async def main():
        async with open_site(scorers=2) as site:
            server = site.scorers[0]
            await let_leave(site, server)
            server.leaving = False
            entry = server.entry(started_at=2)
            site.store.put('servers', server.name, entry)
            await wait_until(lambda: not find_target(site, server).is_leaving)
            before = len(server.runs)
            await call_often(site, '/live/a')
            return len(server.runs) - before

    assert curio.run(main) > 0


def test_server_with_another_name_does_not_speak_for_the_one_before():
    """A misdirected request is answered by another process at the address."""

    async def main():
        async with open_site(scorers=2) as site:
            server = site.scorers[0]
            server.leaving, server.name = True, 'another'
            await call_often(site, '/live/a')
            return list_leaving(site.hosts[0])

    assert not curio.run(main)


def test_leaving_engine_gets_no_stream_item_or_order():
    """The head of a stream says it for all work."""

    async def main():
        async with open_site(engines=2) as site:
            host = await open_streams(site)
            leaving = site.engines[0]
            leaving.leaving = True
            while not find_target(site, leaving).announced.leaving:
                await fetch_stream(site, host)
            before = len(leaving.runs)
            await fetch_stream(site, host)
            await site.submit(host)
            results = await site.read_all_results(host)
            site.store.put(
                'op', f'version/{MODEL}', {'model': MODEL, 'version': 2}
            )
            await wait_until(lambda: site.engines[1].version == 2)
            await curio.sleep(0.3)
            return len(leaving.runs) - before, leaving.orders, len(results)

    assert curio.run(main) == (0, [], 6)


def test_item_stays_at_a_leaving_engine_and_the_next_goes_elsewhere():
    """Requests under way run on, also those sent before the first response."""

    async def main():
        async with open_site(engines=1, pace=0.05) as site:
            leaving = site.engines[0]
            leaving.leaving = True
            await site.submit(site.hosts[0], count=12)
            await wait_until(
                lambda: find_target(site, leaving).announced.leaving
            )
            await wait_until(lambda: has_listed_all_runs(site, leaving))
            await curio.sleep(0.5)
            return len(leaving.runs), len(site.store.find('results'))

    runs, results = curio.run(main)
    assert 0 < runs <= SLOTS
    assert results == runs


def has_listed_all_runs(site, engine):
    """Return whether each run of an engine has its result in the store."""
    is_idle = not find_target(site, engine).running
    return is_idle and len(site.store.find('results')) == len(engine.runs)


def test_report_or_order_that_says_so_is_enough():
    """An engine without requests says it when it is asked for its state."""

    async def main():
        async with open_site(engines=2) as site:
            leaving = site.engines[0]
            leaving.leaving = True
            site.store.put(
                'op', f'version/{MODEL}', {'model': MODEL, 'version': 2}
            )
            await wait_until(
                lambda: find_target(site, leaving).announced.leaving
            )
            await site.submit(site.hosts[0])
            await site.read_all_results(site.hosts[0])
            return leaving.runs, leaving.orders

    assert curio.run(main) == ([], [])


def test_leaving_scorer_gets_no_reward_call():
    """Reward calls learn it from rewards, as callers do from responses."""

    async def main():
        async with open_site(scorers=2) as site:
            leaving = site.scorers[0]
            await let_leave(site, leaving)
            before = len(leaving.runs)
            await site.submit(site.hosts[0])
            results = await site.read_all_results(site.hosts[0])
            return len(leaving.runs) - before, len(results)

    assert curio.run(main) == (0, 6)


class LatePermits:
    """Permits that are free only after something has happened."""

    def __init__(self, happen):
        self.happen = happen

    async def acquire(self, target, urgency):
        self.happen()


def test_request_that_waits_for_a_permit_is_not_sent_to_a_leaving_server():
    """Its target was chosen before the response that said so."""

    async def main():
        async with open_site(scorers=1) as site:
            host = site.hosts[0]
            target = find_target(site, site.scorers[0])
            sender = host.live.sender
            sender.permits = LatePermits(
                lambda: host.directory.record_leaving(target)
            )
            response = await site.call(host, 'POST', '/once/a', attempt_id='r1')
            return response.status, site.scorers[0].runs

    assert curio.run(main) == (503, [])


def answer_and_leave(request):
    return answer_in_chunks(
        request, *make_events(request, 1), whole=False, server_leaving='1'
    )


def answer_interim_and_leave(request):
    interim = b'HTTP/1.1 103 Early Hints\r\nserver-leaving: 1\r\n\r\n'
    return b''.join((interim, make_head(request, content_length='4'), b'done'))


def answer_whole(request):
    return answer_in_chunks(request, *make_events(request, 3))


def test_resumed_stream_goes_to_an_engine_that_stays():
    """The engine that broke off had said that it leaves."""

    async def main():
        async with open_scripted_site(
            answer_and_leave, answer_whole, resumable=True
        ) as site:
            _head, chunks = await fetch_stream(site, site.hosts[0])
            targets = site.hosts[0].directory.registry.targets.values()
            return chunks, [target.announced.leaving for target in targets]

    chunks, words = curio.run(main)
    assert len(chunks) == 3
    assert words.count(True) == 1


def test_interim_response_does_not_count():
    """Only the final head is a response."""

    async def main():
        async with open_scripted_site(
            answer_whole, scorers=[answer_interim_and_leave]
        ) as site:
            statuses = await call_often(site, '/live/a', 4)
            return statuses, list_leaving(site.hosts[0])

    statuses, leaving = curio.run(main)
    assert statuses == [200] * 4
    assert not leaving
