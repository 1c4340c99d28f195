"""The stored permits that all hosts share."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.announcements import FORGET_LIMIT_AFTER
from sequoia_policy.errors import ServiceError
from sequoia_policy.permits import PermitState
from sequoia_policy.registries import Registration
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.stores import (
    ABSENT,
    ConflictError,
    Guard,
    Row,
    RowKey,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import find_partition

TABLE = 'permits'
STORE_TIMEOUT = timedelta(milliseconds=150)

log = Log('target')
ROW_IGNORED = log.event(
    'stored permits ignored', 'key', 'detail', kind=LogKind.FAILURE
)


@frozen
class StoredPermits:
    """The stored state of a target's permits, as this host last knew it."""

    version: int = ABSENT
    state: PermitState | None = None


@define
class PermitRows:
    """This host's copy of the rows that it has read or written.

    Attributes:
        known: Stored states by key.
    """

    store: Store
    known: dict[RowKey, StoredPermits] = field(factory=dict)

    def find(self, key: RowKey) -> PermitState | None:
        """Return a stored state as last known, None if there is none."""
        return self.known.get(key, StoredPermits()).state

    async def write(self, key: RowKey, state: PermitState) -> bool:
        """Store a state; return False if another host has changed it.

        Raises:
            ServiceError: If the store does not accept the write.
            curio.TaskTimeout: If it does not respond.
        """
        known = self.known.get(key, StoredPermits())
        transaction = Transaction(
            (RowWrite(key, encode(state)),), (Guard(key, known.version),)
        )
        try:
            async with curio.timeout_after(STORE_TIMEOUT.total_seconds()):
                version = await self.store.commit(transaction)
        except ConflictError as conflict:
            self.known[key] = read_row(conflict.find(key))
            return False
        self.known[key] = StoredPermits(version, state)
        return True


def make_key(registration: Registration) -> RowKey:
    """Return the key of the permits of one process of a target."""
    name = f'{registration.name}/{registration.started_at}'
    return RowKey(TABLE, find_partition(name), name)


def read_row(row: Row | None) -> StoredPermits:
    """Decode a stored state; a row that cannot be decoded is replaced."""
    if row is None or row.body is None:
        return StoredPermits()
    try:
        return StoredPermits(row.version, decode(row.body, PermitState))
    except ServiceError as failure:
        ROW_IGNORED.write(key=row.key.key, detail=failure.detail)
        return StoredPermits(row.version)


def is_outdated(row: Row, now: timedelta) -> bool:
    """Return whether the limit of a row was last named long ago.

    Raises:
        ServiceError: If the row cannot be decoded.
    """
    state = decode(row.body or b'', PermitState)
    return now - max(state.named_at, state.due_at) > FORGET_LIMIT_AFTER
