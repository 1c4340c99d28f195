"""Tests of slow and stalled streams, and of responses to other requests."""

import itertools
from datetime import timedelta

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sequoia_platform.engines import PlatformDialect
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget, Registration
from sequoia_policy.verdicts import Verdict
from sequoia_rollouts.streaming.events import MAX_EVENT_BYTES, EventReader
from sequoia_rollouts.targets.senders import OutgoingRequest, Sender
from sequoia_wire.clocks import SystemClock
from sequoia_wire.messages import RequestHead, parse_address
from sites import open_site, wait_until
from test_streams import (
    change_idle_engines,
    fetch_stream,
    list_runs,
    open_streams,
)

TIMEOUT = timedelta(seconds=1)
# Status of each response, and what is sent besides.
plans = st.lists(
    st.tuples(
        st.sampled_from((200, 503)), st.sampled_from(('', 'copy', 'late'))
    ),
    max_size=8,
)


def test_an_item_moves_away_from_an_engine_that_sends_no_events():
    """Bytes that complete no event kept the run alive for ever."""

    async def main():
        async with open_site(engines=2, words=4) as site:
            for engine in site.engines:
                engine.trickle_after = 2
            await site.submit(site.hosts[0], count=2)
            results = await site.read_all_results(site.hosts[0], seconds=12)
            return [result['state'] for result in results]

    assert curio.run(main) == ['completed', 'completed']


def test_a_live_stream_moves_away_from_an_engine_that_sends_no_events():
    async def main():
        async with open_site(pace=0.05) as site:
            await open_streams(site, resumable=True)
            for engine in site.engines:
                engine.trickle_after = 1
            work = await curio.spawn(fetch_stream, site, site.hosts[0])
            await wait_until(lambda: list_runs(site))
            change_idle_engines(site, trickle_after=0)
            async with curio.timeout_after(6):
                await work.join()
            return len(list_runs(site))

    assert curio.run(main) == 2


def test_a_slow_stream_with_regular_events_is_not_cut():
    async def main():
        async with open_site(engines=2, words=4, pace=1.1) as site:
            await site.submit(site.hosts[0], count=2)
            await site.read_all_results(site.hosts[0], seconds=12)
            return [run for engine in site.engines for run in engine.runs]

    runs = curio.run(main)
    assert sorted(runs) == [('item0', 1), ('item1', 1)]


def test_an_event_without_end_is_refused_in_linear_time():
    reader = EventReader('version')
    piece = b'x' * 1000
    with pytest.raises(ValueError, match='larger'):
        for _ in range(2 * MAX_EVENT_BYTES // len(piece)):
            reader.feed(piece)


@given(st.integers(1, 7), st.lists(st.integers(0, 9), max_size=20))
def test_events_are_the_same_for_any_split_into_chunks(size, numbers):
    stream = b''.join(b'id: %d\r\ndata: x\r\n\r\n' % n for n in numbers)
    reader = EventReader('version')
    pieces = [
        stream[start : start + size] for start in range(0, len(stream), size)
    ]
    events = itertools.chain.from_iterable(map(reader.feed, pieces))
    assert [event.id for event in events] == [str(n) for n in numbers]


def make_response(request_id, status, not_run):
    label = b'not-run: 1\r\n' if not_run else b'server-stamp: s\r\n'
    body = f'body of {request_id}'.encode()
    template = (
        b'HTTP/1.1 %d X\r\nattempt-id: %b\r\n%bcontent-length: %d\r\n\r\n%b'
    )
    return template % (status, request_id.encode(), label, len(body), body)


async def run_target(work, extras):
    """Run a target that responds and sends extra copies of old responses.

    Args:
        work: Called with the target.
        extras: What the target does after each response: 'copy' sends it
            twice, 'late' sends the copy before the next response.
    """
    plan = iter(extras)

    async def serve(sock, _address):
        late = b''
        while True:
            request = await sock.recv(10000)
            if not request:
                return
            _, _, rest = request.lower().partition(b'attempt-id: ')
            request_id = rest.split(b'\r\n')[0].decode()
            status, extra = next(plan, (200, ''))
            response = make_response(request_id, status, status != 200)
            copy = response if extra == 'copy' else b''
            await sock.sendall(late + response + copy)
            late = response if extra == 'late' else b''

    sock = curio.network.tcp_server_socket('127.0.0.1', 0)
    host, port = sock._socket.getsockname()
    task = await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
    target = RegisteredTarget(Registration('t', 's', f'{host}:{port}', 'z'))
    try:
        return await work(target)
    finally:
        await task.cancel()


class NoLimits:
    async def acquire(self, target, urgency):
        """Let each request pass."""

    async def record_no_limit(self, target, sent_at):
        """Record nothing."""


async def fetch(sender, target, request_id):
    outgoing = OutgoingRequest(request_id, RequestHead('POST', '/'))
    return await sender.fetch(target, outgoing, TIMEOUT, Urgency.LIVE)


def make_sender():
    return Sender(
        SystemClock(), PlatformDialect(), NoLimits(), lambda target: None
    )


def test_a_late_copy_of_a_refusal_does_not_refuse_the_next_request():
    async def work(target):
        sender = make_sender()
        with pytest.raises(ServiceError) as first:
            await fetch(sender, target, 'r1')
        with pytest.raises(ServiceError) as second:
            await fetch(sender, target, 'r2')
        return first.value, second.value

    first, second = curio.run(run_target, work, [(503, 'late')])
    assert first.verdict is Verdict.NOT_RUN
    assert second.code is Code.WRONG_ANSWER
    assert second.verdict is Verdict.MAY_HAVE_RUN


@settings(max_examples=60, deadline=None)
@given(plans)
def test_no_request_gets_the_response_to_another_one(extras):
    async def work(target):
        sender = make_sender()
        for number, _extra in enumerate(extras):
            request_id = f'r{number}'
            try:
                labelled = await fetch(sender, target, request_id)
            except ServiceError as error:
                refused = error.code is Code.TARGET_REFUSED
                assert (error.verdict is Verdict.NOT_RUN) == refused
                continue
            assert labelled.labels.request_id == request_id
            assert labelled.response.body == f'body of {request_id}'.encode()

    curio.run(run_target, work, extras)


def test_a_late_copy_of_a_refusal_does_not_refuse_the_same_request_again():
    """A request that may run once was refused, sent again and ran twice."""

    async def work(target):
        sender = make_sender()
        with pytest.raises(ServiceError) as refusal:
            await fetch(sender, target, 'r1')
        return refusal.value, await fetch(sender, target, 'r1')

    refusal, labelled = curio.run(run_target, work, [(503, 'late')])
    assert refusal.verdict is Verdict.NOT_RUN
    assert labelled.response.status == 200


@settings(max_examples=60, deadline=None)
@given(plans)
def test_no_sending_gets_the_response_to_an_earlier_one_of_its_id(extras):
    """A target refuses a request, takes it the next time, or the reverse."""

    async def work(target):
        sender = make_sender()
        statuses = []
        while len(statuses) < len(extras):
            try:
                labelled = await fetch(sender, target, 'r1')
            except ServiceError as error:
                assert error.code is Code.TARGET_REFUSED
                statuses.append(503)
            else:
                statuses.append(labelled.response.status)
        return statuses

    statuses = curio.run(run_target, work, extras)
    assert statuses == [status for status, _extra in extras]


def test_reports_and_orders_get_no_late_copy_of_each_other():
    """They bear no id that tells their responses apart."""

    async def work(target):
        sender = make_sender()
        address = parse_address(target.registration.address)
        report = RequestHead('GET', '/v1/report')
        order = RequestHead('POST', '/v1/order')
        reported = await sender.report_client.fetch(address, report)
        ordered = await sender.order_client.fetch(address, order)
        refusal = ''
        try:
            await fetch(sender, target, 'r1')
        except ServiceError as error:
            refusal = error.code
        return reported.status, ordered.status, refusal

    plan = [(200, 'late'), (202, 'late'), (503, '')]
    expected = (200, 202, Code.TARGET_REFUSED)
    assert curio.run(run_target, work, plan) == expected


def test_one_server_is_not_asked_again_at_once_while_others_back_off():
    """It was asked thirteen times within 20 ms."""

    async def main():
        async with open_site(scorers=3) as site:
            host = site.hosts[0]
            busy, *others = site.scorers
            busy.refuse = 100
            targets = host.directory.registry.targets
            for server in others:
                now = host.clock.elapsed()
                targets[server.name].back_off(now, timedelta(seconds=2))
            await site.call(
                host, 'POST', '/once/a', attempt_id='r1', deadline_ms='400'
            )
            return busy.received_at

    times = curio.run(main)
    assert max(sum(t <= x < t + 0.02 for x in times) for t in times) <= 2
