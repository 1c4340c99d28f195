"""Benchmark of target choosers in a discrete-event simulation.

Hosts know the load of targets only from delayed reports. Each target runs a
limited number of requests and queues the rest; a request that waits longer
than the queue timeout is refused. The choosers are the production ones.
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
MAX_LATENCY_MICROSECONDS = 10_000_000
SIGNIFICANT_DIGITS = 3
SECOND = timedelta(seconds=1)
SLOW_EVERY = 10  # every n-th target is slow
SLOW_FACTOR = 3


@frozen
class QueueScenario:
    """Parameters of one simulation.

    Attributes:
        load: Offered load as a share of the targets' capacity.
        service_time: Mean service time on a fast target, in seconds.
        report_interval: Seconds between reports of a target.
        report_delay: Maximum seconds until a report reaches a host.
        queue_timeout: Seconds after which a queued request is refused.
        seconds: Simulated time.
    """

    name: str
    hosts: int
    targets: int
    slots: int = 8
    load: float = 0.8
    service_time: float = 0.1
    report_interval: float = 0.5
    report_delay: float = 1.5
    queue_timeout: float = 1
    seconds: float = 20


SCENARIOS = (
    QueueScenario('10 hosts, 5 targets', 10, 5),
    QueueScenario('10 hosts, 10 targets', 10, 10, seconds=10),
    QueueScenario('78 hosts, 120 targets', 78, 120, seconds=8),
)


@define
class QueueTarget:
    """A target with a number of slots and a queue."""

    name: str
    slots: int
    slowness: float
    running: int = 0
    queue: deque['QueuedRequest'] = field(factory=deque)


@define
class QueuedRequest:
    """A request that waits or runs at a target.

    Attributes:
        state: The sending host's view of the target.
        arrived_at: Simulated time of arrival, in seconds.
        wait_factor: Wait factor of the view when the target was chosen.
    """

    state: TargetState
    arrived_at: float
    wait_factor: float


@define
class QueueSimulation:
    """Discrete-event simulation of hosts, choosers and targets.

    Attributes:
        now: Simulated time in seconds.
        events: Heap of (time, event number, callback).
        views: Each host's view of the targets, by target name.
        choosers: Each host's chooser.
    """

    scenario: QueueScenario
    chooser_factory: Callable[[random.Random], Chooser]
    rng: random.Random
    now: float = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    event_count: int = 0
    refused: int = 0
    sent: int = 0
    latencies: HdrHistogram = field(
        factory=lambda: HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        ),
    )
    targets: list[QueueTarget] = field(factory=list)
    views: list[dict[str, TargetState]] = field(factory=list)
    choosers: list[Chooser] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the targets and each host's view of them."""
        for number in range(self.scenario.targets):
            slow = number % SLOW_EVERY == SLOW_EVERY - 1
            slowness = SLOW_FACTOR if slow else 1
            name = f'target-{number}'
            self.targets.append(
                QueueTarget(name, self.scenario.slots, slowness)
            )
        for _ in range(self.scenario.hosts):
            self.views.append(
                {
                    target.name: TargetState(
                        Target(target.name, 'pool', 'domain', ''),
                        make_report(target, 0),
                    )
                    for target in self.targets
                },
            )
            self.choosers.append(self.chooser_factory(self.rng))

    def run(self) -> None:
        """Process events in time order until the simulated time ends."""
        self._schedule_reports()
        self.schedule(0, self._handle_arrival)
        while self.events and self.now < self.scenario.seconds:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[2]()

    def schedule(self, at: float, event: Callable[[], None]) -> None:
        """Schedule an event at a time in seconds."""
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, event))

    def _schedule_reports(self) -> None:
        for target in self.targets:
            first = self.rng.random() * self.scenario.report_interval
            self.schedule(first, self._make_reporter(target))

    def _make_reporter(self, target: QueueTarget) -> Callable[[], None]:
        def send_report() -> None:  # noqa: WPS430
            current = make_report(target, self.now)
            for view in self.views:
                delay = self.rng.random() * self.scenario.report_delay
                deliver = partial(deliver_report, view[target.name], current)
                self.schedule(self.now + delay, deliver)
            self.schedule(self.now + self.scenario.report_interval, send_report)

        return send_report

    def _handle_arrival(self) -> None:
        scenario = self.scenario
        full_capacity = (
            scenario.targets * scenario.slots / scenario.service_time
        )
        slow_capacity = full_capacity / SLOW_EVERY
        capacity = full_capacity - slow_capacity + slow_capacity / SLOW_FACTOR
        interarrival_time = self.rng.expovariate(scenario.load * capacity)
        self.schedule(self.now + interarrival_time, self._handle_arrival)
        host = self.rng.randrange(scenario.hosts)
        chosen = self.choosers[host].choose(list(self.views[host].values()))
        wait_factor = chosen.wait_factor()
        chosen.begin_request(timedelta(seconds=self.now))
        self.sent += 1
        target = self.targets[int(chosen.target.name.rpartition('-')[2])]
        target.queue.append(QueuedRequest(chosen, self.now, wait_factor))
        self._start_requests(target)

    def _start_requests(self, target: QueueTarget) -> None:
        while target.queue and target.running < target.slots:
            request = target.queue.popleft()
            if self.now - request.arrived_at > self.scenario.queue_timeout:
                self.refused += 1
                request.state.end_request()
                continue
            target.running += 1
            rate = 1 / (self.scenario.service_time * target.slowness)
            duration = self.rng.expovariate(rate)
            self.schedule(
                self.now + duration, self._make_completion(target, request)
            )

    def _make_completion(
        self,
        target: QueueTarget,
        request: QueuedRequest,
    ) -> Callable[[], None]:
        def finish() -> None:  # noqa: WPS430
            target.running -= 1
            request.state.end_request()
            latency = self.now - request.arrived_at
            duration = timedelta(seconds=latency)
            request.state.record_service_time(duration, 1, request.wait_factor)
            self.latencies.record_value(max(1, round(latency * 1e6)))
            self._start_requests(target)

        return finish


def deliver_report(state: TargetState, report: Report) -> None:
    """Apply a report to a host's view of a target."""
    state.apply_report(report)


def make_report(target: QueueTarget, now: float) -> Report:
    """Return a report of a target's current load."""
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
    """Measure latency and refusals of each chooser in each scenario."""
    figures = []
    for scenario in SCENARIOS:
        for name in CHOOSERS:
            simulation = QueueSimulation(
                scenario,
                partial(make_chooser, name),
                random.Random(seed),
            )
            simulation.run()
            case = f'{scenario.name}, {name}'
            figures.extend(make_figures(case, simulation))
    return figures


def make_figures(case: str, simulation: QueueSimulation) -> list[Figure]:
    """Return the figures of one simulation."""
    p50, p99 = (
        simulation.latencies.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    )
    refused = 100 * simulation.refused / simulation.sent
    return [
        Figure(BENCH, case, 'p50', p50, 'ms'),
        Figure(BENCH, case, 'p99', p99, 'ms'),
        Figure(BENCH, case, 'refused', refused, '%'),
    ]
