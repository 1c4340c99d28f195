"""Routes a live request, sends it to a target and returns the response."""

import random
from collections.abc import Awaitable, Callable

from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.preconditions import may_deny_route
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Route
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Response
from sequoia_wire.responses import ResponseSink

from sequoia_rollouts.targets.crash_checks import CrashCheck
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.live.handoffs import HandoffSender, HandoffServer
from sequoia_rollouts.live.hedges import (
    MIN_ERROR_STATUS,
    HedgedSender,
    find_response_error,
)
from sequoia_rollouts.live.live_attempts import (
    RETRY_AFTER,
    LiveAttempts,
    LiveRequest,
)
from sequoia_rollouts.live.live_queues import LiveQueues
from sequoia_rollouts.live.live_retries import LiveRetries
from sequoia_rollouts.live.live_streams import StreamRelay
from sequoia_rollouts.live.live_targets import LiveTargets
from sequoia_rollouts.fleet.ownership import OwnershipTable
from sequoia_rollouts.fleet.peer_keys import KeyRing
from sequoia_rollouts.live.quarantines import Quarantine
from sequoia_rollouts.targets.senders import (
    MIN_UNSUCCESSFUL_STATUS,
    LabelledResponse,
    Sender,
)
from sequoia_rollouts.live.stop_guards import StopGuard
from sequoia_rollouts.live.stream_releases import (
    StreamReleases,
    build_stream_releases,
)
from sequoia_rollouts.live.streams import LiveStream
from sequoia_rollouts.usage.counters import UsageCounter, make_counter

log = Log('live')
REQUEST_ANSWERED = log.event(
    'request answered',
    'request_id',
    'target',
    'status',
    'attempts',
    'refusals',
    'seconds',
    'config_version',
    'account',
    kind=LogKind.SUCCESS,
)


@define
class LivePath:
    """Serves live requests from registered targets.

    Attributes:
        is_cut_off: Returns whether other hosts can serve callers better.
        usage: Counts the requests that targets run.
    """

    clock: Clock
    directory: Directory
    sender: Sender
    rng: random.Random
    domain: str
    is_cut_off: Callable[[], bool]
    ownership: OwnershipTable
    key_ring: KeyRing
    stop_guard: StopGuard = field(init=False)
    quarantine: Quarantine = field(init=False)
    releases: StreamReleases = field(init=False)
    queues: LiveQueues = field(init=False)
    handoffs: HandoffSender = field(init=False)
    targets: LiveTargets = field(init=False)
    retries: LiveRetries = field(init=False)
    hedged_sender: HedgedSender = field(init=False)
    relay: StreamRelay = field(init=False)
    usage: UsageCounter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the components that share these dependencies."""
        self.stop_guard = StopGuard(self.clock)
        self.usage = make_counter(
            self.clock, self.ownership.heartbeats.store_clock
        )
        self.targets = LiveTargets(
            self.clock,
            self.directory,
            self.rng,
            self.domain,
            self.stop_guard,
        )
        crash_check = CrashCheck(
            self.clock, self.directory, self.sender, self.rng
        )
        self.handoffs = HandoffSender(
            self.clock,
            self.directory.registry.path,
            crash_check,
            self.ownership.heartbeats,
            self.key_ring,
            self.rng,
            self.sender.client,
        )
        self.quarantine = Quarantine(
            self.directory.store,
            self.clock,
            self.ownership.heartbeats,
            crash_check,
        )
        self.releases = build_stream_releases(
            self.clock, self.directory, self.ownership
        )
        self.queues = LiveQueues(
            self.clock, self.directory, self.stop_guard, self.rng
        )
        self.retries = LiveRetries(
            self.clock, self.targets, self.quarantine, self.queues
        )
        self.hedged_sender = HedgedSender(
            self.clock,
            self.targets,
            self.retries,
            self._send,
            self._is_cut_off,
        )
        self.relay = StreamRelay(
            self.clock,
            self.sender,
            self.targets,
            self.retries,
            self.releases,
            self.usage,
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        return (
            *self.quarantine.loops,
            *self.releases.splits.loops,
            self.queues.run,
            self.handoffs.path_check.run,
        )

    def make_handoff_server(
        self, others: Callable[[Exchange], Awaitable[None]]
    ) -> HandoffServer:
        """Return what serves the requests that other hosts hand on.

        Args:
            others: Handles the other messages of hosts.
        """
        return HandoffServer(
            self.clock,
            self.handoffs.path,
            self.key_ring,
            self.respond,
            self.handoffs.path_check.make_reporter(),
            others,
        )

    def find_route(self, host: str, path: str) -> Route:
        """Return the route of a host and path.

        Raises:
            ServiceError: If there is none, or if no configuration was loaded
                yet; with code NOT_READY if a newer one may have the route.
        """
        configuration = self.directory.configuration
        if not configuration.version:
            raise ServiceError(Code.NOT_READY, retry_after=RETRY_AFTER)
        route = configuration.find_route(host, path)
        if route is not None:
            return route
        if may_deny_route(self.directory.operator_follower.age()):
            raise ServiceError(Code.UNKNOWN_PATH, f'{host}{path}')
        raise ServiceError(
            Code.NOT_READY,
            'the configuration is not confirmed',
            retry_after=RETRY_AFTER,
        )

    async def respond(self, request: LiveRequest) -> Response:
        """Return the response of a target.

        Raises:
            ServiceError: If no target responded; its verdict says whether the
                request may have run.
        """
        attempts = self._start_attempts(request)
        await self.quarantine.check(request)
        self.retries.check_path(attempts)
        with self.stop_guard.record(attempts):
            response = await self._respond_counted(attempts)
        self._log_response(attempts, response)
        if response.status < MIN_UNSUCCESSFUL_STATUS:
            await self.quarantine.record_success(request)
        return response

    async def stream(
        self,
        request: LiveRequest,
        sink: ResponseSink,
    ) -> Response | None:
        """Forward a target's stream to the caller as it arrives.

        Returns:
            A response that is not a stream and was not forwarded, or None.

        Raises:
            ServiceError: If the stream could not be forwarded completely.
        """
        attempts = self._start_attempts(request)
        stream = LiveStream(attempts, sink, request.resume_after)
        await self.quarantine.check(request)
        with self.stop_guard.record(attempts):
            response = await self.relay.run(stream)
        if response is None:
            await self.quarantine.record_success(request)
        return response

    def _start_attempts(self, request: LiveRequest) -> LiveAttempts:
        route = self.find_route(request.host, request.path)
        timeout = route.timeout
        if request.time_limit is not None:
            timeout = min(timeout, request.time_limit)
        self.retries.budget.record_request()
        return LiveAttempts(
            request,
            route,
            route.choose_service(self.rng),
            request.arrived + timeout,
            request.attempts_before,
        )

    async def _respond_counted(self, attempts: LiveAttempts) -> Response:
        """Return the response; count the request if a target has run it."""
        try:
            return await self._respond(attempts)
        finally:
            self.usage.record(attempts.request.account, attempts.began_at)

    async def _respond(self, attempts: LiveAttempts) -> Response:
        """Return the response of a target that this host or a peer reaches."""
        if self.retries.may_hand_on(attempts):
            try:
                return await self._hand_on(attempts)
            except ServiceError as failure:
                if not self.retries.may_send_when_suspected(attempts, failure):
                    raise
        try:
            return await self._try_until_answered(attempts)
        except ServiceError as failure:
            attempts.merge_verdict(failure)
            if not self.retries.may_hand_on(attempts):
                raise
        return await self._hand_on(attempts)

    async def _hand_on(self, attempts: LiveAttempts) -> Response:
        self.stop_guard.check_send(attempts)
        response = await self.handoffs.send(attempts)
        attempts.began_at = None  # the other host has counted the request
        return response

    async def _try_until_answered(self, attempts: LiveAttempts) -> Response:
        response = None
        if self.queues.admits(attempts):
            await self.queues.enter(attempts)
        while response is None:
            response = await self._try_once(attempts)
        return response

    def _is_cut_off(self) -> bool:
        return self.is_cut_off() or self.handoffs.path.is_cut

    async def _try_once(self, attempts: LiveAttempts) -> Response | None:
        """Return a response, or None if the request is retried."""
        labelled = await self.hedged_sender.run(attempts)
        if labelled is None:
            return None
        failure = find_response_error(labelled, attempts.target)
        if failure is None:
            return labelled.response
        attempts.record_failure(attempts.target, failure)
        if self.retries.allows(attempts, failure):
            return None
        return labelled.response

    async def _send(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
    ) -> LabelledResponse:
        started_at = self.clock.elapsed()
        time_left = attempts.deadline - started_at
        target.running += 1
        try:
            labelled = await self.sender.fetch(
                target,
                attempts.request.outgoing,
                time_left,
                Urgency.LIVE,
                attempts.request.holder,
            )
        finally:
            target.running -= 1
        now = self.clock.elapsed()
        duration = now - started_at
        usual = target.known_seconds(now)
        attempts.record_start(started_at, now, usual or 0)
        target.record_duration(duration.total_seconds(), now)
        if self.queues.admits(attempts):
            await self.queues.record_response(attempts, duration)
        check_signature(labelled)
        return labelled

    def _log_response(self, attempts: LiveAttempts, response: Response) -> None:
        request = attempts.request
        duration = self.clock.elapsed() - request.arrived
        REQUEST_ANSWERED.write(
            request_id=request.outgoing.id,
            target=attempts.target,
            status=response.status,
            attempts=attempts.count + 1,
            refusals=attempts.refusals,
            seconds=duration.total_seconds(),
            config_version=self.directory.configuration.version,
            account=request.account,
        )


def check_signature(labelled: LabelledResponse) -> None:
    """Check that a response without a server error is signed.

    Raises:
        ServiceError: With code WRONG_ANSWER if the signature or the request id
            is missing.
    """
    if labelled.response.status >= MIN_ERROR_STATUS:
        return
    if not labelled.labels.is_signed:
        raise ServiceError(
            Code.WRONG_ANSWER, 'response has no signature or request id'
        )
