"""Whole deployments of processes: kills, drains and partitions."""

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
    """Check what no fault may break, from what the targets saw."""
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
        answer = await deployment.client.fetch(host.admin, head)
    except ServiceError:
        return False
    return answer.status == 200


async def drain_one(group, layout):
    """Drain a host under load; it must end by itself and cut off nothing."""
    deployment = Deployment(layout)
    await deployment.publish_plan()
    leaving = layout.hosts[0]
    load = make_load(layout, layout.hosts, seconds=5)
    running = await curio.spawn(load.run)
    await curio.sleep(2)
    assert await is_ready(deployment, leaving)
    group.terminate(leaving.name)
    await curio.sleep(0.3)
    assert not await is_ready(deployment, leaving)
    report = await running.join()
    status = await curio.run_in_thread(group.wait, leaving.name, 20)
    assert status == 0
    for outcome in report.outcomes:
        assert outcome.answered
        for tried in outcome.tries:
            assert tried.verdict != 'may-have-run'
    await check_runs(layout, report.outcomes)


def test_a_drained_host_cuts_off_no_request(tmp_path):
    layout = make_layout(SMALL)
    with ProcessGroup(tmp_path) as group:
        start_all(group, layout)
        curio.run(drain_one, group, layout)


async def publish_before_the_store(group, layout):
    """Publish while the store's process has not started yet."""
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
        assert curio.run(publish_before_the_store, group, layout) > 0


async def call_late_targets(group, layout):
    """Publish while the targets have not started yet, then call them."""
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
        report = curio.run(call_late_targets, group, layout)
    assert report.outcomes
    refused = {tried.code for one in report.outcomes for tried in one.tries}
    assert refused == {''}


async def drain_with_streams(group, layout, second_signal):
    """Drain the only host with streams of seconds and the platform away."""
    deployment = Deployment(layout)
    await deployment.publish_plan()
    host = layout.hosts[0]
    kinds = make_kinds(layout.shape)
    streams = make_load(layout, layout.hosts, 1, 8, (kinds[1],))
    running = await curio.spawn(streams.run)
    await curio.sleep(1.2)
    for part in ('store', 'hosts', 'weights'):
        group.kill(part)
    group.terminate(host.name)
    if second_signal:
        await curio.sleep(0.5)
        group.terminate(host.name)
    status = await curio.run_in_thread(group.wait, host.name, 30)
    return status, await running.join()


def run_drain(folder, *, second_signal):
    """Return the exit status, the load's report and the host's log."""
    layout = make_layout(evolve(TAMSUI, hosts=1, engines=1, plain_targets=1))
    engine = layout.targets_of(layout.shape.engine_pool)[0]
    with ProcessGroup(folder) as group:
        start_platform(group, layout)
        for target in layout.targets:
            slow = ('--token-time', '80ms') if target == engine else ()
            start_target(group, layout, target, *slow)
        start_host(group, layout, layout.hosts[0])
        status, report = curio.run(
            drain_with_streams,
            group,
            layout,
            second_signal,
        )
    return status, report


def test_a_drain_lets_streams_of_seconds_end_without_the_platform(tmp_path):
    status, report = run_drain(tmp_path, second_signal=False)
    assert status == 0
    assert report.outcomes
    assert all(outcome.answered for outcome in report.outcomes)
    again = [one.tries for one in report.outcomes if len(one.tries) > 1]
    assert not again


def test_a_second_signal_ends_the_host_at_once(tmp_path):
    status, report = run_drain(tmp_path, second_signal=True)
    assert status == 128 + signal.SIGTERM
    assert not all(outcome.answered for outcome in report.outcomes)


async def kill_and_restart(group, layout):
    """Kill hosts under load, twice, and start them again."""
    deployment = Deployment(layout)
    number = await deployment.publish_plan()
    load = make_load(layout, layout.hosts, seconds=7)
    running = await curio.spawn(load.run)
    for victim in layout.hosts[:2]:
        await curio.sleep(1.5)
        group.kill(victim.name)
        await curio.sleep(0.5)
        start_host(group, layout, victim)
    report = await running.join()
    await deployment.wait_ready(number)
    told = {outcome.told for outcome in report.outcomes if not outcome.answered}
    assert told <= {'not-run', 'may-have-run'}
    await check_runs(layout, report.outcomes)


def test_killed_hosts_break_no_promise(tmp_path):
    layout = make_layout(SMALL)
    with ProcessGroup(tmp_path) as group:
        start_all(group, layout)
        curio.run(kill_and_restart, group, layout)


async def cut_domain_off(layout):
    """A cut-off domain serves its own callers by its last plan."""
    deployment = Deployment(layout)
    number = await deployment.publish_plan()
    await deployment.cut('bali')
    await curio.sleep(13)
    inside = [host for host in layout.hosts if host.domain == 'bali']
    outside = [host for host in layout.hosts if host.domain != 'bali']
    kinds = make_kinds(layout.shape)
    safe = tuple(kind for kind in kinds if kind.repeatable)
    report = await make_load(layout, inside, 2, 10, safe).run()
    assert report.outcomes
    assert all(outcome.answered for outcome in report.outcomes)
    keyed = (kinds[0],)
    refused = await make_load(layout, inside, 1, 4, keyed).run()
    for outcome in refused.outcomes:
        assert not outcome.answered
        assert outcome.told == 'not-run'
    others = await make_load(layout, outside, 2, 10).run()
    assert all(outcome.answered for outcome in others.outcomes)
    statuses = await deployment.read_statuses()
    for host in inside:
        assert statuses[host.name].plan_number == number
        assert statuses[host.name].plan_lapsed
    await deployment.cut()
    await wait_confirmed(deployment, inside)
    outcomes = (*report.outcomes, *refused.outcomes, *others.outcomes)
    await check_runs(layout, outcomes)


async def wait_confirmed(deployment, hosts):
    """Wait until healed hosts rely on their plan again."""
    for _ in range(100):
        statuses = await deployment.read_statuses()
        if not any(statuses[host.name].plan_lapsed for host in hosts):
            return
        await curio.sleep(0.1)
    pytest.fail('the plan was not confirmed after the network healed')


def test_a_cut_off_domain_goes_on_with_its_own(tmp_path):
    layout = add_relay(make_layout(SMALL))
    with ProcessGroup(tmp_path) as group:
        start_all(group, layout)
        curio.run(cut_domain_off, layout)
