"""Stand-in for a trainer: opens steps, reads samples, publishes weights."""

import random
from collections import Counter
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.samples import make_seed, staleness
from sequoia_wire.calls import Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import (
    Address,
    RequestHead,
    Response,
    encode_headers,
)
from sequoia_wire.platform_messages import PublishedWeights
from sequoia_wire.rows import SampleBatch, SampleGroup, SampleRecord, StepSpec

from sequoia_standins.deployments import demo_key
from sequoia_standins.engines import find_length, make_token

OK = 200
PERMANENT_STATUSES = frozenset((400, 401, 403, 422))  # not retried
TIMEOUTS = Timeouts(timedelta(milliseconds=500), timedelta(seconds=8))
RETRY_INTERVAL = timedelta(milliseconds=100)


class TrainerRefusedError(Exception):
    """A request of a trainer was refused with a permanent status."""


@frozen
class TrainerTask:
    """Workload of a trainer.

    Attributes:
        lookahead: Number of steps opened ahead of the current one.
        train_time: Time to train on one step.
        bound: Maximum staleness in versions; only used to count violations.
        publishes: Whether the trainer publishes weights. Exactly one of the
            trainers that share a pool does.
    """

    trainer: str
    label: str
    pool: str
    steps: int
    groups: int
    group_samples: int
    max_tokens: int
    lookahead: int
    train_time: timedelta
    bound: int
    publishes: bool = True


@frozen
class TrainerReport:
    """Results of a trainer.

    Attributes:
        wanted: Number of samples requested.
        delivered: Number of distinct samples received.
        doubled: Number of repeated deliveries.
        mislabelled: Number of samples whose tokens contradict their versions.
        too_old: Number of samples over the staleness bound.
        wrong_step: Number of samples that belong to another step.
        idle_share: Share of the time spent waiting for samples.
        seconds: Duration of the run.
        staleness: Staleness of each delivered sample, in versions.
    """

    wanted: int
    delivered: int
    doubled: int
    mislabelled: int
    too_old: int
    wrong_step: int
    idle_share: float
    seconds: float
    staleness: tuple[int, ...]


@define
class TrainerStandin:
    """One trainer process.

    Attributes:
        version: Newest published weight version that the trainer knows.
        opened_steps: Number of steps opened so far.
        idle_time: Time spent waiting for samples.
        sample_counts: Number of deliveries by step and slot.
        staleness: Staleness of each delivered sample, in versions.
    """

    task: TrainerTask
    addresses: tuple[Address, ...]
    weight_store: Address
    rng: random.Random
    clock: Clock = field(factory=SystemClock)
    client: HttpClient = field(factory=HttpClient)
    version: int = 0
    opened_steps: int = 0
    idle_time: timedelta = field(factory=timedelta)
    sample_counts: Counter[tuple[int, int]] = field(factory=Counter)
    staleness: list[int] = field(factory=list)
    mislabelled: int = 0
    wrong_step: int = 0

    async def run(self) -> TrainerReport:
        """Train on all steps and return the results.

        Raises:
            TrainerRefusedError: If a request is refused with a permanent
                status.
        """
        started_at = self.clock.elapsed()
        for step in range(self.task.steps):
            await self._open_ahead(step)
            wait_started_at = self.clock.elapsed()
            await self._read_step(step)
            self.idle_time += self.clock.elapsed() - wait_started_at
            await curio.sleep(self.task.train_time.total_seconds())
            await self._publish()
            await self._post(f'/steps/{step}/close', b'')
        return self._make_report(self.clock.elapsed() - started_at)

    async def _open_ahead(self, step: int) -> None:
        last = min(self.task.steps, step + self.task.lookahead + 1)
        while self.opened_steps < last:
            spec = self._make_spec(self.opened_steps)
            await self._post('/steps', encode(spec))
            self.opened_steps += 1

    def _make_spec(self, step: int) -> StepSpec:
        groups = tuple(
            SampleGroup(f'step {step} group {number}', self.task.group_samples)
            for number in range(self.task.groups)
        )
        return StepSpec(
            step,
            self.task.label,
            groups,
            self.task.max_tokens,
            self.version,
        )

    async def _read_step(self, step: int) -> None:
        cursor = 0
        complete = False
        while not complete:
            path = (
                f'/steps/{step}/samples?cursor={cursor}&version={self.version}'
            )
            response = await self._request('GET', path, b'')
            batch = decode(response.body, SampleBatch)
            for sample in batch.samples:
                self._record_sample(step, sample)
            cursor = batch.next_cursor
            complete = batch.whole

    def _record_sample(self, step: int, sample: SampleRecord) -> None:
        self.sample_counts[sample.step, sample.slot] += 1
        self.wrong_step += sample.step != step
        self.mislabelled += not check_sample_tokens(
            sample, self.task.max_tokens
        )
        self.staleness.append(staleness(sample.spans, self.version))

    async def _publish(self) -> None:
        if not self.task.publishes:
            self.version = await self._fetch_newest_version()
            return
        self.version += 1
        published = PublishedWeights(self.task.pool, self.version)
        path = f'/weights/{self.task.pool}'
        head = RequestHead('POST', path)
        await self.client.fetch(self.weight_store, head, encode(published))

    async def _fetch_newest_version(self) -> int:
        head = RequestHead('GET', f'/weights/{self.task.pool}')
        response = await self.client.fetch(self.weight_store, head)
        return decode(response.body, PublishedWeights).version

    async def _post(self, path: str, body: bytes) -> None:
        await self._request('POST', path, body)

    async def _request(self, method: str, path: str, body: bytes) -> Response:
        """Send a request to random entry hosts until one succeeds.

        Raises:
            TrainerRefusedError: If it is refused with a permanent status.
        """
        while True:
            address = self.rng.choice(self.addresses)
            head = self._make_head(method, path)
            try:
                response = await self.client.fetch(
                    address, head, body, TIMEOUTS
                )
            except ServiceError:
                response = None
            if response is not None and response.status == OK:
                return response
            if response is not None and response.status in PERMANENT_STATUSES:
                raise TrainerRefusedError(f'{path}: status {response.status}')
            await curio.sleep(RETRY_INTERVAL.total_seconds())

    def _make_head(self, method: str, path: str) -> RequestHead:
        name = self.task.trainer
        key = demo_key('trainer', name)
        headers = encode_headers(
            {'authorization': f'Bearer {key}', 'sequoia-label': self.task.label}
        )
        return RequestHead(method, f'/v1/trainers/{name}{path}', headers)

    def _make_report(self, elapsed: timedelta) -> TrainerReport:
        task = self.task
        return TrainerReport(
            task.steps * task.groups * task.group_samples,
            len(self.sample_counts),
            sum(count - 1 for count in self.sample_counts.values()),
            self.mislabelled,
            sum(versions > task.bound for versions in self.staleness),
            self.wrong_step,
            self.idle_time / elapsed,
            elapsed.total_seconds(),
            tuple(self.staleness),
        )


def check_sample_tokens(sample: SampleRecord, max_tokens: int) -> bool:
    """Return whether a sample's tokens match its version spans."""
    seed = make_seed(sample.trainer, sample.step, sample.slot)
    length = find_length(sample.prompt, seed, max_tokens)
    covered = 0
    for span in sample.spans:
        if span.start != covered:
            return False
        covered = span.stop
        expected = tuple(
            make_token(sample.prompt, seed, span.version, index)
            for index in range(span.start, span.stop)
        )
        if expected != sample.tokens[span.start : span.stop]:
            return False
    return covered == length == len(sample.tokens)
