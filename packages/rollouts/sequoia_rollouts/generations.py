"""Runs one item at an engine, going on where an earlier run stopped."""

import enum
from collections.abc import Callable
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.submissions import Item, Submission
from sequoia_policy.verdicts import Verdict
from sequoia_wire.clients import Call, Timeouts
from sequoia_wire.messages import ResponseHead, RequestHead, encode_headers

from sequoia_rollouts.dialects import CallLabels
from sequoia_rollouts.events import EventReader, StreamEvent
from sequoia_rollouts.paces import PaceMeter, find_gap_timeout
from sequoia_rollouts.senders import CONNECT_TIMEOUT, OutgoingRequest, Sender

FIRST_PATIENCE = timedelta(seconds=3)  # for the first event
OK = 200
FAILED = 500
IMPOSSIBLE = 422


class RunEnd(enum.Enum):
    """Why a run ended without the whole text.

    Attributes:
        MOVED: A faster engine goes on.
        FAILED: The engine answered with a failure.
        IMPOSSIBLE: The item can never be done.
    """

    MOVED = 'moved'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'


class RunEndedError(Exception):
    """A run ended at its engine without the whole text."""

    def __init__(self, end: RunEnd) -> None:
        """Create the error."""
        super().__init__(end.value)
        self.end = end


@frozen
class MadeEvent:
    """One event of a text.

    Attributes:
        number: Its id in the stream.
        version: Weight version that made it; None if it is not known.
    """

    number: str
    text: str = field(repr=False)
    version: int | None = None


@define
class Generation:
    """The text of an item as far as it was generated.

    Attributes:
        version: Version that makes the next event; None if it is not known.
        restarts: How often the text was begun anew.
        done: Whether the stream ended whole.
        started: When the item was first sent to an engine.
        moved: When the last event came.
        longest_gap: Longest time between two events.
    """

    item: Item
    events: list[MadeEvent] = field(factory=list)
    version: int | None = None
    restarts: int = 0
    done: bool = False
    started: timedelta | None = None
    moved: timedelta | None = None
    longest_gap: timedelta = timedelta()

    @property
    def last_number(self) -> str:
        """Id of the last whole event, empty before the first."""
        return self.events[-1].number if self.events else ''

    @property
    def versions(self) -> set[int]:
        """All versions that made an event."""
        made_by = {event.version for event in self.events}
        return {version for version in made_by if version is not None}

    def accept(self, event: StreamEvent, now: timedelta) -> None:
        """Take the next event."""
        if self.moved is not None:
            self.longest_gap = max(self.longest_gap, now - self.moved)
        self.moved = now
        self.events.append(MadeEvent(event.id, event.text, self.version))

    def restart(self) -> None:
        """Forget all that was generated."""
        self.events.clear()
        self.restarts += 1
        self.version = None
        self.done = False

    def render(self) -> str:
        """Return the whole text."""
        return '\n'.join(event.text for event in self.events)


@define
class Generator:
    """Runs generations of one submission at engines."""

    clock: Clock
    sender: Sender
    submission: Submission
    single_version: bool
    finds_faster: Callable[[RegisteredTarget], bool]

    async def run(
        self, generation: Generation, target: RegisteredTarget
    ) -> None:
        """Generate at one engine until the stream ends.

        Raises:
            RunEndedError: If the engine cannot or should not go on.
            ServiceError: If the run broke off; what was received is kept.
        """
        generation.started = generation.started or self.clock.elapsed()
        call = self.sender.open(target)
        call.timeouts = Timeouts(CONNECT_TIMEOUT, FIRST_PATIENCE)
        async with call:
            await self._start(call, generation, target)
            self._limit_gaps(call, target)
            await self._read_stream(call, generation, target)

    def _limit_gaps(self, call: Call, target: RegisteredTarget) -> None:
        """Bound the silence between events by the pace of the engine."""
        call.timeouts = Timeouts(
            CONNECT_TIMEOUT,
            find_gap_timeout(target, self.clock.elapsed()),
        )

    async def _start(
        self,
        call: Call,
        generation: Generation,
        target: RegisteredTarget,
    ) -> None:
        labels = CallLabels(
            generation.item.id,
            target.name,
            resume_after=generation.last_number,
        )
        outgoing = self._make_request(generation.item)
        head = await self.sender.start(call, outgoing, labels)
        if head.status != OK:
            await self._refuse(call, head)
        version = self.sender.dialect.read_labels(head).version
        if version is not None:
            self._take_version(generation, target, version)

    async def _refuse(self, call: Call, head: ResponseHead) -> None:
        """Raise what an answer without a stream means."""
        await call.read_body()
        if head.status == IMPOSSIBLE:
            raise RunEndedError(RunEnd.IMPOSSIBLE)
        if head.status == FAILED:
            raise RunEndedError(RunEnd.FAILED)
        raise ServiceError(
            Code.TARGET_BROKE,
            f'status {head.status}',
            verdict=Verdict.MAY_HAVE_RUN,
        )

    def _make_request(self, item: Item) -> OutgoingRequest:
        headers = {header.name: header.text for header in item.headers}
        head = RequestHead(
            'POST',
            item.path,
            (
                *encode_headers({'host': self.submission.host}),
                *encode_headers(headers),
            ),
        )
        return OutgoingRequest(item.id, head, item.body)

    async def _read_stream(
        self,
        call: Call,
        generation: Generation,
        target: RegisteredTarget,
    ) -> None:
        reader = EventReader(self.sender.dialect.version_field)
        meter = PaceMeter(target, self.clock.elapsed())
        chunk = await call.read_chunk()
        while chunk:
            before = len(generation.events)
            self._take_chunk(reader, chunk, generation, target)
            made = len(generation.events) - before
            if meter.count(made, self.clock.elapsed()):
                self._limit_gaps(call, target)
                if self.finds_faster(target):
                    raise RunEndedError(RunEnd.MOVED)
            chunk = await call.read_chunk()
        if not reader.at_event_boundary or not generation.events:
            raise ServiceError(Code.TARGET_BROKE, 'the stream is not whole')
        generation.done = True

    def _take_chunk(
        self,
        reader: EventReader,
        chunk: bytes,
        generation: Generation,
        target: RegisteredTarget,
    ) -> None:
        try:
            events = reader.feed(chunk)
        except ValueError as bad:
            raise ServiceError(Code.WRONG_ANSWER, 'not an event') from bad
        for event in events:
            if event.version is not None:
                self._take_version(generation, target, event.version)
            if event.id:
                generation.accept(event, self.clock.elapsed())

    def _take_version(
        self,
        generation: Generation,
        target: RegisteredTarget,
        version: int,
    ) -> None:
        """Note the version that generates from here on.

        Raises:
            ServiceError: If it may not generate this item.
        """
        model = self.submission.model
        if model:
            target.record_version(model, version)
        if version < self.submission.min_version:
            raise ServiceError(
                Code.TARGET_REFUSED,
                f'version {version} is too old',
            )
        if self.single_version and generation.versions - {version}:
            generation.restart()
            raise ServiceError(Code.TARGET_REFUSED, 'the version has changed')
        generation.version = version
