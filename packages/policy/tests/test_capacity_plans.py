"""Tests of the planner of engines, on drawn demand and on single events."""

import random
from datetime import timedelta

import pytest
from attrs import define, evolve, field
from capacity_simulation import (
    DOMAINS,
    DUE,
    RUNS,
    SCALING,
    Scenario,
    Simulation,
    make_scenarios,
    make_start,
    run_planner,
)
from hypothesis import given, settings
from hypothesis import strategies as st
from sequoia_policy.capacity_demands import StepView
from sequoia_policy.capacity_plans import CapacityPlanner
from sequoia_policy.capacity_pools import CapacityView, Pool, Reason

REGULAR = [Pool(domain) for domain in DOMAINS]
INTERVAL = timedelta(milliseconds=500)


@define(eq=False)
class Watch:
    """A planner that is shown what a test says."""

    planner: CapacityPlanner = field(factory=lambda: CapacityPlanner(SCALING))
    now: timedelta = timedelta(seconds=100)
    counts: dict = field(factory=lambda: dict.fromkeys(REGULAR, 5))
    leaving: dict = field(factory=dict)
    steps: tuple = ()
    orders: list = field(factory=list)
    unavailable: set = field(factory=set)
    unanswered: set = field(factory=set)
    executes: bool = False

    def run(self, seconds, *, plans=True):
        """Return the orders that were made within some seconds."""
        before = len(self.orders)
        end = self.now + timedelta(seconds=seconds)
        while self.now < end:
            self.now += INTERVAL
            view = CapacityView(
                self.now, dict(self.counts), dict(self.leaving), self.steps
            )
            self.planner.observe(view)
            order = self.planner.plan(view) if plans else None
            if order:
                self.answer(order)
        return self.orders[before:]

    def answer(self, order):
        self.orders.append(order)
        if order.pool in self.unavailable:
            self.planner.record_unavailable(order, self.now)
            return
        plan = self.planner.pools[order.pool]
        if order.pool in self.unanswered:
            plan.record_unknown(self.now)
            return
        plan.record_order(order, self.now, SCALING.boot)
        if self.executes:
            self.counts[order.pool] = order.count

    def show_steps(self, share, count=3):
        """Show open steps that have taken a share of their time."""
        due = timedelta(seconds=DUE)
        self.steps = tuple(
            StepView(f'l{number}', 100, due * share, due)
            for number in range(count)
        )


# Scenario, most that the planner may cost beside one that knows the demand, and
# most steps that may be late.
LIMITS = [
    ('steady', 1.2, 0),
    ('wave', 5, 6),
    ('step', 6, 5),
    ('night', 2.5, 4),
    ('reclaimed', 1.3, 0),
    ('lost', 1.5, 2),
    ('crashes', 1.3, 0),
]


@pytest.mark.parametrize(('name', 'ratio', 'late'), LIMITS)
def test_planner_is_better_than_a_fixed_number_and_near_an_informed_one(
    name, ratio, late
):
    """Guards against late steps, and engines that nothing needs."""
    runs = {way: run(make_scenarios(0)[name], 0) for way, run in RUNS.items()}
    planner = runs['planner']
    assert planner.late_steps <= late
    assert planner.cost <= runs['informed'].cost * ratio
    assert planner.cost <= runs['fixed'].cost * 1.1


def test_holders_that_change_often_order_no_more_than_one_does():
    """Guards against a holder that takes engines which start for missing."""
    scenario = make_scenarios(0)['lost']
    killed = run_planner(scenario, 0, kill_at=(101, 115, 130, 150))
    assert killed.most_running <= 21


@settings(max_examples=12, deadline=None)
@given(st.integers(0, 10**6), st.integers(2, 9))
def test_crashes_and_reclaims_without_need_add_no_engine(seed, regular):
    """Guards against orders of engines that come back by themselves."""
    rng = random.Random(seed)
    scenario = Scenario(
        60,
        lambda _time: regular * 8,
        make_start(regular, rng.randrange(2)),
        (),
        rng.choice((0.001, 0.003, 0.01)),
    )
    simulation = run_planner(scenario, seed, kill_at=(30,))
    assert simulation.most_running <= sum(scenario.start.values())


def test_nothing_is_ordered_while_a_new_holder_watches():
    """Guards against orders by a host that does not know what starts."""
    watch = Watch()
    watch.show_steps(2)
    watch.counts = dict.fromkeys(REGULAR, 0)
    assert not watch.run(9.5)


def test_engine_that_restarts_is_not_replaced():
    watch = Watch()
    watch.run(20)
    watch.counts[REGULAR[0]] = 4
    assert not watch.run(5)
    watch.counts[REGULAR[0]] = 5
    assert not watch.run(10)


def test_engine_that_is_lost_is_ordered_as_the_same_number():
    """The sum of running and missing engines would count it twice."""
    watch = Watch()
    watch.run(20)
    watch.counts[REGULAR[0]] = 3
    orders = watch.run(9)
    assert [(order.pool, order.count) for order in orders] == [(REGULAR[0], 5)]
    assert orders[0].reason is Reason.REPLACED


def test_missing_engines_are_ordered_elsewhere_if_none_are_available():
    watch = Watch(unavailable={REGULAR[0]}, executes=True)
    watch.run(20)
    watch.counts[REGULAR[0]] = 0
    watch.run(30)
    assert sum(watch.counts.values()) == 14  # the fewest stay wanted there
    watch.unavailable = set()
    watch.counts[REGULAR[0]] = 3  # some come back by themselves
    watch.run(60)
    assert sum(watch.counts.values()) == 17


def test_two_failure_domains_are_replaced_by_the_one_that_remains():
    watch = Watch(unavailable=set(REGULAR[:2]), executes=True)
    watch.run(20)
    watch.counts.update(dict.fromkeys(REGULAR[:2], 0))
    watch.run(60)
    assert watch.counts[REGULAR[2]] == SCALING.max_count


def test_holder_that_saw_a_loss_before_its_time_replaces_it():
    """The loss of a failure domain may take the holder with it."""
    watch = Watch(executes=True)
    watch.run(20, plans=False)
    watch.counts[REGULAR[0]] = 0
    watch.run(12, plans=False)
    orders = watch.run(20)
    assert (REGULAR[0], 5) in [(order.pool, order.count) for order in orders]
    assert sum(watch.counts.values()) == 15


def test_engines_replaced_by_the_holder_before_are_not_ordered_again():
    """What ran before the loss and what replaced it are not added up."""
    watch = Watch()
    watch.run(20, plans=False)
    watch.counts = {REGULAR[0]: 0, REGULAR[1]: 8, REGULAR[2]: 6}
    watch.run(20, plans=False)
    assert not watch.run(30)


def test_failure_domain_without_listed_engines_is_filled_only_after_a_minute():
    """Its engines may run unlisted, and a small number would end them."""
    watch = Watch(executes=True)
    watch.counts = {REGULAR[0]: 5, REGULAR[1]: 5}
    assert not watch.run(59)
    orders = watch.run(5)
    assert [(order.pool, order.count) for order in orders] == [(REGULAR[2], 1)]


def test_engines_given_up_are_not_ordered_in_a_smaller_number():
    """The smaller number would end engines that run unlisted."""
    watch = Watch(executes=True)
    watch.run(20)
    watch.executes = False
    watch.counts[REGULAR[0]] = 0
    watch.run(120)
    counts = [one.count for one in watch.orders if one.pool == REGULAR[0]]
    assert counts
    assert min(counts) >= 5


def test_holder_watches_for_as_long_as_engines_take_to_start():
    scaling = evolve(SCALING, boot=timedelta(seconds=30))
    watch = Watch(CapacityPlanner(scaling))
    watch.run(5)
    watch.counts[REGULAR[0]] = 4
    assert not watch.run(26)
    assert watch.run(5)


def test_list_that_was_away_shows_no_loss():
    """After an outage of the store targets register one after another."""
    watch = Watch()
    watch.run(30)
    watch.now += timedelta(seconds=20)
    watch.counts = dict.fromkeys(REGULAR, 1)
    assert not watch.run(5)
    watch.counts = dict.fromkeys(REGULAR, 5)
    assert not watch.run(20)


def test_reclaimed_engines_are_replaced_at_once_elsewhere():
    watch = Watch(executes=True)
    spare = Pool('z1', reclaimable=True)
    watch.counts[spare] = 2
    watch.run(20)
    watch.counts[spare] = 0
    watch.leaving[spare] = 2
    orders = watch.run(1)
    assert orders[0].pool in REGULAR
    watch.leaving = {}
    watch.run(30)
    assert sum(watch.counts.values()) == 17


def test_steps_that_are_in_time_add_nothing():
    """Long texts fill most of the time of a step with any number of engines."""
    watch = Watch()
    watch.run(20)
    watch.show_steps(0.85)
    assert not watch.run(60)


def test_slow_steps_add_reclaimable_engines_and_late_ones_regular_ones():
    watch = Watch()
    watch.run(20)
    watch.show_steps(0.97)
    assert {order.pool.reclaimable for order in watch.run(3)} == {True}
    watch.show_steps(1.1)
    added = watch.run(3)
    assert added
    assert not any(order.pool.reclaimable for order in added)
    assert watch.planner.wanted == 24  # of 16, for 0.75 instead of 1.1


def test_one_slow_step_adds_nothing():
    watch = Watch()
    watch.run(20)
    watch.show_steps(0.95, count=1)
    assert not watch.run(20)


def test_steps_that_nobody_ends_add_nothing():
    """Guards against callers that do not end their steps."""
    watch = Watch()
    watch.run(20)
    watch.show_steps(4)
    assert not watch.run(20)
    abandoned = watch.steps
    watch.show_steps(0.95)
    watch.steps += tuple(evolve(one, id=f'{one.id}x') for one in abandoned)
    assert not watch.run(20)


def test_additions_never_exceed_the_upper_bound():
    watch = Watch(executes=True)
    watch.run(20)
    watch.show_steps(2)
    watch.run(400)
    assert sum(watch.counts.values()) <= 3 * SCALING.max_count


def test_engines_are_given_back_only_after_long_idleness():
    watch = Watch(executes=True)
    assert not watch.run(180)
    watch.run(20)
    assert sum(watch.counts.values()) == 14
    watch.run(1000)
    assert sum(watch.counts.values()) == 3 * SCALING.min_count


def test_engines_return_with_the_first_step_after_a_quiet_night():
    watch = Watch(executes=True)
    watch.run(1200)
    watch.show_steps(0.1, count=1)
    watch.run(3)
    assert sum(watch.counts.values()) == 15


def test_engines_that_live_routes_use_are_not_given_back():
    watch = Watch(CapacityPlanner(SCALING, may_reduce=False))
    assert not watch.run(1000)


def test_lower_bounds_reduce_and_higher_ones_add():
    watch = Watch(executes=True)
    watch.counts[Pool('z1', reclaimable=True)] = 2
    watch.run(20)
    watch.planner.scaling = evolve(SCALING, min_count=4, max_count=4)
    watch.run(10)
    assert watch.counts == {
        **dict.fromkeys(REGULAR, 4),
        Pool('z1', reclaimable=True): 0,
    }
    watch.planner.scaling = evolve(SCALING, min_count=6, max_count=6)
    watch.run(10)
    assert all(watch.counts[pool] == 6 for pool in REGULAR)


def test_order_without_response_is_repeated_later_with_the_newest_number():
    """It may still be carried out, after a newer one."""
    watch = Watch(unanswered=set(REGULAR))
    watch.run(20)
    watch.show_steps(0.95)
    first = watch.run(4)
    assert len(first) == len({order.pool for order in first})
    watch.unanswered = set()
    watch.run(5)
    numbers = {order.pool: order.count for order in watch.orders}
    assert sum(numbers.get(pool, 5) for pool in REGULAR) == watch.planner.wanted


def test_simulated_platform_starts_no_engine_by_itself():
    """Guards against a simulation in which a fixed number changes."""
    simulation = Simulation(make_scenarios(0)['steady'], random.Random(0))
    while simulation.now < 25:
        simulation.advance()
    assert len(simulation.engines) == 18
