"""Tests of the detection of a host that is cut off."""

from datetime import timedelta

from sequoia_policy.reachability import PeerState, Reachability

NOW = timedelta(seconds=100)
LOST = timedelta(seconds=2)
FRESH = timedelta(milliseconds=100)


def make_reachability(*states, queried=True):
    reachability = Reachability('here')
    if queried:
        reachability.record_query(
            ['here', 'there'], NOW - timedelta(seconds=10)
        )
    for state in states:
        reachability.record_state(state, NOW)
    return reachability


def test_a_host_that_reaches_the_store_is_not_cut_off():
    assert not make_reachability().is_cut_off(NOW, FRESH)


def test_a_host_whose_peer_reaches_the_store_is_cut_off():
    peer = PeerState('p1', 'here', FRESH)
    assert make_reachability(peer).is_cut_off(NOW, LOST)


def test_a_store_outage_for_all_hosts_cuts_none_off():
    peers = (
        PeerState('p1', 'here', LOST),
        PeerState('p2', 'there', LOST),
        PeerState('p3', 'there', None),
    )
    assert not make_reachability(*peers).is_cut_off(NOW, LOST)


def test_a_host_without_responses_of_other_domains_is_cut_off():
    assert make_reachability(PeerState('p1', 'here', LOST)).is_cut_off(
        NOW, LOST
    )


def test_a_host_without_peers_in_other_domains_is_not_cut_off():
    reachability = Reachability('here')
    reachability.record_query(['here'], NOW - timedelta(seconds=10))
    assert not reachability.is_cut_off(NOW, LOST)


def test_outdated_responses_are_ignored():
    reachability = make_reachability(PeerState('p1', 'there', FRESH))
    later = NOW + timedelta(seconds=5)
    assert reachability.is_cut_off(later, LOST + timedelta(seconds=5))
    reachability.record_state(PeerState('p1', 'there', LOST), later)
    assert not reachability.is_cut_off(later, LOST)
