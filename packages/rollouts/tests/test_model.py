"""Hosts act on what they know, whatever is lost: a search for broken promises.

``make model EXAMPLES=N`` searches longer and prints what it met.
"""

import os
import sys
from collections import Counter
from contextlib import contextmanager
from datetime import timedelta
from unittest import mock

import curio
import pytest
from attrs import evolve
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from ownership_model import BrokenPromiseError, OwnershipModel
from sequoia_policy import preconditions
from sequoia_policy.accounts import ConfigurationAge
from sequoia_policy.store_clocks import StoreClock
from sequoia_policy.true_clocks import TrueClock
from sequoia_policy.usage_counts import sum_counts
from sequoia_rollouts.storage import stores
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.fleet.duty_holders import DutyHolder
from sequoia_rollouts.usage.reporters import UsageReporter
from sequoia_rollouts.usage.usage_rows import decode_counts

EXAMPLES = int(os.environ.get('EXAMPLES', '12'))
IS_LONG = 'EXAMPLES' in os.environ  # a search by hand draws other examples
SUBMISSIONS = 3  # that a caller sends at once, to different owners
FAULT_EXAMPLES = 150  # within which a planted fault is found
STEPS = 16
START = timedelta(seconds=3)
hosts = st.integers(0, 3)
seconds = st.sampled_from((0.3, 1.0, 4.0, 8.0))
TOTALS = Counter()


class OwnershipMachine(RuleBasedStateMachine):
    """Disrupts the hosts of a model while callers submit and end work."""

    def __init__(self):
        super().__init__()
        self.is_broken = False
        self.kernel = None

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        TOTALS['examples'] += 1
        self.kernel = curio.Kernel()
        self.model = OwnershipModel(seed)
        self.do(self.model.run(START))

    def do(self, coroutine):
        try:
            self.kernel.run(coroutine)
        except BrokenPromiseError:
            self.is_broken = True
            raise

    def host(self, number):
        return list(self.model.hosts.values())[number]

    @rule(number=hosts, new_route=st.booleans())
    def submit(self, number, new_route):
        routes = sorted(self.model.routes[self.model.configuration])
        route = routes[-1 if new_route else 0]
        for host in [self.host(number)] * SUBMISSIONS:
            self.do(self.model.accept(host, route))

    @rule(number=hosts)
    def submit_after_restart_without_clock(self, number):
        """The answers to the first reads of the leases are lost."""
        host = self.host(number)
        self.model.start(host.name)
        host = self.host(number)
        host.configuration = self.model.configuration
        self.model.disturb('restarted', [host])
        self.model.store.to_lose = 1
        self.do(self.model.accept(host, 'r0'))

    @rule(pause=seconds)
    def end_all(self, pause):
        for work in self.model.work.values():
            if work.ended_at is None:
                self.do(self.model.end(work))
        self.do(self.model.run(timedelta(seconds=pause)))

    @rule(number=hosts, blind=hosts)
    def add_route_and_submit(self, number, blind):
        """One host does not get the configuration for two seconds."""
        host = self.host(blind)
        host.blind_until = self.model.clock.now + timedelta(seconds=2)
        self.model.disturb('blind', [host])
        self.add_route()
        self.do(self.model.run(timedelta(seconds=0.3)))
        self.submit(number, new_route=True)
        self.do(self.model.run(timedelta(seconds=1)))

    @rule()
    def add_route(self):
        model = self.model
        routes = model.routes[model.configuration]
        version = model.configuration + 2
        model.routes[version - 1] = routes
        model.routes[version] = routes | {f'r{version}'}

    @rule()
    def remove_route(self):
        model = self.model
        routes = sorted(model.routes[model.configuration])
        model.routes[model.configuration + 1] = frozenset(routes[:-1] or routes)

    @rule()
    def take_key(self):
        self.model.take_key()

    @rule(number=hosts, length=seconds)
    def take_key_while_frozen(self, number, length):
        """The host answers callers before it reads the store again."""
        host = self.host(number)
        host.paused_until = self.model.clock.now + timedelta(seconds=length)
        self.model.take_key()
        self.do(self.model.run(timedelta(seconds=length)))
        self.model.disturb('frozen', [host])

    @rule(length=seconds)
    def cut_owner_from_store(self, length):
        """Hosts that do something are met first."""
        model = self.model
        busiest = max(model.hosts.values(), key=lambda host: len(host.running))
        self.cut_from_store(list(model.hosts.values()).index(busiest), length)

    @rule(length=seconds)
    def end_after_cut_of_owner(self, length):
        self.cut_owner_from_store(length)
        self.end_all(pause=8.0)

    @rule(number=hosts, length=seconds)
    def cut_from_store(self, number, length):
        host = self.host(number)
        host.store.is_cut = True
        self.do(self.model.run(timedelta(seconds=length)))
        host.store.is_cut = False
        self.model.disturb('cut', [host])
        self.do(self.model.run(timedelta(seconds=0.2)))

    @rule(number=hosts, length=seconds)
    def freeze(self, number, length):
        host = self.host(number)
        host.paused_until = self.model.clock.now + timedelta(seconds=length)
        self.do(self.model.run(timedelta(seconds=length)))
        self.model.disturb('frozen', [host])

    @rule(number=hosts)
    def kill(self, number):
        self.model.start(self.host(number).name)
        self.model.disturb('killed', [self.host(number)])
        self.do(self.model.run(timedelta(seconds=0.3)))

    @rule(count=st.integers(1, 40))
    def lose_answers(self, count):
        self.model.store.to_lose = count
        self.do(self.model.run(timedelta(seconds=0.5)))
        self.model.store.to_lose = 0
        self.model.disturb('answers lost', self.model.hosts.values())

    @rule(is_lost=st.booleans())
    def hand_over_duty(self, is_lost):
        """A holder is stopped; the next one's answer may be lost."""
        for host in tuple(self.model.hosts.values()):
            owned = host.table.duties.get(host.manager.duty.name)
            if owned and owned.owner == host.heartbeats.owner:
                self.do(self.hand_over(host, is_lost=is_lost))

    @rule(length=seconds, is_lost=st.booleans())
    def kill_reporter_after_row(self, length, is_lost):
        """The API fails or carries calls out without a response meanwhile."""
        model = self.model
        model.api.is_down = not is_lost
        model.api.to_lose = 100 if is_lost else 0
        self.do(model.run(timedelta(seconds=length)))
        for host in tuple(model.hosts.values()):
            if host.reporter.duty.may_act_now():
                self.kill(list(model.hosts).index(host.name))
        model.api.is_down = False
        model.api.to_lose = 0

    @rule(step=st.sampled_from((-3600, -2, 2, 3600)))
    def step_wall_clock(self, step):
        """It is always the same host, as a majority has to be right."""
        host = self.host(0)
        host.own_clock.error = timedelta(seconds=step)
        self.model.disturb('wall clock stepped', [])

    async def hand_over(self, host, *, is_lost):
        own = host.heartbeats.own
        own.heartbeat = evolve(own.heartbeat, draining=True)
        await host.manager.duty.release()
        self.model.store.loses_duty = is_lost
        await self.model.run(timedelta(seconds=2))
        self.model.store.loses_duty = False
        self.model.start(host.name)
        self.model.disturb('handed over', self.model.hosts.values())

    @rule(length=seconds)
    def wait(self, length):
        self.do(self.model.run(timedelta(seconds=length)))

    def teardown(self):
        if self.kernel is None:
            return
        try:
            if not self.is_broken:
                self.do(self.model.settle())
        finally:
            TOTALS.update(self.model.counts)
            self.kernel.run(shutdown=True)


@contextmanager
def without_pauses():
    """Let commits be tried again at once, as the clock is modelled."""
    zero = timedelta()
    with mock.patch.multiple(stores, MIN_BACKOFF=zero, MAX_BACKOFF=zero):
        yield


def report(*lines):
    """Print what a search met, if its output is shown."""
    sys.stdout.writelines(f'{line}\n' for line in lines)


def search(examples):
    profile = settings(
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        derandomize=not IS_LONG,
        database=None,
        phases=[Phase.generate],
    )
    with without_pauses():
        run_state_machine_as_test(OwnershipMachine, settings=profile)


def test_hosts_keep_their_promises_in_every_order_of_events():
    """Never dead early, lost, run after an end, or ordered by two."""
    TOTALS.clear()
    search(EXAMPLES)
    report(*(f'{name}: {count}' for name, count in sorted(TOTALS.items())))
    assert TOTALS['sent'] > 0
    assert TOTALS['orders'] > 0
    assert TOTALS['accepted'] > 0
    assert TOTALS['keys accepted'] > 0
    assert TOTALS['keys denied'] > 0
    assert TOTALS['reports'] > 0
    assert TOTALS['windows checked'] > 0


def acquire_after_answer(holder):
    """Set the wait only once the write was answered, as it was before."""

    async def acquire(self, owned):
        version = owned.version if owned else 0
        if not await self._write(version, self.ownership.heartbeats.owner):
            return
        self.earliest_act_at = self._find_earliest_act(owned)

    return acquire


def read_unknown_as_own(store_clock):
    """Take the host's own clock for that of the store, as it was before."""
    return store_clock.clock.elapsed() + (store_clock.offset or timedelta())


def read_own_wall(true_clock, time):
    """Take the wall clock of the host for true time."""
    return true_clock._read_wall() + time


async def send_without_row(reporter, plan, window, owned):
    """Send the sum of the rows without storing it before."""
    rows = await reporter._read_counts(window)
    plan.record_stored(window, sum_counts(decode_counts(rows)))


FAULTS = {
    'report without a row': mock.patch.object(
        UsageReporter, '_store', send_without_row
    ),
    'window by the own wall clock': mock.patch.object(
        TrueClock, 'convert', read_own_wall
    ),
    'older configuration': mock.patch.object(
        preconditions, 'may_judge_route', lambda *versions: True
    ),
    'key after a pause': mock.patch.object(ConfigurationAge, 'is_usable', True),
    'unknown clock': mock.patch.object(StoreClock, 'now', read_unknown_as_own),
    'wait after the answer': mock.patch.object(
        DutyHolder, '_acquire', acquire_after_answer(DutyHolder)
    ),
    'table followed by coordinators only': mock.patch.multiple(
        OwnershipTable,
        is_needed=lambda table: table.heartbeats.is_coordinator,
        is_confirmed=lambda table: True,
    ),
}


@pytest.mark.parametrize('fault', FAULTS)
def test_search_finds_a_fix_that_was_taken_back(fault):
    """The model would have shown the faults of the review."""
    TOTALS.clear()
    with FAULTS[fault], pytest.raises(BrokenPromiseError):
        search(FAULT_EXAMPLES)
    report(f'{fault}: found after {TOTALS["examples"]} examples')
