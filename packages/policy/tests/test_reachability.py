"""Tests of when a host thinks that it is cut off."""

from datetime import timedelta

from sequoia_policy.reachability import PeerState, Reachability

NOW = timedelta(seconds=100)
LOST = timedelta(seconds=2)
FRESH = timedelta(milliseconds=100)


def make(*states, asked=True):
    reach = Reachability('here')
    if asked:
        reach.record_query(['here', 'there'], NOW - timedelta(seconds=10))
    for state in states:
        reach.record_state(state, NOW)
    return reach


def test_a_host_in_touch_with_the_store_is_not_cut_off():
    assert not make().is_cut_off(NOW, FRESH)


def test_a_host_whose_peer_reaches_the_store_is_cut_off():
    peer = PeerState('p1', 'here', FRESH)
    assert make(peer).is_cut_off(NOW, LOST)


def test_a_store_away_for_all_cuts_nobody_off():
    peers = (
        PeerState('p1', 'here', LOST),
        PeerState('p2', 'there', LOST),
        PeerState('p3', 'there', None),
    )
    assert not make(*peers).is_cut_off(NOW, LOST)


def test_a_host_that_no_other_domain_answers_is_cut_off():
    assert make(PeerState('p1', 'here', LOST)).is_cut_off(NOW, LOST)


def test_a_host_that_knows_no_other_domain_is_not_cut_off():
    reach = Reachability('here')
    reach.record_query(['here'], NOW - timedelta(seconds=10))
    assert not reach.is_cut_off(NOW, LOST)


def test_old_answers_count_nothing():
    reach = make(PeerState('p1', 'there', FRESH))
    later = NOW + timedelta(seconds=5)
    assert reach.is_cut_off(later, LOST + timedelta(seconds=5))
    reach.record_state(PeerState('p1', 'there', LOST), later)
    assert not reach.is_cut_off(later, LOST)
