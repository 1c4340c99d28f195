"""Client of the platform's table and object store."""

import uuid
from datetime import timedelta
from typing import Protocol

from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict, merge_verdicts

from sequoia_wire.calls import Timeouts
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import Address, RequestHead, Response
from sequoia_wire.platform_messages import (
    ABSENT,
    Row,
    RowWrite,
    TableQuery,
    TableResponse,
    Transaction,
    TransactionResult,
)

TIMEOUTS = Timeouts(timedelta(milliseconds=500), timedelta(seconds=2))
COMMIT_ATTEMPTS = 3
OK = 200
NOT_FOUND = 404
RETRY_AFTER = timedelta(seconds=1)


class Store(Protocol):
    """The platform's table and object store."""

    async def read(self, query: TableQuery) -> dict[str, Row]:
        """Return the rows that exist, by key."""

    async def commit(self, *writes: RowWrite) -> TransactionResult:
        """Write rows atomically if each has its expected revision."""

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""


@define
class HttpStore:
    """HTTP client of the store."""

    address: Address
    client: HttpClient = field(factory=HttpClient)

    async def read(self, query: TableQuery) -> dict[str, Row]:
        """Return the rows that exist, by key.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE.
        """
        response = await self._post('/table/read', encode(query))
        rows = decode(response.body, TableResponse).rows
        return {row.key: row for row in rows}

    async def commit(self, *writes: RowWrite) -> TransactionResult:
        """Write rows atomically if each has its expected revision.

        After a lost response the same transaction is sent again: if it already
        took effect, its rows carry the writer id of this transaction.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE; with verdict MAY_HAVE_RUN
                if the writes may have taken effect.
        """
        transaction = Transaction(uuid.uuid4().hex, writes)
        verdict = Verdict.NOT_RUN
        body = encode(transaction)
        for _ in range(COMMIT_ATTEMPTS):
            try:
                response = await self._post('/table/commit', body)
            except ServiceError as error:
                verdict = merge_verdicts(verdict, error.verdict)
                continue
            outcome = decode(response.body, TransactionResult)
            return resolve_outcome(transaction, outcome)
        raise ServiceError(
            Code.STORE_UNAVAILABLE,
            'no response of the store to a commit',
            verdict=verdict,
            retry_after=RETRY_AFTER,
        )

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object; the operation is idempotent.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE.
        """
        await self._fetch(RequestHead('PUT', f'/objects/{key}'), body)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE.
        """
        response = await self._fetch(RequestHead('GET', f'/objects/{key}'))
        return None if response.status == NOT_FOUND else response.body

    async def _post(self, path: str, body: bytes) -> Response:
        return await self._fetch(RequestHead('POST', path), body)

    async def _fetch(self, head: RequestHead, body: bytes = b'') -> Response:
        try:
            response = await self.client.fetch(
                self.address, head, body, TIMEOUTS
            )
        except ServiceError as error:
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                error.detail,
                verdict=error.verdict,
                retry_after=RETRY_AFTER,
            ) from error
        if response.status not in {OK, NOT_FOUND}:
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                f'the store responded with status {response.status}',
                retry_after=RETRY_AFTER,
            )
        return response


def resolve_outcome(
    transaction: Transaction,
    outcome: TransactionResult,
) -> TransactionResult:
    """Detect a transaction that took effect before its response was lost.

    Returns:
        The outcome, with ``committed`` also set if the rows show the effect of
        an earlier attempt of the same transaction.
    """
    if outcome.committed:
        return outcome
    rows_by_key = {row.key: row for row in outcome.rows}
    committed = all(
        reflects_write(write, rows_by_key[write.key], transaction.writer)
        for write in transaction.writes
    )
    return TransactionResult(committed, outcome.rows)


def reflects_write(write: RowWrite, row: Row, writer: str) -> bool:
    """Return whether a row has the state that a write by ``writer`` leaves."""
    if write.body is None:
        return row.revision == ABSENT
    return row.writer == writer
