"""Benchmark of live calls through an entry host against direct calls."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, evolve, field
from hdrh.histogram import HdrHistogram
from sequoia_standins.demos import prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    Layout,
    demo_key,
    make_layout,
)
from sequoia_standins.experiments import Deployment
from sequoia_standins.processes import (
    ProcessGroup,
    start_host,
    start_platform,
    start_target,
)
from sequoia_wire.clients import HttpClient
from sequoia_wire.clocks import SystemClock
from sequoia_wire.messages import Address, RequestHead, encode_headers

from sequoia_bench.figures import Figure
from sequoia_bench.processes import read_usage

BENCH = 'live'
CALLS = 1500
WARM_UP_CALLS = 200
CONCURRENCY = 16
LOAD_DURATION = timedelta(seconds=5)
MAX_LATENCY_MICROSECONDS = 10_000_000
SIGNIFICANT_DIGITS = 3
SERVICE = 'tide-sync'
MICROSECOND = timedelta(microseconds=1)
SHAPE = evolve(TAMSUI, hosts=1, engines=0, plain_targets=1)
HEAD = RequestHead(
    'POST',
    f'/v1/services/{SERVICE}/x',
    encode_headers(
        {
            'sequoia-caller': 'own-services',
            'authorization': f'Bearer {demo_key("caller", "own-services")}',
            'sequoia-label': 'tide-table',
        },
    ),
)


@define
class Caller:
    """Sends calls sequentially and records their latency in microseconds."""

    address: Address
    clock: SystemClock = field(factory=SystemClock)
    client: HttpClient = field(factory=HttpClient)
    latencies: HdrHistogram = field(
        factory=lambda: HdrHistogram(
            1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        ),
    )
    calls: int = 0

    async def call(self) -> None:
        """Send one call.

        Raises:
            RuntimeError: If the status is not a success.
        """
        started_at = self.clock.elapsed()
        response = await self.client.fetch(self.address, HEAD, b'body')
        if response.status >= 300:
            raise RuntimeError(f'call failed with status {response.status}')
        elapsed = self.clock.elapsed() - started_at
        self.latencies.record_value(max(1, round(elapsed / MICROSECOND)))
        self.calls += 1

    async def call_until(self, end: timedelta) -> None:
        """Send calls until the clock's elapsed time reaches ``end``."""
        while self.clock.elapsed() < end:
            await self.call()


async def measure_latency(address: Address) -> Caller:
    """Return a caller that measured sequential calls after a warm-up."""
    warm_up_caller = Caller(address)
    for _ in range(WARM_UP_CALLS):
        await warm_up_caller.call()
    caller = Caller(address)
    for _ in range(CALLS):
        await caller.call()
    return caller


async def measure_throughput(address: Address, pid: int) -> float:
    """Return the calls that a process serves per second of processor time."""
    clock = SystemClock()
    end = clock.elapsed() + LOAD_DURATION
    before = read_usage(pid)
    callers = [Caller(address) for _ in range(CONCURRENCY)]
    async with curio.TaskGroup() as group:
        for caller in callers:
            await group.spawn(caller.call_until, end)
    cpu_seconds = read_usage(pid).cpu_seconds - before.cpu_seconds
    return sum(caller.calls for caller in callers) / cpu_seconds


def run_deployment(
    measure: Callable[[ProcessGroup, Layout], Awaitable[list[Figure]]],
) -> list[Figure]:
    """Start one host in front of one target and run a measurement."""
    layout = make_layout(SHAPE)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_platform(group, layout)
        for target in layout.targets:
            options = (
                ('--work-time', '0s') if target.pool == 'dispatch-app' else ()
            )
            start_target(group, layout, target, *options)
        start_host(group, layout, layout.hosts[0])
        with curio.Kernel() as kernel:
            return kernel.run(measure, group, layout)


async def compare_paths(group: ProcessGroup, layout: Layout) -> list[Figure]:
    """Measure direct calls and calls through the host."""
    await Deployment(layout).publish_plan()
    target = layout.targets_of(SHAPE.plain_pool)[0]
    host = layout.hosts[0]
    figures = []
    for case, address, name in (
        ('direct', target.address, target.name),
        ('through a host', host.http, host.name),
    ):
        caller = await measure_latency(address)
        rate = await measure_throughput(address, group.processes[name].pid)
        figures.extend(make_figures(case, caller, rate))
    return figures


def make_figures(case: str, caller: Caller, rate: float) -> list[Figure]:
    """Return the figures of one path."""
    p50, p99 = (
        caller.latencies.get_value_at_percentile(percentile) / 1000
        for percentile in (50, 99)
    )
    return [
        Figure(BENCH, case, 'p50', p50, 'ms'),
        Figure(BENCH, case, 'p99', p99, 'ms'),
        Figure(BENCH, case, 'calls a core', rate, '/s'),
    ]


def measure_live(_seed: int) -> list[Figure]:
    """Measure latency and throughput of direct calls and through a host."""
    return run_deployment(compare_paths)
