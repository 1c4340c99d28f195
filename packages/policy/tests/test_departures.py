"""Tests of what is remembered of targets that said that they leave."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from sequoia_policy.announcements import (
    MAX_PROCESSES,
    AnnouncementTable,
    TargetProcess,
)
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import Registration, TargetRegistry

NOW = timedelta(seconds=100)
names = st.sampled_from(('a', 'b'))
births = st.integers(1, 3)
acts = st.tuples(
    st.sampled_from(('ready', 'draining', 'gone', 'lost', 'says')),
    names,
    births,
)


def register(name, born, *, leaving=False):
    return Registration(name, 's', f'{name}:1', 'z', 1, born, leaving)


@given(st.lists(acts, max_size=30))
def test_no_process_is_usable_once_it_has_said_that_it_leaves(steps):
    """Whatever registrations, removals and listings come in between."""
    registry = TargetRegistry()
    said = set()
    for act, name, born in steps:
        if act == 'says':
            process = TargetProcess(name, born)
            registry.announcements.find(process).record_leaving()
            said.add((name, born))
        elif act == 'gone':
            registry.remove(name, NOW, timedelta())
        elif act == 'lost':
            registry.replace_all([], NOW, timedelta(seconds=1))
        else:
            leaving = act == 'draining'
            registry.register(register(name, born, leaving=leaving))
        for target in registry.find_open('s', Urgency.LIVE, NOW):
            known = target.registration
            assert (known.name, known.started_at) not in said
        for target in registry.find('s'):
            known = target.registration
            expected = (known.name, known.started_at) in said
            assert target.is_leaving == (expected or known.leaving)


def test_memory_is_bounded_and_loses_the_oldest_first():
    """Processes that are gone are not told apart from silent ones."""
    table = AnnouncementTable()
    for number in range(MAX_PROCESSES + 1):
        assert table.find(TargetProcess(f't{number}', 1)).record_leaving()
    assert len(table.processes) == MAX_PROCESSES
    assert not table.find(TargetProcess('t1', 1)).record_leaving()
    assert table.find(TargetProcess('t0', 1)).record_leaving()
