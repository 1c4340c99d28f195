"""Rows that mark submissions whose specification is being stored."""

from datetime import timedelta

from attrs import frozen
from sequoia_wire.codecs import decode, encode

from sequoia_rollouts.storage.stores import RowKey, RowWrite
from sequoia_rollouts.storage.tables import find_partition

ACCEPTANCES = 'acceptances'


@frozen
class AcceptanceMarker:
    """Content of a marker.

    Attributes:
        started: When the acceptance started, by the clock of the store.
    """

    started: timedelta


def marker_key(submission_id: str) -> RowKey:
    """Return the key of a submission's marker."""
    return RowKey(ACCEPTANCES, find_partition(submission_id), submission_id)


def write_marker(submission_id: str, started: timedelta) -> RowWrite:
    """Return the write of a submission's marker."""
    marker = AcceptanceMarker(started)
    return RowWrite(marker_key(submission_id), encode(marker))


def read_marker(body: bytes) -> AcceptanceMarker:
    """Decode a marker.

    Raises:
        ServiceError: If it cannot be decoded.
    """
    return decode(body, AcceptanceMarker)
