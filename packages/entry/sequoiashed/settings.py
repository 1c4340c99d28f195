"""Settings of the daemon: definitions, defaults and validation."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from attrs import field, frozen
from sequoia_policy.choices import TWO_CHOICES
from sequoia_wire.messages import Address

from sequoiashed.readers import (
    read_advertised,
    read_chooser,
    read_count,
    read_ip_address,
    read_name,
    read_positive_duration,
    read_secret,
)

VARIABLE_PREFIX = 'SEQUOIASHED_'


class SettingError(Exception):
    """A setting is missing or its value is invalid."""


@frozen
class Setting:
    """Definition of a setting.

    Attributes:
        name: Attribute name, from which flag and variable are derived.
        default: Default as text; None if the setting is required.
        reader: Parses the text; raises ValueError with the allowed form.
        help: One-line description, with the unit.
    """

    name: str
    default: str | None
    reader: Callable[[str], object] = field(repr=False)
    help: str

    @property
    def flag(self) -> str:
        """The command line flag."""
        return '--{0}'.format(self.name.replace('_', '-'))

    @property
    def variable(self) -> str:
        """The environment variable."""
        return f'{VARIABLE_PREFIX}{self.name.upper()}'


SETTINGS = (
    Setting('name', None, read_name, 'Name of this entry host.'),
    Setting('domain', None, read_name, 'Failure domain of this host.'),
    Setting('peer_secret', None, read_secret, 'Secret shared by all hosts.'),
    Setting(
        'order_secret',
        None,
        read_secret,
        'Secret that signs orders to engines.',
    ),
    Setting('store', None, read_ip_address, 'Table and object store.'),
    Setting('hosts_list', None, read_ip_address, 'List of live hosts.'),
    Setting('weight_store', None, read_ip_address, 'Weight store.'),
    Setting(
        'http',
        '127.0.0.1:8080',
        read_ip_address,
        'Address for callers and trainers.',
    ),
    Setting(
        'peer',
        '127.0.0.1:8081',
        read_ip_address,
        'TCP address for other hosts.',
    ),
    Setting(
        'gossip',
        '127.0.0.1:8082',
        read_ip_address,
        'UDP address for other hosts.',
    ),
    Setting(
        'advertised_peer',
        '',
        read_advertised,
        'Address that others use for --peer, if it differs.',
    ),
    Setting(
        'advertised_gossip',
        '',
        read_advertised,
        'Address that others use for --gossip, if it differs.',
    ),
    Setting(
        'admin',
        '127.0.0.1:8083',
        read_ip_address,
        'Address for health, metrics and operators.',
    ),
    Setting(
        'header_bytes',
        '16384',
        read_count,
        'Largest request head, in bytes.',
    ),
    Setting(
        'body_bytes',
        '1048576',
        read_count,
        'Largest request body, in bytes.',
    ),
    Setting(
        'body_memory',
        '67108864',
        read_count,
        'Bytes of request bodies that the host holds at a time.',
    ),
    Setting('connections', '2000', read_count, 'Most connections at a time.'),
    Setting(
        'progress',
        '10s',
        read_positive_duration,
        'Longest time without a byte in a request or answer.',
    ),
    Setting(
        'idle',
        '60s',
        read_positive_duration,
        'Longest time a connection waits for a request.',
    ),
    Setting(
        'live_calls',
        '64',
        read_count,
        'Calls of one service that run at a time on this host.',
    ),
    Setting(
        'chooser',
        TWO_CHOICES,
        read_chooser,
        'How targets are chosen: two-choices, round-robin, least-in-flight.',
    ),
    Setting(
        'queue_patience',
        '1s',
        read_positive_duration,
        'Longest time that a call is queued.',
    ),
    Setting(
        'board_period',
        '1s',
        read_positive_duration,
        'Between reads of the plan and of leases.',
    ),
    Setting(
        'hosts_period',
        '1s',
        read_positive_duration,
        'Between reads of the hosts list.',
    ),
    Setting(
        'watch_period',
        '500ms',
        read_positive_duration,
        'Between looks at a watched target.',
    ),
    Setting(
        'gossip_period',
        '500ms',
        read_positive_duration,
        'Between gossip messages.',
    ),
    Setting(
        'drain_notice',
        '1s',
        read_positive_duration,
        'Time between not ready and the first refused call at shutdown.',
    ),
    Setting(
        'drain_limit',
        '60s',
        read_positive_duration,
        'Longest time for calls in flight at shutdown.',
    ),
)


@frozen
class Settings:
    """Validated settings; ``SETTINGS`` describes each."""

    name: str
    domain: str
    peer_secret: str = field(repr=False)
    order_secret: str = field(repr=False)
    store: Address
    hosts_list: Address
    weight_store: Address
    http: Address
    peer: Address
    gossip: Address
    advertised_peer: Address | None
    advertised_gossip: Address | None
    admin: Address
    header_bytes: int
    body_bytes: int
    body_memory: int
    connections: int
    progress: timedelta
    idle: timedelta
    live_calls: int
    chooser: str
    queue_patience: timedelta
    board_period: timedelta
    hosts_period: timedelta
    watch_period: timedelta
    gossip_period: timedelta
    drain_notice: timedelta
    drain_limit: timedelta


def read_settings(texts: Mapping[str, str | None]) -> Settings:
    """Parse and validate the texts of all settings, given by name.

    Raises:
        SettingError: If a setting is missing or invalid. The message names
            the setting, its value and the allowed form.
    """
    parsed = {
        setting.name: read_setting(setting, texts.get(setting.name))
        for setting in SETTINGS
    }
    return Settings(**parsed)  # type: ignore[arg-type]


def read_setting(setting: Setting, text: str | None) -> object:
    """Parse and validate a setting; None selects its default.

    Raises:
        SettingError: If the value is missing or invalid.
    """
    selected = setting.default if text is None else text
    if selected is None:
        raise SettingError(
            f'{setting.flag} ({setting.variable}) is not set: {setting.help}',
        )
    try:
        return setting.reader(selected)
    except ValueError as error:
        is_secret = setting.reader is read_secret
        shown = '***' if is_secret else repr(selected)
        raise SettingError(
            f'{setting.flag} ({setting.variable}) is {shown}; allowed is {error}',
        ) from error
