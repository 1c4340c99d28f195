"""The state of a live stream and of its segments from each engine."""

from datetime import timedelta

from attrs import define
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.clients import Call
from sequoia_wire.messages import ResponseHead
from sequoia_wire.numbers import parse_count
from sequoia_wire.responses import ResponseSink

from sequoia_rollouts.events import EventReader, StreamEvent
from sequoia_rollouts.live_attempts import LiveAttempts
from sequoia_rollouts.paces import PaceMeter, StreamProgress


@define
class LiveStream:
    """The part of a stream that was forwarded to its caller.

    Attributes:
        last_event_id: Id of the last event that the caller received; empty if
            none.
        version: Weight version of that event; None if unknown.
        events: Number of events that were forwarded.
        first_event: Time from the request's arrival to the first event.
        done: Whether the stream was forwarded completely.
    """

    attempts: LiveAttempts
    sink: ResponseSink
    last_event_id: str = ''
    version: int | None = None
    events: int = 0
    first_event: timedelta | None = None
    done: bool = False


@define
class StreamSegment:
    """The part of a stream that one engine generates.

    Attributes:
        version: Weight version that the engine generates with.
        last_event_id: Id of the segment's last event; empty before the first.
    """

    call: Call
    head: ResponseHead
    reader: EventReader
    meter: PaceMeter
    progress: StreamProgress
    version: int | None
    last_event_id: str = ''


def read_events(reader: EventReader, chunk: bytes) -> list[StreamEvent]:
    """Return the events that a chunk completes.

    Raises:
        ServiceError: If an event cannot be parsed.
    """
    try:
        return reader.feed(chunk)
    except ValueError as error:
        raise ServiceError(Code.WRONG_ANSWER, 'malformed event') from error


def check_event_order(last_id: str, event_id: str) -> None:
    """Check that an event id is a number greater than the last one.

    Raises:
        ServiceError: If it is not; this keeps events from being sent twice.
    """
    number = parse_count(event_id)
    if number is None:
        raise ServiceError(
            Code.WRONG_ANSWER, f'event id is not a number: {event_id[:20]!r}'
        )
    last_number = parse_count(last_id)
    if last_number is not None and number <= last_number:
        raise ServiceError(
            Code.WRONG_ANSWER,
            f'event id {event_id} is not greater than {last_id}',
        )
