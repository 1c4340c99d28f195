"""Parses and formats durations such as ``500ms`` or ``5m``."""

import re
from datetime import timedelta
from types import MappingProxyType

DURATION_PATTERN = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
UNITS = MappingProxyType(
    {
        'ms': timedelta(milliseconds=1),
        's': timedelta(seconds=1),
        'm': timedelta(minutes=1),
        'h': timedelta(hours=1),
    },
)


def parse_duration(text: str) -> timedelta:
    """Parse a duration.

    Raises:
        ValueError: If the text is not a number followed by ms, s, m or h.
    """
    match = DURATION_PATTERN.fullmatch(text.strip())
    if match is None:
        raise ValueError(f'{text!r} is not a duration such as 500ms, 2s or 5m')
    amount, unit = match.groups()
    return float(amount) * UNITS[unit]


def format_duration(duration: timedelta) -> str:
    """Format a duration in whole seconds if possible, else in milliseconds."""
    milliseconds = round(duration / UNITS['ms'])
    if milliseconds % 1000:
        return f'{milliseconds}ms'
    return f'{milliseconds // 1000}s'
