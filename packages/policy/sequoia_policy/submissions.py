"""Batch submissions: what was asked for, and which item runs next."""

import enum
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field, frozen


@frozen
class ItemHeader:
    """One header that an item's request carries."""

    name: str
    text: str


@frozen
class RewardCall:
    """The request that scores an item's text."""

    id: str
    host: str
    path: str
    body: bytes = field(default=b'', repr=False)


@frozen
class Item:
    """One generation of a submission.

    Attributes:
        group: Items of one group share their prompt.
        expected_tokens: The caller's estimate of the output's length.
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
    """Many generations that are accepted at once and run later.

    Attributes:
        host: Host header of the request that brought it.
        path: Path of that request; both select the route.
        model: Model whose weights generate; empty for any.
        min_version: Oldest version that may generate a token.
        wanted_groups: Whole groups that the trainer waits for.
    """

    id: str
    host: str
    path: str
    items: tuple[Item, ...]
    step: int = 0
    model: str = ''
    min_version: int = 0
    wanted_groups: int = 0

    def find_item(self, item_id: str) -> Item | None:
        """Return an item by its id, or None."""
        for item in self.items:
            if item.id == item_id:
                return item
        return None


class ItemState(enum.Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    DEAD = 'dead'


@frozen
class ItemResult:
    """The lasting outcome of an item.

    Attributes:
        text: Data of all events, separated by line feeds.
        versions: All versions that made an event, ascending.
        score: Receipt of the reward call.
    """

    id: str
    state: ItemState
    text: str = field(default='', repr=False)
    versions: tuple[int, ...] = ()
    score: str = ''


@frozen
class Ownership:
    """Who works on a submission, as the shared table keeps it.

    Attributes:
        owner: Process that works on it; empty if anyone may take it.
        ended: Whether the caller wants nothing more of it.
        total: Number of its items.
        pieces: Rows that its specification takes.
        accepted: The table's clock when it was accepted.
        min_version: Oldest version that may generate a token.
        newest_version: Newest named version when it was accepted.
    """

    owner: str
    total: int = 0
    pieces: int = 0
    ended: bool = False
    accepted: timedelta = timedelta()
    model: str = ''
    min_version: int = 0
    newest_version: int = 0


def find_slack(steps: Iterable[Ownership], model: str) -> int:
    """Return how many versions behind the newest step lets engines be."""
    found = [step for step in steps if step.model == model]
    if not found:
        return 0
    newest = max(found, key=lambda step: step.accepted)
    return max(0, newest.newest_version - newest.min_version)


def count_wanted_items(steps: Iterable[Ownership], model: str) -> int | None:
    """Return how many items a model's engines should be ready for.

    Between two steps that is the size of the last one; None if there was
    none.
    """
    found = [step for step in steps if step.model == model]
    if not found:
        return None
    newest = max(found, key=lambda step: step.accepted)
    return max(
        newest.total, sum(step.total for step in found if not step.ended)
    )


@frozen(order=True)
class GroupRank:
    """Orders the groups of a submission; the lowest comes first.

    Attributes:
        unfinished: Items of the group without a result.
        position: Place of the group in the submission.
    """

    unfinished: int
    position: int


@define
class WorkQueue:
    """Orders the items of one submission.

    Groups come in the order of the submission, since carried groups stand
    first; within the backlog long items start before short ones, so that
    the step does not end with a long one alone.
    """

    submission: Submission
    waiting: list[Item] = field(init=False)
    failures: Counter[str] = field(factory=Counter)
    unfinished: Counter[str] = field(init=False)
    order: dict[str, int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Queue all items."""
        groups = [item.group for item in self.submission.items]
        self.unfinished = Counter(groups)
        self.order = {}
        for group in groups:
            self.order.setdefault(group, len(self.order))
        self.waiting = sorted(
            self.submission.items,
            key=lambda item: -item.expected_tokens,
        )

    def drop(self, done: set[str]) -> None:
        """Forget the items that have a result."""
        for item in self.submission.items:
            if item.id in done:
                self.finish(item)
        self.waiting = [item for item in self.waiting if item.id not in done]

    def pop(self) -> Item | None:
        """Return the next item to run, or None."""
        return self.waiting.pop(0) if self.waiting else None

    def put_back(self, item: Item) -> None:
        """Queue an item again, first."""
        self.waiting.insert(0, item)

    def finish(self, item: Item) -> None:
        """Count an item that has its result."""
        self.unfinished[item.group] -= 1

    def rank_group(self, item: Item) -> GroupRank:
        """Return the rank of an item's group: nearly whole ones first.

        The trainer waits for whole groups and not for all of them, so that
        work on several groups at a time delays each.
        """
        group = item.group
        return GroupRank(self.unfinished[group], self.order[group])

    def count_failure(self, key: str) -> int:
        """Count a failed run of an item or reward; return how many."""
        self.failures[key] += 1
        return self.failures[key]
