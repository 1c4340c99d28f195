"""Benchmark of how long a leaving target still gets new work."""

import random
from datetime import timedelta

import curio
from attrs import define, evolve, field
from sequoia_standins.demos import prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    Layout,
    TargetEndpoint,
    make_layout,
)
from sequoia_standins.experiments import Deployment, make_kinds
from sequoia_standins.loads import LiveLoad
from sequoia_standins.plain_services import PlainRuns
from sequoia_standins.processes import ProcessGroup, start_all
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode
from sequoia_wire.messages import RequestHead

from sequoia_bench.figures import Figure

BENCH = 'leaving'
SHAPE = evolve(TAMSUI, hosts=9, engines=0, plain_targets=9)
CALLS_PER_SECOND = 150
LOAD_SECONDS = 18
NOTICE_INTERVAL_SECONDS = 4


@define
class LeavingRun:
    """Marks three targets as leaving under load, each by a different notice."""

    layout: Layout
    deployment: Deployment = field(init=False)
    clock: SystemClock = field(factory=SystemClock)
    notices: list[tuple[str, TargetEndpoint, float]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the client side of the deployment."""
        self.deployment = Deployment(self.layout)

    async def run(self) -> list[Figure]:
        """Return the seconds from each notice to the target's last new call."""
        await self.deployment.publish_plan()
        load = await curio.spawn(self._make_load().run)
        endpoints = self.layout.targets_of(SHAPE.plain_pool)
        actions = (
            self._notify_target,
            self._notify_host,
            self._update_hosts_list,
        )
        for action, endpoint in zip(actions, endpoints, strict=False):
            await curio.sleep(NOTICE_INTERVAL_SECONDS)
            await action(endpoint)
        await load.join()
        return [await self._measure(*notice) for notice in self.notices]

    async def _notify_target(self, endpoint: TargetEndpoint) -> None:
        self._record_notice('target says so', endpoint)
        await self.deployment.post(endpoint.address, '/leave', b'')

    async def _notify_host(self, endpoint: TargetEndpoint) -> None:
        self._record_notice('operator says so', endpoint)
        await self.deployment.operator_client('platform').mark_leaving(
            endpoint.name
        )

    async def _update_hosts_list(self, endpoint: TargetEndpoint) -> None:
        self._record_notice('hosts list says so, 2 s late', endpoint)
        await self.deployment.publish_hosts(self.layout.hosts, (endpoint.name,))

    def _make_load(self) -> LiveLoad:
        kinds = make_kinds(SHAPE)
        plain = tuple(kind for kind in kinds if not kind.is_engine)
        return LiveLoad(
            tuple(host.http for host in self.layout.hosts),
            plain[1:],
            CALLS_PER_SECOND,
            timedelta(seconds=LOAD_SECONDS),
            random.Random(1),
        )

    def _record_notice(self, source: str, endpoint: TargetEndpoint) -> None:
        self.notices.append((source, endpoint, self.clock.now().timestamp()))

    async def _measure(
        self,
        source: str,
        endpoint: TargetEndpoint,
        noticed_at: float,
    ) -> Figure:
        response = await self.deployment.client.fetch(
            endpoint.address,
            RequestHead('GET', '/runs'),
        )
        report = decode(response.body, PlainRuns)
        times = [run.at for run in report.runs] + list(report.refused_at)
        last = max((at for at in times if at > noticed_at), default=noticed_at)
        return Figure(BENCH, source, 'last new work', last - noticed_at, 's')


def measure_leaving(_seed: int) -> list[Figure]:
    """Measure each way to mark a target as leaving."""
    layout = make_layout(SHAPE)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_all(group, layout)
        with curio.Kernel() as kernel:
            return kernel.run(LeavingRun(layout).run)
