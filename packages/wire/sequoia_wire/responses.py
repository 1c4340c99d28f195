"""Where the answer to a request goes, piece by piece."""

from collections.abc import Coroutine
from typing import Protocol

from sequoia_wire.messages import Header


class ResponseSink(Protocol):
    """Takes an answer as it comes."""

    def start(
        self,
        status: int,
        headers: tuple[Header, ...] = (),
    ) -> Coroutine[object, object, None]:
        """Take the head."""

    def send(self, chunk: bytes) -> Coroutine[object, object, None]:
        """Take some bytes of the body."""

    def finish(self) -> Coroutine[object, object, None]:
        """Take the end of a whole answer."""
