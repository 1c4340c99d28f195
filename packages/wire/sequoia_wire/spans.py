"""Spans of time as log lines give them."""

from datetime import timedelta


def seconds_of(age: timedelta | None) -> float | None:
    """Return an age in seconds, None if it is unknown."""
    return None if age is None else age.total_seconds()
