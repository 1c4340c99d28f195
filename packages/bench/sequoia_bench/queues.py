"""Compares ways to choose targets in a loop over the shipped choosers.

Hosts see targets through late reports. Each target runs some requests at a
time and queues the rest; a request that cannot start in time is refused.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram
from sequoia_policy.choices import CHOOSERS, Chooser, make_chooser
from sequoia_policy.targets import Report, Target, TargetState

from sequoia_bench.figures import Figure

BENCH = 'choices'
LONGEST = 10_000_000  # microseconds
DIGITS = 3
SECOND = timedelta(seconds=1)
SLOW_EVERY = 10  # one target in so many is slow
SLOW_FACTOR = 3


@frozen
class QueueShape:
    """Sizes of one comparison.

    Attributes:
        load: Share of the targets' capacity that is asked for.
        service: Mean time of a request on a fast target, in seconds.
        report_period: Seconds between reports of a target.
        report_delay: Seconds until a report reaches a host, at most.
        patience: Seconds after which a queued request is refused.
    """

    name: str
    hosts: int
    targets: int
    slots: int = 8
    load: float = 0.8
    service: float = 0.1
    report_period: float = 0.5
    report_delay: float = 1.5
    patience: float = 1
    seconds: float = 20


SHAPES = (
    QueueShape('10 hosts, 5 targets', 10, 5),
    QueueShape('10 hosts, 10 targets', 10, 10, seconds=10),
    QueueShape('78 hosts, 120 targets', 78, 120, seconds=8),
)


@define
class QueueTarget:
    """A target with running slots and a queue."""

    name: str
    slots: int
    slowness: float
    running: int = 0
    queue: deque['QueuedRequest'] = field(factory=deque)


@define
class QueuedRequest:
    """A request at a target."""

    state: TargetState
    arrived: float
    factor: float


@define
class QueueLoop:
    """Runs events in the order of their times."""

    shape: QueueShape
    make: Callable[[random.Random], Chooser]
    chance: random.Random
    now: float = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    counter: int = 0
    refused: int = 0
    sent: int = 0
    latencies: HdrHistogram = field(
        factory=lambda: HdrHistogram(1, LONGEST, DIGITS),
    )
    targets: list[QueueTarget] = field(factory=list)
    views: list[dict[str, TargetState]] = field(factory=list)
    choosers: list[Chooser] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create targets and the hosts' views of them."""
        for number in range(self.shape.targets):
            slow = number % SLOW_EVERY == SLOW_EVERY - 1
            slowness = SLOW_FACTOR if slow else 1
            name = f'target-{number}'
            self.targets.append(QueueTarget(name, self.shape.slots, slowness))
        for _ in range(self.shape.hosts):
            self.views.append(
                {
                    target.name: TargetState(
                        Target(target.name, 'pool', 'domain', ''),
                        make_report(target, 0),
                    )
                    for target in self.targets
                },
            )
            self.choosers.append(self.make(self.chance))

    def run(self) -> None:
        """Run all events of the chosen time."""
        self._plan_reports()
        self.at(0, self._arrive)
        while self.events and self.now < self.shape.seconds:
            planned = heapq.heappop(self.events)
            self.now = planned[0]
            planned[2]()

    def at(self, when: float, event: Callable[[], None]) -> None:
        """Plan an event."""
        self.counter += 1
        heapq.heappush(self.events, (when, self.counter, event))

    def _plan_reports(self) -> None:
        for target in self.targets:
            first = self.chance.random() * self.shape.report_period
            self.at(first, self._make_reporter(target))

    def _make_reporter(self, target: QueueTarget) -> Callable[[], None]:
        def report() -> None:  # noqa: WPS430
            made = make_report(target, self.now)
            for view in self.views:
                delay = self.chance.random() * self.shape.report_delay
                accept = partial(accept_report, view[target.name], made)
                self.at(self.now + delay, accept)
            self.at(self.now + self.shape.report_period, report)

        return report

    def _arrive(self) -> None:
        shape = self.shape
        fast = shape.targets * shape.slots / shape.service
        slow = fast / SLOW_EVERY
        capacity = fast - slow + slow / SLOW_FACTOR
        pause = self.chance.expovariate(shape.load * capacity)
        self.at(self.now + pause, self._arrive)
        place = self.chance.randrange(shape.hosts)
        chosen = self.choosers[place].choose(list(self.views[place].values()))
        factor = chosen.wait_factor()
        chosen.begin_request(timedelta(seconds=self.now))
        self.sent += 1
        target = self.targets[int(chosen.target.name.rpartition('-')[2])]
        target.queue.append(QueuedRequest(chosen, self.now, factor))
        self._start(target)

    def _start(self, target: QueueTarget) -> None:
        while target.queue and target.running < target.slots:
            request = target.queue.popleft()
            if self.now - request.arrived > self.shape.patience:
                self.refused += 1
                request.state.end_request()
                continue
            target.running += 1
            rate = 1 / (self.shape.service * target.slowness)
            took = self.chance.expovariate(rate)
            self.at(self.now + took, self._make_end(target, request))

    def _make_end(
        self,
        target: QueueTarget,
        request: QueuedRequest,
    ) -> Callable[[], None]:
        def end() -> None:  # noqa: WPS430
            target.running -= 1
            request.state.end_request()
            latency = self.now - request.arrived
            took = timedelta(seconds=latency)
            request.state.record_service_time(took, 1, request.factor)
            self.latencies.record_value(max(1, round(latency * 1e6)))
            self._start(target)

        return end


def accept_report(state: TargetState, report: Report) -> None:
    """Let a host's view take a report."""
    state.apply_report(report)


def make_report(target: QueueTarget, now: float) -> Report:
    """Return what a target says of itself."""
    return Report(
        target.name,
        1,
        1,
        1,
        target.running,
        len(target.queue),
        target.slots,
        leaving=False,
        origin=timedelta(seconds=now),
    )


def compare_choosers(seed: int) -> list[Figure]:
    """Return latency and refusals of each chooser, for each shape."""
    figures = []
    for shape in SHAPES:
        for name in CHOOSERS:
            loop = QueueLoop(
                shape,
                partial(make_chooser, name),
                random.Random(seed),
            )
            loop.run()
            case = f'{shape.name}, {name}'
            figures.extend(describe(case, loop))
    return figures


def describe(case: str, loop: QueueLoop) -> list[Figure]:
    """Return the figures of one loop."""
    p50, p99 = (
        loop.latencies.get_value_at_percentile(share) / 1000
        for share in (50, 99)
    )
    refused = 100 * loop.refused / loop.sent
    return [
        Figure(BENCH, case, 'p50', p50, 'ms'),
        Figure(BENCH, case, 'p99', p99, 'ms'),
        Figure(BENCH, case, 'refused', refused, '%'),
    ]
