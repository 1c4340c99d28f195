"""Tests of the choice of peers that serve requests of a host without targets."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.peer_choices import AVOID_FOR, PeerChoice

START = timedelta(seconds=10)
PEERS = ('a', 'b', 'c', 'd')


@given(st.sets(st.sampled_from(PEERS)), st.integers(0, 5), st.integers())
def test_peers_that_did_not_serve_a_request_come_last(failed, count, seed):
    """Requests went to the hosts that were cut off with this one first."""
    choice = PeerChoice()
    for peer in failed:
        choice.record_failure(peer, START)
    chosen = choice.choose(PEERS, count, START, random.Random(seed))
    assert len(set(chosen)) == len(chosen) == min(count, len(PEERS))
    good = [peer for peer in chosen if peer not in failed]
    assert chosen[: len(good)] == good
    assert len(good) == min(count, len(PEERS) - len(failed))


def test_peer_is_an_equal_again_after_a_while_or_a_success():
    choice = PeerChoice()
    for peer in 'ab':
        choice.record_failure(peer, START)
    choice.record_success('a')
    rng = random.Random(1)
    choose = [choice.choose('abc', 2, START, rng) for _ in range(20)]
    assert all('b' not in chosen for chosen in choose)
    later = START + AVOID_FOR
    choose = [choice.choose('abc', 2, later, rng) for _ in range(20)]
    assert any('b' in chosen for chosen in choose)
