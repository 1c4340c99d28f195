"""Reads the texts of settings; each error says what is allowed."""

from datetime import timedelta
from ipaddress import ip_address

from sequoia_policy.choices import CHOOSERS
from sequoia_policy.durations import read_duration
from sequoia_wire.messages import Address, parse_address

SHORTEST_SECRET = 16  # characters
DURATIONS = 'a duration above 0s such as 500ms, 2s or 5m'


def read_name(text: str) -> str:
    """Read a name of letters, digits, dots and dashes."""
    if not text.replace('-', '').replace('.', '').isalnum():
        raise ValueError('a name of letters, digits, dots and dashes')
    return text


def read_count(text: str) -> int:
    """Read a whole number from 1."""
    if not text.isdigit() or int(text) < 1:
        raise ValueError('a whole number from 1')
    return int(text)


def read_chooser(text: str) -> str:
    """Read the name of a way to choose targets."""
    if text not in CHOOSERS:
        raise ValueError(f'one of {", ".join(CHOOSERS)}')
    return text


def read_secret(text: str) -> str:
    """Read a secret of at least 16 characters."""
    if len(text) < SHORTEST_SECRET:
        raise ValueError('at least 16 characters')
    return text


def read_ip_address(text: str) -> Address:
    """Read an IP number and a port."""
    try:
        address = parse_address(text)
        ip_address(address.host)
    except ValueError as bad:
        raise ValueError('an IP number and a port such as 10.0.0.1:80') from bad
    return address


def read_advertised(text: str) -> Address | None:
    """Read an address that may be left out."""
    return read_ip_address(text) if text else None


def read_positive_duration(text: str) -> timedelta:
    """Read a duration above zero."""
    try:
        duration = read_duration(text)
    except ValueError as bad:
        raise ValueError(DURATIONS) from bad
    if not duration:
        raise ValueError(DURATIONS)
    return duration
