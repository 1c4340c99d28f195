"""Measures how often an engine still holds the prefix of a prompt.

Prompts are drawn with a few that come often; each engine keeps the prefixes
that it used last. Requests stay at their engine for some draws.
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
KEPT_PREFIXES = 60  # an engine
REQUESTS = 40000
UNDER_WAY = (100, 250, 340)  # requests at a time, of 384 slots
SKEW = 0.8  # exponent of the popularity of prompts


@define
class PrefixEngine:
    """An engine with the prefixes that it used last."""

    state: TargetState
    kept: OrderedDict[int, None] = field(factory=OrderedDict)
    most_busy: int = 0

    def use(self, prompt: int) -> bool:
        """Use a prompt's prefix; tell whether it was held."""
        held = prompt in self.kept
        self.kept[prompt] = None
        self.kept.move_to_end(prompt)
        if len(self.kept) > KEPT_PREFIXES:
            self.kept.popitem(last=False)
        self.most_busy = max(self.most_busy, self.state.in_flight)
        return held


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


def draw_prompts(chance: random.Random) -> list[int]:
    """Return the prompts of all requests."""
    weights = [1 / (place + 1) ** SKEW for place in range(PROMPTS)]
    return chance.choices(range(PROMPTS), weights, k=REQUESTS)


def measure_hits(seed: int, under_way: int, *, by_prompt: bool) -> list[float]:
    """Return the share of hits, and the most requests at one engine."""
    chance = random.Random(seed)
    engines = make_engines()
    chooser = TwoChoices(chance)
    running: deque[TargetState] = deque()
    hits = 0
    for prompt in draw_prompts(chance):
        chosen = chooser.choose(
            [engine.state for engine in engines.values()],
            f'prompt {prompt}' if by_prompt else '',
        )
        chosen.in_flight += 1
        running.append(chosen)
        hits += engines[chosen.target.name].use(prompt)
        if len(running) > under_way:
            running.popleft().in_flight -= 1
    busiest = max(engine.most_busy for engine in engines.values())
    return [hits / REQUESTS, busiest]


def measure_prefixes(seed: int) -> list[Figure]:
    """Return hits and the busiest engine, with and without affinity."""
    figures = []
    for under_way in UNDER_WAY:
        for name, by_prompt in (('no affinity', False), ('by prompt', True)):
            hits, busiest = measure_hits(seed, under_way, by_prompt=by_prompt)
            case = f'{under_way} under way, {name}'
            figures.append(Figure(BENCH, case, 'hits', 100 * hits, '%'))
            figures.append(Figure(BENCH, case, 'busiest engine', busiest, ''))
    return figures
