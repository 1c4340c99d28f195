"""Measures how fast ten real hosts recover from cuts and outages."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.plan_texts import find_edits
from sequoia_standins.demos import prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    HostEndpoints,
    Layout,
    add_relay,
    make_layout,
)
from sequoia_standins.experiments import Deployment
from sequoia_standins.processes import ProcessGroup, start_all
from sequoia_standins.stores import StoreFaults
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import encode

from sequoia_bench.figures import Figure

BENCH = 'recovery'
CUT = 'bali'
OUTAGE_SECONDS = 15  # longer than leases and the confirmation of plans
POLL_SECONDS = 0.05
LONGEST = timedelta(seconds=40)


class NotRecoveredError(Exception):
    """A deployment that did not recover in time."""


@define
class RecoveryRun:
    """Cuts a domain off, edits the plan, heals; then stops the store."""

    layout: Layout
    deployment: Deployment = field(init=False)
    clock: Clock = field(factory=SystemClock)

    def __attrs_post_init__(self) -> None:
        """Create the view from outside."""
        self.deployment = Deployment(self.layout)

    async def run(self) -> list[Figure]:
        """Return the seconds of each recovery."""
        number = await self.deployment.publish_plan()
        duties = await self._wait_duties()
        edits = await self._cut_and_edit(number + 1)
        outage = await self._stop_store(duties)
        return [*edits, *outage]

    async def _cut_and_edit(self, number: int) -> list[Figure]:
        hosts = self.layout.hosts
        inside = tuple(host for host in hosts if host.domain == CUT)
        outside = tuple(host for host in hosts if host.domain != CUT)
        await self.deployment.partition(CUT)
        await self._edit(outside)
        others = await self._time(lambda: self._have(number, outside))
        await curio.sleep(OUTAGE_SECONDS)
        await self.deployment.partition()
        healed = await self._time(lambda: self._have(number, inside))
        return [
            Figure(BENCH, 'a domain is cut off', 'edit on others', others, 's'),
            Figure(BENCH, 'it is healed', 'edit on its hosts', healed, 's'),
        ]

    async def _stop_store(self, duties: int) -> list[Figure]:
        store = self.layout.platform.store
        away = encode(StoreFaults(down=True))
        await self.deployment.post(store, '/faults', away)
        await curio.sleep(OUTAGE_SECONDS)
        await self.deployment.post(store, '/faults', encode(StoreFaults()))
        case = f'store was away for {OUTAGE_SECONDS} s'
        confirmed = await self._time(self._are_confirmed)
        held = await self._time(lambda: self._hold(duties))
        return [
            Figure(BENCH, case, 'plan confirmed on all', confirmed, 's'),
            Figure(BENCH, case, 'all duties held', confirmed + held, 's'),
        ]

    async def _edit(self, reachable: tuple[HostEndpoints, ...]) -> None:
        edited = self.layout.shape.demo_edit
        client = self.deployment.operator_client(edited.section)
        client.addresses = tuple(host.admin for host in reachable)
        current = (await client.read_plan()).text
        wanted = current.replace(edited.before, edited.after)
        await client.submit_edits(find_edits(current, wanted))

    async def _time(self, done: Callable[[], Awaitable[bool]]) -> float:
        """Return the seconds until a condition holds."""
        since = self.clock.elapsed()
        while not await done():
            if self.clock.elapsed() - since > LONGEST:
                raise NotRecoveredError
            await curio.sleep(POLL_SECONDS)
        return (self.clock.elapsed() - since).total_seconds()

    async def _have(
        self, number: int, hosts: tuple[HostEndpoints, ...]
    ) -> bool:
        return not await self.deployment.find_outdated(number, hosts)

    async def _are_confirmed(self) -> bool:
        statuses = await self.deployment.read_statuses()
        return not any(status.plan_lapsed for status in statuses.values())

    async def _hold(self, duties: int) -> bool:
        return await self._count_duties() >= duties

    async def _count_duties(self) -> int:
        statuses = await self.deployment.read_statuses()
        return sum(len(status.duties) for status in statuses.values())

    async def _wait_duties(self) -> int:
        """Return the number of duties once it no longer grows."""
        held = -1
        while await self._count_duties() != held:
            held = await self._count_duties()
            await curio.sleep(3)
        return held


def measure_recovery(_seed: int) -> list[Figure]:
    """Return the figures of cuts and outages."""
    layout = add_relay(make_layout(TAMSUI))
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_all(group, layout)
        with curio.Kernel() as kernel:
            return kernel.run(RecoveryRun(layout).run)
