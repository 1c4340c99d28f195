"""Follows what operators, trainers and targets write in the store."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from attrs import define, field, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.registries import TargetRegistry, Registration
from sequoia_policy.routing import Configuration
from sequoia_wire.logs import Log

from sequoia_rollouts.followers import TableFollower
from sequoia_rollouts.notes import EngineNote
from sequoia_rollouts.stores import Row, Store

FIRST_VERSION = 1  # that engines hold before any is named
LONGEST_LOAD = timedelta(seconds=2)  # unless the end is told before
LAPSE_GRACE = timedelta(milliseconds=2200)
TROUBLE_SPAN = timedelta(seconds=3)  # after which removals are believed

log = Log('directory')
ENGINE_NOTE = log.event('engine note', 'target', 'model', 'version', 'loading')
CONFIGURATION_IN_FORCE = log.event(
    'configuration in force', 'version', 'before', 'routes'
)
VERSION_NAMED = log.event('version named', 'model', 'version')
TARGETS_LISTED = log.event('targets listed', 'count')
TARGET_GONE = log.event('target gone', 'target')
TARGET_REGISTERED = log.event('target registered', 'target', 'leaving')


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
        find_period: Returns the shortest time between two reads of changes.
        versions: Newest version that was named, by model.
        observers: Called after operators changed something.
    """

    store: Store
    clock: Clock
    reader: DirectoryReader
    find_period: Callable[[], timedelta]
    registry: TargetRegistry = field(factory=TargetRegistry)
    configuration: Configuration = field(factory=Configuration)
    versions: dict[str, int] = field(factory=dict)
    observers: list[Callable[[], None]] = field(factory=list)
    operators: TableFollower = field(init=False)
    targets: TableFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the followers of both tables."""
        self.operators = TableFollower(
            self.store,
            self.clock,
            self.reader.operator_table,
            self._take_operator_rows,
            self._take_operator_row,
            self.find_period,
        )
        self.targets = TableFollower(
            self.store,
            self.clock,
            self.reader.targets_table,
            self._take_targets,
            self._take_target,
            self.find_period,
        )

    @property
    def is_known(self) -> bool:
        """Whether a configuration and the targets were read."""
        if self.targets.version is None and not self.registry.targets:
            return False
        return self.configuration.version > 0

    def newest_version(self, model: str) -> int:
        """Return the newest version that was named."""
        return max(FIRST_VERSION, self.versions.get(model, 0))

    def take_note(self, name: str, note: EngineNote) -> None:
        """Take what the host that orders an engine says of it."""
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
            until = self.clock.elapsed() + LONGEST_LOAD
            target.record_loading(note.model, until)
        else:
            target.record_loading(note.model, timedelta())
            target.record_version(note.model, note.version)

    async def _take_operator_rows(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            await self._take_operator_row(row)

    async def _take_operator_row(self, row: Row) -> None:
        if row.body is None:
            return
        content = self.reader.read_operator_row(row)
        if isinstance(content, Configuration):
            self._take_configuration(content)
        elif isinstance(content, NamedVersion):
            self._take_version(content)
        self._notify()

    def _take_configuration(self, content: Configuration) -> None:
        if content.version <= self.configuration.version:
            return
        before = self.configuration.version
        self.configuration = content
        CONFIGURATION_IN_FORCE.write(
            version=content.version,
            before=before,
            routes=len(content.routes),
        )

    def _take_version(self, named: NamedVersion) -> None:
        known = self.versions.get(named.model, 0)
        if named.version <= known:
            return
        self.versions[named.model] = named.version
        VERSION_NAMED.write(model=named.model, version=named.version)

    async def _take_targets(self, rows: tuple[Row, ...]) -> None:
        read = [self.reader.read_registration(row) for row in rows if row.body]
        present = [one for one in read if one is not None]
        now = self.clock.elapsed()
        self.registry.replace_all(present, now, self._find_grace())
        TARGETS_LISTED.write(count=len(present))

    async def _take_target(self, row: Row) -> None:
        now = self.clock.elapsed()
        registration = self.reader.read_registration(row) if row.body else None
        if registration is None:
            self.registry.remove(row.key.key, now, self._find_grace())
            TARGET_GONE.write(target=row.key.key)
        elif self.registry.register(registration):
            TARGET_REGISTERED.write(
                target=registration.name,
                leaving=registration.leaving,
            )

    def _find_grace(self) -> timedelta:
        """Return how long a target whose registration went may still live.

        While the store is in trouble registrations lapse of targets that
        live; they register again soon after it is back.
        """
        if self.targets.had_trouble(TROUBLE_SPAN):
            return LAPSE_GRACE
        return timedelta()

    def _notify(self) -> None:
        for observer in self.observers:
            observer()
