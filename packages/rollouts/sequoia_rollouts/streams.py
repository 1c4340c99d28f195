"""What a live stream, and each engine's part of it, have come to."""

from datetime import timedelta

from attrs import define
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.responses import ResponseSink
from sequoia_wire.clients import Call
from sequoia_wire.messages import ResponseHead

from sequoia_rollouts.events import EventReader, StreamEvent
from sequoia_rollouts.live_attempts import LiveAttempts
from sequoia_rollouts.paces import PaceMeter


@define
class LiveStream:
    """A stream as far as its caller has it.

    Attributes:
        last_number: Id of the last event that the caller has; empty if none.
        version: Weight version of that event, None if it is not known.
        events: Events that were passed on.
        first_event: Time from the request to the first of them.
        done: Whether the stream was passed on whole.
    """

    attempts: LiveAttempts
    sink: ResponseSink
    last_number: str = ''
    version: int | None = None
    events: int = 0
    first_event: timedelta | None = None
    done: bool = False


@define
class StreamRun:
    """One engine's part of a stream.

    Attributes:
        version: Weight version that the engine generates with.
        last_number: Id of its last event; empty before the first.
    """

    call: Call
    head: ResponseHead
    reader: EventReader
    meter: PaceMeter
    version: int | None
    last_number: str = ''


def read_events(reader: EventReader, chunk: bytes) -> list[StreamEvent]:
    """Return the whole events that a chunk completes.

    Raises:
        ServiceError: If they cannot be read.
    """
    try:
        return reader.feed(chunk)
    except ValueError as bad:
        raise ServiceError(Code.WRONG_ANSWER, 'not an event') from bad


def check_order(last: str, number: str) -> None:
    """Check that an event follows the last one.

    Raises:
        ServiceError: If it does not, so that no event comes twice.
    """
    if not number.isdecimal():
        raise ServiceError(Code.WRONG_ANSWER, f'event id {number!r}')
    if last.isdecimal() and int(number) <= int(last):
        raise ServiceError(Code.WRONG_ANSWER, f'event {number} after {last}')
