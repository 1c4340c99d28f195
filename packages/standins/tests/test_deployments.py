"""Tests of deployments of processes: kills, drains and partitions."""

import random
import signal
from datetime import timedelta

import curio
import pytest
from attrs import evolve
from sequoia_policy.errors import ServiceError
from sequoia_standins.checks import (
    Inspector,
    count_doubled,
    count_lost,
    count_misplaced,
    count_wrong_not_run,
)
from sequoia_standins.deployments import (
    TAMSUI,
    add_relay,
    make_layout,
)
from sequoia_standins.experiments import Deployment, make_kinds
from sequoia_standins.loads import LiveLoad
from sequoia_standins.processes import (
    ProcessGroup,
    start_all,
    start_host,
    start_platform,
    start_store,
    start_target,
)
from sequoia_wire.messages import RequestHead

SMALL = evolve(TAMSUI, hosts=6, engines=3, plain_targets=3)


def make_load(layout, hosts, seconds, per_second=30, kinds=None):
    return LiveLoad(
        tuple(host.http for host in hosts),
        kinds or make_kinds(layout.shape),
        per_second,
        timedelta(seconds=seconds),
        random.Random(1),
        timedelta(seconds=6),
    )


async def check_runs(layout, outcomes):
    """Assert from the targets' records that no guarantee is violated."""
    deployment = Deployment(layout)
    runs = await Inspector(layout, deployment.client).collect()
    service = layout.shape.plain_pool
    assert count_doubled(outcomes, runs, service) == 0
    assert count_lost(outcomes, runs, service) == 0
    assert count_misplaced(layout, runs) == 0
    assert count_wrong_not_run(outcomes, runs) == 0
    assert not any(outcome.wrong for outcome in outcomes)


async def is_ready(deployment, host):
    head = RequestHead('GET', '/ready')
    try:
        response = await deployment.client.fetch(host.admin, head)
    except ServiceError:
        return False
    return response.status == 200


async def drain_under_load(group, layout):
    """Drain a host under load; it must exit without interrupting a request."""
    deployment = Deployment(layout)
    await deployment.publish_plan()
    draining = layout.hosts[0]
    load = make_load(layout, layout.hosts, seconds=5)
    load_task = await curio.spawn(load.run)
    await curio.sleep(2)
    assert await is_ready(deployment, draining)
    group.terminate(draining.name)
    await curio.sleep(0.3)
    assert not await is_ready(deployment, draining)
    report = await load_task.join()
    status = await curio.run_in_thread(group.wait, draining.name, 20)
    assert status == 0
    for outcome in report.outcomes:
        assert outcome.answered
        for attempt in outcome.tries:
            assert attempt.verdict != 'may-have-run'
    await check_runs(layout, report.outcomes)


def test_a_drained_host_interrupts_no_request(tmp_path):
    layout = make_layout(SMALL)
    with ProcessGroup(tmp_path) as group:
        start_all(group, layout)
        curio.run(drain_under_load, group, layout)


async def publish_before_store_starts(group, layout):
    """Publish a plan before the store process has started."""
    publishing = await curio.spawn(Deployment(layout).publish_plan)
    await curio.sleep(4)
    start_store(group, layout)
    return await publishing.join()


def test_a_plan_is_published_once_the_store_has_started(tmp_path):
    layout = make_layout(evolve(TAMSUI, hosts=1, engines=1, plain_targets=1))
    with ProcessGroup(tmp_path) as group:
        start_platform(group, layout)
        group.kill('store')
        for target in layout.targets:
            start_target(group, layout, target)
        start_host(group, layout, layout.hosts[0])
        assert curio.run(publish_before_store_starts, group, layout) > 0


async def publish_before_targets_start(group, layout):
    """Publish a plan before the targets have started, then call them."""
    publishing = await curio.spawn(Deployment(layout).publish_plan)
    await curio.sleep(4)
    for target in layout.targets:
        start_target(group, layout, target)
    await publishing.join()
    return await make_load(layout, layout.hosts, 1, 8).run()


def test_a_plan_is_published_once_the_targets_have_started(tmp_path):
    layout = make_layout(evolve(TAMSUI, hosts=1, engines=1, plain_targets=1))
    with ProcessGroup(tmp_path) as group:
        start_platform(group, layout)
        start_host(group, layout, layout.hosts[0])
        report = curio.run(publish_before_targets_start, group, layout)
    assert report.outcomes
    error_codes = {
        attempt.code for outcome in report.outcomes for attempt in outcome.tries
    }
    assert error_codes == {''}


async def drain_with_streams(group, layout, second_signal):
    """Drain the only host during long streams while the platform is down."""
    deployment = Deployment(layout)
    await deployment.publish_plan()
    host = layout.hosts[0]
    kinds = make_kinds(layout.shape)
    streams = make_load(layout, layout.hosts, 1, 8, (kinds[1],))
    load_task = await curio.spawn(streams.run)
    await curio.sleep(1.2)
    for process in ('store', 'hosts', 'weights'):
        group.kill(process)
    group.terminate(host.name)
    if second_signal:
        await curio.sleep(0.5)
        group.terminate(host.name)
    status = await curio.run_in_thread(group.wait, host.name, 30)
    return status, await load_task.join()


def run_drain(folder, *, second_signal, token_time='80ms'):
    """Return the host's exit status and the load report."""
    layout = make_layout(evolve(TAMSUI, hosts=1, engines=1, plain_targets=1))
    engine = layout.targets_of(layout.shape.engine_pool)[0]
    with ProcessGroup(folder) as group:
        start_platform(group, layout)
        for target in layout.targets:
            options = ('--token-time', token_time) if target == engine else ()
            start_target(group, layout, target, *options)
        start_host(group, layout, layout.hosts[0])
        status, report = curio.run(
            drain_with_streams,
            group,
            layout,
            second_signal,
        )
    return status, report


def test_a_drain_completes_long_streams_while_the_platform_is_down(tmp_path):
    status, report = run_drain(tmp_path, second_signal=False)
    assert status == 0
    assert report.outcomes
    assert all(outcome.answered for outcome in report.outcomes)
    retried = [
        outcome.tries for outcome in report.outcomes if len(outcome.tries) > 1
    ]
    assert not retried


def test_a_second_sigterm_stops_a_draining_host_at_once(tmp_path):
    """The shortest stream has 7 tokens, so that each is under way by then."""
    status, report = run_drain(tmp_path, second_signal=True, token_time='400ms')
    assert status == 128 + signal.SIGTERM
    assert report.outcomes
    assert not any(outcome.answered for outcome in report.outcomes)


async def stop_during_calls(group, layout):
    """Stop the only host during calls that outlast it."""
    await Deployment(layout).publish_plan()
    host = layout.hosts[0]
    kinds = make_kinds(layout.shape)
    calls = make_load(layout, layout.hosts, 1, 8, (kinds[0],))
    load_task = await curio.spawn(calls.run)
    await curio.sleep(1.2)
    group.terminate(host.name)
    status = await curio.run_in_thread(group.wait, host.name, 30)
    return status, await load_task.join()


def test_calls_that_outlast_a_stopped_host_get_its_verdict(tmp_path):
    """Their connections were closed, so that nobody told what became of them."""
    layout = make_layout(evolve(TAMSUI, hosts=1, engines=1, plain_targets=1))
    with ProcessGroup(tmp_path) as group:
        start_platform(group, layout)
        for target in layout.targets:
            is_plain = target in layout.targets_of(layout.shape.plain_pool)
            options = ('--work-time', '9s') if is_plain else ()
            start_target(group, layout, target, *options)
        start_host(group, layout, layout.hosts[0], DRAIN_LIMIT='1s')
        status, report = curio.run(stop_during_calls, group, layout)
    first = [outcome.tries[0] for outcome in report.outcomes]
    assert status == 0
    assert {attempt.status for attempt in first} == {502}
    assert {attempt.verdict for attempt in first} == {'may-have-run'}


async def kill_and_restart(group, layout):
    """Kill two hosts in turn under load and restart each."""
    deployment = Deployment(layout)
    number = await deployment.publish_plan()
    load = make_load(layout, layout.hosts, seconds=7)
    load_task = await curio.spawn(load.run)
    for victim in layout.hosts[:2]:
        await curio.sleep(1.5)
        group.kill(victim.name)
        await curio.sleep(0.5)
        start_host(group, layout, victim)
    report = await load_task.join()
    await deployment.wait_ready(number)
    verdicts = {
        outcome.told for outcome in report.outcomes if not outcome.answered
    }
    assert verdicts <= {'not-run', 'may-have-run'}
    await check_runs(layout, report.outcomes)


def test_killed_hosts_violate_no_guarantee(tmp_path):
    layout = make_layout(SMALL)
    with ProcessGroup(tmp_path) as group:
        start_all(group, layout)
        curio.run(kill_and_restart, group, layout)


async def partition_domain(layout):
    """Partition a domain; it must refuse only non-repeatable calls."""
    deployment = Deployment(layout)
    number = await deployment.publish_plan()
    await deployment.partition('bali')
    await curio.sleep(13)
    inside = [host for host in layout.hosts if host.domain == 'bali']
    outside = [host for host in layout.hosts if host.domain != 'bali']
    kinds = make_kinds(layout.shape)
    repeatable = tuple(kind for kind in kinds if kind.repeatable)
    inside_report = await make_load(layout, inside, 2, 10, repeatable).run()
    assert inside_report.outcomes
    assert all(outcome.answered for outcome in inside_report.outcomes)
    non_repeatable = (kinds[0],)
    non_repeatable_report = await make_load(
        layout, inside, 1, 4, non_repeatable
    ).run()
    for outcome in non_repeatable_report.outcomes:
        assert not outcome.answered
        assert outcome.told == 'not-run'
    outside_report = await make_load(layout, outside, 2, 10).run()
    assert all(outcome.answered for outcome in outside_report.outcomes)
    statuses = await deployment.read_statuses()
    for host in inside:
        assert statuses[host.name].plan_number == number
        assert statuses[host.name].plan_lapsed
    await deployment.partition()
    await wait_confirmed(deployment, inside)
    outcomes = (
        *inside_report.outcomes,
        *non_repeatable_report.outcomes,
        *outside_report.outcomes,
    )
    await check_runs(layout, outcomes)


async def wait_confirmed(deployment, hosts):
    """Wait until the plan of the reconnected hosts is confirmed again."""
    for _ in range(100):
        statuses = await deployment.read_statuses()
        if not any(statuses[host.name].plan_lapsed for host in hosts):
            return
        await curio.sleep(0.1)
    pytest.fail('the plan was not confirmed after the network healed')


def test_a_partitioned_domain_refuses_only_non_repeatable_calls(tmp_path):
    layout = add_relay(make_layout(SMALL))
    with ProcessGroup(tmp_path) as group:
        start_all(group, layout)
        curio.run(partition_domain, layout)
