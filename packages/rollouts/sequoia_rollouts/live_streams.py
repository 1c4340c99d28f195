"""Passes streams of engines on to callers, event by event.

A stream that breaks off goes on at another engine after its last whole event
where its route allows it; the caller then sees one answer, with the head of
the first engine.
"""

from datetime import timedelta

from attrs import frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.verdicts import Verdict
from sequoia_wire.clients import Call, Timeouts, limit_call_time
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Response, ResponseHead

from sequoia_rollouts.dialects import CallLabels
from sequoia_rollouts.events import EventReader, StreamEvent
from sequoia_rollouts.live_attempts import LiveAttempts
from sequoia_rollouts.live_retries import LiveRetries
from sequoia_rollouts.live_targets import LiveTargets
from sequoia_rollouts.paces import PaceMeter, find_gap_timeout
from sequoia_rollouts.senders import (
    CONNECT_PATIENCE,
    Sender,
    strip_own_headers,
)
from sequoia_rollouts.streams import (
    LiveStream,
    StreamRun,
    check_order,
    read_events,
)

OK = 200
FIRST_ERROR = 500
OBJECTIVES_TO_FIRST_EVENT = 2.0  # if another engine may be asked
SHORTEST_TO_FIRST_EVENT = timedelta(seconds=1)
LONGEST_GAP = timedelta(milliseconds=1500)  # callers leave after 2 s
LEAST_URGENT = 4  # of live streams; items of submissions come after

log = Log('live')
STREAM_ANSWERED = log.event(
    'stream answered',
    'request_id',
    'target',
    'events',
    'resumes',
    'refusals',
    'first_event',
    'seconds',
    'config_version',
    kind=LogKind.SUCCESS,
)
STREAM_RESUMED = log.event(
    'stream resumed',
    'request_id',
    'target',
    'after',
    'version_before',
    'version',
    kind=LogKind.FAILURE,
)


@frozen
class StreamRelay:
    """Brings streams from engines to callers."""

    clock: Clock
    sender: Sender
    targets: LiveTargets
    retries: LiveRetries

    async def run(self, stream: LiveStream) -> Response | None:
        """Pass a stream on until it is whole.

        Returns:
            An answer that is no stream and was not passed on, or None.

        Raises:
            ServiceError: If the stream could not be passed on whole.
        """
        attempts = stream.attempts
        answer = None
        while not stream.done:
            target = self.targets.choose(attempts)
            try:
                answer = await self._run_at(stream, target)
            except ServiceError as failure:
                await self.retries.take_failure(attempts, target, failure)
        self._log_end(stream)
        return answer

    async def _run_at(
        self,
        stream: LiveStream,
        target: RegisteredTarget,
    ) -> Response | None:
        left = stream.attempts.end - self.clock.elapsed()
        target.running += 1
        try:
            async with self.sender.open(target) as call:
                async with limit_call_time(call, left):
                    return await self._run_call(stream, target, call)
        finally:
            target.running -= 1

    async def _run_call(
        self,
        stream: LiveStream,
        target: RegisteredTarget,
        call: Call,
    ) -> Response | None:
        attempts = stream.attempts
        call.timeouts = Timeouts(
            CONNECT_PATIENCE,
            self._find_first_patience(attempts),
        )
        labels = CallLabels(
            attempts.request.outgoing.id,
            target.name,
            attempts.end - self.clock.elapsed(),
            resume_after=stream.last_number,
            priority=min(attempts.route.priority, LEAST_URGENT),
        )
        outgoing = attempts.request.outgoing
        head = await self.sender.start(call, outgoing, labels)
        if head.status != OK:
            return await self._take_whole(stream, target, call, head)
        run = StreamRun(
            call,
            head,
            EventReader(self.sender.dialect.version_field),
            PaceMeter(target, self.clock.elapsed()),
            self.sender.dialect.read_labels(head).version,
        )
        await self._pass_on(stream, run)
        return None

    def _find_first_patience(self, attempts: LiveAttempts) -> timedelta:
        """Return how long an engine may take to its first event."""
        if not attempts.has_successor:
            return attempts.end - self.clock.elapsed()
        objective = attempts.route.objective * OBJECTIVES_TO_FIRST_EVENT
        return max(SHORTEST_TO_FIRST_EVENT, objective)

    async def _take_whole(
        self,
        stream: LiveStream,
        target: RegisteredTarget,
        call: Call,
        head: ResponseHead,
    ) -> Response | None:
        """Return an answer that is no stream, or None to try again.

        Raises:
            ServiceError: If part of the stream was passed on already.
        """
        answer = Response(head, await call.read_body())
        failed = ServiceError(
            Code.TARGET_BROKE,
            f'{target.name} answered {head.status}',
            verdict=Verdict.RAN,
        )
        if stream.attempts.started:
            raise failed
        if head.status >= FIRST_ERROR:
            stream.attempts.note_failure(target.name, failed)
            if self.retries.allows(stream.attempts, failed):
                return None
        stream.done = True
        return answer

    async def _pass_on(self, stream: LiveStream, run: StreamRun) -> None:
        labels = self.sender.dialect.read_labels(run.head)
        if not labels.receipt or not labels.request_id:
            raise ServiceError(Code.WRONG_ANSWER, 'no receipt')
        chunk = await run.call.read_chunk()
        while chunk:
            for event in read_events(run.reader, chunk):
                await self._pass_event(stream, run, event)
            run.call.timeouts = Timeouts(
                CONNECT_PATIENCE,
                self._find_gap_patience(stream, run),
            )
            chunk = await run.call.read_chunk()
        if not run.reader.is_clean or not stream.last_number:
            raise ServiceError(Code.TARGET_BROKE, 'the stream is not whole')
        await self._send(stream, run, b'')
        await stream.sink.finish()
        stream.done = True

    def _find_gap_patience(
        self,
        stream: LiveStream,
        run: StreamRun,
    ) -> timedelta:
        """Return how long to wait for the next event.

        Silence is no reason to end a stream that cannot go on elsewhere.
        """
        now = self.clock.elapsed()
        if stream.attempts.has_successor:
            return min(LONGEST_GAP, find_gap_timeout(run.meter.target, now))
        return stream.attempts.end - now

    async def _pass_event(
        self,
        stream: LiveStream,
        run: StreamRun,
        event: StreamEvent,
    ) -> None:
        if not event.number:
            await self._send(stream, run, event.raw)
            return
        check_order(stream.last_number, event.number)
        raw = event.raw
        if event.version is not None:
            run.version = event.version
        if self._has_resumed(stream, run):
            raw = self._take_resumption(stream, run, event)
        run.meter.count(1, self.clock.elapsed())
        await self._send(stream, run, raw)
        run.last_number = event.number
        stream.last_number = event.number
        stream.version = run.version
        stream.events += 1
        if stream.first_event is None:
            arrived = stream.attempts.request.arrived
            stream.first_event = self.clock.elapsed() - arrived

    def _has_resumed(self, stream: LiveStream, run: StreamRun) -> bool:
        return stream.attempts.started and not run.last_number

    def _take_resumption(
        self,
        stream: LiveStream,
        run: StreamRun,
        event: StreamEvent,
    ) -> bytes:
        """Return the first event of another engine, with its version.

        Raises:
            ServiceError: If the route allows one version only.
        """
        changed = run.version != stream.version
        if changed and stream.attempts.route.single_version:
            raise ServiceError(Code.WRONG_ANSWER, 'another weight version')
        STREAM_RESUMED.write(
            request_id=stream.attempts.request.outgoing.id,
            target=run.meter.target.name,
            after=stream.last_number,
            version_before=stream.version,
            version=run.version,
        )
        if not changed or event.version is not None:
            return event.raw
        label = f'{run.reader.version_field}: {run.version}\n'
        return label.encode() + event.raw.lstrip()

    async def _send(
        self,
        stream: LiveStream,
        run: StreamRun,
        raw: bytes,
    ) -> None:
        if not stream.attempts.started:
            stream.attempts.started = True
            headers = strip_own_headers(run.head.headers)
            await stream.sink.start(run.head.status, headers)
        await stream.sink.send(raw)

    def _log_end(self, stream: LiveStream) -> None:
        attempts = stream.attempts
        request = attempts.request
        took = self.clock.elapsed() - request.arrived
        STREAM_ANSWERED.write(
            request_id=request.outgoing.id,
            target=attempts.target,
            events=stream.events,
            resumes=attempts.count,
            refusals=attempts.refusals,
            first_event=(stream.first_event or took).total_seconds(),
            seconds=took.total_seconds(),
            config_version=self.targets.directory.configuration.version,
        )
