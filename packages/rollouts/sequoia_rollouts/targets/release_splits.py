"""The shared splits of services by release: reads them and keeps them fitting."""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.release_splits import (
    SETTLING_TIME,
    ReleaseSplit,
    make_split,
    update_split,
)
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.storage.followers import TableFollower
from sequoia_rollouts.fleet.ownership import OwnershipTable, is_first
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

TABLE = 'releases'
UPDATE_INTERVAL = timedelta(milliseconds=250)
STORE_TIMEOUT = timedelta(milliseconds=400)
LISTING_POLL_INTERVAL = timedelta(milliseconds=10)

log = Log('stream')
SPLIT_CHANGED = log.event('split changed', 'service', 'buckets')
SPLIT_NOT_WRITTEN = log.event(
    'split not written', 'service', 'detail', kind=LogKind.FAILURE
)
SPLIT_IGNORED = log.event(
    'split ignored', 'service', 'detail', kind=LogKind.FAILURE
)


@frozen
class StoredSplit:
    """A split, None if its row cannot be used, and the version of the row."""

    version: int = ABSENT
    split: ReleaseSplit | None = None


@define(eq=False)
class ReleaseSplits:
    """This host's view of the splits of all services with resumable streams.

    The first host in the rendezvous order of a service lets its split follow the
    engines. Any host creates a missing one.

    Attributes:
        stored: Stored splits by service.
        named_at: When a split was first seen to name a release, by service and
            release.
    """

    store: Store
    clock: Clock
    directory: Directory
    ownership: OwnershipTable
    stored: dict[str, StoredSplit] = field(factory=dict)
    named_at: dict[str, dict[str, timedelta]] = field(factory=dict)
    follower: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the follower of the splits."""
        self.follower = TableFollower(
            self.store,
            self.clock,
            TABLE,
            self._apply_listing,
            self._apply_row,
            self.ownership.heartbeats.find_feed_interval,
            is_active=lambda: bool(self._find_services()),
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        return (self.follower.run, self.run_updates)

    def find(self, service: str) -> ReleaseSplit | None:
        """Return the split of a service, None if there is none."""
        return self.stored.get(service, StoredSplit()).split

    def is_settled(self, service: str, release: str) -> bool:
        """Return whether all hosts that may resume streams know a release."""
        named_at = self.named_at.get(service, {}).get(release)
        if named_at is None:
            return False
        return self.clock.elapsed() - named_at >= SETTLING_TIME

    def is_served(self, service: str, release: str) -> bool:
        """Return whether an engine of a release takes new work."""
        return bool(self._count_slots(service)[release])

    async def find_or_create(self, service: str) -> ReleaseSplit | None:
        """Return the split of a service; None if it cannot be created now."""
        is_away = self.follower.failed_within(STORE_TIMEOUT)
        if self.find(service) is None and not is_away:
            await self._update(service)
        return self.find(service)

    async def wait_until_listed(self) -> None:
        """Wait for the first listing unless the store fails."""
        deadline = self.clock.elapsed() + STORE_TIMEOUT
        while self.follower.version is None:
            now = self.clock.elapsed()
            if now >= deadline or self.follower.failed_within(STORE_TIMEOUT):
                return
            await curio.sleep(LISTING_POLL_INTERVAL.total_seconds())

    async def run_updates(self) -> None:
        """Let the splits follow the engines until cancelled."""
        while True:
            await curio.sleep(UPDATE_INTERVAL.total_seconds())
            if self.follower.version is None:
                continue
            for service in self._find_services():
                if is_first(self.ownership, service):
                    await self._update(service)

    def _find_services(self) -> frozenset[str]:
        return self.directory.configuration.resumable_services

    async def _update(self, service: str) -> None:
        slots = self._count_slots(service)
        now = self.ownership.heartbeats.store_clock.now()
        if not slots or now is None:
            return
        known = self.find(service)
        if known is None:
            split = make_split(slots)
        else:
            split = update_split(known, slots, now)
        if split is not known:
            await self._write(service, split)

    def _count_slots(self, service: str) -> Counter[str]:
        """Return the slots of the engines that take new work, by release."""
        slots: Counter[str] = Counter()
        for target in self.directory.registry.find(service):
            if not target.is_leaving:
                slots[target.registration.release] += target.slots
        return slots

    async def _write(self, service: str, split: ReleaseSplit) -> None:
        key = RowKey(TABLE, '', service)
        known = self.stored.get(service, StoredSplit())
        write = RowWrite(key, encode(split))
        transaction = Transaction((write,), (Guard(key, known.version),))
        try:
            async with curio.timeout_after(STORE_TIMEOUT.total_seconds()):
                version = await self.store.commit(transaction)
        except ConflictError as conflict:
            await self._apply_row(conflict.find(key) or Row(key, ABSENT))
        except (ServiceError, curio.TaskTimeout) as failure:
            SPLIT_NOT_WRITTEN.write(service=service, detail=str(failure))
        else:
            await self._apply_row(Row(key, version, write.body))

    async def _apply_listing(self, rows: tuple[Row, ...]) -> None:
        self.stored.clear()
        for row in rows:
            await self._apply_row(row)

    async def _apply_row(self, row: Row) -> None:
        service = row.key.key
        known = self.stored.get(service, StoredSplit())
        if row.body is None:
            self.stored.pop(service, None)
        elif row.version > known.version:
            self.stored[service] = read_split(row)
            split = self.find(service)
            self._record_releases(service, split)
            buckets = split.buckets if split else ()
            counts = Counter(bucket.release for bucket in buckets)
            SPLIT_CHANGED.write(service=service, buckets=dict(counts))

    def _record_releases(
        self, service: str, split: ReleaseSplit | None
    ) -> None:
        """Record when a split was first seen to name its releases.

        A host that has seen no split before takes the time in the split.
        """
        now = self.clock.elapsed()
        store_now = self.ownership.heartbeats.store_clock.now()
        known = self.named_at.get(service)
        named_at = split.find_named_at() if split else {}
        self.named_at[service] = {
            release: find_first_seen(known, release, now)
            if known or store_now is None
            else now - max(timedelta(), store_now - at)
            for release, at in named_at.items()
        }


def find_first_seen(
    known: Mapping[str, timedelta] | None, release: str, now: timedelta
) -> timedelta:
    """Return when a release was first seen, now if it was not."""
    return (known or {}).get(release, now)


def read_split(row: Row) -> StoredSplit:
    """Decode a split; one that cannot be decoded is replaced."""
    try:
        return StoredSplit(row.version, decode(row.body or b'', ReleaseSplit))
    except ServiceError as failure:
        SPLIT_IGNORED.write(service=row.key.key, detail=failure.detail)
        return StoredSplit(row.version)
