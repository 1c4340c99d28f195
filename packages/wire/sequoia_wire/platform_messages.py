"""Messages of the platform's table, hosts list and weight store, and of targets."""

from attrs import field, frozen

ABSENT = 0  # revision of a row that does not exist


@frozen
class Row:
    """One row of the table.

    Attributes:
        key: Path of names separated by slashes.
        revision: Increases with each write; ``ABSENT`` if there is no row.
        writer: Id of the transaction that wrote the row.
        body: Content of the row as JSON.
    """

    key: str
    revision: int = ABSENT
    writer: str = ''
    body: str = ''


@frozen
class RowWrite:
    """A conditional write of one row.

    Attributes:
        expected: Revision that the row must have; ``ABSENT`` if the row must
            not exist.
        body: New content as JSON; None removes the row.
    """

    key: str
    expected: int
    body: str | None


@frozen
class Transaction:
    """Writes that are applied atomically.

    Attributes:
        writer: Unique id, stored with each row. After a lost response it shows
            whether the transaction took effect.
    """

    writer: str
    writes: tuple[RowWrite, ...]


@frozen
class TransactionResult:
    """Whether a transaction took effect, and the current rows."""

    committed: bool
    rows: tuple[Row, ...]


@frozen
class TableQuery:
    """A query for rows by key and by key prefix."""

    keys: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()


@frozen
class TableResponse:
    """The existing rows that match a query, sorted by key."""

    rows: tuple[Row, ...]


@frozen
class ListedHost:
    """An entry of the platform's hosts list.

    Attributes:
        pool: Pool of a target; ``entry`` for an entry host.
        leaving: Whether the platform is about to remove the host.
        gossip: UDP address for gossip; entry hosts only.
        peer: TCP address for forwarded requests; entry hosts only.
    """

    name: str
    domain: str
    pool: str
    address: str
    leaving: bool = False
    gossip: str = ''
    peer: str = ''


@frozen
class HostsList:
    """The hosts known to the platform; the list may be out of date."""

    hosts: tuple[ListedHost, ...] = ()


@frozen
class PublishedWeights:
    """The newest version of a pool's weights in the weight store."""

    pool: str
    version: int


@frozen
class TargetStatus:
    """Status that a target reports.

    Attributes:
        incarnation: Id of the process; increases with each start.
        version: Weight version in use; -1 during a swap.
        loaded: Newest weight version that is loaded and ready to activate.
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Maximum number of concurrent requests.
        role: Work that the target accepts: ``both``, ``live`` or ``rollout``.
        adapters: Loaded adapters.
    """

    name: str
    incarnation: int
    version: int = 0
    loaded: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 1
    leaving: bool = False
    role: str = 'both'
    adapters: tuple[str, ...] = ()


@frozen
class Order:
    """An order to an engine.

    Attributes:
        engine: Name of the engine that the order addresses.
        fencing: Fencing token of the lease under which the order is issued.
        load: Weight version to load.
        activate: Weight version to activate.
        role: Role to assume.
        load_adapter: Adapter to load.
        unload_adapter: Adapter to unload.
        signature: Keyed digest of the other fields, in hexadecimal; engines
            that verify orders reject any that is not signed with their key.
    """

    engine: str
    fencing: int
    load: int | None = None
    activate: int | None = None
    role: str | None = None
    load_adapter: str | None = None
    unload_adapter: str | None = None
    signature: str = ''


@frozen
class ScoringRequest:
    """A request to a scorer for the reward of a sample."""

    request_id: str
    prompt: str
    tokens: tuple[int, ...] = field(repr=False)


@frozen
class Score:
    """The reward of a sample."""

    request_id: str
    reward: float
