"""A service under drawn demand, with engines that a platform starts and takes.

``python capacity_simulation.py`` prints cost and late steps of a fixed number, of
the planner, and of a planner that knows the demand.
"""

import math
import random
import sys
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.capacity_demands import StepView
from sequoia_policy.capacity_plans import CapacityPlanner
from sequoia_policy.capacity_pools import CapacityView, Pool
from sequoia_policy.routing import DomainPrice, Scaling

TICK = 0.25  # seconds
STEP_INTERVAL = 4.0
DUE = 7.5
BOOT = 4.0
WARM_UP = 0.9
RESTART = 5.0
SPEED = 4.0  # items per second of an engine
MIN_DURATION = 1.5  # of a step
GROUP = 8  # items
ENGINE_PRICE = 0.007
LATE_GROUP_PRICE = 2.5
NOTICE = 3.0
DOMAINS = ('z1', 'z2', 'z3')
SCALING = Scaling(
    1,
    10,
    timedelta(seconds=BOOT),
    0.22,
    (DomainPrice('z1', 0.85), DomainPrice('z2', 1), DomainPrice('z3', 1.2)),
)
PRICES = {entry.domain: entry.price for entry in SCALING.prices}


def find_price(pool):
    share = SCALING.reclaimable_price if pool.reclaimable else 1
    return PRICES[pool.domain] * share


@define(eq=False)
class SimulatedEngine:
    pool: Pool
    serves_at: float
    leaves_at: float = math.inf
    back_at: float = 0

    def serves(self, now):
        return now >= max(self.serves_at, self.back_at)


@define(eq=False)
class SimulatedStep:
    id: str
    begun: float
    items: int
    left: float
    ended: float | None = None


@frozen
class Outage:
    """All engines of a kind in a failure domain go at a time.

    Attributes:
        kinds: Whether reclaimable engines go, and whether regular ones do.
    """

    domain: str
    begin: float
    end: float
    kinds: tuple = (True,)

    def covers(self, pool, now):
        if not self.begin <= now < self.end:
            return False
        return pool.domain == self.domain and pool.reclaimable in self.kinds


@define
class Scenario:
    """Demand and faults.

    Attributes:
        find_items: Returns the items of a step that begins at a time.
        start: Engines at the start by pool.
        crash_rate: Crashes of each engine per second.
    """

    duration: float
    find_items: object
    start: dict
    outages: tuple = ()
    crash_rate: float = 0


@define(eq=False)
class Simulation:
    scenario: Scenario
    rng: random.Random
    now: float = 0
    engines: list = field(factory=list)
    numbers: dict = field(factory=dict)
    steps: list = field(factory=list)
    engine_cost: float = 0
    late_groups: float = 0
    late_steps: int = 0
    orders: list = field(factory=list)
    most_running: int = 0

    def __attrs_post_init__(self):
        self.numbers = dict(self.scenario.start)
        for pool, count in self.numbers.items():
            self.engines += [SimulatedEngine(pool, 0) for _ in range(count)]

    @property
    def cost(self):
        return self.engine_cost + LATE_GROUP_PRICE * self.late_groups

    def order(self, pool, count):
        """Set a number; return whether engines are available there."""
        if any(out.covers(pool, self.now) for out in self.scenario.outages):
            return False
        self.numbers[pool] = count
        self.orders.append((self.now, pool, count))
        return True

    def view(self):
        """Return what the list of targets and the table of owners show."""
        counts, leaving = {}, {}
        for engine in self.engines:
            if engine.back_at > self.now:
                continue
            counter = counts if engine.leaves_at == math.inf else leaving
            if self.now >= engine.serves_at - WARM_UP:
                counter[engine.pool] = counter.get(engine.pool, 0) + 1
        steps = tuple(
            StepView(
                step.id,
                step.items,
                timedelta(seconds=self.now - step.begun),
                timedelta(seconds=DUE),
                step.ended is not None,
            )
            for step in self.steps[-30:]
        )
        return CapacityView(timedelta(seconds=self.now), counts, leaving, steps)

    def advance(self):
        self._apply_faults()
        self._apply_numbers()
        if self.now % STEP_INTERVAL < TICK:
            items = self.scenario.find_items(self.now)
            if items:
                self.steps.append(
                    SimulatedStep(f'l{len(self.steps)}', self.now, items, items)
                )
        self._work()
        price = sum(find_price(engine.pool) for engine in self.engines)
        self.engine_cost += price * ENGINE_PRICE * TICK
        self.most_running = max(self.most_running, len(self.engines))
        self.now += TICK

    def _apply_faults(self):
        for outage in self.scenario.outages:
            if not outage.begin <= self.now < outage.end:
                continue
            for engine in self.engines:
                if not outage.covers(engine.pool, self.now):
                    continue
                if engine.leaves_at == math.inf:
                    notice = NOTICE if engine.pool.reclaimable else 0
                    engine.leaves_at = self.now + notice
                self.numbers[engine.pool] = 0
        self.engines = [
            engine for engine in self.engines if engine.leaves_at > self.now
        ]
        for engine in self.engines:
            if self.rng.random() < self.scenario.crash_rate * TICK:
                engine.back_at = self.now + RESTART

    def _apply_numbers(self):
        for pool, number in self.numbers.items():
            own = [
                engine
                for engine in self.engines
                if engine.pool == pool and engine.leaves_at == math.inf
            ]
            for engine in own[number:]:
                self.engines.remove(engine)
            serves_at = self.now + BOOT + WARM_UP
            self.engines += [
                SimulatedEngine(pool, serves_at)
                for _ in range(number - len(own))
            ]

    def _work(self):
        serving = sum(engine.serves(self.now) for engine in self.engines)
        capacity = serving * SPEED * TICK
        for step in self.steps:
            if step.ended is not None:
                continue
            age = self.now - step.begun
            if DUE <= age < DUE + TICK and step.left > 0:
                self.late_steps += 1
                self.late_groups += math.ceil(step.left / GROUP)
            done = min(capacity, step.left)
            step.left -= done
            capacity -= done
            if step.left <= 0 and age >= MIN_DURATION:
                step.ended = self.now


def run_fixed(scenario, seed):
    simulation = Simulation(scenario, random.Random(seed))
    while simulation.now < scenario.duration:
        simulation.advance()
    return simulation


def run_planner(scenario, seed, kill_at=()):
    """Run with the planner; at each time of ``kill_at`` a new holder begins."""
    simulation = Simulation(scenario, random.Random(seed))
    planner = CapacityPlanner(SCALING)
    last_order = -math.inf
    while simulation.now < scenario.duration:
        simulation.advance()
        if simulation.now in kill_at:
            planner.release()
        if simulation.now % 0.5:
            continue
        view = simulation.view()
        planner.observe(view)
        order = planner.plan(view)
        if order is None or simulation.now - last_order < 1:
            continue
        last_order = simulation.now
        if simulation.order(order.pool, order.count):
            planner.pools[order.pool].record_order(
                order, view.now, SCALING.boot
            )
        else:
            planner.record_unavailable(order, view.now)
    return simulation


def run_informed(scenario, seed):
    """Run with regular engines for what the next steps need, and no more."""
    simulation = Simulation(scenario, random.Random(seed))
    while simulation.now < scenario.duration:
        simulation.advance()
        now = simulation.now
        times = [now - DUE + TICK * number for number in range(76)]
        items = max(
            scenario.find_items(STEP_INTERVAL * (time // STEP_INTERVAL))
            for time in times
            if time >= 0
        )
        needed = max(len(DOMAINS), math.ceil(items / STEP_INTERVAL / SPEED))
        lost = {
            outage.domain
            for outage in scenario.outages
            if outage.begin - BOOT - WARM_UP - 1 <= now < outage.end
            and False in outage.kinds
        }
        for domain in DOMAINS:
            simulation.order(Pool(domain, reclaimable=True), 0)
            usable = 0 if domain in lost else SCALING.max_count
            number = min(usable, max(1, needed))
            needed -= number
            simulation.order(Pool(domain), number)
    return simulation


def make_demand(mean, seed, spread=0.1):
    """Return steps around a mean that depends on the time, drawn once."""
    rng = random.Random(seed)
    factors = [rng.uniform(1 - spread, 1 + spread) for _ in range(1000)]

    def find_items(time):
        return round(mean(time) * factors[int(time / STEP_INTERVAL)])

    return find_items


def make_start(regular, reclaimable=0):
    return {
        Pool(domain, kind): count
        for domain in DOMAINS
        for kind, count in ((False, regular), (True, reclaimable))
    }


def make_scenarios(seed):
    def demand(mean):
        return make_demand(mean, seed)

    return {
        'steady': Scenario(300, demand(lambda _: 240), make_start(6)),
        'wave': Scenario(
            480,
            demand(lambda time: 250 + 150 * math.sin(time * math.tau / 120)),
            make_start(6),
        ),
        'step': Scenario(
            300,
            demand(lambda time: 200 if time < 100 else 400),
            make_start(6),
        ),
        'night': Scenario(
            2400,
            demand(lambda time: 0 if 200 <= time < 2200 else 240),
            make_start(6),
        ),
        'reclaimed': Scenario(
            300,
            demand(lambda time: 200 + 140 * math.sin(time * math.pi / 300)),
            make_start(6, 3),
            (Outage('z1', 150, 240),),
        ),
        'lost': Scenario(
            300,
            demand(lambda _: 300),
            make_start(7),
            (Outage('z1', 100, 200, (True, False)),),
        ),
        'crashes': Scenario(
            300, demand(lambda _: 300), make_start(7), (), 0.005
        ),
    }


RUNS = {
    'fixed': run_fixed,
    'planner': run_planner,
    'informed': run_informed,
}

if __name__ == '__main__':
    for name in make_scenarios(0):
        for way, run in RUNS.items():
            runs = [run(make_scenarios(seed)[name], seed) for seed in range(5)]
            costs = sum(one.cost for one in runs) / len(runs)
            engines = sum(one.engine_cost for one in runs) / len(runs)
            late = sum(one.late_steps for one in runs) / len(runs)
            steps = sum(len(one.steps) for one in runs) / len(runs)
            sys.stdout.write(
                f'{name:10} {way:9} cost {costs:8.1f} engines {engines:6.1f}'
                f' late steps {late:5.1f} of {steps:.0f}'
                f' orders {len(runs[0].orders)}\n'
            )
