"""Checks that what an engine sends continues the stream of a request."""

from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.messages import ResponseHead
from sequoia_wire.numbers import parse_count

from sequoia_rollouts.targets.dialects import ResponseLabels
from sequoia_rollouts.streaming.events import EventReader, StreamEvent

STREAM_TYPE = 'text/event-stream'


def check_head(head: ResponseHead, labels: ResponseLabels) -> None:
    """Check that a successful response is a stream for its request.

    Raises:
        ServiceError: If it is none.
    """
    if not labels.is_signed:
        raise ServiceError(
            Code.WRONG_ANSWER, 'response has no signature or request id'
        )
    content_type = head.header('content-type')
    if content_type and not content_type.lower().startswith(STREAM_TYPE):
        raise ServiceError(
            Code.WRONG_ANSWER, f'response is no stream but {content_type[:40]}'
        )


def read_events(reader: EventReader, chunk: bytes) -> list[StreamEvent]:
    """Return the events that a chunk completes.

    Raises:
        ServiceError: If an event cannot be parsed.
    """
    try:
        return reader.feed(chunk)
    except ValueError as error:
        raise ServiceError(Code.WRONG_ANSWER, 'malformed event') from error


def check_event(last_id: str, event: StreamEvent) -> None:
    """Check that an event is a comment or has the next id.

    What else an engine sends without an id is the text of an error. An id that
    is not greater would repeat a part of the stream.

    Raises:
        ServiceError: If the event is neither.
    """
    if event.is_comment:
        return
    number = parse_count(event.id)
    if number is None:
        raise ServiceError(
            Code.WRONG_ANSWER, f'event id is not a number: {event.id[:20]!r}'
        )
    last_number = parse_count(last_id)
    if last_number is not None and number <= last_number:
        raise ServiceError(
            Code.WRONG_ANSWER,
            f'event id {event.id} is not greater than {last_id}',
        )


def check_end(
    head: ResponseHead, reader: EventReader, last_id: str, received: int
) -> None:
    """Check that a stream whose response ended is complete.

    An engine that resumes behind the last event sends no event. If its response
    has no length either, it may have failed before it sent anything.

    Args:
        head: The head of the response.
        reader: What has read it.
        last_id: Id of the last event of the stream; empty if there is none.
        received: Number of events in this response.

    Raises:
        ServiceError: If part of the stream may be missing.
    """
    is_whole = received or head.is_delimited
    if not reader.at_event_boundary or not last_id or not is_whole:
        raise ServiceError(Code.TARGET_BROKE, 'event stream is incomplete')
