"""Benchmark of trainers' idle time and staleness: baseline against policy."""

from datetime import timedelta

import curio
from attrs import evolve, frozen
from sequoia_policy.choices import ROUND_ROBIN, TWO_CHOICES
from sequoia_policy.plans import digest_key
from sequoia_standins.checks import percentile
from sequoia_standins.demos import make_trainer_task, prepare_folder
from sequoia_standins.deployments import (
    TAMSUI,
    Layout,
    demo_key,
    make_layout,
)
from sequoia_standins.experiments import (
    Deployment,
    TrainerJob,
    write_task,
)
from sequoia_standins.processes import (
    ProcessGroup,
    start_host,
    start_platform,
    start_target,
)
from sequoia_standins.trainers import TrainerReport
from sequoia_wire.codecs import decode

from sequoia_bench.figures import Figure

BENCH = 'samples'
SHAPE = evolve(TAMSUI, hosts=3, engines=6, plain_targets=0)
STEPS = 10
GROUPS = 8
GROUP_SAMPLES = 6
MAX_TOKENS = 400
TRAIN_SECONDS = 1.0
SLOW_TOKEN_TIME = '9ms'
REPORT_TIMEOUT_SECONDS = 120
MAX_PARALLEL_CASES = 2


@frozen
class TrainingCase:
    """Settings of one training run.

    Attributes:
        bound: Staleness bound in versions; also the steps opened ahead.
        hedge_share: Share of a step's slots that may get a hedged attempt.
        chooser: Name of the target chooser.
        order: Order in which slots are dispatched.
        trainers: Number of trainers that share the engines.
    """

    bound: int
    hedge_share: float
    chooser: str = TWO_CHOICES
    order: str = 'longest-first'
    trainers: int = 1

    @property
    def name(self) -> str:
        """Label of the case in the output."""
        kind = 'policy' if self.chooser == TWO_CHOICES else 'baseline'
        return (
            f'{kind}, {self.trainers} trainers, bound {self.bound}, '
            f'hedges {self.hedge_share}'
        )


def make_baseline(bound: int, trainers: int = 1) -> TrainingCase:
    """Return a case with round robin, no hedges and slots in given order."""
    return TrainingCase(bound, 0, ROUND_ROBIN, 'as-given', trainers)


CASES = (
    make_baseline(0),
    TrainingCase(0, 0.2),
    make_baseline(1),
    TrainingCase(1, 0),
    TrainingCase(1, 0.2),
    TrainingCase(1, 0.5),
    make_baseline(2),
    TrainingCase(2, 0.2),
    make_baseline(1, trainers=4),
    TrainingCase(1, 0.2, trainers=4),
)


def make_plan_text(case: TrainingCase) -> str:
    """Return the example plan with the case's trainers."""
    text = SHAPE.plan_file.read_text()
    head, name, trainer = text.partition('    dispatch-trainer:\n')
    trainer = trainer.replace(
        'staleness_versions: 1',
        f'staleness_versions: {case.bound}',
    )
    trainer = trainer.replace(
        'hedge_share: 0.15',
        f'hedge_share: {case.hedge_share}\n      order: {case.order}',
    )
    original_digest = digest_key(demo_key('trainer', SHAPE.trainer))
    copies = [name + trainer]
    for other in trainer_names(case)[1:]:
        digest = digest_key(demo_key('trainer', other))
        copy = trainer.replace(original_digest, digest)
        copies.append(f'    {other}:\n{copy}')
    return head + ''.join(copies)


def trainer_names(case: TrainingCase) -> list[str]:
    """Return the names of a case's trainers."""
    others = [f'dispatch-trainer-{index}' for index in range(1, case.trainers)]
    return ['dispatch-trainer', *others]


def start_processes(
    group: ProcessGroup,
    layout: Layout,
    case: TrainingCase,
) -> None:
    """Start the platform, the targets with one slow engine, and the hosts."""
    start_platform(group, layout)
    slow_target = layout.targets_of(SHAPE.engine_pool)[-1]
    for target in layout.targets:
        options = (
            ('--token-time', SLOW_TOKEN_TIME) if target == slow_target else ()
        )
        start_target(group, layout, target, *options)
    for host in layout.hosts:
        start_host(group, layout, host, CHOOSER=case.chooser)


async def run_trainers(
    group: ProcessGroup,
    layout: Layout,
    case: TrainingCase,
) -> list[TrainerReport]:
    """Run all trainers of a case and return their reports."""
    deployment = Deployment(layout)
    await deployment.publish_plan(make_plan_text(case))
    names = trainer_names(case)
    for name in names:
        task = evolve(
            make_trainer_task(SHAPE),
            trainer=name,
            steps=STEPS,
            groups=GROUPS,
            group_samples=GROUP_SAMPLES // case.trainers or 1,
            max_tokens=MAX_TOKENS,
            lookahead=case.bound,
            train_time=timedelta(seconds=TRAIN_SECONDS),
            bound=case.bound,
            publishes=name == names[0],
        )
        job = TrainerJob(
            task,
            tuple(host.http for host in layout.hosts),
            layout.platform.weight_store,
            1,
        )
        file = write_task(group.folder / f'{name}.json', job)
        group.start(name, 'sequoia-standin', 'trainer', file)
    reports = []
    for trainer_name in names:
        await curio.run_in_thread(
            group.wait, trainer_name, REPORT_TIMEOUT_SECONDS
        )
        body = (group.folder / f'{trainer_name}.report').read_bytes()
        reports.append(decode(body, TrainerReport))
    return reports


async def run_case(case: TrainingCase) -> list[Figure]:
    """Run one case and return its figures."""
    layout = make_layout(SHAPE)
    with ProcessGroup(prepare_folder(BENCH)) as group:
        start_processes(group, layout, case)
        reports = await run_trainers(group, layout, case)
    return make_figures(case, reports)


def make_figures(
    case: TrainingCase,
    reports: list[TrainerReport],
) -> list[Figure]:
    """Return idle share, staleness and violated guarantees of a case."""
    staleness = sorted(
        versions for report in reports for versions in report.staleness
    )
    idle = sum(report.idle_share for report in reports) / len(reports)
    violations = sum(
        report.doubled
        + report.mislabelled
        + report.too_old
        + report.wanted
        - report.delivered
        for report in reports
    )
    return [
        Figure(BENCH, case.name, 'idle share', idle, ''),
        Figure(
            BENCH, case.name, 'staleness p50', percentile(staleness, 0.5), ''
        ),
        Figure(
            BENCH, case.name, 'staleness p99', percentile(staleness, 0.99), ''
        ),
        Figure(BENCH, case.name, 'staleness max', staleness[-1], ''),
        Figure(BENCH, case.name, 'broken promises', violations, ''),
    ]


async def run_cases() -> list[Figure]:
    """Run all cases, a limited number concurrently."""
    figures = []
    for start in range(0, len(CASES), MAX_PARALLEL_CASES):
        async with curio.TaskGroup() as group:
            for case in CASES[start : start + MAX_PARALLEL_CASES]:
                await group.spawn(run_case, case)
        for case_figures in group.results:
            figures.extend(case_figures)
    return figures


def compare_training(_seed: int) -> list[Figure]:
    """Compare baseline and policy in all cases."""
    with curio.Kernel() as kernel:
        return kernel.run(run_cases)
