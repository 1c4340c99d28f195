"""Measures what control costs an idle host, as hosts and targets grow."""

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
OK = 200
BYTES_PATTERN = re.compile(
    r'sequoiashed_gossip_bytes_total\{direction="(\w+)"\} ([\d.e+]+)',
)


@frozen
class FootprintShape:
    """Hosts and targets of one failure domain.

    Attributes:
        is_large: Whether hosts run with the settings for large deployments.
    """

    hosts: int
    targets: int
    is_large: bool = False

    @property
    def case(self) -> str:
        """Name of the case."""
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
SHAPES = (
    FootprintShape(1, 1),
    FootprintShape(10, 8),
    FootprintShape(10, 8, is_large=True),
    FootprintShape(10, 120, is_large=True),
    FootprintShape(78, 120, is_large=True),
)


@frozen
class Reading:
    """Figures of one host at one time."""

    usage: Usage
    gossip_bytes: float


@define
class Footprint:
    """One deployment without load."""

    group: ProcessGroup
    layout: Layout
    client: HttpClient = field(factory=HttpClient)
    servers: list[curio.Task] = field(factory=list)

    async def run(self) -> dict[tuple[str, str], float]:
        """Return figures of a middle host, and of the store for all hosts."""
        await self._serve_targets()
        await Deployment(self.layout).publish_plan()
        await curio.sleep(WARM_UP_SECONDS)
        before = await self._read_all()
        counts = await self._read_store()
        await curio.sleep(MEASURED_SECONDS)
        after = await self._read_all()
        later = await self._read_store()
        for server in self.servers:
            await server.cancel()
        return {
            ('processor', '% of a core'): middle(
                100 * (new.usage.seconds - old.usage.seconds) / MEASURED_SECONDS
                for old, new in zip(before, after, strict=True)
            ),
            ('memory', 'MiB'): middle(
                new.usage.resident / MEBIBYTE for new in after
            ),
            ('gossip', 'B/s'): middle(
                (new.gossip_bytes - old.gossip_bytes) / MEASURED_SECONDS
                for old, new in zip(before, after, strict=True)
            ),
            ('store reads of all', '/s'): (later.reads - counts.reads)
            / MEASURED_SECONDS,
            ('store commits of all', '/s'): (later.commits - counts.commits)
            / MEASURED_SECONDS,
        }

    async def _serve_targets(self) -> None:
        for place in self.layout.targets:
            handler = partial(answer_status, place)
            server = HttpServer(place.address, handler)
            server.open()
            self.servers.append(await curio.spawn(server.run, daemon=True))

    async def _read_all(self) -> list[Reading]:
        return [await self._read(host) for host in self.layout.hosts]

    async def _read(self, host: HostEndpoints) -> Reading:
        answer = await self.client.fetch(
            host.admin,
            RequestHead('GET', '/metrics'),
        )
        found = BYTES_PATTERN.findall(answer.body.decode())
        size = sum(float(amount) for _direction, amount in found)
        process = self.group.processes[host.name].pid
        return Reading(read_usage(process), size)

    async def _read_store(self) -> StoreCounts:
        answer = await self.client.fetch(
            self.layout.platform.store,
            RequestHead('GET', '/faults'),
        )
        return decode(answer.body, StoreCounts)


async def answer_status(place: TargetEndpoint, exchange: Exchange) -> None:
    """Answer as an idle target."""
    await exchange.read_body()
    status = TargetStatus(place.name, 1, 1, 1, slots=16)
    await exchange.respond(OK, encode(status))


def middle(amounts: Iterable[float]) -> float:
    """Return the median."""
    return statistics.median(amounts)


def make_domain(shape: FootprintShape) -> Layout:
    """Return a layout with one failure domain."""
    layout = make_layout(
        evolve(TAMSUI, hosts=shape.hosts, engines=0, plain_targets=0),
    )
    hosts = tuple(evolve(host, domain=DOMAIN) for host in layout.hosts)
    targets = tuple(
        TargetEndpoint(
            f'dispatch-app-{number}',
            'dispatch-app',
            DOMAIN,
            find_free_address(),
        )
        for number in range(shape.targets)
    )
    return evolve(layout, hosts=hosts, targets=targets)


def measure_footprints(_seed: int) -> list[Figure]:
    """Return what an idle host costs in each case."""
    return [figure for shape in SHAPES for figure in measure_shape(shape)]


def measure_shape(shape: FootprintShape) -> list[Figure]:
    """Return what an idle host costs in one case."""
    layout = make_domain(shape)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_platform(group, layout)
        for host in layout.hosts:
            start_host(group, layout, host, **shape.settings)
        with curio.Kernel() as kernel:
            amounts = kernel.run(Footprint(group, layout).run)
    return [
        Figure(BENCH, shape.case, name, amount, unit)
        for (name, unit), amount in amounts.items()
    ]
