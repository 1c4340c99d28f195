"""Tests of load balancing, pool summaries, report queues and shares."""

import random
from collections import Counter
from datetime import timedelta
from pathlib import Path

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.choices import (
    LeastInFlight,
    RoundRobin,
    TwoChoices,
    rank_names,
)
from sequoia_policy.plan_readers import read_plan
from sequoia_policy.plans import Plan
from sequoia_policy.pools import MAX_SUMMARY_AGE, PoolSummary, PoolTable
from sequoia_policy.preemptions import count_preempted
from sequoia_policy.reports import SENDS_PER_REPORT, ReportQueue
from sequoia_policy.shares import limit_attempts
from sequoia_policy.targets import Report, Target, TargetState

NOW = timedelta(seconds=100)
EXAMPLES = Path(__file__).parents[3] / 'examples'


def make_state(name, running=0, waiting=0, slots=10):
    report = Report(name, 1, 1, 1, running, waiting, slots, False, NOW)
    target = Target(name, 'pool', 'bali', '127.0.0.1:1')
    return TargetState(target, report)


def make_states(*loads):
    return [make_state(f'engine-{n}', load) for n, load in enumerate(loads)]


choosers = st.sampled_from(
    [RoundRobin(), LeastInFlight(), TwoChoices(random.Random(1))],
)


@given(choosers, st.lists(st.integers(0, 20), min_size=1, max_size=9))
def test_a_usable_target_is_chosen(chooser, loads):
    usable = make_states(*loads)
    for _ in range(3):
        assert chooser.choose(usable, 'prompt') in usable


def test_hosts_with_the_same_reports_do_not_all_choose_the_idle_target():
    usable = make_states(*[5] * 119, 0)
    chosen = Counter(
        TwoChoices(random.Random(seed)).choose(usable).target.name
        for seed in range(390)
    )
    assert chosen['engine-119'] < 30


def test_two_choices_never_return_the_busiest_target():
    usable = make_states(0, 1, 2, 50)
    chooser = TwoChoices(random.Random(1))
    names = {chooser.choose(usable).target.name for _ in range(500)}
    assert 'engine-3' not in names


def test_a_prompt_goes_to_one_engine_until_it_is_overloaded():
    usable = make_states(1, 1, 1, 1)
    chooser = TwoChoices(random.Random(1))
    first = chooser.choose(usable, 'prompt')
    for _ in range(20):
        assert chooser.choose(usable, 'prompt') is first
    first.report = evolve(first.report, running=30)
    assert chooser.choose(usable, 'prompt') is not first


@given(st.lists(st.text('abc', min_size=1), unique=True, min_size=2))
def test_removing_a_name_moves_only_its_keys(names):
    keys = [f'key-{number}' for number in range(20)]
    before = {key: rank_names(key, names)[0] for key in keys}
    after = {key: rank_names(key, names[1:])[0] for key in keys}
    for key in keys:
        assert before[key] in {after[key], names[0]}


def test_domains_are_chosen_by_free_slots_among_the_allowed():
    table = PoolTable()
    for domain, busy in (('bali', 0), ('danshui', 10), ('sanzhi', 0)):
        table.accept(PoolSummary('pool', domain, 10, busy, NOW))
    rng = random.Random(1)
    allowed = frozenset(('bali', 'danshui'))
    counts = Counter(
        table.choose_domain('pool', allowed, NOW, rng) for _ in range(300)
    )
    assert set(counts) == allowed
    assert counts['bali'] > 5 * counts['danshui']
    later = NOW + MAX_SUMMARY_AGE
    assert table.choose_domain('pool', allowed, later, rng) is None


def test_rollouts_go_only_to_domains_with_free_rollout_slots():
    table = PoolTable()
    for domain, busy in (('bali', 7), ('danshui', 8), ('sanzhi', 10)):
        table.accept(PoolSummary('pool', domain, 10, busy, NOW))
    rng = random.Random(1)
    allowed = frozenset(('bali', 'danshui', 'sanzhi'))
    assert table.choose_rollout_domain('pool', allowed, NOW, rng) is None
    table.accept(PoolSummary('pool', 'bali', 10, 6, NOW + MAX_SUMMARY_AGE / 3))
    chosen = table.choose_rollout_domain('pool', allowed, NOW, rng)
    assert chosen == 'bali'


def test_an_older_summary_is_refused():
    table = PoolTable()
    assert table.accept(PoolSummary('pool', 'bali', 10, 1, NOW))
    older = PoolSummary('pool', 'bali', 10, 9, NOW - timedelta(seconds=1))
    assert not table.accept(older)


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 30))
def test_no_rollout_is_preempted_unless_calls_wait(
    waiting, running, own_rollouts
):
    report = make_state('e', running, waiting).report
    count = count_preempted(report, own_rollouts, random.Random(1))
    assert 0 <= count <= own_rollouts
    if not waiting:
        assert count == 0


def test_hosts_together_preempt_about_as_many_rollouts_as_calls_wait():
    report = make_state('e', running=12, waiting=3).report
    rng = random.Random(1)
    rounds = 400
    preempted = sum(count_preempted(report, 4, rng) for _ in range(3 * rounds))
    assert preempted / rounds == pytest.approx(3, abs=0.3)


def test_reports_are_sent_a_limited_number_of_times_leaving_first():
    queue = ReportQueue()
    for number in range(30):
        queue.add(make_state(f'engine-{number}').report)
    leaving = evolve(make_state('engine-99').report, leaving=True)
    queue.add(leaving)
    sent = Counter()
    for _ in range(200):
        reports = queue.next_batch(NOW)
        sent.update(report.target for report in reports)
        if not sent.total():
            break
    assert set(sent.values()) == {SENDS_PER_REPORT}
    queue.add(leaving)
    queue.add(make_state('engine-1').report)
    assert queue.next_batch(NOW)[0] == leaving


def make_plan():
    plan = read_plan((EXAMPLES / 'tamsui.yaml').read_text()).plan
    section = plan.sections['training']
    trainer = section.trainers['dispatch-trainer']
    trainers = {
        'first': evolve(trainer, share=3, shards=1, in_flight=100),
        'second': evolve(trainer, share=1, shards=1, in_flight=100),
    }
    return Plan(
        {**plan.sections, 'training': evolve(section, trainers=trainers)}
    )


def test_trainers_of_a_busy_pool_are_limited_to_their_shares():
    plan = make_plan()
    busy = [PoolSummary('lm-pool', 'bali', 80, 80, NOW)]
    assert limit_attempts(plan, 'first', busy) == 45
    assert limit_attempts(plan, 'second', busy) == 15


def test_a_trainer_may_use_idle_shares_of_others():
    plan = make_plan()
    idle = [PoolSummary('lm-pool', 'bali', 80, 10, NOW)]
    assert limit_attempts(plan, 'second', idle) == 60
    assert limit_attempts(plan, 'second', []) == 100
