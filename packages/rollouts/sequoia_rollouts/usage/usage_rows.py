"""Tables, keys and encoding of counts and reports."""

import zlib
from collections.abc import Iterable, Mapping

from sequoia_policy.errors import ServiceError
from sequoia_policy.usage_reports import StoredReport
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.stores import Row, RowKey, RowRange
from sequoia_rollouts.storage.tables import (
    AFTER_SLASH,
    PARTITIONS,
    duty_key,
)

COUNTS = 'usage'
REPORTS = 'usage_reports'
DUTY = 'usage'
# Partitions that hold the counts of one window: hundreds of hosts write them
# within a second, and one partition takes 150 transactions a second.
PARTITIONS_PER_WINDOW = 4

log = Log('usage')
ROW_IGNORED = log.event('row ignored', 'key', 'detail', kind=LogKind.FAILURE)


def counts_key(window: int, owner: str) -> RowKey:
    """Return the key of what a process counted in a window.

    Args:
        window: Number of the window.
        owner: The name under which the process owns work.
    """
    group = zlib.crc32(owner.encode()) % PARTITIONS_PER_WINDOW
    part = list_partitions(window)[group]
    return RowKey(COUNTS, part, f'{window}/{owner}')


def list_partitions(window: int) -> list[str]:
    """Return the partitions with the counts of a window."""
    first = window * PARTITIONS_PER_WINDOW
    return [
        PARTITIONS[(first + group) % len(PARTITIONS)]
        for group in range(PARTITIONS_PER_WINDOW)
    ]


def list_count_ranges(window: int) -> list[RowRange]:
    """Return the ranges with the counts of a window."""
    return [
        RowRange(COUNTS, part, f'{window}/', f'{window}{AFTER_SLASH}')
        for part in list_partitions(window)
    ]


def old_counts_range(window: int, part: str) -> RowRange:
    """Return the range of the counts before a window in a partition."""
    return RowRange(COUNTS, part, '', f'{window}/')


def report_key(window: int) -> RowKey:
    """Return the key of a report, in the partition of the duty's row."""
    return RowKey(REPORTS, duty_key(DUTY).part, str(window))


def reports_range() -> RowRange:
    """Return the range of all reports."""
    return RowRange(REPORTS, duty_key(DUTY).part)


def encode_counts(counts: Mapping[str, int]) -> bytes:
    """Encode the counts of one host."""
    return encode(dict(counts))


def decode_counts(rows: Iterable[Row]) -> Iterable[dict[str, int]]:
    """Decode the counts of hosts; rows that cannot be decoded are left out."""
    for row in rows:
        try:
            yield decode(row.body or b'', dict[str, int])
        except ServiceError as error:
            ROW_IGNORED.write(key=row.key.key, detail=error.detail)


def decode_reports(rows: Iterable[Row]) -> dict[int, StoredReport | None]:
    """Decode reports by window; None for one that cannot be decoded.

    No other report may be sent in its place.
    """
    return {
        int(row.key.key): decode_report(row)
        for row in rows
        if row.key.key.isdecimal()
    }


def decode_report(row: Row) -> StoredReport | None:
    """Decode a report; return None if it cannot be decoded."""
    try:
        return decode(row.body or b'', StoredReport)
    except ServiceError as error:
        ROW_IGNORED.write(key=row.key.key, detail=error.detail)
    return None
