"""Client side of one HTTP connection."""

import re
from collections import deque
from datetime import timedelta

import curio
import h11
from attrs import define, field
from sequoia_policy.errors import Code, ServiceError

from sequoia_wire.clocks import monotonic_time
from sequoia_wire.http_events import read_event
from sequoia_wire.messages import Address, ResponseHead
from sequoia_wire.sockets import shut_down_socket

KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d{1,6})')
EXPIRY_MARGIN = timedelta(milliseconds=500)
REMEMBERED_REQUESTS = 256


@define(eq=False)
class ClientConnection:
    """A connection to one address; serves one call at a time.

    Attributes:
        expires_at: Time after which the connection is not reused; None if the
            peer announced no keep-alive timeout.
        request_ids: Ids of the latest requests that it has carried.
    """

    address: Address
    sock: curio.io.Socket
    state: h11.Connection = field(
        factory=lambda: h11.Connection(our_role=h11.CLIENT),
    )
    expires_at: timedelta | None = None
    request_ids: deque[str] = field(
        factory=lambda: deque(maxlen=REMEMBERED_REQUESTS)
    )

    async def send_events(self, *events: h11.Event) -> None:
        """Send ``events`` in a single write."""
        chunks = [self.state.send(event) or b'' for event in events]
        await self.sock.sendall(b''.join(chunks))

    async def next_event(self, timeout: timedelta) -> h11.Event:
        """Return the next event of the response.

        Raises:
            ServiceError: With code TARGET_STALLED after ``timeout``; with code
                TARGET_BROKE if the connection fails or the peer violates the
                protocol.
        """
        try:
            return await read_event(self.sock, self.state, timeout)
        except curio.TaskTimeout as error:
            raise ServiceError(
                Code.TARGET_STALLED, str(self.address)
            ) from error
        except (OSError, h11.RemoteProtocolError) as error:
            raise ServiceError(Code.TARGET_BROKE, str(error)) from error

    def shut_down(self) -> None:
        """End the connection; a task that waits for data sees its end."""
        shut_down_socket(self.sock)

    async def close(self) -> None:
        """Close the connection."""
        await self.sock.close()

    def may_carry(self, request_id: str) -> bool:
        """Return whether a response to a request can be told from others.

        A late copy of the response to an earlier request with the same id
        cannot.
        """
        return not request_id or request_id not in self.request_ids

    def is_reusable(self) -> bool:
        """Return whether both messages are complete and no data follows."""
        if self.state.our_state is not h11.DONE:
            return False
        if self.state.their_state is not h11.DONE:
            return False
        return not self.state.trailing_data[0]

    def is_stale(self) -> bool:
        """Return whether the connection must not be reused.

        This holds after its expiry, after the peer closed it, and if the peer
        sent unsolicited data.
        """
        if self.expires_at is not None and monotonic_time() >= self.expires_at:
            return True
        try:
            self.sock._socket.recv(1)  # noqa: SLF001
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True


def parse_expiry(head: ResponseHead) -> timedelta | None:
    """Return when to stop reusing the connection, or None if unknown.

    The time is ``EXPIRY_MARGIN`` before the announced keep-alive timeout.
    """
    match = KEEP_ALIVE_TIMEOUT.search(head.header('keep-alive') or '')
    if match is None:
        return None
    return monotonic_time() + timedelta(seconds=int(match[1])) - EXPIRY_MARGIN
