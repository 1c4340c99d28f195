"""Splits writes into transactions that the store accepts."""

from collections.abc import Sequence

from sequoia_rollouts.storage.stores import RowWrite

# Limits of one transaction. Each write needs a guard of its own at most, and
# the store counts the bytes as base64.
MAX_WRITES = 48
MAX_BYTES = 400_000


def split_writes(writes: Sequence[RowWrite]) -> list[tuple[RowWrite, ...]]:
    """Group writes, in order, into as few transactions as the limits allow."""
    batches: list[list[RowWrite]] = []
    size = 0
    for write in writes:
        write_size = len(write.body or b'')
        size += write_size
        if not batches or len(batches[-1]) >= MAX_WRITES or size > MAX_BYTES:
            batches.append([])
            size = write_size
        batches[-1].append(write)
    return [tuple(batch) for batch in batches]
