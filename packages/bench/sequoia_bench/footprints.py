"""Benchmark of the control-plane cost of an idle host by deployment size."""

import re
import statistics
from collections.abc import Iterable, Mapping
from functools import partial
from types import MappingProxyType

import curio
from attrs import define, evolve, field, frozen
from sequoia_standins.demos import prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    HostEndpoints,
    Layout,
    TargetEndpoint,
    make_layout,
)
from sequoia_standins.experiments import Deployment
from sequoia_standins.ports import find_free_address
from sequoia_standins.processes import (
    ProcessGroup,
    start_host,
    start_platform,
)
from sequoia_standins.stores import StoreCounts
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.messages import RequestHead
from sequoia_wire.platform_messages import TargetStatus
from sequoia_wire.servers import HttpServer

from sequoia_bench.figures import Figure
from sequoia_bench.processes import Usage, read_usage

BENCH = 'footprints'
DOMAIN = 'bali'
WARM_UP_SECONDS = 12
MEASURED_SECONDS = 10
MEBIBYTE = 1048576
HTTP_OK = 200
GOSSIP_BYTES_PATTERN = re.compile(
    r'sequoiashed_gossip_bytes_total\{direction="(\w+)"\} ([\d.e+]+)',
)


@frozen
class FootprintScenario:
    """Numbers of hosts and targets in one failure domain.

    Attributes:
        is_large: Whether hosts run with the settings for large deployments.
    """

    hosts: int
    targets: int
    is_large: bool = False

    @property
    def case(self) -> str:
        """Label of the case in the output."""
        kind = ', large' if self.is_large else ''
        return f'{self.hosts} hosts, {self.targets} targets{kind}'

    @property
    def settings(self) -> Mapping[str, str]:
        """Settings that differ from the defaults."""
        return LARGE_SETTINGS if self.is_large else MappingProxyType({})


LARGE_SETTINGS = MappingProxyType(
    {
        'GOSSIP_PERIOD': '1s',
        'WATCH_PERIOD': '1s',
        'BOARD_PERIOD': '2s',
        'HOSTS_PERIOD': '2s',
    },
)
SCENARIOS = (
    FootprintScenario(1, 1),
    FootprintScenario(10, 8),
    FootprintScenario(10, 8, is_large=True),
    FootprintScenario(10, 120, is_large=True),
    FootprintScenario(78, 120, is_large=True),
)


@frozen
class HostReading:
    """Counters of one host at one time."""

    usage: Usage
    gossip_bytes: float


@define
class FootprintRun:
    """One deployment without load."""

    group: ProcessGroup
    layout: Layout
    client: HttpClient = field(factory=HttpClient)
    server_tasks: list[curio.Task] = field(factory=list)

    async def run(self) -> dict[tuple[str, str], float]:
        """Return medians over the hosts and store rates by name and unit."""
        await self._serve_targets()
        await Deployment(self.layout).publish_plan()
        await curio.sleep(WARM_UP_SECONDS)
        before = await self._read_hosts()
        counts_before = await self._read_store()
        await curio.sleep(MEASURED_SECONDS)
        after = await self._read_hosts()
        counts_after = await self._read_store()
        for task in self.server_tasks:
            await task.cancel()
        return {
            ('processor', '% of a core'): median(
                100
                * (new.usage.cpu_seconds - old.usage.cpu_seconds)
                / MEASURED_SECONDS
                for old, new in zip(before, after, strict=True)
            ),
            ('memory', 'MiB'): median(
                new.usage.resident_bytes / MEBIBYTE for new in after
            ),
            ('gossip', 'B/s'): median(
                (new.gossip_bytes - old.gossip_bytes) / MEASURED_SECONDS
                for old, new in zip(before, after, strict=True)
            ),
            ('store reads of all', '/s'): (
                counts_after.reads - counts_before.reads
            )
            / MEASURED_SECONDS,
            ('store commits of all', '/s'): (
                counts_after.commits - counts_before.commits
            )
            / MEASURED_SECONDS,
        }

    async def _serve_targets(self) -> None:
        for endpoint in self.layout.targets:
            handler = partial(respond_status, endpoint)
            server = HttpServer(endpoint.address, handler)
            server.open()
            self.server_tasks.append(await curio.spawn(server.run, daemon=True))

    async def _read_hosts(self) -> list[HostReading]:
        return [await self._read_host(host) for host in self.layout.hosts]

    async def _read_host(self, host: HostEndpoints) -> HostReading:
        response = await self.client.fetch(
            host.admin,
            RequestHead('GET', '/metrics'),
        )
        matches = GOSSIP_BYTES_PATTERN.findall(response.body.decode())
        gossip_bytes = sum(float(amount) for _direction, amount in matches)
        pid = self.group.processes[host.name].pid
        return HostReading(read_usage(pid), gossip_bytes)

    async def _read_store(self) -> StoreCounts:
        response = await self.client.fetch(
            self.layout.platform.store,
            RequestHead('GET', '/faults'),
        )
        return decode(response.body, StoreCounts)


async def respond_status(endpoint: TargetEndpoint, exchange: Exchange) -> None:
    """Respond with the status of an idle target."""
    await exchange.read_body()
    status = TargetStatus(endpoint.name, 1, 1, 1, slots=16)
    await exchange.respond(HTTP_OK, encode(status))


def median(amounts: Iterable[float]) -> float:
    """Return the median over the hosts."""
    return statistics.median(amounts)


def make_one_domain_layout(scenario: FootprintScenario) -> Layout:
    """Return a layout with one failure domain."""
    layout = make_layout(
        evolve(TAMSUI, hosts=scenario.hosts, engines=0, plain_targets=0),
    )
    hosts = tuple(evolve(host, domain=DOMAIN) for host in layout.hosts)
    targets = tuple(
        TargetEndpoint(
            f'dispatch-app-{number}',
            'dispatch-app',
            DOMAIN,
            find_free_address(),
        )
        for number in range(scenario.targets)
    )
    return evolve(layout, hosts=hosts, targets=targets)


def measure_footprints(_seed: int) -> list[Figure]:
    """Measure the cost of an idle host in each scenario."""
    return [
        figure
        for scenario in SCENARIOS
        for figure in measure_scenario(scenario)
    ]


def measure_scenario(scenario: FootprintScenario) -> list[Figure]:
    """Measure the cost of an idle host in one scenario."""
    layout = make_one_domain_layout(scenario)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_platform(group, layout)
        for host in layout.hosts:
            start_host(group, layout, host, **scenario.settings)
        with curio.Kernel() as kernel:
            amounts = kernel.run(FootprintRun(group, layout).run)
    return [
        Figure(BENCH, scenario.case, name, amount, unit)
        for (name, unit), amount in amounts.items()
    ]
