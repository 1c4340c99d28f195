"""Tests of windows, true time, counts, sums and the order of reports."""

from datetime import timedelta

import pytest
from attrs import define
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.clocks import ManualClock
from sequoia_policy.store_clocks import StoreClock
from sequoia_policy.true_clocks import (
    EPOCH,
    STEP_CONFIRMED_AFTER,
    TrueClock,
)
from sequoia_policy.usage_counts import (
    MAX_ACCOUNTS,
    MAX_WINDOWS,
    UsageCounts,
    sum_counts,
)
from sequoia_policy.usage_reports import (
    ReportPlan,
    StoredReport,
    resume_reports,
)
from sequoia_policy.usage_windows import UsageTiming, estimate_start

SECOND = timedelta(seconds=1)
TIMING = UsageTiming(5 * SECOND, 10 * SECOND)
NO_ERROR = timedelta()
STORE_AHEAD = timedelta(hours=-700)
times = st.integers(10**9, 10**10).map(
    lambda number: timedelta(milliseconds=number)
)


@define
class SteppedClock:
    """A host's clocks, of which the wall clock may be wrong."""

    steady: ManualClock
    error: timedelta = timedelta()

    def now(self):
        return self.steady.now() + self.error

    def elapsed(self):
        return self.steady.elapsed()


def make_clock(error=NO_ERROR):
    """Return a true clock, the clock of its host, and right readings."""
    own = SteppedClock(ManualClock(), error)
    store_clock = StoreClock(own)
    store_clock.record(own.elapsed() + STORE_AHEAD, own.elapsed())
    clock = TrueClock(own, store_clock)
    right = own.steady.now() - EPOCH - own.elapsed() - STORE_AHEAD
    return clock, own, right.total_seconds()


def find_error(clock, own):
    return clock.now() - (own.steady.now() - EPOCH)


@given(time=times)
def test_a_window_contains_its_times(time):
    window = TIMING.find_window(time)
    assert TIMING.ends_at(window - 1) <= time < TIMING.ends_at(window)


@given(time=times, share=st.floats(0, 1))
def test_counts_are_written_twice_before_their_window_is_summed(time, share):
    """The holder would sum a window before the last host has written it."""
    window = TIMING.find_window(time)
    first = TIMING.find_next_write(TIMING.ends_at(window), 0)
    first -= TIMING.length / 2
    second = TIMING.find_next_write(TIMING.ends_at(window), share)
    assert first == TIMING.ends_at(window)
    assert second < TIMING.collects_at(window) < TIMING.due_at(window)
    next_write = TIMING.find_next_write(time, share)
    assert time < next_write <= time + TIMING.length / 2 + TIMING.spread


@given(time=times, share=st.floats(0, 0.999))
def test_a_window_is_written_after_its_first_half_and_after_its_end(
    time, share
):
    """Late writes after one window wrote the next one a third time."""
    window = TIMING.find_window(time)
    begins_at = TIMING.ends_at(window - 1)
    writes = []
    now = begins_at
    for _ in range(4):
        writes.append(TIMING.is_writable(window, now + TIMING.spread * share))
        now += TIMING.length / 2
    assert writes == [False, True, True, True]


@given(time=times)
def test_the_oldest_window_is_the_first_that_has_not_expired(time):
    oldest = TIMING.find_oldest(time)
    assert not TIMING.has_expired(oldest, time)
    assert TIMING.has_expired(oldest - 1, time)


@pytest.mark.parametrize(
    ('waited', 'usual', 'expected'),
    [(0.4, 0.1, 0), (2, 0.5, 1.5), (2, 3, 0), (2, 0, 2)],
)
def test_a_long_wait_is_time_in_the_queue_in_part(waited, usual, expected):
    start = estimate_start(
        timedelta(), timedelta(seconds=waited), timedelta(seconds=usual)
    )
    assert start == timedelta(seconds=expected)


def test_a_step_of_the_own_wall_clock_moves_no_window():
    """Counts of a host would go to windows that are long reported."""
    clock, own, right = make_clock()
    clock.update([right, right])
    own.error = timedelta(hours=1)
    clock.update([right, right])
    assert find_error(clock, own) == timedelta()


def test_a_step_of_another_wall_clock_moves_no_window():
    clock, own, right = make_clock()
    for readings in ([right, right], [right, right + 3600, right]):
        clock.update(readings)
    assert find_error(clock, own) == timedelta()


def test_a_wrong_wall_clock_at_the_start_is_corrected_at_once():
    clock, own, right = make_clock(error=timedelta(seconds=-90))
    assert find_error(clock, own) == timedelta(seconds=-90)
    clock.update([right, right, right])
    assert find_error(clock, own) == timedelta()


def test_a_store_with_another_clock_moves_no_window():
    """Hosts learn of it one after the other; readings are mixed meanwhile."""
    clock, own, right = make_clock()
    clock.update([right, right])
    moved = timedelta(seconds=500)
    clock.store_clock.record(own.elapsed() + STORE_AHEAD + moved, own.elapsed())
    clock.update([right, right])
    assert find_error(clock, own) == timedelta()
    own.steady.advance(SECOND)
    clock.update([right - 500, right - 500])
    assert find_error(clock, own) == timedelta()


def test_a_step_of_most_wall_clocks_is_believed_after_a_while():
    clock, own, right = make_clock()
    clock.update([right, right])
    moved = [right + 3, right + 3]
    clock.update(moved)
    assert find_error(clock, own) == timedelta()
    own.steady.advance(STEP_CONFIRMED_AFTER)
    clock.update(moved)
    assert find_error(clock, own) == 3 * SECOND


def test_readings_that_are_no_times_are_ignored():
    clock, own, right = make_clock()
    clock.update([right, 1e300, right, -1e300, 1e300, 1e300])
    assert find_error(clock, own) == timedelta()


def test_before_the_store_responds_the_own_wall_clock_tells():
    own = SteppedClock(ManualClock())
    clock = TrueClock(own, StoreClock(own))
    clock.update([5.0, 5.0, 5.0])
    assert clock.read_own() is None
    assert find_error(clock, own) == timedelta()


@given(
    requests=st.lists(
        st.tuples(st.integers(1, 4), st.sampled_from('abc')), max_size=40
    ),
    stored_after=st.integers(0, 40),
)
def test_windows_change_until_all_their_requests_are_stored(
    requests, stored_after
):
    """A request would be lost if it came while its window is written."""
    counts = UsageCounts()
    for number, (window, account) in enumerate(requests):
        counts.add(window, account)
        if number == stored_after:
            snapshots = {
                window: dict(counts.windows[window])
                for window in counts.list_changed()
            }
            for window, snapshot in snapshots.items():
                counts.record_stored(window, snapshot)
            assert not counts.list_changed()
    later = requests[stored_after + 1 :] or []
    if len(requests) > stored_after:
        assert counts.list_changed() == sorted({window for window, _ in later})
    assert sum(counts.count(window) for window in counts.windows) == len(
        requests
    )
    assert counts.left_out == 0


def test_memory_of_counts_is_bounded():
    counts = UsageCounts()
    for number in range(MAX_ACCOUNTS + 5):
        counts.add(1, f'a{number}')
    for window in range(2, MAX_WINDOWS + 3):
        counts.add(window, 'a')
    assert len(counts.windows) == MAX_WINDOWS
    assert min(counts.windows) > 1
    assert counts.left_out == MAX_ACCOUNTS + 5 + 1
    assert len(counts.stored) <= MAX_WINDOWS


@given(
    rows=st.lists(
        st.dictionaries(st.sampled_from('abcd'), st.integers(-2, 9)), max_size=6
    )
)
def test_sums_contain_each_positive_count_once(rows):
    sums = sum_counts(rows)
    for account in 'abcd':
        expected = sum(max(0, counts.get(account, 0)) for counts in rows)
        assert sums.get(account, 0) == expected
    assert list(sums) == sorted(sums)


def test_sums_keep_the_largest_accounts():
    counts = {f'a{number}': 1 for number in range(MAX_ACCOUNTS)}
    sums = sum_counts([counts, {'z': 5}])
    assert len(sums) == MAX_ACCOUNTS
    assert sums['z'] == 5


def make_plan(first=100):
    return ReportPlan(TIMING, SECOND, first)


def test_a_window_is_summed_once_its_counts_are_written():
    plan = make_plan()
    collects_at = TIMING.collects_at(100)
    assert plan.find_due_sum(collects_at - SECOND) is None
    assert plan.find_due_sum(collects_at) == 100
    plan.record_stored(100, {'a': 1})
    assert plan.find_due_sum(collects_at) is None
    assert plan.choose(collects_at) == 100


def test_the_oldest_report_that_can_be_in_time_goes_first():
    plan = make_plan()
    for window in range(100, 104):
        plan.record_stored(window, {})
    now = TIMING.due_at(101) + SECOND
    order = []
    while plan.waiting:
        window = plan.choose(now)
        order.append(window)
        plan.record_accepted(window)
    assert order == [102, 103, 100, 101]
    assert plan.accepted == 103


def test_a_late_report_is_sent_until_twice_the_due_time():
    plan = make_plan()
    plan.record_stored(100, {})
    last = TIMING.ends_at(100) + 2 * TIMING.limit
    assert not plan.drop_expired(last)
    assert plan.choose(last) == 100
    assert plan.drop_expired(last + SECOND) == [100]
    assert plan.choose(last + SECOND) is None


def test_expired_windows_are_skipped_though_none_was_summed():
    """After an outage the holder would sum windows that nobody takes."""
    plan = make_plan()
    now = TIMING.ends_at(200)
    skipped = plan.skip_expired(now)
    assert skipped == range(100, TIMING.find_oldest(now))
    assert plan.next_window == TIMING.find_oldest(now)
    assert not plan.skip_expired(now)


def test_calls_are_apart_by_the_interval_and_further_after_failures():
    plan = make_plan()
    plan.record_stored(100, {})
    now = TIMING.collects_at(100)
    waits = []
    for _ in range(40):
        plan.record_call(now)
        plan.record_failure(now)
        waits.append(plan.call_at - now)
        now = plan.call_at
    assert waits[0] == SECOND
    assert waits == sorted(waits)
    assert waits[-1] == 2 * SECOND
    plan.record_call(now)
    plan.record_accepted(100)
    assert plan.call_at - now == SECOND


def test_next_holder_sends_what_may_not_have_been_accepted():
    stored = {
        100: StoredReport({'a': 1}, 99),
        101: StoredReport({'a': 2}, 100),
        102: StoredReport({'a': 3}, 100),
    }
    plan = resume_reports(TIMING, SECOND, stored, 500)
    assert plan.next_window == 103
    assert plan.waiting == {101: {'a': 2}, 102: {'a': 3}}


def test_a_report_that_cannot_be_read_is_neither_sent_nor_summed_again():
    """Another host may have sent what it contained."""
    plan = resume_reports(
        TIMING, SECOND, {100: StoredReport({}, 99), 101: None}, 500
    )
    assert plan.next_window == 102
    assert plan.waiting == {100: {}}


def test_first_holder_begins_with_the_first_window():
    plan = resume_reports(TIMING, SECOND, {}, 500)
    assert plan.next_window == 500
    assert not plan.waiting


class ReportModel:
    """Holders that come and go, and what the API has carried out.

    Attributes:
        rows: Stored reports.
        reported: Counts that were sent, by window.
    """

    def __init__(self):
        self.rows = {}
        self.reported = {}
        self.accepted = set()
        self.now = TIMING.ends_at(99)
        self.sum = 0
        self.plan = resume_reports(TIMING, SECOND, {}, 100)

    def step(self, event):
        self.now += SECOND
        self.sum += 1  # a second sum of a window differs
        if event == 'takeover':
            self.plan = resume_reports(TIMING, SECOND, self.rows, 100)
        self.plan.skip_expired(self.now)
        self.plan.drop_expired(self.now)
        window = self.plan.find_due_sum(self.now)
        if window is not None and event != 'no store':
            report = StoredReport({'a': self.sum}, self.plan.accepted)
            assert window not in self.rows
            self.rows[window] = report
            if event == 'killed after row':
                self.plan = resume_reports(TIMING, SECOND, self.rows, 100)
                return
            self.plan.record_stored(window, report.counts)
        self.send(event)

    def send(self, event):
        window = self.plan.choose(self.now)
        if window is None:
            return
        assert not TIMING.has_expired(window, self.now)
        counts = self.plan.waiting[window]
        self.plan.record_call(self.now)
        if event == 'no api':
            self.plan.record_failure(self.now)
            return
        assert self.reported.setdefault(window, counts) == counts
        self.accepted.add(window)
        if event == 'no response':
            self.plan.record_failure(self.now)
        else:
            self.plan.record_accepted(window)


@given(
    events=st.lists(
        st.sampled_from(
            (
                'none',
                'none',
                'takeover',
                'killed after row',
                'no store',
                'no api',
                'no response',
            )
        ),
        max_size=80,
    )
)
def test_no_order_of_events_yields_two_reports_of_a_window(events):
    model = ReportModel()
    for event in events:
        model.step(event)
    for _ in range(40):
        model.step('none')
    newest = TIMING.find_window(model.now - TIMING.limit)
    # The store and the API respond in time again: nothing is left out.
    assert set(range(newest - 3, newest)) <= model.accepted
    for window in model.plan.waiting:
        assert window not in range(model.plan.accepted + 1)
