"""Benchmark of the hit rate of prefix caches in engines.

Prompts follow a Zipf distribution, and each engine caches its most recently
used prefixes. A request occupies its engine until a fixed number of later
requests have started.
"""

import random
from collections import OrderedDict, deque
from datetime import timedelta

from attrs import define, field
from sequoia_policy.choices import TwoChoices
from sequoia_policy.targets import Report, Target, TargetState

from sequoia_bench.figures import Figure

BENCH = 'prefixes'
ENGINES = 24
SLOTS = 16
PROMPTS = 1200
PREFIXES_PER_ENGINE = 60
REQUESTS = 40000
IN_FLIGHT = (100, 250, 340)  # concurrent requests, out of 384 slots
ZIPF_EXPONENT = 0.8  # of the popularity of prompts


@define
class PrefixEngine:
    """An engine with an LRU cache of prompt prefixes."""

    state: TargetState
    prefixes: OrderedDict[int, None] = field(factory=OrderedDict)
    max_in_flight: int = 0

    def use(self, prompt: int) -> bool:
        """Use a prompt's prefix and return whether it was cached."""
        hit = prompt in self.prefixes
        self.prefixes[prompt] = None
        self.prefixes.move_to_end(prompt)
        if len(self.prefixes) > PREFIXES_PER_ENGINE:
            self.prefixes.popitem(last=False)
        self.max_in_flight = max(self.max_in_flight, self.state.in_flight)
        return hit


def make_engines() -> dict[str, PrefixEngine]:
    """Return idle engines by name."""
    engines = {}
    for number in range(ENGINES):
        name = f'engine-{number}'
        state = TargetState(Target(name, 'pool', 'domain', ''))
        state.apply_report(
            Report(name, 1, 1, 1, 0, 0, SLOTS, False, timedelta()),
        )
        engines[name] = PrefixEngine(state)
    return engines


def draw_prompts(rng: random.Random) -> list[int]:
    """Return a random prompt for each request."""
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(PROMPTS)]
    return rng.choices(range(PROMPTS), weights, k=REQUESTS)


def measure_hits(seed: int, in_flight: int, *, by_prompt: bool) -> list[float]:
    """Return the hit rate and the maximum of concurrent requests per engine."""
    rng = random.Random(seed)
    engines = make_engines()
    chooser = TwoChoices(rng)
    running: deque[TargetState] = deque()
    hits = 0
    for prompt in draw_prompts(rng):
        chosen = chooser.choose(
            [engine.state for engine in engines.values()],
            f'prompt {prompt}' if by_prompt else '',
        )
        chosen.in_flight += 1
        running.append(chosen)
        hits += engines[chosen.target.name].use(prompt)
        if len(running) > in_flight:
            running.popleft().in_flight -= 1
    busiest = max(engine.max_in_flight for engine in engines.values())
    return [hits / REQUESTS, busiest]


def measure_prefixes(seed: int) -> list[Figure]:
    """Measure hit rate and peak load with and without prompt affinity."""
    figures = []
    for in_flight in IN_FLIGHT:
        for name, by_prompt in (('no affinity', False), ('by prompt', True)):
            hits, busiest = measure_hits(seed, in_flight, by_prompt=by_prompt)
            case = f'{in_flight} under way, {name}'
            figures.append(Figure(BENCH, case, 'hits', 100 * hits, '%'))
            figures.append(Figure(BENCH, case, 'busiest engine', busiest, ''))
    return figures
