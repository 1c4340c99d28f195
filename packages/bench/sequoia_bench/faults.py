"""Runs whole deployments under drawn faults and counts broken promises."""

import random
import signal

import curio
import typer
from attrs import asdict, define, evolve, field
from sequoia_standins.checks import Findings, Inspector, compute_findings
from sequoia_standins.demos import make_trainer_task, prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    HostEndpoints,
    Layout,
    add_relay,
    make_layout,
)
from sequoia_standins.experiments import (
    Deployment,
    LoadTask,
    TrainerJob,
    make_kinds,
    write_task,
)
from sequoia_standins.loads import LoadReport
from sequoia_standins.processes import ProcessGroup, start_all, start_host
from sequoia_standins.stores import StoreFaults
from sequoia_standins.trainers import TrainerReport
from sequoia_wire.codecs import decode, encode

from sequoia_bench.figures import Figure

BENCH = 'faults'
RUNS = 3
LOAD_SECONDS = 24
FAULTS = 6
PER_SECOND = 30
STEPS = 5
WAIT_SECONDS = 150
PAUSE_SECONDS = 9  # longer than a lease
SHORT_SECONDS = 2
COUNTED = (
    'live_sent',
    'live_answered',
    'live_refused_not_run',
    'live_unresolved',
    'live_lost',
    'live_wrong',
    'live_doubled',
    'samples_wanted',
    'samples_delivered',
    'samples_doubled',
    'samples_mislabelled',
    'samples_too_old',
    'records_misplaced',
    'wrong_not_run',
)


@define
class FaultRun:
    """One deployment under faults that a seed draws."""

    layout: Layout
    group: ProcessGroup
    chance: random.Random
    deployment: Deployment = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the view from outside."""
        self.deployment = Deployment(self.layout)

    async def run(self) -> Findings:
        """Disturb the deployment under load; return what came of it."""
        await self.deployment.publish_plan()
        self._start_load()
        faults = (
            self._kill,
            self._pause,
            self._cut,
            self._lose_answers,
            self._stop_store,
        )
        for _ in range(FAULTS):
            await curio.sleep(1)
            fault = self.chance.choice(faults)
            typer.echo(f'   fault: {fault.__name__.removeprefix("_")}')
            await fault()
        load = decode(await self._wait('load'), LoadReport)
        trainer = decode(await self._wait('trainer'), TrainerReport)
        inspector = Inspector(self.layout, self.deployment.client)
        runs = await inspector.collect()
        return compute_findings(self.layout, load, trainer, runs, 0)

    def _start_load(self) -> None:
        addresses = tuple(host.http for host in self.layout.hosts)
        seed = self.chance.randrange(1 << 20)
        shape = self.layout.shape
        load = LoadTask(
            addresses,
            make_kinds(shape),
            PER_SECOND,
            LOAD_SECONDS,
            seed,
        )
        task = evolve(make_trainer_task(shape), steps=STEPS)
        job = TrainerJob(
            task,
            addresses,
            self.layout.platform.weight_store,
            seed,
        )
        for name, written in (('load', load), ('trainer', job)):
            file = write_task(self.group.folder / f'{name}.json', written)
            self.group.start(name, 'sequoia-standin', name, file)

    async def _wait(self, name: str) -> bytes:
        await curio.run_in_thread(self.group.wait, name, WAIT_SECONDS)
        return (self.group.folder / f'{name}.report').read_bytes()

    def _draw_host(self) -> HostEndpoints:
        return self.chance.choice(self.layout.hosts)

    async def _kill(self) -> None:
        victim = self._draw_host()
        self.group.kill(victim.name)
        await curio.sleep(SHORT_SECONDS)
        start_host(self.group, self.layout, victim)

    async def _pause(self) -> None:
        """Stop a process for longer than its leases, then let it go on."""
        process = self.group.processes[self._draw_host().name]
        process.send_signal(signal.SIGSTOP)
        await curio.sleep(PAUSE_SECONDS)
        process.send_signal(signal.SIGCONT)

    async def _cut(self) -> None:
        domain = self.chance.choice(self.layout.shape.domains)
        await self.deployment.partition(domain)
        await curio.sleep(PAUSE_SECONDS)
        await self.deployment.partition()

    async def _lose_answers(self) -> None:
        await self._set_faults(StoreFaults(lose_answers=0.3))
        await curio.sleep(SHORT_SECONDS * 2)
        await self._set_faults(StoreFaults())

    async def _stop_store(self) -> None:
        await self._set_faults(StoreFaults(down=True))
        await curio.sleep(SHORT_SECONDS * 2)
        await self._set_faults(StoreFaults())

    async def _set_faults(self, faults: StoreFaults) -> None:
        store = self.layout.platform.store
        await self.deployment.post(store, '/faults', encode(faults))


def run_faults(seed: int) -> list[Figure]:
    """Return the counts of several runs."""
    chosen = range(seed, seed + RUNS)
    return [figure for one in chosen for figure in run_seed(one)]


def run_seed(seed: int) -> list[Figure]:
    """Return the counts of one run."""
    typer.echo(f'   seed {seed}')
    layout = add_relay(make_layout(evolve(TAMSUI, hosts=6)))
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_all(group, layout)
        run = FaultRun(layout, group, random.Random(seed))
        with curio.Kernel() as kernel:
            counts = asdict(kernel.run(run.run))
    return [
        Figure(BENCH, f'seed {seed}', name, counts[name], '')
        for name in COUNTED
    ]
