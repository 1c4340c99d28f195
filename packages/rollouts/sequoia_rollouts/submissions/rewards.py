"""Scores a finished text with a call to a reward service."""

import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import curio
from attrs import define
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.permits import Urgency
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.routing import Route
from sequoia_policy.submissions import (
    GroupRank,
    Item,
    RewardCall,
    WorkQueue,
)
from sequoia_policy.target_failures import record_target_failure
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.messages import RequestHead, encode_headers

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.submissions.scorers import ScorerQueue
from sequoia_rollouts.targets.senders import (
    MIN_UNSUCCESSFUL_STATUS,
    LabelledResponse,
    OutgoingRequest,
    Sender,
)

STATUS_SCORING_FAILED = 500
RETRY_BACKOFF = timedelta(milliseconds=40)
OBJECTIVES_PER_ATTEMPT = 2.5
MIN_ATTEMPT_TIMEOUT = timedelta(milliseconds=500)
ROUTE_LIFETIME = timedelta(seconds=1)  # until a waiting call reads it again

log = Log('reward')
REWARD_REFUSED = log.event(
    'reward refused', 'request_id', 'status', kind=LogKind.FAILURE
)
REWARD_ATTEMPT_FAILED = log.event(
    'reward attempt failed',
    'request_id',
    'target',
    'code',
    kind=LogKind.FAILURE,
)


class RewardFailedError(Exception):
    """The reward call has no route or failed as often as its route allows."""


@define
class RewardCaller:
    """Makes reward calls, with a bounded number in flight at each target."""

    clock: Clock
    directory: Directory
    sender: Sender
    scorers: ScorerQueue
    rng: random.Random

    async def score(
        self,
        item: Item,
        call: RewardCall,
        queue: WorkQueue,
    ) -> str:
        """Return the signature of a successful reward call.

        Args:
            item: The item that is scored.
            call: The call; it may be repeated.
            queue: Counts the failures of the call and ranks the item's group.

        Raises:
            RewardFailedError: If the call has no route or failed as often as
                its route allows.
        """
        rank = partial(queue.rank_group, item)
        while True:
            route = self._find_route(call)
            target = await self._acquire_target(route, rank)
            if target is None:
                continue
            try:
                labelled = await self._send(call, route, target)
            except ServiceError as failure:
                self._record_failure(target, call, failure)
                await curio.sleep(RETRY_BACKOFF.total_seconds())
                continue
            finally:
                await self.scorers.release(target)
            if self._is_success(labelled):
                return labelled.labels.signature
            self._count_refusal(call, route, queue, labelled.response.status)

    async def _acquire_target(
        self, route: Route, rank: Callable[[], GroupRank]
    ) -> RegisteredTarget | None:
        """Acquire a slot of a target; return None if the route is to be read.

        The configuration may move the route to another service meanwhile.
        """
        service = route.choose_service(self.rng)
        async with curio.ignore_after(ROUTE_LIFETIME.total_seconds()):
            return await self.scorers.acquire(service, rank)
        return None

    def _find_route(self, call: RewardCall) -> Route:
        path = call.path.partition('?')[0]
        route = self.directory.configuration.find_route(call.host, path)
        if route is None:
            raise RewardFailedError('no route for the reward call')
        return route

    async def _send(
        self,
        call: RewardCall,
        route: Route,
        target: RegisteredTarget,
    ) -> LabelledResponse:
        head = RequestHead(
            'POST',
            call.path,
            encode_headers({'host': call.host}),
        )
        timeout = min(
            route.timeout,
            max(MIN_ATTEMPT_TIMEOUT, route.objective * OBJECTIVES_PER_ATTEMPT),
        )
        started_at = self.clock.elapsed()
        labelled = await self.sender.fetch(
            target,
            OutgoingRequest(call.id, head, call.body),
            timeout,
            Urgency.ROLLOUT,
        )
        now = self.clock.elapsed()
        target.record_duration((now - started_at).total_seconds(), now)
        return labelled

    def _is_success(self, labelled: LabelledResponse) -> bool:
        if labelled.response.status >= MIN_UNSUCCESSFUL_STATUS:
            return False
        return labelled.labels.is_signed

    def _count_refusal(
        self,
        call: RewardCall,
        route: Route,
        queue: WorkQueue,
        status: int,
    ) -> None:
        REWARD_REFUSED.write(request_id=call.id, status=status)
        if status != STATUS_SCORING_FAILED:
            return
        if queue.count_failure(call.id) >= route.max_attempts:
            raise RewardFailedError(
                f'{route.max_attempts} failures of the reward call'
            )

    def _record_failure(
        self,
        target: RegisteredTarget,
        call: RewardCall,
        failure: ServiceError,
    ) -> None:
        now = self.clock.elapsed()
        record_target_failure(
            self.directory.registry, target, failure, now, RETRY_BACKOFF
        )
        REWARD_ATTEMPT_FAILED.write(
            request_id=call.id,
            target=target.name,
            code=failure.code.value.label,
        )
