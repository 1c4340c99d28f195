"""Notes about engines by which hosts inform each other."""

from attrs import frozen
from sequoia_wire.codecs import decode, encode

from sequoia_rollouts.stores import RowKey, RowWrite
from sequoia_rollouts.tables import OWNERSHIP, find_partition

ENGINE_PREFIX = 'engine/'


@frozen
class EngineNote:
    """State of an engine as the host that sends its orders reports it.

    Attributes:
        loading: Whether the engine is loading ``version``.
    """

    model: str
    version: int
    loading: bool


def read_note(body: bytes) -> EngineNote:
    """Decode the note about an engine.

    Raises:
        ServiceError: If it cannot be decoded.
    """
    return decode(body, EngineNote)


def write_note(name: str, note: EngineNote) -> RowWrite:
    """Return the row write that stores the note about an engine."""
    key = RowKey(OWNERSHIP, find_partition(name), f'{ENGINE_PREFIX}{name}')
    return RowWrite(key, encode(note))
