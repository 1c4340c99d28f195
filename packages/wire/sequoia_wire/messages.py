"""HTTP request and response heads, headers and addresses."""

from collections.abc import Iterator, Mapping

from attrs import field, frozen
from sequoia_policy.errors import Code, ServiceError

from sequoia_wire.numbers import parse_count

MAX_PORT = 65535
PIECE_BYTES = 65536  # of a body that is sent in pieces
FINAL_STATUSES = range(200, 600)  # of complete responses

Header = tuple[bytes, bytes]


def encode_headers(headers: Mapping[str, str]) -> tuple[Header, ...]:
    """Encode header names and values."""
    return tuple(
        (name.encode(), text.encode()) for name, text in headers.items()
    )


def split_body(body: bytes) -> Iterator[bytes]:
    """Return the pieces of a body in order."""
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the value of the first header named ``name``, or None.

    Args:
        headers: Headers with names in lower case.
        name: Name in lower case.
    """
    encoded_name = name.encode()
    for key, text in headers:
        if key == encoded_name:
            return text.decode('latin-1')
    return None


@frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Format as ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    Raises:
        ValueError: If the text is not ``host:port``, or there is no such port.
    """
    host, _separator, digits = text.rpartition(':')
    port = parse_count(digits)
    if not host or port is None or port > MAX_PORT:
        raise ValueError(f'{text!r} is not host:port')
    return Address(host, port)


def check_status(status: int) -> None:
    """Check that a status may be that of a complete response.

    Raises:
        ServiceError: If HTTP has no such status, so that there is no response.
    """
    if status not in FINAL_STATUSES:
        raise ServiceError(
            Code.TARGET_BROKE, f'{status} is no status of a response'
        )


@frozen
class RequestHead:
    """Method, request target (path and query) and lower-case headers."""

    method: str
    target: str
    headers: tuple[Header, ...] = ()

    def header(self, name: str) -> str | None:
        """Return the value of the first header named ``name``, or None."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """The request target without its query string."""
        return self.target.partition('?')[0]


@frozen
class ResponseHead:
    """Status code and lower-case headers of a response."""

    status: int
    headers: tuple[Header, ...] = ()

    def header(self, name: str) -> str | None:
        """Return the value of the first header named ``name``, or None."""
        return find_header(self.headers, name)

    @property
    def is_delimited(self) -> bool:
        """Whether the body ends by itself, not with the connection."""
        length = self.header('content-length')
        return (
            length is not None or self.header('transfer-encoding') is not None
        )


@frozen
class Response:
    """A complete HTTP response."""

    head: ResponseHead
    body: bytes = field(default=b'', repr=False)

    @property
    def status(self) -> int:
        """The HTTP status code."""
        return self.head.status
