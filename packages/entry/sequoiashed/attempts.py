"""Runs one attempt of a slot: generates a sample and scores it."""

import uuid
from datetime import timedelta

import curio
from attrs import define, evolve, field, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plans import ServiceKind
from sequoia_policy.samples import (
    AttemptTokens,
    InvalidAttemptError,
    make_seed,
)
from sequoia_policy.schedules import PlannedAttempt
from sequoia_wire.codecs import decode, encode
from sequoia_wire.generations import GenerationCall, TokenChunk
from sequoia_wire.logs import Log
from sequoia_wire.messages import Header
from sequoia_wire.platform_messages import Score, ScoringRequest
from sequoia_wire.rows import SampleRecord, SlotRow

from sequoiashed.calls import ROLLOUT_PRIORITY, RoutedCall
from sequoiashed.routers import Router
from sequoiashed.states import HostState
from sequoiashed.steps import OpenStep

MAX_ROUNDS = 40  # router runs before an attempt fails
ROUND_BACKOFF = timedelta(milliseconds=100)
ROUND_TIMEOUT = timedelta(seconds=120)
ROUTER_ATTEMPTS = 3
AFFINITY_CHARACTERS = 256  # prompt prefix that serves as the affinity key
MIN_UNSUCCESSFUL_STATUS = 300

log = Log('samples')


@define
class AttemptProgress:
    """Progress of an attempt, which its duty observes.

    Attributes:
        collected: Tokens so far.
        excluded_target: Target that must not be used, since the hedged attempt
            runs there.
        call: Call that generates the sample, once it is routed.
    """

    collected: AttemptTokens = field(factory=AttemptTokens)
    excluded_target: str = ''
    call: RoutedCall | None = None

    def make_hedge(self) -> 'AttemptProgress':
        """Return the progress of a hedge, which starts from these tokens."""
        target = self.call.target if self.call else ''
        return AttemptProgress(self.collected.copy(), target)


@define
class TokenSink:
    """Collects the tokens of an attempt and their weight versions."""

    step: OpenStep
    planned: PlannedAttempt
    request_id: str
    collected: AttemptTokens = field(factory=AttemptTokens)

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Check the status of the response.

        Raises:
            InvalidAttemptError: If the status is 300 or higher.
        """
        if status >= MIN_UNSUCCESSFUL_STATUS:
            raise InvalidAttemptError(
                f'the engine responded with status {status}'
            )

    async def send(self, chunk: bytes) -> None:
        """Append the tokens of complete lines.

        Raises:
            InvalidAttemptError: If a line belongs to another request or the
                tokens cannot be appended.
        """
        for line in chunk.splitlines():
            self._append(decode(line, TokenChunk))
        progress = len(self.collected.tokens)
        self.step.schedule.record_progress(self.planned, progress)

    async def finish(self) -> None:
        """Do nothing; ``AttemptRunner`` checks that the stream is complete."""

    def _append(self, chunk: TokenChunk) -> None:
        if chunk.request_id != self.request_id:
            raise InvalidAttemptError('a chunk belongs to another request')
        if chunk.done:
            self.collected.finish(chunk.start)
        else:
            self.collected.append_chunk(
                chunk.start, chunk.tokens, chunk.version
            )


@define
class BodySink:
    """Collects a small response."""

    status: int = 0
    body: bytearray = field(factory=bytearray)

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Store the status."""
        self.status = status

    async def send(self, chunk: bytes) -> None:
        """Append a chunk."""
        self.body.extend(chunk)

    async def finish(self) -> None:
        """Do nothing; the body is complete."""


@frozen
class FinishedAttempt:
    """A sample, and the row that commits it.

    Attributes:
        planned: The attempt that produced the sample.
        body: The sample's object, which is stored before the row.
    """

    planned: PlannedAttempt
    row: SlotRow
    body: bytes = field(repr=False)


@define
class AttemptRunner:
    """Generates and scores samples for one trainer."""

    state: HostState
    router: Router
    trainer_name: str

    async def run(
        self,
        step: OpenStep,
        planned: PlannedAttempt,
        progress: AttemptProgress,
    ) -> FinishedAttempt:
        """Generate and score one sample.

        Args:
            step: The step that the sample belongs to.
            planned: Attempt at one of the step's slots.
            progress: Collects the tokens; generation resumes after the tokens
                that it contains already.

        Raises:
            InvalidAttemptError: If the token stream is incomplete, or the
                weight version of a token is unknown.
            ServiceError: If generation or scoring failed in all rounds.
        """
        attempt_id = uuid.uuid4().hex
        sink = TokenSink(step, planned, attempt_id, progress.collected)
        record = await self._generate(sink, progress)
        scored = evolve(record, reward=await self._score(step, record))
        document = (
            f'samples/{self.trainer_name}/{step.number}/'
            f'{planned.slot.index}/{attempt_id}'
        )
        row = SlotRow(
            planned.slot.index,
            document,
            scored.spans,
            self.state.clock.now(),
        )
        return FinishedAttempt(planned, row, encode(scored))

    async def _generate(
        self,
        sink: TokenSink,
        progress: AttemptProgress,
    ) -> SampleRecord:
        step = sink.step
        slot = sink.planned.slot
        generation = GenerationCall(
            step.prompts[slot.group],
            slot.max_tokens,
            make_seed(self.trainer_name, step.number, slot.index),
        )
        call = self._make_call(step, sink.request_id, generation)
        call.first_token = len(sink.collected.tokens)
        call.excluded_target = progress.excluded_target
        progress.call = call
        await self._route(call, sink)
        if not sink.collected.done or not sink.collected.tokens:
            raise InvalidAttemptError('the token stream is empty or incomplete')
        return SampleRecord(
            self.trainer_name,
            step.number,
            slot.index,
            slot.group,
            sink.request_id,
            generation.prompt,
            tuple(sink.collected.tokens),
            tuple(sink.collected.spans),
        )

    def _make_call(
        self,
        step: OpenStep,
        attempt_id: str,
        generation: GenerationCall,
    ) -> RoutedCall:
        trainer = self.state.plan.trainers[self.trainer_name]
        return RoutedCall(
            request_id=attempt_id,
            service=trainer.pool,
            pool=trainer.pool,
            kind=ServiceKind.ENGINE,
            placement=step.placement,
            caller=self.trainer_name,
            deadline=self.state.clock.elapsed() + ROUND_TIMEOUT,
            body=encode(generation),
            idempotent=True,
            max_attempts=ROUTER_ATTEMPTS,
            priority=ROLLOUT_PRIORITY,
            affinity=generation.prompt[:AFFINITY_CHARACTERS],
            min_version=step.min_version,
        )

    async def _route(
        self,
        call: RoutedCall,
        sink: TokenSink | BodySink,
    ) -> None:
        """Route a call in several rounds, each resuming the one before it.

        Raises:
            ServiceError: If the last round failed.
        """
        for round_number in range(1, MAX_ROUNDS + 1):
            call.attempts = 0
            call.tried_targets.clear()
            call.deadline = self.state.clock.elapsed() + ROUND_TIMEOUT
            try:
                await self.router.run(call, sink)
            except ServiceError as error:
                if round_number == MAX_ROUNDS:
                    raise
                log.write(
                    'routing round failed, retrying',
                    request_id=call.request_id,
                    code=error.code.value.label,
                )
            else:
                return
            jitter = self.state.rng.uniform(1, 3)
            await curio.sleep(ROUND_BACKOFF.total_seconds() * jitter)

    async def _score(self, step: OpenStep, record: SampleRecord) -> float:
        trainer = self.state.plan.trainers[self.trainer_name]
        scoring = ScoringRequest(record.attempt, record.prompt, record.tokens)
        call = RoutedCall(
            request_id=record.attempt,
            service=trainer.scorer,
            pool=trainer.scorer,
            kind=ServiceKind.PLAIN,
            placement=step.placement,
            caller=self.trainer_name,
            deadline=self.state.clock.elapsed() + ROUND_TIMEOUT,
            path='/score',
            body=encode(scoring),
            idempotent=True,
            max_attempts=ROUTER_ATTEMPTS,
            priority=ROLLOUT_PRIORITY,
        )
        sink = BodySink()
        await self._route(call, sink)
        score = decode(bytes(sink.body), Score)
        if score.request_id != record.attempt:
            raise ServiceError(
                Code.WRONG_ANSWER, 'the score belongs to another sample'
            )
        return score.reward
