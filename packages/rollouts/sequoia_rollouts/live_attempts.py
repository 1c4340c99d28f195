"""A live request and what was tried for it."""

from datetime import timedelta

from attrs import define, field, frozen
from sequoia_policy.errors import ServiceError
from sequoia_policy.retries import AttemptFacts
from sequoia_policy.routing import Route
from sequoia_policy.verdicts import Verdict, merge_verdicts

from sequoia_rollouts.senders import Outgoing

RETRY_AFTER = timedelta(milliseconds=300)


@frozen
class LiveRequest:
    """A request of a caller that waits for its answer.

    Attributes:
        outgoing: What goes to the target.
        host: Host that selects the route.
        path: Path that selects the route.
        arrived: When its head was read.
        time_limit: How long the caller waits; None if it does not say.
        resume_after: Id of the last event of the stream that the caller has.
    """

    outgoing: Outgoing
    host: str
    path: str
    arrived: timedelta
    time_limit: timedelta | None = None
    resume_after: str = ''


@define
class LiveAttempts:
    """What was tried for one request.

    Attributes:
        service: Service that the request goes to.
        count: Attempts that may have run.
        refusals: Attempts that did not run.
        target: Name of the target of the newest attempt.
        started: Whether a part of the answer left for the caller.
    """

    request: LiveRequest
    route: Route
    service: str
    end: timedelta
    count: int = 0
    refusals: int = 0
    target: str = ''
    started: bool = False
    verdict: Verdict = Verdict.NOT_RUN
    tried: set[str] = field(factory=set)

    @property
    def has_successor(self) -> bool:
        """Whether another attempt may follow the one under way."""
        return (
            self.route.may_repeat and self.count + 1 < self.route.max_attempts
        )

    def note_failure(self, target: str, failure: ServiceError) -> None:
        """Count an attempt that ended without an answer."""
        self.tried.add(target)
        self.verdict = merge_verdicts(self.verdict, failure.verdict)
        if failure.verdict is Verdict.NOT_RUN:
            self.refusals += 1
        else:
            self.count += 1

    def make_facts(self, now: timedelta) -> AttemptFacts:
        """Return what decides whether to try again."""
        return AttemptFacts(
            idempotent=self.route.may_repeat,
            attempts=self.count,
            max_attempts=self.route.max_attempts,
            verdict=self.verdict,
            response_started=self.started,
            resumable=self.route.resumable,
            remaining=self.end - now,
        )
