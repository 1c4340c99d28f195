"""Relays event streams from engines to callers.

If a stream breaks and its route allows it, the stream resumes at another
engine after the last complete event. The caller then sees a single response
with the head of the first engine.
"""

from datetime import timedelta

from attrs import frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.verdicts import Verdict
from sequoia_wire.calls import Call, Timeouts, limit_call_time
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Response, ResponseHead

from sequoia_rollouts.targets.dialects import CallLabels
from sequoia_rollouts.streaming.events import EventReader, StreamEvent
from sequoia_rollouts.live.live_attempts import LiveAttempts
from sequoia_rollouts.live.live_retries import LiveRetries
from sequoia_rollouts.live.live_targets import LiveTargets
from sequoia_rollouts.streaming.paces import (
    PaceMeter,
    StreamProgress,
    find_gap_timeout,
)
from sequoia_rollouts.targets.senders import (
    CONNECT_TIMEOUT,
    Sender,
    strip_hop_by_hop_headers,
)
from sequoia_rollouts.streaming.stream_checks import (
    check_end,
    check_event,
    check_head,
    read_events,
)
from sequoia_rollouts.live.stream_releases import StreamReleases
from sequoia_rollouts.live.streams import LiveStream, StreamSegment
from sequoia_rollouts.usage.counters import UsageCounter

OK = 200
MIN_ERROR_STATUS = 500
FIRST_EVENT_OBJECTIVES = 2.0  # first-event timeout if a retry is allowed
MIN_FIRST_EVENT_TIMEOUT = timedelta(seconds=1)
MAX_EVENT_GAP = timedelta(milliseconds=1500)  # callers disconnect after 2 s
LOWEST_LIVE_PRIORITY = 4  # items of submissions rank after live streams

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
    'release',
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
    'release',
    kind=LogKind.FAILURE,
)


@frozen
class StreamRelay:
    """Relays streams from engines to callers and resumes broken ones."""

    clock: Clock
    sender: Sender
    targets: LiveTargets
    retries: LiveRetries
    releases: StreamReleases
    usage: UsageCounter

    async def run(self, stream: LiveStream) -> Response | None:
        """Relay a stream until it is complete.

        Returns:
            A response that is not a stream and was not forwarded, or None.

        Raises:
            ServiceError: If the stream could not be forwarded completely.
        """
        attempts = stream.attempts
        response = None
        await self.releases.prepare(attempts)
        while not stream.done:
            target = await self._choose(attempts)
            try:
                response = await self._run_at(stream, target)
            except ServiceError as failure:
                await self.retries.handle_failure(attempts, target, failure)
        self._log_end(stream)
        return response

    async def _choose(self, attempts: LiveAttempts) -> RegisteredTarget:
        """Return a target of the release that the stream is bound to."""
        target = self.targets.choose(attempts)
        release = target.registration.release
        if attempts.route.resumable:
            if not await self.releases.admit(attempts, release):
                return self.targets.choose(attempts)
        return target

    async def _run_at(
        self,
        stream: LiveStream,
        target: RegisteredTarget,
    ) -> Response | None:
        time_left = stream.attempts.deadline - self.clock.elapsed()
        request = stream.attempts.request
        size = len(request.outgoing.body)
        target.running += 1
        try:
            async with self.sender.open(target, Urgency.LIVE, size) as call:
                call.holder = request.holder
                async with limit_call_time(call, time_left):
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
            CONNECT_TIMEOUT,
            self._find_first_event_timeout(attempts),
        )
        labels = CallLabels(
            attempts.request.outgoing.id,
            target.name,
            attempts.deadline - self.clock.elapsed(),
            resume_after=stream.last_event_id,
            priority=min(attempts.priority, LOWEST_LIVE_PRIORITY),
        )
        outgoing = attempts.request.outgoing
        sent_at = self.clock.elapsed()
        head = await self.sender.start(call, target, outgoing, labels)
        self._count(attempts, sent_at)
        if head.status != OK:
            return await self._read_non_stream_response(
                stream, target, call, head
            )
        segment = StreamSegment(
            call,
            head,
            EventReader(self.sender.dialect.version_field),
            PaceMeter(target, self.clock.elapsed()),
            StreamProgress(self.clock.elapsed()),
            self.sender.dialect.read_labels(head).version,
        )
        await self._relay_events(stream, segment)
        return None

    def _count(self, attempts: LiveAttempts, sent_at: timedelta) -> None:
        """Count a stream when the first target has begun it."""
        if attempts.began_at is None:
            attempts.record_start(sent_at, self.clock.elapsed())
            self.usage.record(attempts.request.account, attempts.began_at)

    def _find_first_event_timeout(self, attempts: LiveAttempts) -> timedelta:
        """Return the timeout for the first event of an engine."""
        if not attempts.has_attempts_left:
            return attempts.deadline - self.clock.elapsed()
        objective = attempts.route.objective * FIRST_EVENT_OBJECTIVES
        return max(MIN_FIRST_EVENT_TIMEOUT, objective)

    async def _read_non_stream_response(
        self,
        stream: LiveStream,
        target: RegisteredTarget,
        call: Call,
        head: ResponseHead,
    ) -> Response | None:
        """Read a response that is not a stream; return None to retry.

        Raises:
            ServiceError: If part of the stream was forwarded already.
        """
        response = Response(head, await call.read_body())
        error = ServiceError(
            Code.TARGET_BROKE,
            f'{target.name} responded with status {head.status}',
            verdict=Verdict.RAN,
        )
        if stream.attempts.response_started:
            raise error
        if head.status >= MIN_ERROR_STATUS:
            stream.attempts.record_failure(target.name, error)
            if self.retries.allows(stream.attempts, error):
                return None
        stream.done = True
        return response

    async def _relay_events(
        self, stream: LiveStream, segment: StreamSegment
    ) -> None:
        labels = self.sender.dialect.read_labels(segment.head)
        check_head(segment.head, labels)
        chunk = await segment.call.read_chunk()
        while chunk:
            before = stream.events
            for event in read_events(segment.reader, chunk):
                await self._relay_event(stream, segment, event)
            await segment.call.reserve(len(segment.reader.pending))
            received = stream.events - before
            segment.progress.record(received, self.clock.elapsed())
            segment.call.timeouts = Timeouts(
                CONNECT_TIMEOUT,
                self._find_gap_timeout(stream, segment),
            )
            chunk = await segment.call.read_chunk()
        check_end(
            segment.head, segment.reader, stream.last_event_id, segment.events
        )
        await self._send(stream, segment, b'')
        await stream.sink.finish()
        stream.done = True

    def _find_gap_timeout(
        self,
        stream: LiveStream,
        segment: StreamSegment,
    ) -> timedelta:
        """Return the time left for the next event.

        A stream that cannot resume at another engine has no timeout between
        events; only its deadline ends it.
        """
        now = self.clock.elapsed()
        if stream.attempts.has_attempts_left:
            gap = find_gap_timeout(segment.meter.target, now)
            return segment.progress.remaining(min(MAX_EVENT_GAP, gap), now)
        return stream.attempts.deadline - now

    async def _relay_event(
        self,
        stream: LiveStream,
        segment: StreamSegment,
        event: StreamEvent,
    ) -> None:
        check_event(stream.last_event_id, event)
        if event.is_comment:
            await self._send(stream, segment, event.raw)
            return
        if not segment.last_event_id:
            self._check_release(stream, segment)
        raw = event.raw
        if event.version is not None:
            segment.version = event.version
        if self._is_resuming(stream, segment):
            raw = self._make_resumed_event(stream, segment, event)
        segment.meter.count(1, self.clock.elapsed())
        await self._send(stream, segment, raw)
        segment.last_event_id = event.id
        stream.last_event_id = event.id
        stream.version = segment.version
        stream.events += 1
        segment.events += 1
        if stream.first_event is None:
            arrived = stream.attempts.request.arrived
            stream.first_event = self.clock.elapsed() - arrived

    def _check_release(
        self, stream: LiveStream, segment: StreamSegment
    ) -> None:
        """Bind a stream to the release of the engine that writes it.

        Raises:
            ServiceError: If the engine restarted since it was chosen, so that
                its release is not known.
        """
        target = segment.meter.target
        if not self.targets.directory.registry.is_current(target):
            raise ServiceError(
                Code.TARGET_BROKE, f'{target.name} is another process now'
            )
        stream.attempts.release = target.registration.release
        self.releases.remember(stream.attempts, target.registration.release)

    def _is_resuming(self, stream: LiveStream, segment: StreamSegment) -> bool:
        return stream.attempts.response_started and not segment.last_event_id

    def _make_resumed_event(
        self,
        stream: LiveStream,
        segment: StreamSegment,
        event: StreamEvent,
    ) -> bytes:
        """Return the first event after a resumption.

        If the weight version changed and the event does not name it, the
        version field is added to the event.

        Raises:
            ServiceError: If the version changed and the route allows only one.
        """
        changed = segment.version != stream.version
        if changed and stream.attempts.route.single_version:
            raise ServiceError(
                Code.WRONG_ANSWER,
                'engine resumed the stream with another weight version',
            )
        STREAM_RESUMED.write(
            request_id=stream.attempts.request.outgoing.id,
            target=segment.meter.target.name,
            after=stream.last_event_id,
            version_before=stream.version,
            version=segment.version,
            release=stream.attempts.release,
        )
        if not changed or event.version is not None:
            return event.raw
        label = f'{segment.reader.version_field}: {segment.version}\n'
        return label.encode() + event.raw.lstrip()

    async def _send(
        self,
        stream: LiveStream,
        segment: StreamSegment,
        raw: bytes,
    ) -> None:
        if not stream.attempts.response_started:
            stream.attempts.response_started = True
            headers = strip_hop_by_hop_headers(segment.head.headers)
            await stream.sink.start(segment.head.status, headers)
        await stream.sink.send(raw)

    def _log_end(self, stream: LiveStream) -> None:
        attempts = stream.attempts
        request = attempts.request
        duration = self.clock.elapsed() - request.arrived
        STREAM_ANSWERED.write(
            request_id=request.outgoing.id,
            target=attempts.target,
            events=stream.events,
            resumes=attempts.count,
            refusals=attempts.refusals,
            first_event=(stream.first_event or duration).total_seconds(),
            seconds=duration.total_seconds(),
            release=attempts.release,
            config_version=self.targets.directory.configuration.version,
        )
