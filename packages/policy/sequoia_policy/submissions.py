"""Batch submissions, their items and the order in which items run."""

import enum
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta

from attrs import define, field, frozen


@frozen
class ItemHeader:
    """A header of an item's request."""

    name: str
    text: str


@frozen
class RewardCall:
    """The request that scores the output of an item."""

    id: str
    host: str
    path: str
    body: bytes = field(default=b'', repr=False)


@frozen
class Item:
    """One generation request of a submission.

    Attributes:
        group: Name of the group; its items share a prompt.
        expected_tokens: The caller's estimate of the output length in tokens.
    """

    id: str
    path: str
    body: bytes = field(default=b'', repr=False)
    headers: tuple[ItemHeader, ...] = ()
    group: str = ''
    expected_tokens: int = 0
    reward: RewardCall | None = None


@frozen
class Submission:
    """A batch of items that is accepted as a whole and run later.

    Attributes:
        host: Host header of the submitting request.
        path: Path of the submitting request; host and path select the route.
        model: Model that generates; empty for any.
        min_version: Oldest weight version that may generate a token.
        wanted_groups: Number of complete groups that the trainer waits for.
        account: Client account that submitted it; empty for none.
    """

    id: str
    host: str
    path: str
    items: tuple[Item, ...]
    step: int = 0
    model: str = ''
    min_version: int = 0
    wanted_groups: int = 0
    account: str = ''

    def find_item(self, item_id: str) -> Item | None:
        """Return the item with an id, or None."""
        for item in self.items:
            if item.id == item_id:
                return item
        return None


class ItemState(enum.Enum):
    """Final state of an item."""

    COMPLETED = 'completed'
    DEAD = 'dead'


@frozen
class ItemResult:
    """The stored final result of an item.

    Attributes:
        text: Data of all events, separated by line feeds.
        versions: Weight versions that generated an event, ascending.
        score: Signature of the target that scored it.
    """

    id: str
    state: ItemState
    text: str = field(default='', repr=False)
    versions: tuple[int, ...] = ()
    score: str = ''


@frozen
class Ownership:
    """The owner of a submission and its summary, as the shared table stores it.

    Attributes:
        owner: Process that runs it; empty if any process may adopt it.
        total: Number of items.
        pieces: Number of rows that hold its specification.
        ended: Whether the caller needs no more results.
        accepted: Time of acceptance by the clock of the table.
        min_version: Oldest weight version that may generate a token.
        newest_version: Newest named version at the time of acceptance.
        configuration_version: Version of the configuration at that time; 0 if
            unknown.
        account: Client account that submitted it; empty for none, and in rows
            that a build without accounts has rewritten.
    """

    owner: str
    total: int = 0
    pieces: int = 0
    ended: bool = False
    accepted: timedelta = timedelta()
    model: str = ''
    min_version: int = 0
    newest_version: int = 0
    configuration_version: int = 0
    account: str = ''


def find_allowed_staleness(steps: Iterable[Ownership], model: str) -> int:
    """Return the allowed lag, in versions, for a model's newest step."""
    model_steps = [step for step in steps if step.model == model]
    if not model_steps:
        return 0
    newest = max(model_steps, key=lambda step: step.accepted)
    return max(0, newest.newest_version - newest.min_version)


def count_expected_items(steps: Iterable[Ownership], model: str) -> int | None:
    """Return how many items to provision a model's engines for.

    This is the number of items of all open steps, but at least that of the
    newest step, so that engines stay ready between two steps. Returns None if
    the model had no step.
    """
    model_steps = [step for step in steps if step.model == model]
    if not model_steps:
        return None
    newest = max(model_steps, key=lambda step: step.accepted)
    return max(
        newest.total, sum(step.total for step in model_steps if not step.ended)
    )


def return_zero() -> int:
    """Return zero."""
    return 0


@frozen(order=True)
class GroupRank:
    """Sort key for the groups of all submissions; the lowest runs first.

    Attributes:
        later_steps: Minus the number of later steps of the same model.
        unfinished: Number of items of the group without a result.
        position: Index of the group in the submission.
    """

    later_steps: int
    unfinished: int
    position: int


@define
class WorkQueue:
    """Orders the items of one submission.

    Equally complete groups rank in the order of the submission, where
    carried-over groups stand first. Long items start before short ones, so
    that the step does not end with a long one running alone.

    Attributes:
        count_later_steps: Returns the number of later steps of the same model
            that this one must not fall behind.
    """

    submission: Submission
    count_later_steps: Callable[[], int] = return_zero
    waiting: list[Item] = field(init=False)
    failures: Counter[str] = field(factory=Counter)
    unfinished: Counter[str] = field(init=False)
    group_positions: dict[str, int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Queue all items."""
        groups = [item.group for item in self.submission.items]
        self.unfinished = Counter(groups)
        self.group_positions = {}
        for group in groups:
            self.group_positions.setdefault(group, len(self.group_positions))
        self.waiting = sorted(
            self.submission.items,
            key=lambda item: -item.expected_tokens,
        )

    def discard_finished(self, done: set[str]) -> None:
        """Remove the items that already have a result."""
        for item in self.submission.items:
            if item.id in done:
                self.finish(item)
        self.waiting = [item for item in self.waiting if item.id not in done]

    def pop(self) -> Item | None:
        """Remove and return the next item to run, or None."""
        return self.waiting.pop(0) if self.waiting else None

    def requeue(self, item: Item) -> None:
        """Put an item back at the head of the queue."""
        self.waiting.insert(0, item)

    def defer(self, item: Item, is_bound: Callable[[Item], bool]) -> None:
        """Put an item back behind the next one that any engine may run.

        Args:
            item: An item that only some engines may run; none of them is free.
            is_bound: Returns whether only some engines may run an item.
        """
        for position, other in enumerate(self.waiting):
            if not is_bound(other):
                self.waiting.insert(position + 1, item)
                return
        self.waiting.append(item)

    def finish(self, item: Item) -> None:
        """Record that an item has its result."""
        self.unfinished[item.group] -= 1

    def rank_group(self, item: Item) -> GroupRank:
        """Return the rank of an item's group: nearly complete groups first.

        The trainer waits for a number of complete groups, not for all items.
        Interleaving several groups would delay each of them. An earlier step
        is due earlier; after an outage several steps run at a time.
        """
        group = item.group
        return GroupRank(
            -self.count_later_steps(),
            self.unfinished[group],
            self.group_positions[group],
        )

    def count_failure(self, key: str) -> int:
        """Count a failed run of an item or reward call; return the new count."""
        self.failures[key] += 1
        return self.failures[key]
