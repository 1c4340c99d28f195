"""Tests of the assignment of targets to watching hosts."""

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.watches import WATCHERS_PER_TARGET, WatchList

names = st.lists(st.text('abc', min_size=1), unique=True, max_size=12)


@given(names, names)
def test_each_target_is_watched_by_two_hosts_or_by_all_if_fewer(hosts, targets):
    lists = [
        WatchList(host).update(tuple(hosts), tuple(targets)) for host in hosts
    ]
    for target in targets:
        watchers = sum(target in watched for watched in lists)
        assert watchers == min(WATCHERS_PER_TARGET, len(hosts))


@given(names, names, names)
def test_an_updated_list_equals_a_new_one(hosts, others, targets):
    watches = WatchList('this-host')
    watches.update(('this-host', *hosts), tuple(targets))
    changed = watches.update(('this-host', *others), tuple(targets))
    fresh = WatchList('this-host').update(
        ('this-host', *others), tuple(targets)
    )
    assert changed == fresh
