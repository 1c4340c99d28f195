"""Tests of importing KV caches."""

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.caches import CachedStream, is_import_worthwhile
from sequoia_policy.placements import Placement
from sequoia_policy.targets import Target

DOMAINS = ('bali', 'danshui', 'sanzhi')
targets = st.builds(
    Target,
    name=st.sampled_from('abc'),
    pool=st.just('pool'),
    domain=st.sampled_from(DOMAINS),
    address=st.just('127.0.0.1:1'),
)
placements = st.builds(
    Placement,
    label=st.just('label'),
    domains=st.frozensets(st.sampled_from(DOMAINS)),
)


@given(targets, targets, placements, st.integers(0, 99), st.integers(0, 99))
def test_cache_moves_only_between_domains_that_may_store_the_record(
    holder,
    target,
    placement,
    tokens,
    break_even,
):
    stream = CachedStream(holder, tokens)
    if is_import_worthwhile(stream, target, placement, break_even):
        assert holder.domain in placement.domains
        assert target.domain in placement.domains
        assert holder.name != target.name
        assert 0 < break_even <= tokens


def test_cache_is_imported_from_the_break_even_length():
    placement = Placement('label', frozenset(('bali',)))
    holder = Target('a', 'pool', 'bali', '127.0.0.1:1')
    target = Target('b', 'pool', 'bali', '127.0.0.1:2')
    stream = CachedStream(holder, 100)
    assert is_import_worthwhile(stream, target, placement, 100)
    assert not is_import_worthwhile(stream, target, placement, 101)
    assert not is_import_worthwhile(stream, target, placement, 0)
