"""Tests of route lookup and service selection."""

import random
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.routing import Configuration, Route, RouteKind, Share

SECOND = timedelta(seconds=1)


def make_route(prefix, host='a.example', shares=(Share('s', 1),)):
    return Route(
        prefix, host, prefix, RouteKind.IDEMPOTENT, tuple(shares), SECOND
    )


def test_route_with_the_longest_prefix_of_the_host_is_found():
    routes = (
        make_route('/a/'),
        make_route('/a/b/'),
        make_route('/a/b/c/', host='b.example'),
    )
    configuration = Configuration(1, routes)
    assert configuration.find_route('a.example', '/a/b/c/d').prefix == '/a/b/'
    assert configuration.find_route('A.EXAMPLE', '/a/x').prefix == '/a/'
    assert configuration.find_route('a.example', '/ab') is None
    assert configuration.find_route('c.example', '/a/x') is None


def test_path_without_the_trailing_slash_of_the_prefix_has_no_route():
    configuration = Configuration(1, (make_route('/a/'),))
    assert configuration.find_route('a.example', '/a') is None


@given(st.lists(st.integers(0, 9), min_size=1, max_size=5), st.integers())
def test_service_without_weight_is_never_chosen(weights, seed):
    if not any(weights):
        weights = [*weights, 1]
    shares = [
        Share(f's{index}', weight) for index, weight in enumerate(weights)
    ]
    chosen = make_route('/', shares=shares).choose_service(random.Random(seed))
    assert weights[int(chosen[1:])] > 0
