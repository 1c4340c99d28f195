"""The live path: find the route, choose a target, send, check, answer."""

import random
from collections.abc import Callable
from attrs import define, field
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Route
from sequoia_wire.responses import ResponseSink
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import Response

from sequoia_rollouts.directories import Directory
from sequoia_rollouts.live_attempts import (
    RETRY_AFTER,
    LiveAttempts,
    LiveRequest,
)
from sequoia_rollouts.hedges import FIRST_ERROR, HedgedSender, find_error
from sequoia_rollouts.live_retries import LiveRetries
from sequoia_rollouts.live_streams import StreamRelay
from sequoia_rollouts.live_targets import LiveTargets
from sequoia_rollouts.senders import LabelledResponse, Sender
from sequoia_rollouts.streams import LiveStream

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
    kind=LogKind.SUCCESS,
)


@define
class LivePath:
    """Answers live requests with the answers of targets.

    Attributes:
        is_cut_off: Tells whether other hosts serve callers better.
    """

    clock: Clock
    directory: Directory
    sender: Sender
    chance: random.Random
    domain: str
    is_cut_off: Callable[[], bool]
    targets: LiveTargets = field(init=False)
    retries: LiveRetries = field(init=False)
    hedged_sender: HedgedSender = field(init=False)
    relay: StreamRelay = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts that decide."""
        self.targets = LiveTargets(
            self.clock,
            self.directory,
            self.chance,
            self.domain,
        )
        self.retries = LiveRetries(self.clock, self.targets)
        self.hedged_sender = HedgedSender(
            self.clock,
            self.targets,
            self.retries,
            self._send,
            self.is_cut_off,
        )
        self.relay = StreamRelay(
            self.clock,
            self.sender,
            self.targets,
            self.retries,
        )

    def find_route(self, host: str, path: str) -> Route:
        """Return the route of a host and path.

        Raises:
            ServiceError: If there is none, or none can be known yet.
        """
        configuration = self.directory.configuration
        if not configuration.version:
            raise ServiceError(Code.NOT_READY, retry_after=RETRY_AFTER)
        route = configuration.find_route(host, path)
        if route is None:
            raise ServiceError(Code.UNKNOWN_PATH, f'{host}{path}')
        return route

    async def respond(self, request: LiveRequest) -> Response:
        """Return the answer of a target.

        Raises:
            ServiceError: If no target answered; its verdict says whether the
                request may have run.
        """
        attempts = self._begin(request)
        while True:
            answer = await self._try_once(attempts)
            if answer is not None:
                self._log_answer(attempts, answer)
                return answer

    async def stream(
        self,
        request: LiveRequest,
        sink: ResponseSink,
    ) -> Response | None:
        """Pass a target's stream on to a caller as it comes.

        Returns:
            An answer that is no stream and was not passed on, or None.

        Raises:
            ServiceError: If the stream could not be passed on whole.
        """
        stream = LiveStream(self._begin(request), sink, request.resume_after)
        return await self.relay.run(stream)

    def _begin(self, request: LiveRequest) -> LiveAttempts:
        route = self.find_route(request.host, request.path)
        limit = route.timeout
        if request.time_limit is not None:
            limit = min(limit, request.time_limit)
        self.retries.budget.record_request()
        return LiveAttempts(
            request,
            route,
            route.choose_service(self.chance),
            request.arrived + limit,
        )

    async def _try_once(self, attempts: LiveAttempts) -> Response | None:
        """Return an answer, or None if the request is tried again."""
        labelled = await self.hedged_sender.run(attempts)
        if labelled is None:
            return None
        failure = find_error(labelled, attempts.target)
        if failure is None:
            return labelled.response
        attempts.note_failure(attempts.target, failure)
        if self.retries.allows(attempts, failure):
            return None
        return labelled.response

    async def _send(
        self,
        attempts: LiveAttempts,
        target: RegisteredTarget,
    ) -> LabelledResponse:
        now = self.clock.elapsed()
        left = attempts.end - now
        target.running += 1
        try:
            labelled = await self.sender.fetch(
                target,
                attempts.request.outgoing,
                left,
                left,
            )
        finally:
            target.running -= 1
        took = self.clock.elapsed() - now
        target.record_duration(took.total_seconds(), self.clock.elapsed())
        check_proof(labelled)
        return labelled

    def _log_answer(self, attempts: LiveAttempts, answer: Response) -> None:
        request = attempts.request
        took = self.clock.elapsed() - request.arrived
        REQUEST_ANSWERED.write(
            request_id=request.outgoing.id,
            target=attempts.target,
            status=answer.status,
            attempts=attempts.count + 1,
            refusals=attempts.refusals,
            seconds=took.total_seconds(),
            config_version=self.directory.configuration.version,
        )


def check_proof(labelled: LabelledResponse) -> None:
    """Refuse a success without proof that the target made it.

    Raises:
        ServiceError: With code WRONG_ANSWER.
    """
    if labelled.response.status >= FIRST_ERROR:
        return
    if not labelled.labels.receipt or not labelled.labels.request_id:
        raise ServiceError(Code.WRONG_ANSWER, 'no receipt')
