"""What the service needs to say to targets, whatever they speak."""

from datetime import timedelta
from typing import Protocol

from attrs import field, frozen
from sequoia_policy.registries import ModelVersion
from sequoia_wire.messages import ResponseHead, Header, RequestHead


@frozen
class CallLabels:
    """What the service adds to a request.

    Attributes:
        request_id: Id that the target echoes.
        target: Name of the target that is meant.
        time_left: How long the caller still waits; None if it does not say.
        resume_after: Id of the last event that was received; empty to start.
        priority: Rank among the requests of an engine, 0 first; None if the
            engine's usual rank holds.
    """

    request_id: str
    target: str
    time_left: timedelta | None = None
    resume_after: str = ''
    priority: int | None = None


@frozen
class ResponseLabels:
    """What a target says of its answer.

    Attributes:
        request_id: Id of the request that it answers.
        receipt: Proof that the target made the answer; empty if it has none.
        not_run: Whether the target promises that the request did not run.
        version: Weight version that made the first token; None if it says
            nothing.
    """

    request_id: str
    receipt: str = ''
    not_run: bool = False
    version: int | None = None


@frozen
class VersionOrder:
    """Tells an engine to move to another version of a model.

    Attributes:
        keep_running: Whether runs go on under the new version; else they
            finish first.
        holder: Name of the host that gives orders.
        fence: Grows with each change of that host.
        expected: Number of orders that the engine must have taken before.
    """

    target: str
    model: str
    version: int
    keep_running: bool
    holder: str
    fence: int
    expected: int


@frozen
class EngineReport:
    """What an engine says of itself.

    Attributes:
        orders: Number of orders that it has taken since its start.
        busy: Whether it carries one out.
    """

    versions: tuple[ModelVersion, ...]
    orders: int
    busy: bool
    running: int = 0

    def version_of(self, model: str) -> int:
        """Return the version of a model, 0 if it is not held."""
        for held in self.versions:
            if held.model == model:
                return held.version
        return 0


@frozen
class PreparedCall:
    """A request ready to be sent."""

    head: RequestHead
    body: bytes = field(default=b'', repr=False)


class TargetDialect(Protocol):
    """Translates between the service and its targets."""

    @property
    def version_field(self) -> str:
        """Field of an event that names a new weight version."""

    def label(self, labels: CallLabels) -> tuple[Header, ...]:
        """Return the headers that carry ``labels``."""

    def read_labels(self, head: ResponseHead) -> ResponseLabels:
        """Return what an answer's head says."""

    def prepare_report(self, target: str) -> PreparedCall:
        """Return the request for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport:
        """Decode an engine's report.

        Raises:
            ServiceError: If it cannot be read.
        """

    def prepare_order(self, order: VersionOrder) -> PreparedCall:
        """Return the request that carries an order."""
