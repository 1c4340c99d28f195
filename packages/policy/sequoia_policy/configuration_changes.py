"""Finds what differs between two versions of a configuration."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from attrs import asdict, frozen

from sequoia_policy.accounts import Account
from sequoia_policy.routing import Configuration, Route, Service

ADDED = 'added'
REMOVED = 'removed'
HIDDEN_FIELDS = frozenset(('keys',))


@frozen
class Change:
    """A difference between two versions.

    Attributes:
        entry: The kind and the name of the entry.
        change: What happens to it.
    """

    entry: str
    change: str


def find_changes(before: Configuration, after: Configuration) -> list[Change]:
    """Return what a version changes of the one in force.

    Args:
        before: The version in force.
        after: The version to be sent.
    """
    changes = []
    if after.version <= before.version:
        changes.append(
            Change(
                'version',
                f'{after.version} does not follow {before.version}: '
                'hosts ignore it',
            )
        )
    changes.extend(compare('route', before.routes, after.routes))
    changes.extend(compare('service', before.services, after.services))
    changes.extend(
        compare('account', before.accounts or (), after.accounts or ())
    )
    changes.extend(compare_account_use(before, after))
    changes.extend(
        Change('limits', change)
        for change in compare_fields(
            asdict(before.limits), asdict(after.limits)
        )
    )
    return changes


def compare_account_use(
    before: Configuration, after: Configuration
) -> Iterator[Change]:
    """Yield a change if callers begin or cease to need keys."""
    needed, needs = before.accounts is not None, after.accounts is not None
    if needed != needs:
        change = 'callers need keys' if needs else 'callers need no keys'
        yield Change('accounts', change)


def compare(
    kind: str,
    before: Iterable[Route | Service | Account],
    after: Iterable[Route | Service | Account],
) -> Iterator[Change]:
    """Yield the changes of the entries of one kind."""
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    for name in sorted(old.keys() | new.keys()):
        label = f'{kind} {name}'
        if name not in old:
            yield Change(label, ADDED)
        elif name not in new:
            yield Change(label, REMOVED)
        else:
            yield from compare_entries(label, old[name], new[name])


def compare_entries(
    label: str,
    before: Route | Service | Account,
    after: Route | Service | Account,
) -> Iterator[Change]:
    """Yield the changes of one entry; keys are only counted."""
    for change in compare_fields(
        asdict(before, recurse=False), asdict(after, recurse=False)
    ):
        yield Change(label, change)
    if isinstance(before, Account) and isinstance(after, Account):
        yield from compare_keys(label, set(before.keys), set(after.keys))


def compare_keys(
    label: str, before: set[str], after: set[str]
) -> Iterator[Change]:
    """Yield how many keys of an account come and go."""
    if after - before:
        yield Change(label, f'{len(after - before)} keys {ADDED}')
    if before - after:
        yield Change(label, f'{len(before - after)} keys {REMOVED}')


def compare_fields(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    """Yield a text for each field that differs."""
    for name, text in before.items():
        if name not in HIDDEN_FIELDS and after[name] != text:
            yield f'{name}: {text} -> {after[name]}'
