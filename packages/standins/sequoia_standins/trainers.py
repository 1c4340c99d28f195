"""Stand-in of a trainer: opens steps, reads samples, publishes weights."""

import random
from collections import Counter
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.samples import make_seed, staleness
from sequoia_wire.clients import HttpClient, Timeouts
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import (
    Address,
    Response,
    RequestHead,
    encode_headers,
)
from sequoia_wire.platform_messages import PublishedWeights
from sequoia_wire.rows import SampleBatch, SampleGroup, SampleRecord, StepSpec

from sequoia_standins.deployments import demo_key
from sequoia_standins.engines import find_length, make_token

OK = 200
HOPELESS = frozenset((400, 401, 403, 422))  # statuses not worth a retry
PATIENCE = Timeouts(timedelta(milliseconds=500), timedelta(seconds=8))
PAUSE = timedelta(milliseconds=100)


class TrainerRefusedError(Exception):
    """A trainer was refused for good."""


@frozen
class TrainerTask:
    """What a trainer does.

    Attributes:
        lookahead: Steps that are opened before they are needed.
        train_time: Time to train on one step.
        bound: Staleness bound in versions, for the check only.
        publishes: Whether it publishes weights; of trainers that share a
            pool one does.
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
    """What a trainer saw.

    Attributes:
        idle_share: Share of the time that it waited for samples.
        staleness: Versions behind, of each sample.
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
    """One trainer process."""

    task: TrainerTask
    addresses: tuple[Address, ...]
    weight_store: Address
    chance: random.Random
    clock: Clock = field(factory=SystemClock)
    client: HttpClient = field(factory=HttpClient)
    version: int = 0
    opened: int = 0
    idle: timedelta = field(factory=timedelta)
    seen: Counter[tuple[int, int]] = field(factory=Counter)
    staleness: list[int] = field(factory=list)
    mislabelled: int = 0
    wrong_step: int = 0

    async def run(self) -> TrainerReport:
        """Train all steps."""
        started = self.clock.elapsed()
        for step in range(self.task.steps):
            await self._open_ahead(step)
            asked = self.clock.elapsed()
            await self._read_step(step)
            self.idle += self.clock.elapsed() - asked
            await curio.sleep(self.task.train_time.total_seconds())
            await self._publish()
            await self._post(f'/steps/{step}/close', b'')
        return self._report(self.clock.elapsed() - started)

    async def _open_ahead(self, step: int) -> None:
        last = min(self.task.steps, step + self.task.lookahead + 1)
        while self.opened < last:
            spec = self._make_spec(self.opened)
            await self._post('/steps', encode(spec))
            self.opened += 1

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
        whole = False
        while not whole:
            path = (
                f'/steps/{step}/samples?cursor={cursor}&version={self.version}'
            )
            answer = await self._ask('GET', path, b'')
            batch = decode(answer.body, SampleBatch)
            for sample in batch.samples:
                self._take(step, sample)
            cursor = batch.next_cursor
            whole = batch.whole

    def _take(self, step: int, sample: SampleRecord) -> None:
        self.seen[sample.step, sample.slot] += 1
        self.wrong_step += sample.step != step
        self.mislabelled += not check_label(sample, self.task.max_tokens)
        self.staleness.append(staleness(sample.spans, self.version))

    async def _publish(self) -> None:
        if not self.task.publishes:
            self.version = await self._read_newest()
            return
        self.version += 1
        published = PublishedWeights(self.task.pool, self.version)
        path = f'/weights/{self.task.pool}'
        head = RequestHead('POST', path)
        await self.client.fetch(self.weight_store, head, encode(published))

    async def _read_newest(self) -> int:
        head = RequestHead('GET', f'/weights/{self.task.pool}')
        answer = await self.client.fetch(self.weight_store, head)
        return decode(answer.body, PublishedWeights).version

    async def _post(self, path: str, body: bytes) -> None:
        await self._ask('POST', path, body)

    async def _ask(self, method: str, path: str, body: bytes) -> Response:
        """Ask random entry hosts until one answers."""
        while True:
            address = self.chance.choice(self.addresses)
            head = self._make_head(method, path)
            try:
                answer = await self.client.fetch(address, head, body, PATIENCE)
            except ServiceError:
                answer = None
            if answer is not None and answer.status == OK:
                return answer
            if answer is not None and answer.status in HOPELESS:
                raise TrainerRefusedError(f'{path}: status {answer.status}')
            await curio.sleep(PAUSE.total_seconds())

    def _make_head(self, method: str, path: str) -> RequestHead:
        name = self.task.trainer
        key = demo_key('trainer', name)
        headers = encode_headers(
            {'authorization': f'Bearer {key}', 'sequoia-label': self.task.label}
        )
        return RequestHead(method, f'/v1/trainers/{name}{path}', headers)

    def _report(self, took: timedelta) -> TrainerReport:
        task = self.task
        return TrainerReport(
            task.steps * task.groups * task.group_samples,
            len(self.seen),
            sum(count - 1 for count in self.seen.values()),
            self.mislabelled,
            sum(behind > task.bound for behind in self.staleness),
            self.wrong_step,
            self.idle / took,
            took.total_seconds(),
            tuple(self.staleness),
        )


def check_label(sample: SampleRecord, max_tokens: int) -> bool:
    """Tell whether a sample's tokens are what its versions make."""
    seed = make_seed(sample.trainer, sample.step, sample.slot)
    length = find_length(sample.prompt, seed, max_tokens)
    covered = 0
    for span in sample.spans:
        if span.start != covered:
            return False
        covered = span.stop
        made = tuple(
            make_token(sample.prompt, seed, span.version, index)
            for index in range(span.start, span.stop)
        )
        if made != sample.tokens[span.start : span.stop]:
            return False
    return covered == length == len(sample.tokens)
