"""Follows the rows that operators, trainers and targets write."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from attrs import define, field, frozen
from sequoia_policy.accounts import ConfigurationAge, find_shared_keys
from sequoia_policy.clocks import Clock
from sequoia_policy.registries import (
    RegisteredTarget,
    Registration,
    TargetRegistry,
)
from sequoia_policy.routing import Configuration
from sequoia_policy.target_paces import TargetPace
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.storage.followers import TableFollower
from sequoia_rollouts.storage.notes import EngineNote
from sequoia_rollouts.storage.stores import Row, Store

INITIAL_VERSION = 1  # of an engine before a trainer names one
MAX_LOAD_DURATION = timedelta(seconds=2)  # if no note reports the end
REGISTRATION_GRACE = timedelta(milliseconds=2200)
# The removal of a registration takes effect at once if the store has not failed
# for this long.
STORE_FAILURE_WINDOW = timedelta(seconds=3)

log = Log('directory')
ENGINE_NOTE = log.event('engine note', 'target', 'model', 'version', 'loading')
KEY_SHARED = log.event(
    'key listed twice',
    'account',
    'second_account',
    'version',
    kind=LogKind.FAILURE,
)
CONFIGURATION_IN_FORCE = log.event(
    'configuration in force', 'version', 'before', 'routes'
)
VERSION_NAMED = log.event('version named', 'model', 'version')
TARGETS_LISTED = log.event('targets listed', 'count')
TARGET_GONE = log.event('target gone', 'target')
TARGET_SAYS_IT_LEAVES = log.event(
    'target says it leaves', 'target', 'registered_leaving'
)
TARGET_REGISTERED = log.event(
    'target registered', 'target', 'leaving', 'release'
)
LIMIT_CHANGED = Log('target').event(
    'concurrency limit changed', 'target', 'limit', 'slots', 'opens', 'restarts'
)


@frozen
class NamedVersion:
    """The newest version of a model that a trainer named."""

    model: str
    version: int


class DirectoryReader(Protocol):
    """Decodes the rows of operators, trainers and targets."""

    @property
    def operator_table(self) -> str:
        """Table of configurations and named versions."""

    @property
    def targets_table(self) -> str:
        """Table of registrations."""

    def read_operator_row(
        self,
        row: Row,
    ) -> Configuration | NamedVersion | None:
        """Decode a row of the operator table; None if it cannot be used."""

    def read_registration(self, row: Row) -> Registration | None:
        """Decode a registration; None if it cannot be used."""


@define
class Directory:
    """The configuration in force, the targets and the named versions.

    Attributes:
        find_feed_interval: Returns the minimum time between two reads of
            changes.
        versions: Newest named version by model.
        observers: Called after each change of the operator table.
        target_sources: Followers of the tables from which targets are known.
    """

    store: Store
    clock: Clock
    reader: DirectoryReader
    find_feed_interval: Callable[[], timedelta]
    registry: TargetRegistry = field(factory=TargetRegistry)
    configuration: Configuration = field(factory=Configuration)
    versions: dict[str, int] = field(factory=dict)
    observers: list[Callable[[], None]] = field(factory=list)
    operator_follower: TableFollower = field(init=False)
    target_follower: TableFollower = field(init=False)
    target_sources: list[TableFollower] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the followers of both tables."""
        self.registry.paces.observe = self._log_limit
        self.operator_follower = TableFollower(
            self.store,
            self.clock,
            self.reader.operator_table,
            self._apply_operator_rows,
            self._apply_operator_row,
            self.find_feed_interval,
        )
        self.target_follower = TableFollower(
            self.store,
            self.clock,
            self.reader.targets_table,
            self._apply_targets,
            self._apply_target,
            self.find_feed_interval,
        )

        self.target_sources = [self.target_follower]

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration and the targets have been read."""
        if self.target_follower.version is None and not self.registry.targets:
            return False
        return self.configuration.version > 0

    def targets_age(self) -> timedelta | None:
        """Return the time since the store last confirmed the targets."""
        ages = [
            source.age() for source in self.target_sources if source.is_active()
        ]
        return min((age for age in ages if age is not None), default=None)

    def configuration_age(self) -> ConfigurationAge:
        """Return how current the configuration is."""
        follower = self.operator_follower
        failed_at = follower.failed_read_at
        return ConfigurationAge(
            follower.age(),
            None if failed_at is None else self.clock.elapsed() - failed_at,
        )

    def newest_version(self, model: str) -> int:
        """Return the newest named version of a model."""
        return max(INITIAL_VERSION, self.versions.get(model, 0))

    def record_leaving(self, target: RegisteredTarget) -> None:
        """Record that a response of a target said that it leaves."""
        if target.announced.record_leaving():
            TARGET_SAYS_IT_LEAVES.write(
                target=target.name,
                registered_leaving=target.registration.leaving,
            )

    def apply_engine_note(self, name: str, note: EngineNote) -> None:
        """Apply the note of the host that sends orders to an engine."""
        target = self.registry.targets.get(name)
        if target is None:
            return
        ENGINE_NOTE.write(
            target=name,
            model=note.model,
            version=note.version,
            loading=note.loading,
        )
        if note.loading:
            until = self.clock.elapsed() + MAX_LOAD_DURATION
            target.record_loading(note.model, until)
        else:
            target.record_loading(note.model, timedelta())
            target.record_version(note.model, note.version)

    def _log_limit(self, target: str, pace: TargetPace) -> None:
        wait = pace.opens_at - self.clock.elapsed()
        LIMIT_CHANGED.write(
            target=target,
            limit=pace.limit,
            slots=pace.slots,
            opens=max(0, wait.total_seconds()),
            restarts=pace.restarts,
        )

    async def _apply_operator_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            await self._apply_operator_row(row)

    async def _apply_operator_row(self, row: Row) -> None:
        if row.body is None:
            return
        content = self.reader.read_operator_row(row)
        if isinstance(content, Configuration):
            self._apply_configuration(content)
        elif isinstance(content, NamedVersion):
            self._apply_version(content)
        self._notify()

    def _apply_configuration(self, content: Configuration) -> None:
        if content.version <= self.configuration.version:
            return
        before = self.configuration.version
        self.configuration = content
        CONFIGURATION_IN_FORCE.write(
            version=content.version,
            before=before,
            routes=len(content.routes),
        )
        for shared in find_shared_keys(content.accounts or ()):
            KEY_SHARED.write(
                account=shared.first,
                second_account=shared.second,
                version=content.version,
            )

    def _apply_version(self, named: NamedVersion) -> None:
        known = self.versions.get(named.model, 0)
        if named.version <= known:
            return
        self.versions[named.model] = named.version
        VERSION_NAMED.write(model=named.model, version=named.version)

    async def _apply_targets(self, rows: tuple[Row, ...]) -> None:
        decoded = [
            self.reader.read_registration(row) for row in rows if row.body
        ]
        registrations = [
            registration for registration in decoded if registration is not None
        ]
        now = self.clock.elapsed()
        self.registry.replace_all(registrations, now, self._find_grace())
        TARGETS_LISTED.write(count=len(registrations))

    async def _apply_target(self, row: Row) -> None:
        now = self.clock.elapsed()
        registration = self.reader.read_registration(row) if row.body else None
        if registration is None:
            self.registry.remove(row.key.key, now, self._find_grace())
            TARGET_GONE.write(target=row.key.key)
        elif self.registry.register(registration, now):
            TARGET_REGISTERED.write(
                target=registration.name,
                leaving=registration.leaving,
                release=registration.release,
            )

    def _find_grace(self) -> timedelta:
        """Return how long a target stays usable without its registration.

        While the store fails, registrations of live targets expire; these
        targets register again soon after the store has recovered.
        """
        if self.target_follower.failed_within(STORE_FAILURE_WINDOW):
            return REGISTRATION_GRACE
        return timedelta()

    def _notify(self) -> None:
        for observer in self.observers:
            observer()
