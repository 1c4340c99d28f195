"""Interfaces to the platform that a host runs on."""

from collections.abc import Callable

from attrs import frozen

from sequoia_rollouts.base.settings import HostSettings
from sequoia_rollouts.fleet.platform_apis import PlatformApi
from sequoia_rollouts.storage.stores import Store
from sequoia_rollouts.targets.dialects import TargetDialect
from sequoia_rollouts.targets.directories import DirectoryReader


@frozen
class Platform:
    """Interfaces to the platform that the host runs on.

    Attributes:
        read_settings: Returns the current settings; raises
            ``ValueError`` if they cannot be used.
        api: The platform's API; None if there is none.
    """

    store: Store
    dialect: TargetDialect
    reader: DirectoryReader
    read_settings: Callable[[], HostSettings]
    api: PlatformApi | None = None
