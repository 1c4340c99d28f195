"""Tests of what requests show of the path to all targets."""

from datetime import timedelta

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.target_paths import (
    MAX_HEDGE_DELAY,
    MIN_FAILED,
    PROBE_INTERVAL,
    SILENCE_LIMIT,
    SLOW_PROBE_INTERVAL,
    TargetPath,
)

START = timedelta(seconds=10)
STEP = timedelta(milliseconds=10)
NAMES = 'abcd'


def test_path_is_cut_once_two_targets_failed_without_a_response():
    path = TargetPath()
    path.record_failure('a', START)
    path.record_failure('a', START)
    assert not path.is_cut
    path.record_failure('b', START)
    assert path.is_cut
    path.record_response(START, START + STEP)
    assert not path.is_cut


def test_response_between_two_failures_shows_a_path():
    path = TargetPath()
    path.record_failure('a', START)
    path.record_response(START - STEP, START)
    path.record_failure('b', START)
    assert not path.is_cut


@pytest.mark.parametrize('probe', [False, True])
def test_silent_targets_make_the_path_suspected_and_not_cut(probe):
    """Targets at capacity are silent too."""
    path = TargetPath()
    record = path.record_accepted if probe else path.record_silence
    record('a', START)
    assert not path.is_suspected
    record('b', START)
    assert path.is_suspected
    assert not path.is_cut


@pytest.mark.parametrize(
    ('reached', 'is_cut'),
    [((), False), (('a',), False), (('c', 'd'), False), (('a', 'b'), True)],
)
def test_path_is_cut_once_a_peer_reaches_the_silent_targets(reached, is_cut):
    """A single target may have a slot for a peer by chance."""
    path = TargetPath()
    path.record_silence('a', START)
    path.record_accepted('b', START)
    path.record_peer_report(reached)
    assert path.is_cut is is_cut


def test_response_to_a_request_from_before_the_suspicion_does_not_end_it():
    """It may have been on its way when the path failed."""
    path = TargetPath()
    path.record_silence('a', START)
    path.record_silence('b', START)
    path.record_response(START - STEP, START + STEP)
    assert path.is_suspected
    path.record_response(START + STEP, START + 2 * STEP)
    assert not path.is_suspected


def test_probe_that_is_accepted_leaves_failed_connections_in_doubt():
    """Two targets that ended beside full ones are no cut."""
    path = TargetPath()
    path.record_failure('a', START)
    path.record_failure('b', START)
    path.record_accepted('c', START)
    assert path.is_suspected
    assert not path.is_cut


def test_peer_report_is_forgotten_with_the_suspicion():
    path = TargetPath()
    path.record_silence('a', START)
    path.record_silence('b', START)
    path.record_peer_report('ab')
    path.record_response(START + STEP, START + STEP)
    path.record_silence('a', START + 2 * STEP)
    path.record_silence('b', START + 2 * STEP)
    assert path.is_suspected
    assert not path.is_cut


def test_probe_is_due_once_a_request_waited_and_no_target_sent_a_byte():
    path = TargetPath()
    assert not path.is_probe_due(START)
    wait = path.start_wait(START)
    assert not path.is_probe_due(START + SILENCE_LIMIT - STEP)
    assert path.is_probe_due(START + SILENCE_LIMIT)
    path.record_response(START, START + SILENCE_LIMIT)
    assert not path.is_probe_due(START + SILENCE_LIMIT)
    assert path.is_probe_due(START + 2 * SILENCE_LIMIT)
    path.end_wait(wait)
    assert not path.is_probe_due(START + 2 * SILENCE_LIMIT)


def test_probes_are_rarer_while_they_are_answered():
    """Requests that take long would cost each target many probes."""
    path = TargetPath()
    path.start_wait(START)
    path.probed_at = START + SILENCE_LIMIT
    assert not path.is_probe_due(path.probed_at + PROBE_INTERVAL)
    assert path.is_probe_due(path.probed_at + SLOW_PROBE_INTERVAL)
    path.record_accepted('a', path.probed_at)
    assert path.is_probe_due(path.probed_at + PROBE_INTERVAL)


@define
class PathPlay:
    """Plays events on a path and keeps what they are to lead to.

    Attributes:
        broken: Targets whose connections broke since bytes arrived anywhere.
        reported: Whether a peer reached targets that failed here.
    """

    path: TargetPath = field(factory=TargetPath)
    now: timedelta = START
    broken: set = field(factory=set)
    reported: bool = False

    def fail(self, name):
        self.path.record_failure(name, self.now)
        self.broken.add(name)

    def be_silent(self, name):
        self.path.record_silence(name, self.now)

    def accept(self, name):
        self.path.record_accepted(name, self.now)
        self.broken.clear()

    def report(self, name):
        self.path.record_peer_report(NAMES)
        self.reported = self.reported or self.path.is_suspected

    def respond(self, name):
        self.path.record_response(self.now, self.now)
        self.broken.clear()
        self.reported = False

    def respond_late(self, name):
        was_suspected = self.path.is_suspected
        self.path.record_response(START - STEP, self.now)
        assert self.path.is_suspected is was_suspected
        if not was_suspected:
            self.broken.clear()


EVENTS = (
    PathPlay.fail,
    PathPlay.be_silent,
    PathPlay.accept,
    PathPlay.report,
    PathPlay.respond,
    PathPlay.respond_late,
)


@given(st.lists(st.tuples(st.sampled_from(EVENTS), st.sampled_from(NAMES))))
def test_path_is_cut_only_after_broken_connections_or_a_report(events):
    """Silence alone, however long, is what targets at capacity show."""
    play = PathPlay()
    for event, name in events:
        event(play, name)
        play.now += STEP
        path = play.path
        has_broken = len(play.broken) >= MIN_FAILED
        assert path.is_cut is (play.reported or has_broken)
        assert path.is_suspected or not path.is_cut
        assert not path.failed & path.silent


def test_hedge_waits_until_a_target_responds_or_for_a_bounded_time():
    """Both attempts of a request were used up on the same lost path."""
    path = TargetPath()
    due = START + SILENCE_LIMIT
    assert path.delays_hedge(START, due, due)
    assert not path.delays_hedge(START, due, due + MAX_HEDGE_DELAY)
    path.record_response(due, due)
    assert not path.delays_hedge(START, due, due)
    path.record_silence('a', due)
    assert not path.delays_hedge(START, due, due)
    path.record_silence('b', due)
    assert path.delays_hedge(START, due, due)
