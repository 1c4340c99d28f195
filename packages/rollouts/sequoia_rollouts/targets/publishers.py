"""Publishes the registrations that matter to callers in large fleets."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

import curio
from attrs import define, field
from sequoia_policy.choices import rank_names
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import ServiceError
from sequoia_policy.publications import (
    MARKER_INTERVAL,
    STAGGER,
    Difference,
    PublishedRow,
    find_differences,
)
from sequoia_wire.codecs import encode
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.batches import MAX_WRITES
from sequoia_rollouts.targets.directories import Directory
from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.targets.published_targets import (
    TABLE,
    PublishedTargets,
    make_row_key,
    write_marker,
)
from sequoia_rollouts.storage.stores import (
    ConflictError,
    Guard,
    RowWrite,
    Store,
    Transaction,
)

STEP_INTERVAL = timedelta(milliseconds=200)

log = Log('directory')
REGISTRATIONS_PUBLISHED = log.event('registrations published', 'count')
NOT_PUBLISHED = log.event(
    'registrations not published', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class RegistrationPublisher:
    """Writes the differences between registrations and published rows.

    Every coordinator compares. They are ranked, and each rank waits one STAGGER
    longer, so that usually the first one writes, and the next one if the first
    does not.

    Attributes:
        differing_since: When this host first saw each difference, by name.
    """

    store: Store
    clock: Clock
    heartbeats: HeartbeatService
    directory: Directory
    differing_since: dict[str, timedelta] = field(factory=dict)
    published: PublishedTargets = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create this host's copy of the published rows."""
        self.published = PublishedTargets(
            self.store, self.clock, self.heartbeats, self.directory
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops to run while the host runs."""
        return (self.published.follower.run, self.published.run, self.run)

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            try:
                await self.step()
            except (ConflictError, ServiceError) as failure:
                NOT_PUBLISHED.write(detail=str(failure))
            await curio.sleep(STEP_INTERVAL.total_seconds())

    async def step(self) -> None:
        """Publish the differences that are due; renew the marker.

        Raises:
            ConflictError: If another coordinator has published meanwhile.
            ServiceError: If the store does not respond.
        """
        read_version = self.directory.target_follower.version
        if read_version is None or not self._may_publish(read_version):
            return
        differences = self._find_differences()
        delay = self._find_delay()
        now = self.clock.elapsed()
        due = [
            difference
            for difference in differences
            if now - self.differing_since[difference.name] >= delay
        ]
        for start in range(0, len(due), MAX_WRITES):
            await self._write(due[start : start + MAX_WRITES])
        if not differences:
            await self._renew_marker(read_version, delay)

    def _may_publish(self, read_version: int) -> bool:
        """Return whether this host knows more than what is published.

        A host whose reads are older must not replace published rows.

        Args:
            read_version: Version up to which it has read the registrations.
        """
        published_version = self.published.follower.version
        if published_version is None or read_version < published_version:
            return False
        return self.heartbeats.holds_lease()

    def _find_differences(self) -> list[Difference]:
        registry = self.directory.registry
        registry.expire(self.clock.elapsed())
        differences = find_differences(
            registry.targets.values(),
            self.published.rows,
        )
        names = {difference.name for difference in differences}
        now = self.clock.elapsed()
        self.differing_since = {
            name: self.differing_since.get(name, now) for name in names
        }
        return differences

    def _find_delay(self) -> timedelta:
        """Return how long this coordinator waits for those before it."""
        heartbeats = self.heartbeats
        ranked = rank_names(TABLE, heartbeats.live_owners())
        if heartbeats.owner not in ranked:
            return len(ranked) * STAGGER
        return ranked.index(heartbeats.owner) * STAGGER

    async def _write(self, differences: Sequence[Difference]) -> None:
        writes = tuple(
            RowWrite(
                make_row_key(difference.name),
                encode(difference.registration)
                if difference.registration
                else None,
            )
            for difference in differences
        )
        guards = tuple(
            Guard(make_row_key(difference.name), difference.row_version)
            for difference in differences
        )
        version = await self.store.commit(Transaction(writes, guards))
        for difference in differences:
            self.published.record(
                difference.name,
                PublishedRow(version, difference.registration),
            )
        REGISTRATIONS_PUBLISHED.write(count=len(differences))

    async def _renew_marker(self, read_version: int, delay: timedelta) -> None:
        now = self.clock.elapsed()
        seen_at = self.published.marker_seen_at
        if seen_at is not None and now - seen_at < MARKER_INTERVAL + delay:
            return
        await self.store.commit(Transaction((write_marker(read_version),)))
