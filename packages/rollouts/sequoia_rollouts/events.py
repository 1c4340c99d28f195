"""Reads a stream of server-sent events, whole events only."""

import re

from attrs import define, field, frozen

END_OF_EVENT = re.compile(rb'\r?\n\r?\n')


@frozen
class StreamEvent:
    """One whole event.

    Attributes:
        number: Its id.
        version: Weight version from this event on; None if unchanged.
        raw: Its bytes as they were received, with its end.
    """

    number: str
    text: str
    version: int | None = None
    raw: bytes = field(default=b'', eq=False, repr=False)


@define
class EventReader:
    """Cuts bytes into events; an event that is not whole waits."""

    version_field: str
    pending: bytes = b''

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that ``received`` completes.

        Raises:
            ValueError: If an event cannot be read.
        """
        self.pending += received
        whole = []
        start = 0
        for end in END_OF_EVENT.finditer(self.pending):
            whole.append(self.pending[start : end.end()])
            start = end.end()
        self.pending = self.pending[start:]
        return [self._read(raw) for raw in whole if raw.strip()]

    @property
    def is_clean(self) -> bool:
        """Whether no part of an event is left over."""
        return not self.pending.strip()

    def _read(self, raw: bytes) -> StreamEvent:
        number = ''
        texts = []
        version = None
        for line in raw.decode().split('\n'):
            name, _colon, padded = line.rstrip('\r').partition(':')
            content = padded.removeprefix(' ')
            if name == 'id':
                number = content
            elif name == 'data':
                texts.append(content)
            elif name == self.version_field:
                version = int(content)
        return StreamEvent(number, '\n'.join(texts), version, raw)
