"""Finds the client account of a request by its key."""

from datetime import timedelta
from typing import Protocol

from attrs import define
from sequoia_policy.accounts import (
    Account,
    Caller,
    ConfigurationAge,
    check_age,
    check_known,
    is_well_formed,
)
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.routing import Configuration, Route
from sequoia_wire.durations import seconds_of
from sequoia_wire.logs import Log, LogKind

UNKNOWN_KEY = 'unknown_key'
NOT_CONFIRMED = 'not_confirmed'

log = Log('account')
KEY_REFUSED = log.event(
    'key refused',
    'request_id',
    'code',
    'config_version',
    'config_age',
    kind=LogKind.FAILURE,
)
KEYS_NOT_CONFIRMED = log.event(
    'serves keys that are not confirmed', 'config_version', 'config_age'
)
KEYS_CONFIRMED = log.event('keys are confirmed again', 'config_version')


class ConfigurationSource(Protocol):
    """Provides the configuration in force."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    def configuration_age(self) -> ConfigurationAge:
        """Return how current the configuration is."""


@define
class Authenticator:
    """Finds client accounts in the configuration in force.

    Attributes:
        source: Provides the configuration.
        max_age: Age of the configuration from which no key is accepted; None
            for any age.
        serves_unconfirmed: Whether the last key was accepted though the store
            had not confirmed the configuration lately.
    """

    source: ConfigurationSource
    max_age: timedelta | None = None
    serves_unconfirmed: bool = False

    @property
    def is_needed(self) -> bool:
        """Whether callers need keys."""
        return self.source.configuration.accounts is not None

    def authenticate(self, route: Route, key: str, request_id: str) -> Caller:
        """Return who sent a request.

        Args:
            route: The route of the request.
            key: The key that the caller sent; empty for none.
            request_id: Id of the request, for logs.

        Raises:
            ServiceError: With code UNKNOWN_CALLER or NOT_READY if the route
                needs a key and this one is not accepted.
        """
        if not self.is_needed:
            return Caller()
        account = self._find(key)
        if not route.public:
            account = self._check(account, request_id)
        return Caller(account, is_checked=True)

    def authenticate_submission_call(
        self, key: str, request_id: str
    ) -> str | None:
        """Return the name of the account of a call that names a submission.

        Returns:
            The name, empty if the call has no account; None if callers need no
            keys.

        Raises:
            ServiceError: With code UNKNOWN_CALLER or NOT_READY if the key is
                not accepted and no submission is open to all.
        """
        if not self.is_needed:
            return None
        account = self._find(key)
        configuration = self.source.configuration
        if account is None and configuration.has_public_submissions:
            return ''
        return self._check(account, request_id).name

    def _find(self, key: str) -> Account | None:
        if not is_well_formed(key):
            return None
        return self.source.configuration.find_account(key)

    def _check(self, account: Account | None, request_id: str) -> Account:
        age = self.source.configuration_age()
        try:
            known = check_known(account, age)
            check_age(age, self.max_age)
        except ServiceError as refusal:
            is_denied = refusal.code is Code.UNKNOWN_CALLER
            KEY_REFUSED.write(
                request_id=request_id,
                code=UNKNOWN_KEY if is_denied else NOT_CONFIRMED,
                config_version=self.source.configuration.version,
                config_age=seconds_of(age.confirmed),
            )
            raise
        self._log_confirmation(age)
        return known

    def _log_confirmation(self, age: ConfigurationAge) -> None:
        """Log when this host begins or ends to serve unconfirmed keys."""
        if age.is_confirmed != self.serves_unconfirmed:
            return
        self.serves_unconfirmed = not age.is_confirmed
        version = self.source.configuration.version
        if self.serves_unconfirmed:
            KEYS_NOT_CONFIRMED.write(
                config_version=version, config_age=seconds_of(age.confirmed)
            )
        else:
            KEYS_CONFIRMED.write(config_version=version)
