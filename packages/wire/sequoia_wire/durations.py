"""Durations as log fields."""

from datetime import timedelta


def seconds_of(age: timedelta | None) -> float | None:
    """Return an age in seconds, or None if the age is unknown."""
    return None if age is None else age.total_seconds()
