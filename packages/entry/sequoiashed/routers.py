"""Routes calls: selects a domain and a target, and retries."""

from contextlib import AbstractContextManager, nullcontext

import curio
from attrs import define, field
from sequoia_policy.budgets import RetryBudget
from sequoia_policy.caches import CachedStream, is_import_worthwhile
from sequoia_policy.choices import Chooser, make_chooser
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.members import Member
from sequoia_policy.pools import ROLLOUT_SHARE
from sequoia_policy.retries import draw_delay, find_retry_refusal
from sequoia_policy.targets import TargetState
from sequoia_policy.verdicts import Verdict
from sequoia_wire.logs import Log
from sequoia_wire.responses import ResponseSink

from sequoiashed.calls import (
    ROLLOUT_PRIORITY,
    RoutedCall,
    TrackedSink,
)
from sequoiashed.forwards import Forwarder
from sequoiashed.preemptions import Preemptor
from sequoiashed.senders import TargetSender
from sequoiashed.states import HostState
from sequoiashed.stopwatches import Stopwatch

TARGET_FAULTS = frozenset(
    (
        Code.CONNECT_FAILED,
        Code.TARGET_BROKE,
        Code.TARGET_STALLED,
        Code.WRONG_ANSWER,
    ),
)

log = Log('route')


def accepts_live(target: TargetState) -> bool:
    """Return whether a target's role allows live calls."""
    return target.accepts(is_rollout=False)


def has_room_for_rollout(target: TargetState) -> bool:
    """Return whether a rollout leaves enough slots for live calls.

    All slots of a target that takes no live calls may run rollouts.
    """
    if not target.accepts(is_rollout=True):
        return False
    max_load = ROLLOUT_SHARE if accepts_live(target) else 1
    return target.load() < max_load


def is_allowed(target: TargetState, call: RoutedCall) -> bool:
    """Return whether a call allows a target and its weight version."""
    if target.target.name == call.excluded_target:
        return False
    return not call.min_version or (target.version or 0) >= call.min_version


@define
class Router:
    """Sends calls to targets, directly or through a host of another domain.

    Attributes:
        budget: Limits retries to a share of the calls.
    """

    state: HostState
    sender: TargetSender
    forwarder: Forwarder
    chooser: Chooser = field(init=False)
    preemptor: Preemptor
    budget: RetryBudget = field(factory=RetryBudget)

    def __attrs_post_init__(self) -> None:
        """Create the target chooser named in the settings."""
        state = self.state
        self.chooser = make_chooser(state.settings.chooser, state.rng)

    async def run(self, call: RoutedCall, sink: ResponseSink) -> None:
        """Attempt a call until it succeeds or must not be retried.

        Raises:
            ServiceError: With the verdict of all attempts.
        """
        tracked = TrackedSink(call, sink)
        self.budget.record_request()
        failure = await self._attempt(call, tracked)
        while failure:
            self._check_retry(call, failure)
            delay = draw_delay(call.attempts, self.state.rng)
            await curio.sleep(delay.total_seconds())
            failure = await self._attempt(call, tracked)

    def abort(self) -> None:
        """Let all calls in flight and all later ones fail, as the process ends."""
        self.sender.client.abort()
        self.forwarder.abort()

    def usable_targets(self, call: RoutedCall) -> list[TargetState]:
        """Return the targets of this domain that may receive a call.

        Targets that were tried already are returned only if no other is left.
        """
        settings = self.state.settings
        if settings.domain not in call.placement.domains:
            return []
        now = self.state.clock.elapsed()
        is_rollout = call.priority == ROLLOUT_PRIORITY
        accepts = has_room_for_rollout if is_rollout else accepts_live
        usable = [
            target
            for target in self.state.targets.usable(
                call.pool,
                settings.domain,
                now,
            )
            if accepts(target) and is_allowed(target, call)
        ]
        untried = [
            target
            for target in usable
            if target.target.name not in call.tried_targets
        ]
        return untried or usable

    async def _attempt(
        self,
        call: RoutedCall,
        sink: ResponseSink,
    ) -> ServiceError | None:
        call.begin_attempt()
        remaining = call.deadline - self.state.clock.elapsed()
        try:
            async with curio.timeout_after(remaining.total_seconds()):
                await self._dispatch(call, sink)
        except curio.TaskTimeout:
            verdict = Verdict.MAY_HAVE_RUN if call.sent else Verdict.NOT_RUN
            failure = ServiceError(Code.DEADLINE, verdict=verdict)
        except ServiceError as error:
            failure = error
        else:
            return None
        call.record_failure(failure)
        return failure

    async def _dispatch(self, call: RoutedCall, sink: ResponseSink) -> None:
        usable = self.usable_targets(call)
        if usable:
            await self._send(call, usable, sink)
            return
        peer = self._choose_peer(call)
        if peer is None:
            raise ServiceError(Code.NO_TARGET, call.pool)
        call.target = ''
        self.state.metrics.forwarded.labels(peer.domain).inc()
        await self.forwarder.run(call, peer, sink)

    async def _send(
        self,
        call: RoutedCall,
        usable: list[TargetState],
        sink: ResponseSink,
    ) -> None:
        chosen = self.chooser.choose(usable, call.affinity)
        call.target = chosen.target.name
        call.tried_targets.add(call.target)
        call.kv_source = self._find_kv_source(call, chosen)
        stopwatch = Stopwatch(self.state.clock, call, chosen)
        chosen.begin_request(stopwatch.started_at)
        try:
            with self._track_rollout(call, chosen):
                await self.sender.send(call, chosen, sink)
        except ServiceError as error:
            self._record_failure(chosen, error)
            if error.code is Code.PREEMPTED:
                call.cached = CachedStream(chosen.target, call.resume_from)
            raise
        finally:
            chosen.end_request()
        chosen.record_success()
        stopwatch.stop()

    def _find_kv_source(self, call: RoutedCall, chosen: TargetState) -> str:
        """Return the address to import the KV cache from; empty for none."""
        pool = self.state.plan.pools.get(call.pool)
        if call.cached is None or pool is None:
            return ''
        worthwhile = is_import_worthwhile(
            call.cached,
            chosen.target,
            call.placement,
            pool.kv_break_even,
        )
        return call.cached.holder.address if worthwhile else ''

    def _track_rollout(
        self,
        call: RoutedCall,
        chosen: TargetState,
    ) -> AbstractContextManager[None]:
        if call.priority == ROLLOUT_PRIORITY:
            return self.preemptor.track_rollout(call, chosen.target.name)
        return nullcontext()

    def _record_failure(
        self, chosen: TargetState, failure: ServiceError
    ) -> None:
        now = self.state.clock.elapsed()
        if failure.code in TARGET_FAULTS:
            chosen.record_failure(now)
        log.write(
            'attempt failed',
            target=chosen.target.name,
            code=failure.code.value.label,
            verdict=failure.verdict.value,
        )

    def _choose_peer(self, call: RoutedCall) -> Member | None:
        if call.hops:
            return None
        now = self.state.clock.elapsed()
        other_domains = call.placement.domains - {self.state.settings.domain}
        pools = self.state.pools
        is_rollout = call.priority == ROLLOUT_PRIORITY
        choose = (
            pools.choose_rollout_domain if is_rollout else pools.choose_domain
        )
        domain = choose(
            call.pool,
            other_domains,
            now,
            self.state.rng,
        )
        if domain is None:
            return None
        peers = self.state.members.live_members(domain, now)
        return self.state.rng.choice(peers) if peers else None

    def _find_last_code(self, call: RoutedCall) -> Code:
        """Return the code for a call that this process can no longer try."""
        if call.verdict is Verdict.NOT_RUN:
            return Code.DRAINING
        return Code.TARGET_BROKE

    def _check_retry(self, call: RoutedCall, failure: ServiceError) -> None:
        now = self.state.clock.elapsed()
        facts = call.attempt_facts(now)
        refusal = find_retry_refusal(facts, failure.code, self.budget)
        if self.sender.client.aborted:
            refusal = self._find_last_code(call)
        if refusal is None:
            self.state.metrics.retried.labels(failure.code.value.label).inc()
            return
        raise ServiceError(
            refusal,
            failure.detail,
            verdict=call.verdict,
            retry_after=failure.retry_after,
        ) from failure
