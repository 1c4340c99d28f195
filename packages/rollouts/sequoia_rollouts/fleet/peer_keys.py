"""Keys that authenticate the datagrams between hosts.

The keys are in the platform's store, which only hosts of the service can read.
A coordinator replaces them from time to time. Hosts accept the current and the
previous key, and sign with a new one only after all hosts have read it.
"""

import secrets
from datetime import timedelta

import curio
from attrs import define, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.errors import Code, ServiceError
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log, LogKind
from sequoia_wire.signatures import derive_key, open_datagram, seal_datagram

from sequoia_rollouts.fleet.heartbeats import HeartbeatService
from sequoia_rollouts.storage.stores import (
    ABSENT,
    ConflictError,
    Guard,
    RowRange,
    RowWrite,
    Store,
    Transaction,
)
from sequoia_rollouts.storage.tables import KEYS, peer_keys_key

RETRY_INTERVAL = timedelta(seconds=1)  # until keys have been read
READ_INTERVAL = timedelta(seconds=30)
SIGN_AFTER = READ_INTERVAL * 3  # age of a key when all hosts have read it
KEY_LIFETIME = timedelta(hours=6)
SECRET_BYTES = 32

log = Log('peers')
KEYS_NOT_READ = log.event('keys not read', 'detail', kind=LogKind.FAILURE)
KEYS_REPLACED = log.event('keys replaced', 'version')


@frozen
class PeerKeys:
    """The shared secrets of all hosts.

    Attributes:
        previous: The secret before ``current``; empty if there was none.
        created: When ``current`` was stored, by the clock of the store.
    """

    current: str
    previous: str
    created: timedelta


@define(eq=False)
class KeyRing:
    """This host's copy of the shared secrets.

    Attributes:
        keys: The secrets; None until they have been read.
        version: Version of the stored row.
    """

    heartbeats: HeartbeatService
    store: Store
    clock: Clock
    keys: PeerKeys | None = None
    version: int = ABSENT

    async def run(self) -> None:
        """Keep the secrets up to date until cancelled."""
        while True:
            try:
                await self.step()
            except (ServiceError, ConflictError) as failure:
                KEYS_NOT_READ.write(detail=str(failure))
            interval = READ_INTERVAL if self.keys else RETRY_INTERVAL
            await curio.sleep(interval.total_seconds())

    async def step(self) -> None:
        """Read the secrets; replace them if they are missing or too old.

        Raises:
            ConflictError: If another host has replaced them meanwhile.
            ServiceError: If the store does not respond.
        """
        page = await self.store.read(RowRange(KEYS))
        for row in page.rows:
            if row.key == peer_keys_key() and row.body is not None:
                self.version = row.version
                self.keys = decode(row.body, PeerKeys)
        if self.heartbeats.is_coordinator and self._are_outdated(page.now):
            await self._replace(page.now)

    def seal(self, payload: bytes) -> bytes:
        """Return a signed datagram.

        Raises:
            ServiceError: If no secret has been read yet.
        """
        if self.keys is None:
            raise ServiceError(Code.NOT_READY, 'no key has been read')
        secret = self.keys.current
        if self.keys.previous and not self._is_current_read():
            secret = self.keys.previous
        return seal_datagram(derive_key(secret), payload)

    def open(self, datagram: bytes) -> bytes:
        """Verify a datagram and return its payload.

        Raises:
            ServiceError: If no known secret has signed it.
        """
        if self.keys is None:
            raise ServiceError(Code.NOT_READY, 'no key has been read')
        try:
            return open_datagram(derive_key(self.keys.current), datagram)
        except ServiceError:
            if not self.keys.previous:
                raise
        return open_datagram(derive_key(self.keys.previous), datagram)

    def _is_current_read(self) -> bool:
        """Return whether all hosts have read the current secret by now."""
        assert self.keys
        now = self.heartbeats.store_clock.now()
        return now is not None and now - self.keys.created >= SIGN_AFTER

    def _are_outdated(self, now: timedelta) -> bool:
        return self.keys is None or now - self.keys.created > KEY_LIFETIME

    async def _replace(self, now: timedelta) -> None:
        current = secrets.token_hex(SECRET_BYTES)
        previous = self.keys.current if self.keys else ''
        keys = PeerKeys(current, previous, now)
        key = peer_keys_key()
        transaction = Transaction(
            (RowWrite(key, encode(keys)),), (Guard(key, self.version),)
        )
        self.version = await self.store.commit(transaction)
        self.keys = keys
        KEYS_REPLACED.write(version=self.version)
