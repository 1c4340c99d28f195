"""Tests of paths and deadlines of live calls."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.messages import RequestHead, encode_headers
from sequoiashed.live import check_path, read_deadline

MAX_DURATION = timedelta(seconds=10)


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
def test_path_reserved_for_orders_is_refused(path):
    with pytest.raises(ServiceError) as raised:
        check_path(path)
    assert raised.value.code is Code.UNKNOWN_PATH


@pytest.mark.parametrize('path', ['/', '/jobs', '/jobs/orders', '/reorders'])
def test_path_outside_orders_is_accepted(path):
    check_path(path)


@given(st.text(max_size=40))
def test_any_path_is_accepted_or_refused_as_unknown(path):
    try:
        check_path(path)
    except ServiceError as error:
        assert error.code is Code.UNKNOWN_PATH


def make_head(deadline):
    headers = encode_headers({'sequoia-deadline': deadline})
    return RequestHead('POST', '/', headers)


def test_requested_deadline_is_capped_at_the_maximum():
    assert read_deadline(make_head('2s'), MAX_DURATION) == timedelta(seconds=2)
    assert read_deadline(make_head('1h'), MAX_DURATION) == MAX_DURATION
    assert read_deadline(RequestHead('POST', '/'), MAX_DURATION) == MAX_DURATION


def test_malformed_deadline_is_refused():
    with pytest.raises(ServiceError) as raised:
        read_deadline(make_head('soon'), MAX_DURATION)
    assert raised.value.code is Code.BAD_REQUEST
