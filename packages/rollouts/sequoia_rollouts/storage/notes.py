"""Engine notes: rows that inform all hosts about the load of an engine."""

from attrs import frozen
from sequoia_wire.codecs import decode, encode

from sequoia_rollouts.storage.stores import RowKey, RowWrite
from sequoia_rollouts.storage.tables import OWNERSHIP, find_partition

ENGINE_PREFIX = 'engine/'


@frozen
class EngineNote:
    """Load state of an engine, written by the host that sends its orders.

    Attributes:
        loading: Whether the engine is loading ``version``; otherwise
            ``version`` is what it reported after the order.
    """

    model: str
    version: int
    loading: bool


def read_note(body: bytes) -> EngineNote:
    """Decode a note about an engine.

    Raises:
        ServiceError: If it cannot be decoded.
    """
    return decode(body, EngineNote)


def write_note(name: str, note: EngineNote) -> RowWrite:
    """Return the row write that stores the note about an engine."""
    key = RowKey(OWNERSHIP, find_partition(name), f'{ENGINE_PREFIX}{name}')
    return RowWrite(key, encode(note))
