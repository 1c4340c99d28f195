"""Checks the service guarantees against the records of the stand-ins."""

from collections import Counter

from attrs import asdict, define, frozen
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode
from sequoia_wire.messages import RequestHead

from sequoia_standins.deployments import Layout, TargetEndpoint
from sequoia_standins.engines import ExecutedRequests
from sequoia_standins.loads import LiveOutcome, LoadReport
from sequoia_standins.plain_services import PlainRuns
from sequoia_standins.trainers import TrainerReport

NOT_RUN = 'not-run'


@frozen
class ObservedRun:
    """A request that a target executed.

    Attributes:
        key: Idempotency key; empty for requests of engines.
    """

    request_id: str
    key: str
    label: str
    domain: str
    target: str


@frozen
class Findings:
    """The figures of one experiment."""

    live_sent: int
    live_answered: int
    live_refused_not_run: int
    live_unresolved: int
    live_lost: int
    live_wrong: int
    live_doubled: int
    live_p50_ms: float
    live_p99_ms: float
    samples_wanted: int
    samples_delivered: int
    samples_doubled: int
    samples_mislabelled: int
    samples_too_old: int
    records_misplaced: int
    wrong_not_run: int
    trainer_idle_share: float
    staleness_p50: int
    staleness_max: int
    seconds_plan_in_force: float

    def violations(self) -> list[str]:
        """Return the names of the figures that violate a guarantee."""
        must_be_zero = (
            'live_lost',
            'live_wrong',
            'live_doubled',
            'samples_doubled',
            'samples_mislabelled',
            'samples_too_old',
            'records_misplaced',
            'wrong_not_run',
        )
        figures = asdict(self)
        violated = [name for name in must_be_zero if figures[name]]
        if self.samples_delivered != self.samples_wanted:
            violated.append('samples_delivered')
        if self.seconds_plan_in_force < 0:
            violated.append('seconds_plan_in_force')
        return violated


@define
class Inspector:
    """Collects the records of all targets."""

    layout: Layout
    client: HttpClient

    async def collect(self) -> tuple[ObservedRun, ...]:
        """Return every request that a target executed."""
        runs: list[ObservedRun] = []
        for target in self.layout.targets:
            if target.pool == self.layout.shape.engine_pool:
                runs.extend(await self._read_engine(target))
            else:
                runs.extend(await self._read_plain(target))
        return tuple(runs)

    async def _read_engine(self, target: TargetEndpoint) -> list[ObservedRun]:
        response = await self.client.fetch(
            target.address,
            RequestHead('GET', '/ran'),
        )
        report = decode(response.body, ExecutedRequests)
        return [
            ObservedRun(
                run.request_id,
                '',
                run.label,
                report.domain,
                report.name,
            )
            for run in report.requests
        ]

    async def _read_plain(self, target: TargetEndpoint) -> list[ObservedRun]:
        response = await self.client.fetch(
            target.address,
            RequestHead('GET', '/runs'),
        )
        report = decode(response.body, PlainRuns)
        return [
            ObservedRun(
                run.request_id,
                run.key,
                run.label,
                report.domain,
                report.name,
            )
            for run in report.runs
        ]


def count_misplaced(layout: Layout, runs: tuple[ObservedRun, ...]) -> int:
    """Count requests executed in a domain that their label forbids."""
    labels = layout.shape.plan.labels
    return sum(
        run.label not in labels or run.domain not in labels[run.label].domains
        for run in runs
    )


def count_doubled(
    outcomes: tuple[LiveOutcome, ...],
    runs: tuple[ObservedRun, ...],
    service: str,
) -> int:
    """Count calls of a service that were executed more than once."""
    run_counts = Counter(run.key for run in runs if run.key)
    return sum(
        run_counts[outcome.key] > 1
        for outcome in outcomes
        if outcome.service == service
    )


def count_wrong_not_run(
    outcomes: tuple[LiveOutcome, ...],
    runs: tuple[ObservedRun, ...],
) -> int:
    """Count executed requests whose verdict was ``not-run``."""
    executed = {run.request_id for run in runs}
    return sum(
        attempt.verdict == NOT_RUN and attempt.request_id in executed
        for outcome in outcomes
        for attempt in outcome.tries
    )


def count_lost(
    outcomes: tuple[LiveOutcome, ...],
    runs: tuple[ObservedRun, ...],
    service: str,
) -> int:
    """Count answered calls of a service that no target executed."""
    executed = {run.key for run in runs}
    return sum(
        outcome.answered and outcome.key not in executed
        for outcome in outcomes
        if outcome.service == service
    )


def percentile(ordered: list[int], share: float) -> int:
    """Return a percentile of sorted numbers, or 0 if there are none."""
    if not ordered:
        return 0
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def compute_findings(
    layout: Layout,
    load: LoadReport,
    trainer: TrainerReport,
    runs: tuple[ObservedRun, ...],
    seconds_plan_in_force: float,
) -> Findings:
    """Compare the results of callers and trainers with executed requests."""
    outcomes = load.outcomes
    answered = sum(outcome.answered for outcome in outcomes)
    unanswered = [outcome for outcome in outcomes if not outcome.answered]
    not_run = sum(outcome.told == NOT_RUN for outcome in unanswered)
    ordered = sorted(trainer.staleness)
    service = layout.shape.plain_pool
    return Findings(
        live_sent=len(outcomes),
        live_answered=answered,
        live_refused_not_run=not_run,
        live_unresolved=len(unanswered) - not_run,
        live_lost=count_lost(outcomes, runs, service),
        live_wrong=sum(outcome.wrong for outcome in outcomes),
        live_doubled=count_doubled(outcomes, runs, service),
        live_p50_ms=load.p50_ms,
        live_p99_ms=load.p99_ms,
        samples_wanted=trainer.wanted,
        samples_delivered=trainer.delivered,
        samples_doubled=trainer.doubled,
        samples_mislabelled=trainer.mislabelled + trainer.wrong_step,
        samples_too_old=trainer.too_old,
        records_misplaced=count_misplaced(layout, runs),
        wrong_not_run=count_wrong_not_run(outcomes, runs),
        trainer_idle_share=round(trainer.idle_share, 3),
        staleness_p50=percentile(ordered, 0.5),
        staleness_max=ordered[-1] if ordered else 0,
        seconds_plan_in_force=round(seconds_plan_in_force, 2),
    )
