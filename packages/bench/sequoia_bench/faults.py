"""Benchmark that injects random faults and counts violated guarantees."""

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
FAULTS_PER_RUN = 6
CALLS_PER_SECOND = 30
STEPS = 5
REPORT_TIMEOUT_SECONDS = 150
LONG_FAULT_SECONDS = 9  # outlasts a lease
SHORT_FAULT_SECONDS = 2
# Fields of Findings; they are printed under their own names.
REPORTED_COUNTS = (
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
    """One deployment under random faults chosen by a seeded generator."""

    layout: Layout
    group: ProcessGroup
    rng: random.Random
    deployment: Deployment = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client side of the deployment."""
        self.deployment = Deployment(self.layout)

    async def run(self) -> Findings:
        """Inject faults under load and return the findings."""
        await self.deployment.publish_plan()
        self._start_load()
        faults = (
            self._kill,
            self._pause,
            self._cut,
            self._lose_answers,
            self._stop_store,
        )
        for _ in range(FAULTS_PER_RUN):
            await curio.sleep(1)
            fault = self.rng.choice(faults)
            # The output names a fault after its method.
            typer.echo(f'   fault: {fault.__name__.removeprefix("_")}')
            await fault()
        load = decode(await self._wait_for_report('load'), LoadReport)
        trainer = decode(await self._wait_for_report('trainer'), TrainerReport)
        inspector = Inspector(self.layout, self.deployment.client)
        runs = await inspector.collect()
        return compute_findings(self.layout, load, trainer, runs, 0)

    def _start_load(self) -> None:
        addresses = tuple(host.http for host in self.layout.hosts)
        seed = self.rng.randrange(1 << 20)
        shape = self.layout.shape
        load = LoadTask(
            addresses,
            make_kinds(shape),
            CALLS_PER_SECOND,
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
        for name, content in (('load', load), ('trainer', job)):
            file = write_task(self.group.folder / f'{name}.json', content)
            self.group.start(name, 'sequoia-standin', name, file)

    async def _wait_for_report(self, name: str) -> bytes:
        await curio.run_in_thread(self.group.wait, name, REPORT_TIMEOUT_SECONDS)
        return (self.group.folder / f'{name}.report').read_bytes()

    def _choose_host(self) -> HostEndpoints:
        return self.rng.choice(self.layout.hosts)

    async def _kill(self) -> None:
        host = self._choose_host()
        self.group.kill(host.name)
        await curio.sleep(SHORT_FAULT_SECONDS)
        start_host(self.group, self.layout, host)

    async def _pause(self) -> None:
        """Suspend a process until its leases expire, then resume it."""
        process = self.group.processes[self._choose_host().name]
        process.send_signal(signal.SIGSTOP)
        await curio.sleep(LONG_FAULT_SECONDS)
        process.send_signal(signal.SIGCONT)

    async def _cut(self) -> None:
        domain = self.rng.choice(self.layout.shape.domains)
        await self.deployment.partition(domain)
        await curio.sleep(LONG_FAULT_SECONDS)
        await self.deployment.partition()

    async def _lose_answers(self) -> None:
        await self._set_faults(StoreFaults(lose_answers=0.3))
        await curio.sleep(SHORT_FAULT_SECONDS * 2)
        await self._set_faults(StoreFaults())

    async def _stop_store(self) -> None:
        await self._set_faults(StoreFaults(down=True))
        await curio.sleep(SHORT_FAULT_SECONDS * 2)
        await self._set_faults(StoreFaults())

    async def _set_faults(self, faults: StoreFaults) -> None:
        store = self.layout.platform.store
        await self.deployment.post(store, '/faults', encode(faults))


def run_faults(seed: int) -> list[Figure]:
    """Run several deployments and return their counts."""
    seeds = range(seed, seed + RUNS)
    return [figure for run_seed in seeds for figure in measure_seed(run_seed)]


def measure_seed(seed: int) -> list[Figure]:
    """Run one deployment and return its counts."""
    typer.echo(f'   seed {seed}')
    layout = add_relay(make_layout(evolve(TAMSUI, hosts=6)))
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_all(group, layout)
        run = FaultRun(layout, group, random.Random(seed))
        with curio.Kernel() as kernel:
            counts = asdict(kernel.run(run.run))
    return [
        Figure(BENCH, f'seed {seed}', name, counts[name], '')
        for name in REPORTED_COUNTS
    ]
