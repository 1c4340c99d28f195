"""Benchmark of message cost and age of load reports, by their source.

A host caches each target's report and fetches it again when it is older than
its lifetime. The source is the target itself (AUTH), one fixed watcher (EXC)
or a random one of several watchers (IND), after Cohen and Kaplan, "Aging
Through Cascaded Caches", SIGCOMM 2001, section 3. The production system uses
a fourth way: watchers push reports by gossip.
"""

import random

from attrs import define, field, frozen

from sequoia_bench.figures import Figure

BENCH = 'ages'
SECONDS = 2000
DECISIONS_PER_SECOND = 4.0  # by one host, each reading one target's report
LIFETIMES = (0.5, 1.0, 2.0, 4.0)  # seconds
SOURCES = ('AUTH', 'EXC', 'IND')
WATCHERS = 4
PUSH_INTERVAL = 0.5  # seconds between gossip messages
MAX_PUSH_HOPS = 3  # gossip messages until a report reaches a host
REPORTS_PER_MESSAGE = 16


@frozen
class AgeOutcome:
    """Message cost of one source and age of its reports.

    Attributes:
        messages_per_second: Messages for one target's report at one host.
        age: Mean age of the report at use, in seconds.
    """

    messages_per_second: float
    age: float


@define
class CachedReport:
    """A cached report, of which only the creation time is simulated."""

    created_at: float


@define
class Watchers:
    """Higher-level caches, each refreshed at its own phase of the lifetime."""

    lifetime: float
    phases: list[float] = field(factory=list)

    def read(self, index: int, now: float) -> float:
        """Return the creation time of one watcher's report."""
        age = (now + self.phases[index]) % self.lifetime
        return now - age


def measure_source(
    source: str,
    lifetime: float,
    rng: random.Random,
) -> AgeOutcome:
    """Simulate one source for one host and one target."""
    phases = [rng.random() * lifetime for _ in range(WATCHERS)]
    watchers = Watchers(lifetime, phases)
    cached = CachedReport(-lifetime)
    now = float(0)
    fetches = 0
    ages = []
    while now < SECONDS:
        now += rng.expovariate(DECISIONS_PER_SECOND)
        if now - cached.created_at >= lifetime:
            fetches += 1
            cached.created_at = fetch_created_at(source, watchers, now, rng)
        ages.append(now - cached.created_at)
    return AgeOutcome(fetches / now, sum(ages) / len(ages))


def fetch_created_at(
    source: str,
    watchers: Watchers,
    now: float,
    rng: random.Random,
) -> float:
    """Return the creation time of the report that a source returns."""
    if source == 'AUTH':
        return now
    index = rng.randrange(WATCHERS) if source == 'IND' else 0
    return watchers.read(index, now)


def measure_push(rng: random.Random) -> AgeOutcome:
    """Simulate reports that watchers push by gossip."""
    ages = []
    for _ in range(SECONDS):
        hops = rng.randint(1, MAX_PUSH_HOPS)
        delay = sum(rng.random() * PUSH_INTERVAL for _ in range(hops))
        ages.append(delay + rng.random() * PUSH_INTERVAL)
    messages_per_second = 1 / PUSH_INTERVAL / REPORTS_PER_MESSAGE
    return AgeOutcome(messages_per_second, sum(ages) / len(ages))


def compare_sources(seed: int) -> list[Figure]:
    """Compare all sources and lifetimes with pushes by gossip."""
    rng = random.Random(seed)
    figures = []
    for lifetime in LIFETIMES:
        for source in SOURCES:
            outcome = measure_source(source, lifetime, rng)
            case = f'{source}, lifetime {lifetime} s'
            figures.extend(make_figures(case, outcome))
    figures.extend(make_figures('push by gossip', measure_push(rng)))
    return figures


def make_figures(case: str, outcome: AgeOutcome) -> list[Figure]:
    """Return the figures of one source."""
    return [
        Figure(BENCH, case, 'messages', outcome.messages_per_second, '/s'),
        Figure(BENCH, case, 'mean age at use', outcome.age, 's'),
    ]
