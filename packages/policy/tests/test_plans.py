"""Tests of the plan: parsing, checks, section edits and expiry."""

from datetime import timedelta
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.durations import format_duration, parse_duration
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.placements import Placement, place_record
from sequoia_policy.plan_readers import read_plan
from sequoia_policy.plan_states import PLAN_EXPIRY, PlanState
from sequoia_policy.plan_texts import (
    PlanConflictError,
    SectionEdit,
    apply_edits,
    check_owners,
    digest_text,
    find_edits,
    join_sections,
    split_sections,
)
from sequoia_policy.plans import Plan, digest_key

EXAMPLES = Path(__file__).parents[3] / 'examples'
EXAMPLE_FILES = ('tamsui.yaml', 'canterbury.yaml')
BROKEN = """\
platform:
  owner: nobody
  domains: [bali, danshui]
  teams:
    platform: {operators: {}}
  labels:
    report: {domains: [bali, taipei]}
    empty: {domains: []}
dispatch:
  owner: platform
  pools:
    app: {live_flor: 1}
  services:
    app: {pool: ap, attempts: 0, deadline: soon}
training:
  owner: platform
  trainers:
    one:
      key_digest: x
      pool: app
      scorer: app
      labels: [report]
      staleness_versions: -1
      hedge_share: 2
"""


@pytest.mark.parametrize('name', EXAMPLE_FILES)
def test_examples_have_no_problem(name):
    assert not read_plan((EXAMPLES / name).read_text()).problems


def test_every_error_of_form_is_listed_with_line_and_section(snapshot):
    problems = read_plan(BROKEN).problems
    assert [(str(problem), problem.section) for problem in problems] == snapshot


def test_every_error_of_reference_is_listed(snapshot):
    text = BROKEN.replace('live_flor', 'live_floor').replace('soon', '1s')
    assert [str(problem) for problem in read_plan(text).problems] == snapshot


@pytest.mark.parametrize('text', ['', '- a', 'a: [', 'a: 1', '\t', 'a: {b: 1}'])
def test_invalid_text_gives_problems_or_an_empty_plan(text):
    assert read_plan(text).problems or not read_plan(text).plan.sections


@given(st.text(alphabet='ab: \n-[]{}#&*!|>\'"%@`\t', max_size=60))
def test_arbitrary_text_raises_no_exception(text):
    read_plan(text)


@pytest.mark.parametrize('name', EXAMPLE_FILES)
def test_split_and_join_keep_the_text(name):
    text = (EXAMPLES / name).read_text()
    assert join_sections(split_sections(text)) == text


def make_text(**values):
    return ''.join(f'{name}:\n  x: {text}\n' for name, text in values.items())


@given(st.permutations(['one', 'two', 'three']))
def test_edits_of_different_sections_all_succeed_in_any_order(order):
    base = make_text(one=1, two=1, three=1)
    current = base
    for name in order:
        edited = base.replace(f'{name}:\n  x: 1', f'{name}:\n  x: 2')
        current = apply_edits(current, find_edits(base, edited))
    assert current == make_text(one=2, two=2, three=2)


def test_conflicting_edit_of_a_section_gets_the_current_text():
    base = make_text(one=1)
    stale_edits = find_edits(base, make_text(one=2))
    current = apply_edits(base, find_edits(base, make_text(one=3)))
    with pytest.raises(PlanConflictError) as conflict:
        apply_edits(current, stale_edits)
    assert conflict.value.current == make_text(one=3)


def test_edit_that_was_already_applied_is_no_conflict():
    base = make_text(one=1)
    edits = find_edits(base, make_text(one=2))
    once = apply_edits(base, edits)
    assert apply_edits(once, edits) == once


def test_edit_that_defines_another_section_is_rejected():
    edit = SectionEdit('one', '', make_text(one=1, two=1))
    with pytest.raises(ServiceError) as refused:
        apply_edits('', (edit,))
    assert refused.value.code is Code.PLAN_INVALID


def test_a_team_edits_only_its_own_sections():
    text = (EXAMPLES / 'tamsui.yaml').read_text()
    plan = read_plan(text).plan
    teams = plan.teams_of('lin', 'demo-operator-lin')
    assert teams == {'dispatch'}
    own_edit = SectionEdit('dispatch', digest_text('x'), 'y')
    other_edit = SectionEdit('platform', digest_text('x'), 'y')
    check_owners(plan, plan, (own_edit,), teams)
    with pytest.raises(ServiceError) as refused:
        check_owners(plan, plan, (own_edit, other_edit), teams)
    assert refused.value.code is Code.CALLER_NOT_ALLOWED
    assert not plan.teams_of('lin', 'demo-operator-chen')


def test_placement_rejects_unknown_or_ungranted_labels_and_other_domains():
    plan = read_plan((EXAMPLES / 'tamsui.yaml').read_text()).plan
    granted = ('village-report',)
    placement = place_record(plan, 'village-report', granted)
    placement.check('bali')
    with pytest.raises(ServiceError) as misplaced:
        placement.check('sanzhi')
    assert misplaced.value.code is Code.MISPLACED
    for label in (None, 'unheard-of', 'tide-table'):
        with pytest.raises(ServiceError) as refused:
            place_record(plan, label, granted)
        assert refused.value.verdict.allows_resend


def test_callers_are_authenticated_by_name_and_key():
    plan = read_plan((EXAMPLES / 'tamsui.yaml').read_text()).plan
    assert plan.authenticate_caller('chief-app', 'demo-caller-chief-app')
    for name, key in (('chief-app', 'wrong'), ('nobody', 'x'), ('', '')):
        with pytest.raises(ServiceError) as refused:
            plan.authenticate_caller(name, key)
        assert refused.value.code is Code.UNKNOWN_CALLER
    assert digest_key('a') != digest_key('b')


@given(st.lists(st.integers(1, 9), max_size=20))
def test_only_a_plan_with_a_higher_number_is_put_in_force(numbers):
    state = PlanState()
    highest = 0
    for number in numbers:
        accepted = state.accept(Plan(number=number))
        assert accepted == (number > highest)
        highest = max(highest, number)
        assert state.number == highest


def test_unconfirmed_or_expired_plan_limits_records_to_the_hosts_domain():
    state = PlanState()
    state.accept(Plan(number=3))
    placement = Placement('label', frozenset(('bali', 'danshui')))
    now = timedelta(seconds=100)
    assert state.restrict_placement(placement, 'bali', now).domains == {'bali'}
    state.confirm(2, now)
    assert state.is_expired(now)
    state.confirm(3, now)
    assert state.restrict_placement(placement, 'bali', now) == placement
    later = now + PLAN_EXPIRY + timedelta(seconds=1)
    assert state.restrict_placement(placement, 'bali', later).domains == {
        'bali'
    }
    assert not state.restrict_placement(placement, 'sanzhi', later).domains


@given(st.integers(1, 10**7))
def test_formatted_durations_parse_to_the_same_value(milliseconds):
    duration = timedelta(milliseconds=milliseconds)
    assert parse_duration(format_duration(duration)) == duration
