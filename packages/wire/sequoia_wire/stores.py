"""Client of the platform's table and object store."""

import uuid
from datetime import timedelta
from typing import Protocol

from attrs import define, field
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.verdicts import Verdict, merge_verdicts

from sequoia_wire.clients import HttpClient, Timeouts
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import Address, Response, RequestHead
from sequoia_wire.environment import (
    ABSENT,
    Row,
    RowWrite,
    TableAnswer,
    TableQuery,
    Transaction,
    TransactionAnswer,
)

PATIENCE = Timeouts(timedelta(milliseconds=500), timedelta(seconds=2))
SETTLE_ATTEMPTS = 3
OK = 200
NOT_FOUND = 404
RETRY_AFTER = timedelta(seconds=1)


class Store(Protocol):
    """The platform's table and object store."""

    async def read(self, query: TableQuery) -> dict[str, Row]:
        """Return the rows that exist, by key."""

    async def commit(self, *writes: RowWrite) -> TransactionAnswer:
        """Write rows together if each has its expected revision."""

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None."""


@define
class HttpStore:
    """The store behind its HTTP interface."""

    address: Address
    client: HttpClient = field(factory=HttpClient)

    async def read(self, query: TableQuery) -> dict[str, Row]:
        """Return the rows that exist, by key.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE.
        """
        answer = await self._post('/table/read', encode(query))
        rows = decode(answer.body, TableAnswer).rows
        return {row.key: row for row in rows}

    async def commit(self, *writes: RowWrite) -> TransactionAnswer:
        """Write rows together if each has its expected revision.

        A lost answer is settled by sending the same transaction again: if it
        took effect, its rows carry this attempt's writer id.

        Raises:
            ServiceError: With code STORE_UNAVAILABLE; verdict MAY_HAVE_RUN if
                the writes can have taken effect.
        """
        transaction = Transaction(uuid.uuid4().hex, writes)
        verdict = Verdict.NOT_RUN
        body = encode(transaction)
        for _ in range(SETTLE_ATTEMPTS):
            try:
                answer = await self._post('/table/commit', body)
            except ServiceError as failure:
                verdict = merge_verdicts(verdict, failure.verdict)
                continue
            outcome = decode(answer.body, TransactionAnswer)
            return settle(transaction, outcome)
        raise ServiceError(
            Code.STORE_UNAVAILABLE,
            'no answer to a commit',
            verdict=verdict,
            retry_after=RETRY_AFTER,
        )

    async def put_object(self, key: str, body: bytes) -> None:
        """Store an object; storing the same twice is harmless."""
        await self._fetch(RequestHead('PUT', f'/objects/{key}'), body)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if there is none."""
        answer = await self._fetch(RequestHead('GET', f'/objects/{key}'))
        return None if answer.status == NOT_FOUND else answer.body

    async def _post(self, path: str, body: bytes) -> Response:
        return await self._fetch(RequestHead('POST', path), body)

    async def _fetch(self, head: RequestHead, body: bytes = b'') -> Response:
        try:
            answer = await self.client.fetch(self.address, head, body, PATIENCE)
        except ServiceError as failure:
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                failure.detail,
                verdict=failure.verdict,
                retry_after=RETRY_AFTER,
            ) from failure
        if answer.status not in {OK, NOT_FOUND}:
            raise ServiceError(
                Code.STORE_UNAVAILABLE,
                f'status {answer.status}',
                retry_after=RETRY_AFTER,
            )
        return answer


def settle(
    transaction: Transaction,
    outcome: TransactionAnswer,
) -> TransactionAnswer:
    """Recognise a transaction that took effect before its answer was lost."""
    if outcome.committed:
        return outcome
    found = {row.key: row for row in outcome.rows}
    ours = all(
        shows_effect(write, found[write.key], transaction.writer)
        for write in transaction.writes
    )
    return TransactionAnswer(ours, outcome.rows)


def shows_effect(write: RowWrite, row: Row, writer: str) -> bool:
    """Tell whether a row is as a write of this writer left it."""
    if write.body is None:
        return row.revision == ABSENT
    return row.writer == writer
