"""A live request and the state of its attempts."""

import hashlib
from datetime import timedelta
from functools import cached_property

from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_policy.memory_budgets import Reservation
from sequoia_policy.live_queues import QueuedRequest
from sequoia_policy.registries import RegisteredTarget
from sequoia_policy.retries import AttemptFacts
from sequoia_policy.routing import Route
from sequoia_policy.usage_windows import estimate_start
from sequoia_policy.verdicts import Verdict, merge_verdicts

from sequoia_rollouts.targets.senders import OutgoingRequest

RETRY_AFTER = timedelta(milliseconds=300)
FINGERPRINT_BYTES = 12


@frozen
class LiveRequest:
    """A request whose caller waits for the response.

    Attributes:
        outgoing: Request that is sent to the target.
        host: Host that selects the route.
        path: Path that selects the route.
        arrived: Time at which its head was read.
        time_limit: How long the caller waits; None if it set no deadline.
        resume_after: Id of the last event that the caller received; empty to
            start from the beginning.
        resumes: Id of the request that brought the first event of the stream;
            empty if it is not named.
        is_handed_on: Whether another host has handed it on.
        attempts_before: Attempts of that host that may have run.
        account: Name of the client account; empty for none.
        priority: Priority of the client account; None for that of the route.
        holder: What the request and its response hold of the memory; None to
            reserve none.
    """

    outgoing: OutgoingRequest
    host: str
    path: str
    arrived: timedelta
    time_limit: timedelta | None = None
    resume_after: str = ''
    resumes: str = ''
    is_handed_on: bool = False
    attempts_before: int = 0
    account: str = ''
    priority: int | None = None
    holder: Reservation | None = None

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has received events of the stream before."""
        return self.resume_after not in {'', '0'}

    @cached_property
    def fingerprint(self) -> str:
        """A text that is the same for repetitions of the request.

        Ids, deadlines and other headers differ between repetitions.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        head = self.outgoing.head
        for text in (head.method, self.host.lower(), head.target):
            digest.update(f'{text}\n'.encode())
        digest.update(self.outgoing.body)
        return digest.hexdigest()


@define(eq=False)
class LiveAttempts:
    """The attempts made for one request.

    Attributes:
        service: Name of the service whose targets are tried.
        deadline: Time at which the request expires.
        count: Number of failed attempts that may have run.
        refusals: Number of failed attempts that did not run.
        target: Name of the target of the latest attempt.
        response_started: Whether part of the response was sent to the caller.
        verdict: Merged verdict of the failed attempts.
        release: Release of the engines that may go on with the response; empty
            for any.
        preferred_release: Release at which the response should begin.
        began_at: When the target that responded began to work on the request;
            None before a response shows that.
        tried: Names of the targets whose attempts failed; cleared when no
            target of the service is untried after a refusal.
        queued: Its place in the queue of the service; None if it never waited.
    """

    request: LiveRequest
    route: Route
    service: str
    deadline: timedelta
    count: int = 0
    refusals: int = 0
    target: str = ''
    response_started: bool = False
    verdict: Verdict = Verdict.NOT_RUN
    release: str = ''
    preferred_release: str = ''
    began_at: timedelta | None = None
    tried: set[str] = field(factory=set)
    queued: QueuedRequest | None = None

    @property
    def priority(self) -> int:
        """How urgent the request is; 0 is most urgent."""
        if self.request.priority is None:
            return self.route.priority
        return self.request.priority

    @property
    def has_attempts_left(self) -> bool:
        """Whether another attempt may follow the current one."""
        return (
            self.route.may_repeat and self.count + 1 < self.route.max_attempts
        )

    def prefer(self, usable: list[RegisteredTarget]) -> list[RegisteredTarget]:
        """Return the targets of the preferred release, or all."""
        preferred = [
            target
            for target in usable
            if target.registration.release == self.preferred_release
        ]
        return preferred or usable

    def admits(self, target: RegisteredTarget) -> bool:
        """Return whether a target may serve the request."""
        return self.release in {'', target.registration.release}

    def merge_verdict(self, failure: ServiceError) -> None:
        """Merge the verdict of a failure into that of the request."""
        self.verdict = merge_verdicts(self.verdict, failure.verdict)

    def record_failure(self, target: str, failure: ServiceError) -> None:
        """Count a failed attempt and merge its verdict."""
        self.tried.add(target)
        self.merge_verdict(failure)
        if failure.verdict is Verdict.NOT_RUN:
            self.refusals += 1
        else:
            self.count += 1

    def record_start(
        self,
        sent_at: timedelta,
        responded_at: timedelta,
        usual_seconds: float = 0,
    ) -> None:
        """Record that a target's response shows that the request ran."""
        usual = timedelta(seconds=usual_seconds)
        self.began_at = estimate_start(sent_at, responded_at, usual)

    def make_facts(self, now: timedelta) -> AttemptFacts:
        """Return the input of the retry decision at time ``now``."""
        return AttemptFacts(
            idempotent=self.route.may_repeat,
            attempts=self.count,
            max_attempts=self.route.max_attempts,
            verdict=self.verdict,
            response_started=self.response_started,
            resumable=self.route.resumable,
            remaining=self.deadline - now,
        )
