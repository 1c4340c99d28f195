"""Heads of HTTP requests and answers."""

from collections.abc import Mapping

from attrs import field, frozen

Header = tuple[bytes, bytes]


def encode_headers(texts: Mapping[str, str]) -> tuple[Header, ...]:
    """Return the headers that a mapping of names to texts describes."""
    return tuple((name.encode(), text.encode()) for name, text in texts.items())


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the first header called ``name`` (lower case), or None."""
    wanted = name.encode()
    for key, text in headers:
        if key == wanted:
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


def read_address(text: str) -> Address:
    """Parse ``host:port``.

    Raises:
        ValueError: If the text has another form.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not host:
        raise ValueError(f'{text!r} is not host:port')
    return Address(host, int(port))


@frozen
class RequestHead:
    """Method, path with query, and headers (names in lower case)."""

    method: str
    target: str
    headers: tuple[Header, ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first header called ``name``, or None."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


@frozen
class ResponseHead:
    """Status and headers (names in lower case) of an answer."""

    status: int
    headers: tuple[Header, ...] = ()

    def header(self, name: str) -> str | None:
        """Return the first header called ``name``, or None."""
        return find_header(self.headers, name)


@frozen
class Response:
    """A whole answer."""

    head: ResponseHead
    body: bytes = field(default=b'', repr=False)

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.head.status
