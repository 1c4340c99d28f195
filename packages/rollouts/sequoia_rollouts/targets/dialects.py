"""Protocol-independent messages between the service and its targets."""

from datetime import timedelta
from typing import Protocol

from attrs import field, frozen
from sequoia_policy.registries import ModelVersion
from sequoia_wire.messages import Header, RequestHead, ResponseHead


@frozen
class CallLabels:
    """Labels that the service adds to a request.

    Attributes:
        request_id: Id that the target echoes.
        target: Name of the intended target.
        time_left: Time until the caller's deadline; None if it set none.
        resume_after: Id of the last event that was received; empty to start
            from the beginning.
        priority: Rank among the requests of an engine, 0 first; None for the
            engine's default rank.
    """

    request_id: str
    target: str
    time_left: timedelta | None = None
    resume_after: str = ''
    priority: int | None = None


@frozen
class ResponseLabels:
    """Labels that a target adds to its response.

    Attributes:
        request_id: Id of the request that the response belongs to.
        signature: Signature of the target; empty if there is none.
        not_run: Whether the target promises that the request did not run.
        version: Weight version that generated the first token; None if not
            stated.
        max_rate: Requests per second that the target takes from all hosts
            together; None if it names no limit.
        leaving: Whether the target says that it leaves.
    """

    request_id: str
    signature: str = ''
    not_run: bool = False
    version: int | None = None
    max_rate: float | None = None
    leaving: bool = False

    @property
    def is_signed(self) -> bool:
        """Whether the target vouches for the response to this request."""
        return bool(self.signature and self.request_id)


@frozen
class VersionOrder:
    """An order to an engine to switch to another version of a model.

    Attributes:
        keep_running: Whether running requests continue under the new version;
            otherwise they finish first.
        holder: Name of the host that sends the order.
        fence: Fencing number; it increases when another host takes over.
        expected: Number of orders that the engine must have accepted before
            this one.
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
    """The state that an engine reports.

    Attributes:
        orders: Number of orders accepted since the engine started.
        busy: Whether it is executing an order.
        running: Number of requests that the engine is running.
    """

    versions: tuple[ModelVersion, ...]
    orders: int
    busy: bool
    running: int = 0

    def version_of(self, model: str) -> int:
        """Return the loaded version of a model, 0 if it is not loaded."""
        for loaded in self.versions:
            if loaded.model == model:
                return loaded.version
        return 0


@frozen
class PreparedCall:
    """A request that is ready to be sent."""

    head: RequestHead
    body: bytes = field(default=b'', repr=False)


class TargetDialect(Protocol):
    """Translates between the service and its targets."""

    @property
    def version_field(self) -> str:
        """Name of the event field that carries a new weight version."""

    def label(self, labels: CallLabels) -> tuple[Header, ...]:
        """Return the headers that carry ``labels``."""

    def read_labels(self, head: ResponseHead) -> ResponseLabels:
        """Return the labels in a response head."""

    def prepare_report(self, target: str) -> PreparedCall:
        """Return the request for an engine's report."""

    def prepare_health(self, target: str, path: str) -> PreparedCall:
        """Return the request for the health of a target."""

    def read_report(self, body: bytes) -> EngineReport:
        """Parse an engine's report.

        Raises:
            ServiceError: If the report cannot be parsed.
        """

    def prepare_order(self, order: VersionOrder) -> PreparedCall:
        """Return the request that carries an order."""
