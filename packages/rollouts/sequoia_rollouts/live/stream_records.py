"""Records of the streams that began at another release than their id tells."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.budgets import RateLimit
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.release_splits import STREAM_MEMORY
from sequoia_policy.verdicts import Verdict
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.storage.stores import (
    ABSENT,
    RETRY_AFTER,
    ConflictError,
    Guard,
    Row,
    RowKey,
    RowRange,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import find_partition

TABLE = 'streams'
STORE_TIMEOUT = timedelta(milliseconds=400)
WRITE_BURST = 20.0
MAX_OWN = 10_000  # streams; the oldest is forgotten first

log = Log('stream')
RECORD_NOT_STORED = log.event(
    'record not stored', 'request_id', 'release', 'detail', kind=LogKind.FAILURE
)


@frozen
class StreamRecord:
    """The release of one stream.

    Attributes:
        at: When the stream began, by the clock of the store.
    """

    release: str
    at: timedelta


@define(eq=False)
class StreamRecords:
    """The stored records, and the streams that this process began.

    Attributes:
        own: Release of each stream that this process began, by its id.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    own: dict[str, str] = field(factory=dict)
    writes: RateLimit = field(factory=lambda: RateLimit(0, WRITE_BURST))

    def remember(self, stream_id: str, release: str) -> None:
        """Record the release of a stream that this process begins."""
        if len(self.own) >= MAX_OWN:
            self.own.pop(next(iter(self.own)))
        self.own[stream_id] = release

    async def write(self, stream_id: str, release: str) -> str:
        """Store the release of a stream that is about to begin.

        Returns:
            The stored release, another one if a stream of this id began before;
            empty if none is and none ever will be.

        Raises:
            ServiceError: If it may be stored later.
        """
        hosts = self.heartbeats.count_hosts()
        self.writes.per_second = self.heartbeats.rates.find_record_rate(hosts)
        now = self.heartbeats.store_clock.now()
        if now is None or not self.writes.try_acquire(self.clock.elapsed()):
            return ''
        key = make_key(stream_id)
        write = RowWrite(key, encode(StreamRecord(release, now)))
        transaction = Transaction((write,), (Guard(key, ABSENT),))
        try:
            async with curio.timeout_after(STORE_TIMEOUT.total_seconds()):
                await self.store.commit(transaction)
        except ConflictError as conflict:
            return read_release(conflict.find(key))
        except (ServiceError, curio.TaskTimeout) as failure:
            RECORD_NOT_STORED.write(
                request_id=stream_id, release=release, detail=repr(failure)
            )
            if is_certain(failure):
                return ''
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                'the release of the stream may be stored late',
                verdict=Verdict.NOT_RUN,
                retry_after=RETRY_AFTER,
            ) from failure
        return release

    async def read(self, stream_id: str) -> str:
        """Return the recorded release of a stream; empty if it has no record.

        Raises:
            ServiceError: If the store does not respond.
            curio.TaskTimeout: If it does not respond in time.
        """
        key = make_key(stream_id)
        wanted = RowRange(TABLE, key.part, stream_id, f'{stream_id}\0')
        async with curio.timeout_after(STORE_TIMEOUT.total_seconds()):
            page = await self.store.read(wanted)
        return read_release(page.rows[0] if page.rows else None)


def read_release(row: Row | None) -> str:
    """Return the release in a record; empty if there is none.

    Raises:
        ServiceError: With code STORE_UNAVAILABLE if it cannot be decoded.
    """
    if row is None or row.body is None:
        return ''
    try:
        return decode(row.body, StreamRecord).release
    except ServiceError as failure:
        raise ServiceError(
            Code.STORE_UNAVAILABLE, failure.detail, verdict=Verdict.NOT_RUN
        ) from failure


def is_certain(failure: Exception) -> bool:
    """Return whether a failed write is never carried out."""
    if isinstance(failure, ServiceError):
        return failure.verdict is Verdict.NOT_RUN
    return False


def make_key(stream_id: str) -> RowKey:
    """Return the key of the record of a stream."""
    return RowKey(TABLE, find_partition(stream_id), stream_id)


def is_outdated(row: Row, now: timedelta) -> bool:
    """Return whether no caller resumes the stream of a record any more.

    Raises:
        ServiceError: If the row cannot be decoded.
    """
    record = decode(row.body or b'', StreamRecord)
    return now - record.at > STREAM_MEMORY
