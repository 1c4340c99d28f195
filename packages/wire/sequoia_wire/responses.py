"""Interface to write a streamed response."""

from collections.abc import Coroutine
from typing import Protocol

from sequoia_wire.messages import Header


class ResponseSink(Protocol):
    """Destination of a response that is written in parts."""

    def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> Coroutine[object, object, None]:
        """Write the status and headers."""

    def send(self, chunk: bytes) -> Coroutine[object, object, None]:
        """Write a chunk of the body."""

    def finish(self) -> Coroutine[object, object, None]:
        """End a complete response."""
