"""Tests of the live path's own checks."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.messages import RequestHead, encode_headers
from sequoiashed.live import check_path, read_deadline

LONGEST = timedelta(seconds=10)


@pytest.mark.parametrize(
    'path',
    [
        '/orders',
        '/orders/',
        '/orders?x=1',
        '//orders',
        '/./orders',
        '/x/../orders',
        '/%6frders',
        '/%2e/ORDERS',
        '/orders/more',
    ],
)
def test_a_caller_cannot_give_orders(path):
    with pytest.raises(ServiceError) as refused:
        check_path(path)
    assert refused.value.code is Code.UNKNOWN_PATH


@pytest.mark.parametrize('path', ['/', '/jobs', '/jobs/orders', '/reorders'])
def test_other_paths_pass(path):
    check_path(path)


@given(st.text(max_size=40))
def test_no_path_makes_the_check_fail(path):
    try:
        check_path(path)
    except ServiceError as refused:
        assert refused.code is Code.UNKNOWN_PATH


def make_head(deadline):
    headers = encode_headers({'sequoia-deadline': deadline})
    return RequestHead('POST', '/', headers)


def test_a_caller_may_shorten_but_not_extend_its_time():
    assert read_deadline(make_head('2s'), LONGEST) == timedelta(seconds=2)
    assert read_deadline(make_head('1h'), LONGEST) == LONGEST
    assert read_deadline(RequestHead('POST', '/'), LONGEST) == LONGEST


def test_a_deadline_that_is_no_duration_is_refused():
    with pytest.raises(ServiceError) as refused:
        read_deadline(make_head('soon'), LONGEST)
    assert refused.value.code is Code.BAD_REQUEST
