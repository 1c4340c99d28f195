"""Tests that work at large fleets visits few targets and spreads over few."""

import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.loads import EngineState, ModelNeed, plan_loads
from sequoia_policy.registries import Registration, TargetRegistry
from sequoia_policy.subsets import (
    MAX_COMPARED,
    MIN_SUBSET,
    find_free,
    find_search_pause,
    find_subset_size,
)

NOW = timedelta(seconds=10)
SLOTS = 6


def make_registry(count):
    registry = TargetRegistry()
    for number in range(count):
        registry.register(
            Registration(f't{number}', 'pool', '10.0.0.1:80', 'z1', SLOTS)
        )
    return registry


class Visits:
    """Counts the targets that a search visits."""

    def __init__(self, condition):
        self.condition = condition
        self.count = 0

    def is_free(self, target):
        self.count += 1
        return self.condition(target)


def has_free_slot(target):
    return target.running < SLOTS


@pytest.mark.parametrize('count', [10, 600, 2400])
def test_items_are_placed_with_few_visits_at_few_targets(count):
    """A step of 500 items runs at once."""
    ranked = make_registry(count).rank('pool', 'model')
    visits = Visits(has_free_slot)
    rng = random.Random(1)
    placed = 0
    while placed < 500:
        size = find_subset_size(placed, SLOTS)
        free = find_free(ranked, visits.is_free, size, rng)
        if not free:
            break
        min(free, key=lambda target: target.running).running += 1
        placed += 1
    used = sum(target.running > 0 for target in ranked)
    assert placed == min(500, count * SLOTS)
    assert visits.count <= placed * 2 * MAX_COMPARED
    assert used <= find_subset_size(placed, SLOTS)


@given(st.integers(0, 300), st.sets(st.integers(0, 299)), st.integers(1, 300))
def test_a_free_target_is_found_wherever_it_is(count, free_numbers, size):
    ranked = make_registry(count).rank('pool', 'model')
    names = {f't{number}' for number in free_numbers}
    free = find_free(
        ranked, lambda target: target.name in names, size, random.Random(1)
    )
    known = {target.name for target in ranked} & names
    assert {target.name for target in free} <= known
    assert bool(free) == bool(known)


def test_small_fleets_are_considered_whole():
    ranked = make_registry(MIN_SUBSET).rank('pool', 'model')
    free = find_free(ranked, has_free_slot, MIN_SUBSET, random.Random(1))
    assert free == list(ranked)
    assert find_search_pause(MIN_SUBSET) == timedelta()


def test_fruitless_searches_leave_most_time_to_other_work():
    """A visit takes a few microseconds."""
    assert find_search_pause(2400) >= 2400 * timedelta(microseconds=50)
    assert find_search_pause(2400) < timedelta(milliseconds=200)


def test_ranking_follows_registrations_and_moves_no_other_target():
    registry = make_registry(100)
    before = [target.name for target in registry.rank('pool', 'model')]
    registry.remove('t7', NOW, timedelta())
    without = [target.name for target in registry.rank('pool', 'model')]
    assert without == [name for name in before if name != 't7']
    registry.register(
        Registration('t7', 'pool', '10.0.0.1:80', 'z1', SLOTS, started_at=5)
    )
    assert [target.name for target in registry.rank('pool', 'model')] == before
    assert (
        registry.rank('pool', 'model')[before.index('t7')]
        is (registry.targets['t7'])
    )


def test_target_that_starts_again_for_another_service_leaves_the_first():
    registry = make_registry(3)
    registry.register(Registration('t1', 'other', '10.0.0.1:80', 'z1'))
    assert [target.name for target in registry.find('pool')] == ['t0', 't2']
    assert [target.name for target in registry.find('other')] == ['t1']


def test_versions_are_loaded_by_the_engines_that_items_prefer():
    """Nine versions of a model that needs a tenth of the engines."""
    names = [f'e{number}' for number in range(300)]
    versions = dict.fromkeys(names, 1)
    loaded = set()
    for version in range(2, 11):
        need = ModelNeed('m', version, 0, timedelta(), items=90)
        engines = [
            EngineState(name, (versions[name],), SLOTS, positions=(position,))
            for position, name in enumerate(names)
        ]
        for load in plan_loads(engines, [need], 0):
            versions[load.engine] = version
            loaded.add(load.engine)
    assert loaded == set(names[:30])
