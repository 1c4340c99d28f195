"""Tests of which client account a request belongs to."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.accounts import (
    MAX_ATTEMPT_AGE,
    Account,
    ConfigurationAge,
    check_age,
    check_known,
    find_shared_keys,
    is_well_formed,
)
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.preconditions import MAX_CONFIGURATION_AGE
from sequoia_policy.routing import Configuration, Route, RouteKind, Share

FRESH = ConfigurationAge(timedelta(milliseconds=500))
OLD = timedelta(seconds=30)
keys = st.text('abc', min_size=1, max_size=3)
names = st.sampled_from(('small', 'large', 'other'))
accounts = st.lists(
    st.builds(Account, names, st.lists(keys, max_size=4).map(tuple)),
    max_size=4,
)


@given(accounts, keys)
def test_a_key_belongs_to_the_first_account_that_lists_it(listed, key):
    """Two accounts with one key must not take turns."""
    configuration = Configuration(1, accounts=tuple(listed))
    holders = [account for account in listed if key in account.keys]
    expected = holders[0] if holders else None
    assert configuration.find_account(key) is expected


@given(accounts)
def test_keys_of_two_accounts_are_named(listed):
    """An operator must see that the second account cannot use its key."""
    shared = find_shared_keys(listed)
    seen = {}
    expected = []
    for account in listed:
        for key in account.keys:
            first = seen.setdefault(key, account)
            if first is not account:
                expected.append((first.name, account.name))
    assert [(pair.first, pair.second) for pair in shared] == expected


@pytest.mark.parametrize('key', ['', 'k' * 201, 'schlüssel', '\x80'], ids=repr)
def test_a_text_that_is_no_key_belongs_to_nobody(key):
    assert not is_well_formed(key)


def test_an_unknown_key_is_denied_only_by_a_confirmed_configuration():
    """A newer version may have added the key; callers take 401 for final."""
    stale = ConfigurationAge(MAX_CONFIGURATION_AGE * 2)
    for age, code in ((FRESH, Code.UNKNOWN_CALLER), (stale, Code.NOT_READY)):
        with pytest.raises(ServiceError) as refusal:
            check_known(None, age)
        assert refusal.value.code is code


@pytest.mark.parametrize(
    'age',
    [
        ConfigurationAge(None),
        ConfigurationAge(OLD),
        ConfigurationAge(OLD, OLD),
    ],
    ids=['never read', 'no read failed', 'no read since a pause'],
)
def test_a_host_that_has_not_tried_to_read_accepts_no_key(age):
    """A host that wakes from a pause served keys that were taken away."""
    with pytest.raises(ServiceError) as refusal:
        check_age(age, None)
    assert refusal.value.code is Code.NOT_READY


def test_a_host_without_the_store_serves_the_keys_that_it_knows():
    """Each failure domain has to serve on alone."""
    check_age(ConfigurationAge(OLD, MAX_ATTEMPT_AGE / 2), None)


def test_a_strict_host_without_the_store_serves_no_key():
    """A key may have been taken away since."""
    with pytest.raises(ServiceError):
        check_age(
            ConfigurationAge(OLD, timedelta(seconds=1)), timedelta(seconds=5)
        )


def test_no_accounts_differ_from_an_empty_list_of_accounts():
    """An operator who removes the last account must not open the service."""
    assert Configuration(1).accounts is None
    assert Configuration(1, accounts=()).accounts == ()


def test_keys_are_not_shown():
    """Accounts may be logged as part of a configuration."""
    account = Account('small', ('secret-key',))
    assert 'secret-key' not in repr(account)
    assert 'secret-key' not in repr(Configuration(1, accounts=(account,)))


def test_public_submissions_are_found_by_kind():
    shares = (Share('s', 1),)
    limit = timedelta(seconds=1)
    closed = Route('r', 'h', '/p/', RouteKind.ROLLOUT, shares, limit)
    live = Route(
        'l', 'h', '/l/', RouteKind.IDEMPOTENT, shares, limit, public=True
    )
    public = Route(
        'o', 'h', '/o/', RouteKind.ROLLOUT, shares, limit, public=True
    )
    assert not Configuration(1, (closed, live)).has_public_submissions
    assert Configuration(1, (closed, public)).has_public_submissions
