"""Client accounts, and which of them a request belongs to."""

import hashlib
from collections.abc import Iterable, Mapping
from datetime import timedelta

from attrs import field, frozen

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.preconditions import may_deny_route

MAX_KEY_BYTES = 200
DIGEST_BYTES = 16
# Longer than two reads of changes take that the store does not answer.
MAX_ATTEMPT_AGE = timedelta(milliseconds=4500)
RETRY_AFTER = timedelta(milliseconds=300)


@frozen
class Account:
    """A client account.

    Attributes:
        keys: Keys of its callers.
        priority: Priority of its requests, 0 is most urgent; None for that of
            their routes.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None


@frozen
class Caller:
    """Who sent a request.

    Attributes:
        account: Its client account; None if it has none.
        is_checked: Whether callers need keys.
    """

    account: Account | None = None
    is_checked: bool = False

    @property
    def account_name(self) -> str | None:
        """Name of the account, empty for none; None if callers need no keys."""
        if not self.is_checked:
            return None
        return self.account.name if self.account else ''

    @property
    def priority(self) -> int | None:
        """Priority of the account; None for that of the route."""
        return self.account.priority if self.account else None


@frozen
class SharedKey:
    """A key that two accounts list; it belongs to the first."""

    first: str
    second: str


@frozen
class ConfigurationAge:
    """How current the configuration of a host is.

    Attributes:
        confirmed: Time since the store confirmed it; None if never.
        attempted: Time since the start of the last read that failed; None if
            none did.
    """

    confirmed: timedelta | None
    attempted: timedelta | None = None

    @property
    def is_confirmed(self) -> bool:
        """Whether a key that it does not list may be denied."""
        return may_deny_route(self.confirmed)

    @property
    def is_usable(self) -> bool:
        """Whether a key that it lists may be accepted.

        A host whose reads fail serves the keys that it knows. A host that was
        paused has not tried to read since.
        """
        if self.is_confirmed:
            return True
        return self.attempted is not None and self.attempted < MAX_ATTEMPT_AGE


def digest_key(key: str) -> bytes:
    """Return what keys are looked up by.

    The time of a look-up does not depend on how much of a key is right.
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


def index_keys(accounts: Iterable[Account]) -> Mapping[bytes, Account]:
    """Return the account of each key, by the digest of the key."""
    index: dict[bytes, Account] = {}
    for account in accounts:
        for key in account.keys:
            index.setdefault(digest_key(key), account)
    return index


def find_shared_keys(accounts: Iterable[Account]) -> list[SharedKey]:
    """Return the pairs of accounts that list the same key."""
    index: dict[bytes, Account] = {}
    shared = []
    for account in accounts:
        for key in account.keys:
            first = index.setdefault(digest_key(key), account)
            if first is not account:
                shared.append(SharedKey(first.name, account.name))
    return shared


def is_well_formed(key: str) -> bool:
    """Return whether a text can be a key."""
    return 0 < len(key) <= MAX_KEY_BYTES and key.isascii()


def check_known(account: Account | None, age: ConfigurationAge) -> Account:
    """Return the account of a request that needs one.

    Raises:
        ServiceError: With code UNKNOWN_CALLER if there is none, with NOT_READY
            if a newer configuration may have it.
    """
    if account is not None:
        return account
    if age.is_confirmed:
        raise ServiceError(Code.UNKNOWN_CALLER, 'the key is not known')
    raise ServiceError(
        Code.NOT_READY,
        'the keys are not confirmed',
        retry_after=RETRY_AFTER,
    )


def check_age(age: ConfigurationAge, max_age: timedelta | None) -> None:
    """Check that the keys of a configuration may be accepted.

    Args:
        age: How current the configuration is.
        max_age: Age from which no key is accepted; None for any age, so that
            hosts without the store serve the keys that they know.

    Raises:
        ServiceError: With code NOT_READY.
    """
    is_old = max_age is not None and (
        age.confirmed is None or age.confirmed > max_age
    )
    if is_old or not age.is_usable:
        raise ServiceError(
            Code.NOT_READY,
            'the keys are not confirmed',
            retry_after=RETRY_AFTER,
        )
