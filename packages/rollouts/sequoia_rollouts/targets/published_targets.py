"""Reads the registrations that coordinators publish in large fleets."""

from datetime import timedelta

import curio
from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.publications import (
    MAX_MARKER_AGE,
    PublishedRow,
    is_fleet_large,
)
from sequoia_policy.registries import Registration
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.storage.followers import TableFollower
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.storage.stores import Row, RowKey, RowWrite, Store

TABLE = 'targets'
MARKER = RowKey(TABLE, '', '/marker')
STEP_INTERVAL = timedelta(milliseconds=100)
COORDINATOR_FEED_INTERVAL = timedelta(milliseconds=100)
NO_GRACE = timedelta()  # coordinators remove a target only after its grace

log = Log('directory')
SOURCE_CHANGED = log.event('source of targets changed', 'published', 'count')
ROW_IGNORED = log.event(
    'published row ignored', 'key', 'detail', kind=LogKind.FAILURE
)


@frozen
class PublicationMarker:
    """Shows that the published rows are complete.

    Attributes:
        source_version: Version of the registrations that they include.
    """

    source_version: int


def make_row_key(name: str) -> RowKey:
    """Return the key of a published registration."""
    return RowKey(TABLE, '', name)


def write_marker(source_version: int) -> RowWrite:
    """Return the write of the marker."""
    return RowWrite(MARKER, encode(PublicationMarker(source_version)))


@define(eq=False)
class PublishedTargets:
    """A host's copy of the published registrations.

    A host that is no coordinator uses it instead of the registrations
    themselves while the fleet is large and the marker is renewed. It changes to
    the copy only once that includes all that the host has read itself, so that
    no target comes back that had left.

    Attributes:
        rows: Published rows by name, with removals since the listing.
        marker_version: Newest version of the registrations that the rows
            include.
        marker_seen_at: When the marker was last renewed.
        in_use: Whether this host reads no registrations itself.
        is_applied: Whether the registry follows the rows.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    directory: Directory
    rows: dict[str, PublishedRow] = field(factory=dict)
    marker_version: int = 0
    marker_seen_at: timedelta | None = None
    in_use: bool = False
    is_applied: bool = False
    follower: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the follower; pause that of the registrations while in use."""
        self.follower = TableFollower(
            self.store,
            self.clock,
            TABLE,
            self._apply_listing,
            self._apply_change,
            self.find_feed_interval,
            is_active=self.is_needed,
        )
        direct = self.directory.target_follower
        direct.is_active = self.needs_registrations
        direct.find_feed_interval = self.find_feed_interval
        self.directory.target_sources.append(self.follower)

    async def run(self) -> None:
        """Choose the source of the targets until cancelled."""
        while True:
            self.step()
            await curio.sleep(STEP_INTERVAL.total_seconds())

    def step(self) -> None:
        """Choose the source of the targets."""
        was_in_use = self.in_use
        self.in_use = self._is_available()
        if self.in_use != was_in_use:
            self.is_applied = False
            SOURCE_CHANGED.write(
                published=self.in_use,
                count=len(self.directory.registry.targets),
            )
        if self.in_use and not self.is_applied and self._is_caught_up():
            self._apply_all()

    def is_needed(self) -> bool:
        """Return whether this host follows the published rows."""
        return is_fleet_large(
            len(self.directory.registry.targets), already=self.in_use
        )

    def needs_registrations(self) -> bool:
        """Return whether this host reads the registrations themselves."""
        return not self.in_use

    def find_feed_interval(self) -> timedelta:
        """Return the minimum time between two reads of targets.

        Coordinators of a large fleet read more often, because the other hosts
        learn of changes only after them.
        """
        if self.heartbeats.is_coordinator and self.is_needed():
            return COORDINATOR_FEED_INTERVAL
        return self.heartbeats.find_feed_interval()

    def record(self, name: str, row: PublishedRow) -> None:
        """Record a row that was read or written, unless a newer one is known."""
        known = self.rows.get(name)
        if known and known.version >= row.version:
            return
        self.rows[name] = row
        if self.is_applied:
            self._apply_row(name, row)

    def _is_available(self) -> bool:
        if self.heartbeats.is_coordinator or not self.is_needed():
            return False
        if not self.directory.target_follower.last_version:
            return False
        responded_at = self.follower.store_responded_at
        if self.follower.version is None or responded_at is None:
            return False
        # While the store is silent the marker cannot be renewed either.
        seen_at = self.marker_seen_at
        return seen_at is not None and responded_at - seen_at < MAX_MARKER_AGE

    def _is_caught_up(self) -> bool:
        """Return whether the rows include all that this host has read."""
        direct = self.directory.target_follower
        if direct.version is not None:
            return False
        return self.marker_version >= direct.last_version

    def _apply_all(self) -> None:
        registrations = [
            row.registration for row in self.rows.values() if row.registration
        ]
        self.directory.registry.replace_all(
            registrations, self.clock.elapsed(), NO_GRACE
        )
        self.is_applied = True

    def _apply_row(self, name: str, row: PublishedRow) -> None:
        registry = self.directory.registry
        if row.registration is None:
            registry.remove(name, self.clock.elapsed(), NO_GRACE)
        else:
            registry.register(row.registration, self.clock.elapsed())

    async def _apply_listing(self, rows: tuple[Row, ...]) -> None:
        self.rows.clear()
        was_applied = self.is_applied
        self.is_applied = False
        for row in rows:
            await self._apply_change(row)
        if was_applied:
            self._apply_all()

    async def _apply_change(self, row: Row) -> None:
        try:
            self._decode_row(row)
        except ServiceError as error:
            ROW_IGNORED.write(key=row.key.key, detail=error.detail)

    def _decode_row(self, row: Row) -> None:
        if row.key == MARKER:
            marker = decode(row.body or b'', PublicationMarker)
            self.marker_version = max(
                self.marker_version, marker.source_version
            )
            self.marker_seen_at = self.clock.elapsed()
            return
        registration = decode(row.body, Registration) if row.body else None
        self.record(row.key.key, PublishedRow(row.version, registration))
