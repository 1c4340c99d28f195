"""Tests of the target table and the state of a target."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.target_tables import TargetTable
from sequoia_policy.targets import (
    FAILURES_BEFORE_BACKOFF,
    MAX_BACKOFF,
    SWAPPING,
    Report,
    Target,
)

NAME = 'engine-1'
TARGET = Target(NAME, 'pool', 'bali', '127.0.0.1:1')


def make_report(incarnation=1, origin=0.0, *, leaving=False, version=1):
    return Report(
        NAME,
        incarnation,
        version,
        version,
        0,
        0,
        4,
        leaving,
        timedelta(seconds=origin),
    )


def make_table(*reports):
    table = TargetTable()
    table.accept_list(((TARGET, False),))
    for report in reports:
        table.accept_report(report)
    return table


reports = st.builds(
    make_report,
    incarnation=st.integers(1, 3),
    origin=st.floats(0, 100),
    leaving=st.booleans(),
)
listings = st.booleans()


@given(st.lists(st.one_of(reports, listings), max_size=30))
def test_delayed_updates_never_bring_a_leaving_target_back(updates):
    table = make_table()
    state = table.states[NAME]
    left_incarnation = None
    for update in updates:
        if isinstance(update, Report):
            table.accept_report(update)
        else:
            table.accept_list(((TARGET, update),))
        if (
            left_incarnation is not None
            and state.incarnation <= left_incarnation
        ):
            assert not state.is_usable(timedelta(hours=1))
        if state.is_leaving:
            left_incarnation = state.incarnation


@given(st.lists(reports, max_size=20))
def test_the_newest_report_wins_in_any_order(arrivals):
    table = make_table(*arrivals)
    known = table.states[NAME].report
    if arrivals:
        newest = max(
            arrivals,
            key=lambda report: (report.incarnation, report.origin),
        )
        expected = (newest.incarnation, newest.origin)
        assert (known.incarnation, known.origin) == expected


def test_an_operators_leave_order_holds_until_a_new_incarnation():
    table = make_table(make_report(incarnation=1))
    table.mark_leaving(NAME, timedelta(seconds=40))
    table.accept_report(make_report(incarnation=1, origin=50))
    assert not table.states[NAME].is_usable(timedelta(seconds=60))
    table.accept_report(make_report(incarnation=2, origin=60))
    assert table.states[NAME].is_usable(timedelta(seconds=61))


def test_a_leave_order_without_an_incarnation_is_applied_once():
    """The host that issues the order may have no report of the target."""
    order = make_table().mark_leaving(NAME, timedelta(seconds=1))
    table = make_table(make_report(incarnation=7))
    assert table.accept_report(order)
    assert not table.accept_report(order)
    assert not table.states[NAME].is_usable(timedelta())
    table.accept_report(make_report(incarnation=8, origin=2))
    assert table.states[NAME].is_usable(timedelta())


def test_a_leave_order_does_not_replace_the_known_report():
    order = make_table().mark_leaving(NAME, timedelta(seconds=1))
    table = make_table(make_report(incarnation=7))
    table.accept_report(order)
    assert table.states[NAME].report.incarnation == 7


def test_an_outdated_list_does_not_override_a_report_of_leaving():
    table = make_table(make_report(leaving=True))
    table.accept_list(((TARGET, False),))
    assert not table.states[NAME].is_usable(timedelta())


def test_a_target_listed_as_leaving_is_usable_after_a_restart():
    table = make_table(make_report(incarnation=1))
    table.accept_list(((TARGET, True),))
    assert not table.states[NAME].is_usable(timedelta())
    table.accept_report(make_report(incarnation=2, origin=1))
    table.accept_list(((TARGET, True),))
    assert table.states[NAME].is_usable(timedelta())


def test_an_unlisted_target_is_not_usable():
    table = make_table(make_report())
    table.accept_list(())
    assert not table.states[NAME].is_usable(timedelta())


def test_a_target_that_swaps_weights_is_not_usable():
    table = make_table(make_report(version=SWAPPING))
    assert not table.states[NAME].is_usable(timedelta())


@given(st.integers(FAILURES_BEFORE_BACKOFF, 200))
def test_a_failing_target_is_usable_again_after_the_backoff(failures):
    state = make_table(make_report()).states[NAME]
    for _ in range(failures):
        state.record_failure(timedelta())
    assert not state.is_usable(timedelta())
    assert state.is_usable(MAX_BACKOFF)


def test_requests_sent_count_as_load_until_a_report_includes_them():
    state = make_table(make_report(origin=0)).states[NAME]
    state.begin_request(timedelta(seconds=1))
    assert state.load() == 1 / 4
    busy = Report(NAME, 1, 1, 1, 1, 0, 4, False, timedelta(seconds=2))
    state.apply_report(busy)
    assert state.load() == 1 / 4
    state.end_request()
    assert state.load() == 1 / 4


def test_callbacks_receive_only_newer_reports():
    table = make_table(make_report(origin=5))
    received = []
    table.on_report.append(received.append)
    table.accept_report(make_report(origin=4))
    assert not received
    table.accept_report(make_report(origin=6))
    assert len(received) == 1
