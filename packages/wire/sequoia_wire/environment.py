"""Messages of the systems around a host: table, objects, targets, weights."""

from attrs import field, frozen

ABSENT = 0  # revision of a row that does not exist


@frozen
class Row:
    """One row of the table.

    Attributes:
        key: Names joined by slashes.
        revision: Grows with each write; ``ABSENT`` if there is no row.
        writer: Id of the attempt that wrote the row.
        body: JSON text of the row.
    """

    key: str
    revision: int = ABSENT
    writer: str = ''
    body: str = ''


@frozen
class RowWrite:
    """A conditional write of one row.

    Attributes:
        expected: Revision that the row must have, ``ABSENT`` for none.
        body: New text; None removes the row.
    """

    key: str
    expected: int
    body: str | None


@frozen
class Transaction:
    """Writes that take effect together or not at all.

    Attributes:
        writer: Unique id of this attempt, to settle a lost answer.
    """

    writer: str
    writes: tuple[RowWrite, ...]


@frozen
class TransactionAnswer:
    """Whether a transaction took effect, and the rows as they are now."""

    committed: bool
    rows: tuple[Row, ...]


@frozen
class TableQuery:
    """Asks for rows by key and by prefix."""

    keys: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()


@frozen
class TableAnswer:
    """Rows that exist, sorted by key."""

    rows: tuple[Row, ...]


@frozen
class ListedHost:
    """An entry of the platform's hosts list.

    Attributes:
        pool: Pool of a target; ``entry`` for an entry host.
        leaving: Whether the platform is about to take it away.
        gossip: UDP address of an entry host.
        peer: Address for forwards of an entry host.
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
    """The hosts that the platform knows of; it lags."""

    hosts: tuple[ListedHost, ...] = ()


@frozen
class PublishedWeights:
    """The newest version of a pool's weights in the weight store."""

    pool: str
    version: int


@frozen
class TargetStatus:
    """What a target says of itself.

    Attributes:
        incarnation: Differs after each start.
        version: Weight version in use; -1 while a swap is under way.
        loaded: Newest version held ready to activate.
        running: Requests under way.
        waiting: Requests queued.
        slots: Requests that can run at a time.
        role: Which work it takes: ``both``, ``live`` or ``rollout``.
        adapters: Adapters that it holds.
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
        engine: Name of the engine that it is for.
        fencing: Number of the lease under which it is given.
        load: Version to hold ready.
        activate: Version to use.
        role: Role to take.
        load_adapter: Adapter to hold.
        unload_adapter: Adapter to drop.
        signature: Keyed digest of the other fields, in hexadecimal; engines
            that check orders refuse one that was not signed with their key.
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
class Scoring:
    """Asks a scorer for the reward of a sample."""

    request_id: str
    prompt: str
    tokens: tuple[int, ...] = field(repr=False)


@frozen
class Score:
    """A reward."""

    request_id: str
    reward: float
