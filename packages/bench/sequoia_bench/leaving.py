"""Measures seconds from the first sign of leaving to the last new work."""

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
PER_SECOND = 150
SECONDS = 18
BETWEEN_SIGNS = 4  # seconds


@define
class LeavingRun:
    """Gives three signs under load, each about another target."""

    layout: Layout
    deployment: Deployment = field(init=False)
    clock: SystemClock = field(factory=SystemClock)
    signs: list[tuple[str, TargetEndpoint, float]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the view from outside."""
        self.deployment = Deployment(self.layout)

    async def run(self) -> list[Figure]:
        """Return seconds to the last new work, for each sign."""
        await self.deployment.publish_plan()
        running = await curio.spawn(self._load().run)
        places = self.layout.targets_of(SHAPE.plain_pool)
        signs = (self._tell_target, self._tell_host, self._tell_list)
        for sign, place in zip(signs, places, strict=False):
            await curio.sleep(BETWEEN_SIGNS)
            await sign(place)
        await running.join()
        return [await self._measure(*given) for given in self.signs]

    async def _tell_target(self, place: TargetEndpoint) -> None:
        self._note('target says so', place)
        await self.deployment.post(place.address, '/leave', b'')

    async def _tell_host(self, place: TargetEndpoint) -> None:
        self._note('operator says so', place)
        await self.deployment.operator_client('platform').mark_leaving(
            place.name
        )

    async def _tell_list(self, place: TargetEndpoint) -> None:
        self._note('hosts list says so, 2 s late', place)
        await self.deployment.publish_hosts(self.layout.hosts, (place.name,))

    def _load(self) -> LiveLoad:
        kinds = make_kinds(SHAPE)
        plain = tuple(kind for kind in kinds if not kind.is_engine)
        return LiveLoad(
            tuple(host.http for host in self.layout.hosts),
            plain[1:],
            PER_SECOND,
            timedelta(seconds=SECONDS),
            random.Random(1),
        )

    def _note(self, sign: str, place: TargetEndpoint) -> None:
        self.signs.append((sign, place, self.clock.now().timestamp()))

    async def _measure(
        self,
        sign: str,
        place: TargetEndpoint,
        since: float,
    ) -> Figure:
        answer = await self.deployment.client.fetch(
            place.address,
            RequestHead('GET', '/runs'),
        )
        seen = decode(answer.body, PlainRuns)
        times = [run.at for run in seen.runs] + list(seen.refused_at)
        last = max((at for at in times if at > since), default=since)
        return Figure(BENCH, sign, 'last new work', last - since, 's')


def measure_leaving(_seed: int) -> list[Figure]:
    """Return the figures of all signs."""
    layout = make_layout(SHAPE)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_all(group, layout)
        with curio.Kernel() as kernel:
            return kernel.run(LeavingRun(layout).run)
