"""Parsers of settings; each ValueError states the allowed form."""

from datetime import timedelta
from ipaddress import ip_address

from sequoia_policy.choices import CHOOSERS
from sequoia_policy.durations import parse_duration
from sequoia_wire.messages import Address, parse_address

MIN_SECRET_LENGTH = 16  # characters
ALLOWED_DURATIONS = 'a duration above 0s such as 500ms, 2s or 5m'


def read_name(text: str) -> str:
    """Parse a name of letters, digits, dots and dashes."""
    if not text.replace('-', '').replace('.', '').isalnum():
        raise ValueError('a name of letters, digits, dots and dashes')
    return text


def read_count(text: str) -> int:
    """Parse a positive whole number."""
    if not text.isdigit() or int(text) < 1:
        raise ValueError('a whole number from 1')
    return int(text)


def read_chooser(text: str) -> str:
    """Parse the name of a target chooser."""
    if text not in CHOOSERS:
        raise ValueError(f'one of {", ".join(CHOOSERS)}')
    return text


def read_secret(text: str) -> str:
    """Parse a secret of at least 16 characters."""
    if len(text) < MIN_SECRET_LENGTH:
        raise ValueError('at least 16 characters')
    return text


def read_ip_address(text: str) -> Address:
    """Parse an IP address and a port."""
    try:
        address = parse_address(text)
        ip_address(address.host)
    except ValueError as error:
        raise ValueError(
            'an IP number and a port such as 10.0.0.1:80'
        ) from error
    return address


def read_advertised(text: str) -> Address | None:
    """Parse an optional address; an empty text means None."""
    return read_ip_address(text) if text else None


def read_positive_duration(text: str) -> timedelta:
    """Parse a duration above zero."""
    try:
        duration = parse_duration(text)
    except ValueError as error:
        raise ValueError(ALLOWED_DURATIONS) from error
    if not duration:
        raise ValueError(ALLOWED_DURATIONS)
    return duration
