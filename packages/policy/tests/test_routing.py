"""Tests of how a request finds its route."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.routing import Configuration, Route, RouteKind, Share

SECOND = timedelta(seconds=1)


def make(prefix, host='a.example', shares=(Share('s', 1),)):
    return Route(
        prefix, host, prefix, RouteKind.IDEMPOTENT, tuple(shares), SECOND
    )


def test_the_longest_prefix_of_the_host_wins():
    routes = (make('/a/'), make('/a/b/'), make('/a/b/c/', host='b.example'))
    configuration = Configuration(1, routes)
    assert configuration.find_route('a.example', '/a/b/c/d').prefix == '/a/b/'
    assert configuration.find_route('A.EXAMPLE', '/a/x').prefix == '/a/'
    assert configuration.find_route('a.example', '/ab') is None
    assert configuration.find_route('c.example', '/a/x') is None


def test_a_path_needs_the_whole_prefix():
    configuration = Configuration(1, (make('/a/'),))
    assert configuration.find_route('a.example', '/a') is None


@given(st.lists(st.integers(0, 9), min_size=1, max_size=5), st.integers())
def test_no_request_goes_to_a_share_without_weight(weights, seed):
    if not any(weights):
        weights = [*weights, 1]
    shares = [Share(f's{at}', weight) for at, weight in enumerate(weights)]
    chosen = make('/', shares=shares).choose_service(random.Random(seed))
    assert weights[int(chosen[1:])] > 0
