"""Runs one attempt of a slot: generate and score."""

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

ROUNDS = 40  # routings of one attempt before it is given up
ROUND_PAUSE = timedelta(milliseconds=100)
ROUND_LIMIT = timedelta(seconds=120)
ROUTER_ATTEMPTS = 3
AFFINITY_CHARACTERS = 256
FIRST_ERROR_STATUS = 300

log = Log('samples')


@define
class AttemptTrack:
    """An attempt as its duty follows it.

    Attributes:
        collected: Tokens so far.
        avoided: Target that it must not use, as another attempt does.
        call: Its generation, once it is routed.
    """

    collected: AttemptTokens = field(factory=AttemptTokens)
    avoided: str = ''
    call: RoutedCall | None = None

    def make_hedge(self) -> 'AttemptTrack':
        """Return the track of an attempt that doubles this one."""
        target = self.call.target if self.call else ''
        return AttemptTrack(self.collected.copy(), target)


@define
class TokenSink:
    """Collects the tokens of an attempt with their versions."""

    step: OpenStep
    start_of: PlannedAttempt
    request_id: str
    collected: AttemptTokens = field(factory=AttemptTokens)

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Refuse an answer that is no token stream."""
        if status >= FIRST_ERROR_STATUS:
            raise InvalidAttemptError(f'status {status}')

    async def send(self, chunk: bytes) -> None:
        """Take whole lines of the stream."""
        for line in chunk.splitlines():
            self._take(decode(line, TokenChunk))
        progress = len(self.collected.tokens)
        self.step.schedule.record_progress(self.start_of, progress)

    async def finish(self) -> None:
        """Take the end; whether the stream is whole is checked by its use."""

    def _take(self, chunk: TokenChunk) -> None:
        if chunk.request_id != self.request_id:
            raise InvalidAttemptError('a chunk of another request')
        if chunk.done:
            self.collected.finish(chunk.start)
        else:
            self.collected.append_chunk(
                chunk.start, chunk.tokens, chunk.version
            )


@define
class BodySink:
    """Collects a small answer."""

    status: int = 0
    body: bytearray = field(factory=bytearray)

    async def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Take the status."""
        self.status = status

    async def send(self, chunk: bytes) -> None:
        """Take some bytes."""
        self.body.extend(chunk)

    async def finish(self) -> None:
        """Take the end."""


@frozen
class FinishedAttempt:
    """A sample, and the row that would commit it.

    Attributes:
        body: The sample's object, which is stored before the row.
    """

    start: PlannedAttempt
    row: SlotRow
    body: bytes = field(repr=False)


@define
class AttemptRunner:
    """Makes samples for one trainer."""

    state: HostState
    router: Router
    trainer_name: str

    async def run(
        self,
        step: OpenStep,
        start: PlannedAttempt,
        track: AttemptTrack,
    ) -> FinishedAttempt:
        """Generate and score one sample.

        Args:
            step: The step.
            start: What to generate.
            track: Takes the tokens; generation goes on after those that it
                holds already.

        Raises:
            InvalidAttemptError: If its tokens cannot be labelled truly.
            ServiceError: If it cannot be made now.
        """
        attempt = uuid.uuid4().hex
        sink = TokenSink(step, start, attempt, track.collected)
        record = await self._generate(sink, track)
        scored = evolve(record, reward=await self._score(step, record))
        document = (
            f'samples/{self.trainer_name}/{step.number}/'
            f'{start.slot.index}/{attempt}'
        )
        row = SlotRow(
            start.slot.index,
            document,
            scored.spans,
            self.state.clock.now(),
        )
        return FinishedAttempt(start, row, encode(scored))

    async def _generate(
        self,
        sink: TokenSink,
        track: AttemptTrack,
    ) -> SampleRecord:
        step = sink.step
        slot = sink.start_of.slot
        wanted = GenerationCall(
            step.prompts[slot.group],
            slot.max_tokens,
            make_seed(self.trainer_name, step.number, slot.index),
        )
        call = self._make_call(step, sink.request_id, wanted)
        call.first_token = len(sink.collected.tokens)
        call.avoided = track.avoided
        track.call = call
        await self._route(call, sink)
        if not sink.collected.done or not sink.collected.tokens:
            raise InvalidAttemptError('the stream is empty or not whole')
        return SampleRecord(
            self.trainer_name,
            step.number,
            slot.index,
            slot.group,
            sink.request_id,
            wanted.prompt,
            tuple(sink.collected.tokens),
            tuple(sink.collected.spans),
        )

    def _make_call(
        self,
        step: OpenStep,
        attempt: str,
        wanted: GenerationCall,
    ) -> RoutedCall:
        trainer = self.state.plan.trainers[self.trainer_name]
        return RoutedCall(
            request_id=attempt,
            service=trainer.pool,
            pool=trainer.pool,
            kind=ServiceKind.ENGINE,
            placement=step.placement,
            caller=self.trainer_name,
            deadline=self.state.clock.elapsed() + ROUND_LIMIT,
            body=encode(wanted),
            idempotent=True,
            max_attempts=ROUTER_ATTEMPTS,
            priority=ROLLOUT_PRIORITY,
            affinity=wanted.prompt[:AFFINITY_CHARACTERS],
            min_version=step.min_version,
        )

    async def _route(
        self,
        call: RoutedCall,
        sink: TokenSink | BodySink,
    ) -> None:
        """Route a call in several rounds; each goes on where one stopped."""
        for round_number in range(1, ROUNDS + 1):
            call.attempts = 0
            call.tried.clear()
            call.deadline = self.state.clock.elapsed() + ROUND_LIMIT
            try:
                await self.router.run(call, sink)
            except ServiceError as failure:
                if round_number == ROUNDS:
                    raise
                log.write(
                    'attempt waits',
                    request_id=call.request_id,
                    code=failure.code.value.label,
                )
            else:
                return
            spread = self.state.rng.uniform(1, 3)
            await curio.sleep(ROUND_PAUSE.total_seconds() * spread)

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
            deadline=self.state.clock.elapsed() + ROUND_LIMIT,
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
            raise ServiceError(Code.WRONG_ANSWER, 'score of another sample')
        return score.reward
