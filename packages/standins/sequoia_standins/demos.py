"""The demo: runs a deployment under load and faults and checks guarantees."""

import tempfile
from datetime import timedelta
from pathlib import Path

import curio
import typer
from attrs import asdict, define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.plan_texts import find_edits
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import converter, decode
from sequoiactl.outputs import show_table

from sequoia_standins.checks import Findings, Inspector, compute_findings
from sequoia_standins.deployments import (
    HostEndpoints,
    Layout,
    Shape,
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
from sequoia_standins.processes import ProcessGroup, start_all
from sequoia_standins.trainers import TrainerReport, TrainerTask

LOAD_PER_SECOND = 40
LOAD_SECONDS = 24
KILL_AFTER = 6  # seconds after the start of the load
EDIT_AFTER = 5  # seconds after the kill
STEPS = 7
GROUPS = 8
GROUP_SAMPLES = 4
MAX_TOKENS = 384
TRAIN_SECONDS = 2
REPORT_TIMEOUT_SECONDS = 60
POLL_SECONDS = 0.05
IN_FORCE_LIMIT = timedelta(seconds=12)
NOT_IN_FORCE = -1.0


def prepare_folder(name: str) -> Path:
    """Create a temporary folder for logs and reports."""
    return Path(tempfile.mkdtemp(prefix=f'sequoiashed-{name}-'))


@define
class Demo:
    """Runs one deployment and checks that no guarantee is violated."""

    shape: Shape
    seed: int
    folder: Path
    clock: Clock = field(factory=SystemClock)
    layout: Layout = field(init=False)
    deployment: Deployment = field(init=False)
    started_at: timedelta = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Allocate the addresses of all processes."""
        self.layout = make_layout(self.shape)
        self.deployment = Deployment(self.layout)
        self.started_at = self.clock.elapsed()

    async def run(self) -> bool:
        """Run the demo; return whether all guarantees held."""
        with ProcessGroup(self.folder) as group:
            self._print(f'{self.shape.name}: logs are in {self.folder}')
            start_all(group, self.layout)
            await self._publish_plan()
            self._start_load(group)
            seconds_plan_in_force = await self._inject_faults(group)
            findings = await self._finish(group, seconds_plan_in_force)
        return self._show(findings)

    async def _publish_plan(self) -> None:
        await self.deployment.publish_plan()
        hosts, targets = len(self.layout.hosts), len(self.layout.targets)
        self._print(f'{hosts} hosts and {targets} targets are ready')

    def _start_load(self, group: ProcessGroup) -> None:
        addresses = tuple(host.http for host in self.layout.hosts)
        load = LoadTask(
            addresses,
            make_kinds(self.shape),
            LOAD_PER_SECOND,
            LOAD_SECONDS,
            self.seed,
        )
        job = TrainerJob(
            make_trainer_task(self.shape),
            addresses,
            self.layout.platform.weight_store,
            self.seed,
        )
        load_file = write_task(self.folder / 'load.json', load)
        job_file = write_task(self.folder / 'trainer.json', job)
        group.start('load', 'sequoia-standin', 'load', load_file)
        group.start('trainer', 'sequoia-standin', 'trainer', job_file)
        self._print(
            f'{LOAD_PER_SECOND} live calls per second and a trainer run'
        )

    async def _inject_faults(self, group: ProcessGroup) -> float:
        """Kill the host with the most sample duties, then edit the plan.

        Returns:
            Seconds until the edit was in force on all live hosts, or
            ``NOT_IN_FORCE``.
        """
        await curio.sleep(KILL_AFTER)
        victim = await self._find_victim()
        group.kill(victim)
        self._print(f'{victim} was killed')
        remaining = tuple(
            host for host in self.layout.hosts if host.name != victim
        )
        await self.deployment.publish_hosts(remaining)
        await curio.sleep(EDIT_AFTER)
        return await self._edit_plan(remaining)

    async def _find_victim(self) -> str:
        statuses = await self.deployment.read_statuses()
        return max(
            statuses.values(),
            key=lambda status: sum(
                duty.startswith('samples/') for duty in status.duties
            ),
        ).name

    async def _edit_plan(self, hosts: tuple[HostEndpoints, ...]) -> float:
        """Edit a section and wait until the edit is in force on ``hosts``.

        Returns:
            Seconds until the edit was in force, or ``NOT_IN_FORCE`` if that
            exceeds ``IN_FORCE_LIMIT``.
        """
        edit = self.shape.demo_edit
        client = self.deployment.operator_client(edit.section)
        current = (await client.read_plan()).text
        edited_text = current.replace(edit.before, edit.after)
        accepted = await client.submit_edits(find_edits(current, edited_text))
        accepted_at = self.clock.elapsed()
        outdated = await self.deployment.find_outdated(accepted.number, hosts)
        while outdated and self.clock.elapsed() - accepted_at < IN_FORCE_LIMIT:
            await curio.sleep(POLL_SECONDS)
            outdated = await self.deployment.find_outdated(
                accepted.number, hosts
            )
        if outdated:
            self._print(
                f'the plan edit is not in force on {", ".join(outdated)}'
            )
            return NOT_IN_FORCE
        seconds = (self.clock.elapsed() - accepted_at).total_seconds()
        self._print(f'the plan edit is in force after {seconds:.2f} s')
        return seconds

    async def _finish(
        self, group: ProcessGroup, seconds_plan_in_force: float
    ) -> Findings:
        load = decode(await self._wait_for_report(group, 'load'), LoadReport)
        self._print('the load has ended')
        report = await self._wait_for_report(group, 'trainer')
        trainer = decode(report, TrainerReport)
        self._print('the trainer has ended')
        inspector = Inspector(self.layout, self.deployment.client)
        runs = await inspector.collect()
        return compute_findings(
            self.layout, load, trainer, runs, seconds_plan_in_force
        )

    async def _wait_for_report(self, group: ProcessGroup, name: str) -> bytes:
        await curio.run_in_thread(group.wait, name, REPORT_TIMEOUT_SECONDS)
        return (self.folder / f'{name}.report').read_bytes()

    def _show(self, findings: Findings) -> bool:
        figures = asdict(findings)
        rows = [(name, str(figure)) for name, figure in figures.items()]
        show_table(('figure', self.shape.name), rows)
        violations = findings.violations()
        for name in violations:
            typer.echo(f'BROKEN: {name}')
        typer.echo(converter.dumps(findings).decode())
        return not violations

    def _print(self, message: str) -> None:
        elapsed = self.clock.elapsed() - self.started_at
        typer.echo(f'{elapsed.total_seconds():5.1f} s  {message}')


def make_trainer_task(shape: Shape) -> TrainerTask:
    """Return the task of the demo's trainer."""
    trainer = shape.plan.trainers[shape.trainer]
    return TrainerTask(
        shape.trainer,
        shape.trainer_label,
        shape.engine_pool,
        STEPS,
        GROUPS,
        GROUP_SAMPLES,
        MAX_TOKENS,
        trainer.staleness_versions,
        timedelta(seconds=TRAIN_SECONDS),
        trainer.staleness_versions,
    )
