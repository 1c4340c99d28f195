"""Generates an item at an engine, resuming where an earlier run stopped."""

import enum
from collections.abc import Callable
from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.submissions import Item, Submission
from sequoia_policy.verdicts import Verdict
from sequoia_wire.calls import Call, Timeouts, limit_call_time
from sequoia_wire.messages import RequestHead, ResponseHead, encode_headers

from sequoia_rollouts.targets.dialects import CallLabels
from sequoia_rollouts.streaming.events import EventReader, StreamEvent
from sequoia_rollouts.streaming.paces import (
    PaceMeter,
    StreamProgress,
    find_gap_timeout,
)
from sequoia_rollouts.targets.senders import (
    CONNECT_TIMEOUT,
    OutgoingRequest,
    Sender,
)
from sequoia_rollouts.streaming.stream_checks import (
    check_end,
    check_event,
    check_head,
    read_events,
)

FIRST_EVENT_TIMEOUT = timedelta(seconds=3)
START_TIMEOUT = FIRST_EVENT_TIMEOUT * 2  # for a response that is no stream
STATUS_OK = 200
STATUS_ITEM_FAILED = 500
STATUS_ITEM_IMPOSSIBLE = 422


class RunEnd(enum.Enum):
    """Why a run ended before the text was complete.

    Attributes:
        MOVED: The item is to be resumed at a faster engine.
        FAILED: The engine responded that the item failed.
        IMPOSSIBLE: The engine responded that the item can never be generated.
    """

    MOVED = 'moved'
    FAILED = 'failed'
    IMPOSSIBLE = 'impossible'


class RunEndedError(Exception):
    """A run ended at its engine before the text was complete."""

    def __init__(self, end: RunEnd) -> None:
        """Create the error."""
        super().__init__(end.value)
        self.end = end


@frozen
class GeneratedEvent:
    """One event of a generated text.

    Attributes:
        number: Id of the event in the stream.
        version: Weight version that generated it; None if unknown.
    """

    number: str
    text: str = field(repr=False)
    version: int | None = None


@define
class Generation:
    """The text of an item as far as it is generated.

    Attributes:
        version: Weight version that generates the next event; None if unknown.
        release: Release of the engines that generated the events; empty before
            the first, and if it is unknown.
        restarts: Number of times the text was discarded and restarted.
        done: Whether the stream ended with the text complete.
        started: When the item was first sent to an engine.
        moved: When the last event was received.
        waits_since: Since when no engine was free to go on; None while one
            generates.
        longest_gap: Longest time between two consecutive events.
    """

    item: Item
    events: list[GeneratedEvent] = field(factory=list)
    version: int | None = None
    release: str = ''
    restarts: int = 0
    done: bool = False
    started: timedelta | None = None
    moved: timedelta | None = None
    waits_since: timedelta | None = None
    longest_gap: timedelta = timedelta()

    @property
    def last_event_id(self) -> str:
        """Id of the last complete event; empty before the first."""
        return self.events[-1].number if self.events else ''

    @property
    def versions(self) -> set[int]:
        """Weight versions that generated at least one event."""
        versions = {event.version for event in self.events}
        return {version for version in versions if version is not None}

    def append_event(self, event: StreamEvent, now: timedelta) -> None:
        """Append the next event, received at ``now``."""
        if self.moved is not None:
            self.longest_gap = max(self.longest_gap, now - self.moved)
        self.moved = now
        self.events.append(GeneratedEvent(event.id, event.text, self.version))

    def restart(self) -> None:
        """Discard the text and start again."""
        self.events.clear()
        self.restarts += 1
        self.version = None
        self.release = ''
        self.waits_since = None
        self.done = False

    def render(self) -> str:
        """Return the text of all events."""
        return '\n'.join(event.text for event in self.events)


@define
class GenerationRunner:
    """Runs generations of one submission at engines.

    Attributes:
        single_version: Whether one weight version must generate all of a text.
        has_faster_engine: Returns whether to move a run to a faster engine.
        is_current: Returns whether no other process of an engine's name is
            known.
    """

    clock: Clock
    sender: Sender
    submission: Submission
    single_version: bool
    has_faster_engine: Callable[[RegisteredTarget], bool]
    is_current: Callable[[RegisteredTarget], bool]

    async def run(
        self, generation: Generation, target: RegisteredTarget
    ) -> None:
        """Generate at one engine until the stream ends.

        Raises:
            RunEndedError: If the engine cannot or should not continue.
            ServiceError: If the run was interrupted; received events are kept.
        """
        generation.started = generation.started or self.clock.elapsed()
        generation.waits_since = None
        size = len(generation.item.body)
        async with self.sender.open(target, Urgency.ROLLOUT, size) as call:
            call.timeouts = Timeouts(CONNECT_TIMEOUT, FIRST_EVENT_TIMEOUT)
            async with limit_call_time(call, START_TIMEOUT):
                head = await self._start(call, generation, target)
            before = len(generation.events)
            reader = EventReader(self.sender.dialect.version_field)
            await self._read_stream(call, reader, generation, target)
            received = len(generation.events) - before
            check_end(head, reader, generation.last_event_id, received)
            generation.done = True

    async def _start(
        self,
        call: Call,
        generation: Generation,
        target: RegisteredTarget,
    ) -> ResponseHead:
        labels = CallLabels(
            generation.item.id,
            target.name,
            resume_after=generation.last_event_id,
        )
        outgoing = self._make_request(generation.item)
        head = await self.sender.start(call, target, outgoing, labels)
        if head.status != STATUS_OK:
            await self._raise_for_status(call, head)
        received = self.sender.dialect.read_labels(head)
        check_head(head, received)
        if received.version is not None:
            self._apply_version(generation, target, received.version)
        return head

    async def _raise_for_status(self, call: Call, head: ResponseHead) -> None:
        """Raise the error for a response that is not a stream."""
        await call.read_body()
        if head.status == STATUS_ITEM_IMPOSSIBLE:
            raise RunEndedError(RunEnd.IMPOSSIBLE)
        if head.status == STATUS_ITEM_FAILED:
            raise RunEndedError(RunEnd.FAILED)
        raise ServiceError(
            Code.TARGET_BROKE,
            f'engine responded with status {head.status}',
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
        reader: EventReader,
        generation: Generation,
        target: RegisteredTarget,
    ) -> None:
        meter = PaceMeter(target, self.clock.elapsed())
        progress = StreamProgress(self.clock.elapsed())
        chunk = await self._read_chunk(call, target, progress)
        while chunk:
            before = len(generation.events)
            self._apply_chunk(reader, chunk, generation, target)
            await call.reserve(len(reader.pending))
            received = len(generation.events) - before
            progress.record(received, self.clock.elapsed())
            if meter.count(received, self.clock.elapsed()):
                if self.has_faster_engine(target):
                    raise RunEndedError(RunEnd.MOVED)
            chunk = await self._read_chunk(call, target, progress)

    async def _read_chunk(
        self, call: Call, target: RegisteredTarget, progress: StreamProgress
    ) -> bytes:
        """Return the next chunk unless the next event is overdue."""
        now = self.clock.elapsed()
        timeout = progress.remaining(find_gap_timeout(target, now), now)
        call.timeouts = Timeouts(CONNECT_TIMEOUT, timeout)
        return await call.read_chunk()

    def _apply_chunk(
        self,
        reader: EventReader,
        chunk: bytes,
        generation: Generation,
        target: RegisteredTarget,
    ) -> None:
        for event in read_events(reader, chunk):
            check_event(generation.last_event_id, event)
            self._check_release(generation, target)
            if event.version is not None:
                self._apply_version(generation, target, event.version)
            if not event.is_comment:
                generation.append_event(event, self.clock.elapsed())

    def _check_release(
        self, generation: Generation, target: RegisteredTarget
    ) -> None:
        """Bind a text to the release of the engine that generates it.

        Raises:
            ServiceError: If it is not the release that began the text.
        """
        release = target.registration.release
        is_known = self.is_current(target)
        if is_known and generation.release in {'', release}:
            generation.release = release
            return
        raise ServiceError(
            Code.TARGET_BROKE, f'{target.name} may be of another release'
        )

    def _apply_version(
        self,
        generation: Generation,
        target: RegisteredTarget,
        version: int,
    ) -> None:
        """Record the weight version that generates the next events.

        Raises:
            ServiceError: If this version must not generate the item.
        """
        model = self.submission.model
        if model:
            target.record_version(model, version)
        if version < self.submission.min_version:
            raise ServiceError(
                Code.TARGET_REFUSED,
                f'weight version {version} is older than the submission allows',
            )
        if self.single_version and generation.versions - {version}:
            generation.restart()
            raise ServiceError(
                Code.TARGET_REFUSED,
                'weight version changed within a single-version text',
            )
        generation.version = version
