"""Applies changed settings while a host runs."""

from collections.abc import Callable
from datetime import timedelta

import curio
from attrs import asdict, define, field
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.base.settings import RELOADABLE, HostSettings

RELOAD_INTERVAL = timedelta(seconds=2)
# Time between the two equal reads that a change needs: a file that is being
# written may look valid and end in half a number.
SETTLE_INTERVAL = timedelta(milliseconds=100)

log = Log('host')
SETTINGS_CHANGED = log.event('settings changed', 'host', 'names')
RESTART_NEEDED = log.event('settings need a restart', 'host', 'names')
SETTINGS_CANNOT_BE_USED = log.event(
    'settings cannot be used', 'detail', kind=LogKind.FAILURE
)


@define(eq=False)
class SettingsReloader:
    """Reads the settings on request and at an interval.

    The interval is needed because settings may change without a signal. A
    change applies as a whole or not at all, once two reads agree on it.

    Attributes:
        settings: The newest valid settings.
        read_settings: Returns the current settings; raises ``ValueError`` if
            they cannot be used.
        apply: Called with the new settings after a change that needs no
            restart.
        pending: Changed settings that the last read returned first.
        detail: Why the last read failed; empty if it succeeded.
    """

    settings: HostSettings
    read_settings: Callable[[], HostSettings]
    apply: Callable[[HostSettings], None]
    requested: curio.UniversalEvent = field(factory=curio.UniversalEvent)
    pending: HostSettings | None = None
    detail: str = ''

    async def run(self) -> None:
        """Apply changed settings until cancelled."""
        while True:
            interval = SETTLE_INTERVAL if self.pending else RELOAD_INTERVAL
            async with curio.ignore_after(interval.total_seconds()):
                await self.requested.wait()
            self.requested.clear()
            self.reload()

    def reload(self) -> None:
        """Read the settings; apply a change that the last read returned too.

        The last valid settings stay in force on an error.
        """
        try:
            settings = self.read_settings()
        except ValueError as error:
            self._log_failure(str(error))
            return
        self.detail = ''
        if settings != self.settings and settings != self.pending:
            self.pending = settings
            return
        self.pending = None
        self._change(settings)

    def _change(self, settings: HostSettings) -> None:
        changed = find_changes(self.settings, settings)
        self.settings = settings
        reloadable = sorted(changed & RELOADABLE)
        fixed = sorted(changed - RELOADABLE)
        if reloadable:
            SETTINGS_CHANGED.write(host=settings.name, names=reloadable)
            self.apply(settings)
        if fixed:
            RESTART_NEEDED.write(host=settings.name, names=fixed)

    def _log_failure(self, detail: str) -> None:
        """Log why the settings cannot be used, once per reason."""
        if detail != self.detail:
            SETTINGS_CANNOT_BE_USED.write(detail=detail)
        self.detail = detail


def find_changes(before: HostSettings, after: HostSettings) -> set[str]:
    """Return the names of the settings that differ."""
    known = asdict(before, recurse=False)
    current = asdict(after, recurse=False)
    return {name for name in known if known[name] != current[name]}
