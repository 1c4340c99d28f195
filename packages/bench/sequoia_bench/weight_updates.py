"""Benchmark of a weight update of 600 engines, simulated.

The simulation calls the production planner of weight updates.
"""

import heapq

from attrs import define, evolve, field, frozen
from sequoia_policy.weight_updates import (
    SWAPPING,
    EngineOrder,
    EngineView,
    UpdateLimits,
    plan_updates,
)

from sequoia_bench.figures import Figure

BENCH = 'weights'
DOMAINS = 5
ENGINES_PER_DOMAIN = 120
POLL_SECONDS = 0.2  # between two planning rounds of a duty
SWAP_SECONDS = 1.0
MAX_SECONDS = 600.0
STORE_RATES = (15, 30, 45, 60, 120)  # loads per second of the weight store
SERVING_FLOORS = (0.5, 0.8)


@frozen
class UpdateScenario:
    """Parameters of one simulation.

    Attributes:
        rate: Loads per second of the weight store, over all engines.
        floor: Minimum share of the engines that keeps serving.
        parallel: Maximum number of concurrent loads in one failure domain.
    """

    rate: float
    floor: float
    parallel: int = 24


@define
class UpdateSimulation:
    """Discrete-event simulation of one failure domain's duty and engines.

    Attributes:
        events: Heap of (time, event number, new state of an engine).
        min_serving: Minimum number of engines that served at the same time.
        store_free_at: Time from which the weight store can serve a load.
    """

    scenario: UpdateScenario
    engines: dict[str, EngineView] = field(factory=dict)
    events: list[tuple[float, int, EngineView]] = field(factory=list)
    event_count: int = 0
    min_serving: int = ENGINES_PER_DOMAIN
    store_free_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Create engines that serve version 1."""
        for number in range(ENGINES_PER_DOMAIN):
            name = f'engine-{number}'
            self.engines[name] = EngineView(name, 1, 1)

    def run(self) -> float:
        """Return the seconds until all engines serve version 2."""
        now = float(0)
        next_poll = now
        while now < MAX_SECONDS:
            if self._is_done():
                return now
            if now >= next_poll:
                self._plan(now)
                next_poll = now + POLL_SECONDS
            now = min(
                next_poll, self.events[0][0] if self.events else MAX_SECONDS
            )
            while self.events and self.events[0][0] <= now:
                engine = heapq.heappop(self.events)[2]
                self.engines[engine.name] = engine
        return MAX_SECONDS

    def _is_done(self) -> bool:
        return all(engine.version == 2 for engine in self.engines.values())

    def _plan(self, now: float) -> None:
        limits = UpdateLimits(self.scenario.floor, self.scenario.parallel)
        for order in plan_updates(list(self.engines.values()), 2, limits):
            self._execute(order, now)
        serving = sum(
            engine.version != SWAPPING for engine in self.engines.values()
        )
        self.min_serving = min(self.min_serving, serving)

    def _execute(self, order: EngineOrder, now: float) -> None:
        engine = evolve(self.engines[order.name], has_pending_order=True)
        if order.load is None:
            self.engines[order.name] = evolve(engine, version=SWAPPING)
            swapped = evolve(engine, has_pending_order=False, version=2)
            self._schedule(now + SWAP_SECONDS, swapped)
            return
        self.engines[order.name] = engine
        load_started_at = max(now, self.store_free_at)
        self.store_free_at = load_started_at + DOMAINS / self.scenario.rate
        self._schedule(
            self.store_free_at,
            evolve(engine, has_pending_order=False, loaded=2),
        )

    def _schedule(self, at: float, engine: EngineView) -> None:
        """Schedule a state change of an engine."""
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, engine))


def measure_weight_updates(_seed: int) -> list[Figure]:
    """Measure the duration of a weight update for each rate and floor."""
    figures = []
    for floor in SERVING_FLOORS:
        for rate in STORE_RATES:
            simulation = UpdateSimulation(UpdateScenario(rate, floor))
            seconds = simulation.run()
            case = f'600 engines, {rate} loads/s, floor {floor}'
            serving = simulation.min_serving / ENGINES_PER_DOMAIN
            figures.append(Figure(BENCH, case, 'spread', seconds, 's'))
            figures.append(Figure(BENCH, case, 'fewest serving', serving, ''))
    return figures
