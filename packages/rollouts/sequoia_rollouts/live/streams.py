"""The state of a live stream and of its segments from each engine."""

from datetime import timedelta

from attrs import define
from sequoia_wire.calls import Call
from sequoia_wire.messages import ResponseHead
from sequoia_wire.responses import ResponseSink

from sequoia_rollouts.streaming.events import EventReader
from sequoia_rollouts.live.live_attempts import LiveAttempts
from sequoia_rollouts.streaming.paces import PaceMeter, StreamProgress


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
        events: Number of events of the segment.
    """

    call: Call
    head: ResponseHead
    reader: EventReader
    meter: PaceMeter
    progress: StreamProgress
    version: int | None
    last_event_id: str = ''
    events: int = 0
