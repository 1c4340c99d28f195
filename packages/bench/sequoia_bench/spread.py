"""Spreads weights over 600 engines in a loop over the shipped waves."""

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
TICK = 0.2  # seconds between looks of a duty
SWAP_SECONDS = 1.0
LONGEST = 600.0  # seconds
RATES = (15, 30, 45, 60, 120)  # loads a second that the weight store gives
FLOORS = (0.5, 0.8)


@frozen
class SpreadShape:
    """One case.

    Attributes:
        rate: Loads a second of the weight store, for all engines.
        floor: Share of the engines that keeps serving.
        parallel: Engines of one domain that load at a time.
    """

    rate: float
    floor: float
    parallel: int = 24


@define
class SpreadLoop:
    """One failure domain's duty and engines, in a loop over events."""

    shape: SpreadShape
    engines: dict[str, EngineView] = field(factory=dict)
    events: list[tuple[float, int, EngineView]] = field(factory=list)
    counter: int = 0
    fewest_serving: int = ENGINES_PER_DOMAIN
    store_free_at: float = 0

    def __attrs_post_init__(self) -> None:
        """Create engines with version 1."""
        for number in range(ENGINES_PER_DOMAIN):
            name = f'engine-{number}'
            self.engines[name] = EngineView(name, 1, 1)

    def run(self) -> float:
        """Return the seconds until all engines use version 2."""
        now = float(0)
        next_look = now
        while now < LONGEST:
            if self._is_done():
                return now
            if now >= next_look:
                self._look(now)
                next_look = now + TICK
            now = min(next_look, self.events[0][0] if self.events else LONGEST)
            while self.events and self.events[0][0] <= now:
                engine = heapq.heappop(self.events)[2]
                self.engines[engine.name] = engine
        return LONGEST

    def _is_done(self) -> bool:
        return all(engine.version == 2 for engine in self.engines.values())

    def _look(self, now: float) -> None:
        limits = UpdateLimits(self.shape.floor, self.shape.parallel)
        for order in plan_updates(list(self.engines.values()), 2, limits):
            self._give(order, now)
        serving = sum(
            engine.version != SWAPPING for engine in self.engines.values()
        )
        self.fewest_serving = min(self.fewest_serving, serving)

    def _give(self, order: EngineOrder, now: float) -> None:
        engine = evolve(self.engines[order.name], has_pending_order=True)
        if order.load is None:
            self.engines[order.name] = evolve(engine, version=SWAPPING)
            swapped = evolve(engine, has_pending_order=False, version=2)
            self._at(now + SWAP_SECONDS, swapped)
            return
        self.engines[order.name] = engine
        turn = max(now, self.store_free_at)
        self.store_free_at = turn + DOMAINS / self.shape.rate
        self._at(
            self.store_free_at,
            evolve(engine, has_pending_order=False, loaded=2),
        )

    def _at(self, when: float, engine: EngineView) -> None:
        """Plan what an engine looks like from a time on."""
        self.counter += 1
        heapq.heappush(self.events, (when, self.counter, engine))


def measure_spread(_seed: int) -> list[Figure]:
    """Return the seconds of a spread for each rate and floor."""
    figures = []
    for floor in FLOORS:
        for rate in RATES:
            loop = SpreadLoop(SpreadShape(rate, floor))
            seconds = loop.run()
            case = f'600 engines, {rate} loads/s, floor {floor}'
            serving = loop.fewest_serving / ENGINES_PER_DOMAIN
            figures.append(Figure(BENCH, case, 'spread', seconds, 's'))
            figures.append(Figure(BENCH, case, 'fewest serving', serving, ''))
    return figures
