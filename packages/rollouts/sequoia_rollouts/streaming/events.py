"""Incremental parser for streams of server-sent events."""

import re

from attrs import define, field, frozen
from sequoia_wire.numbers import parse_count

END_OF_EVENT = re.compile(rb'\r?\n\r?\n')
MAX_END_BYTES = 4  # of END_OF_EVENT
MAX_EVENT_BYTES = 1024 * 1024
COMMENT_FIELDS = frozenset(('', 'retry'))  # a comment has an empty name


@frozen
class StreamEvent:
    """One complete event.

    Attributes:
        id: Content of the id field; empty if there is none.
        text: Lines of the data fields, joined by newlines.
        version: Weight version starting with this event; None if unchanged.
        raw: Received bytes, including the blank line at the end.
        is_comment: Whether it holds comments and retry fields only.
    """

    id: str
    text: str
    version: int | None = None
    raw: bytes = field(default=b'', eq=False, repr=False)
    is_comment: bool = field(default=False, eq=False)


@define
class EventReader:
    """Splits received bytes into events and buffers an incomplete event.

    Attributes:
        version_field: Name of the field that carries a weight version.
        pending: Bytes of the incomplete event.
    """

    version_field: str
    pending: bytes = b''

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that ``received`` completes.

        Raises:
            ValueError: If an event cannot be parsed or is larger than
                ``MAX_EVENT_BYTES``.
        """
        searched = max(0, len(self.pending) - MAX_END_BYTES + 1)
        self.pending += received
        complete = []
        start = 0
        for end in END_OF_EVENT.finditer(self.pending, searched):
            complete.append(self.pending[start : end.end()])
            start = end.end()
        self.pending = self.pending[start:]
        if len(self.pending) > MAX_EVENT_BYTES:
            raise ValueError(f'event is larger than {MAX_EVENT_BYTES} bytes')
        return [self._read(raw) for raw in complete if raw.strip()]

    @property
    def at_event_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self.pending.strip()

    def _read(self, raw: bytes) -> StreamEvent:
        fields = [split_field(line) for line in raw.decode().split('\n')]
        last_contents = dict(fields)
        version = last_contents.get(self.version_field)
        return StreamEvent(
            last_contents.get('id', ''),
            '\n'.join(content for name, content in fields if name == 'data'),
            None if version is None else parse_version(version),
            raw,
            last_contents.keys() <= COMMENT_FIELDS,
        )


def split_field(line: str) -> tuple[str, str]:
    """Return the name and the content of a line; comments have no name."""
    name, _colon, padded = line.rstrip('\r').partition(':')
    return name, padded.removeprefix(' ')


def parse_version(text: str) -> int:
    """Parse the weight version in an event.

    Raises:
        ValueError: If it is not a number.
    """
    version = parse_count(text)
    if version is None:
        raise ValueError('the version in an event is not a number')
    return version
