"""Asks entry hosts on their admin addresses."""

from collections.abc import Callable, Coroutine
from typing import TypeVar

import curio
from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.plan_texts import SectionEdit
from sequoia_wire.clients import HttpClient
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import (
    Address,
    Response,
    RequestHead,
    encode_headers,
)
from sequoia_wire.operations import (
    HostStatus,
    LeaveOrder,
    PlanHistory,
    PlanSubmission,
    PlanText,
)

OK = 200
Outcome = TypeVar('Outcome')


class RefusedError(Exception):
    """A host refused a request.

    Attributes:
        status: HTTP status.
        body: The host's explanation, or the newer text of a section.
    """

    def __init__(self, answer: Response) -> None:
        """Take the host's answer."""
        body = answer.body.decode(errors='replace')
        code = answer.head.header('sequoia-code') or 'unknown'
        super().__init__(f'{code} (status {answer.status})')
        self.status = answer.status
        self.body = body


@define
class AdminClient:
    """Talks to the first host that answers, or to all.

    Attributes:
        addresses: Admin addresses of entry hosts.
        operator: Name of the operator; empty for requests that need none.
    """

    addresses: tuple[Address, ...]
    operator: str = ''
    key: str = field(default='', repr=False)
    client: HttpClient = field(factory=HttpClient)

    async def read_plan(self) -> PlanText:
        """Return the newest accepted plan."""
        return decode((await self._ask('GET', '/plan')).body, PlanText)

    async def submit_edits(self, edits: tuple[SectionEdit, ...]) -> PlanText:
        """Have edits accepted; return the whole plan."""
        body = encode(PlanSubmission(edits))
        return decode((await self._ask('POST', '/plan', body)).body, PlanText)

    async def read_history(self) -> PlanHistory:
        """Return all accepted edits."""
        answer = await self._ask('GET', '/plan/history')
        return decode(answer.body, PlanHistory)

    async def read_statuses(self) -> dict[Address, HostStatus | None]:
        """Return the status of each host, None for those that are silent."""
        return {
            address: await self._read_status(address)
            for address in self.addresses
        }

    async def mark_leaving(self, target: str) -> None:
        """Order that a target gets no new work."""
        await self._ask('POST', '/leave', encode(LeaveOrder(target)))

    async def drain(self, address: Address) -> None:
        """Order a host to shut down gracefully."""
        head = self._make_head('POST', '/drain')
        check(await self.client.fetch(address, head))

    async def _read_status(self, address: Address) -> HostStatus | None:
        try:
            answer = await self.client.fetch(
                address,
                RequestHead('GET', '/status'),
            )
        except ServiceError:
            return None
        return decode(answer.body, HostStatus)

    async def _ask(self, method: str, path: str, body: bytes = b'') -> Response:
        head = self._make_head(method, path)
        failure: ServiceError | None = None
        for address in self.addresses:
            try:
                answer = await self.client.fetch(address, head, body)
            except ServiceError as silent:
                failure = silent
                continue
            return check(answer)
        raise failure or ValueError('no admin address was given')

    def _make_head(self, method: str, path: str) -> RequestHead:
        headers = encode_headers(
            {
                'sequoia-operator': self.operator,
                'authorization': f'Bearer {self.key}',
            }
        )
        return RequestHead(method, path, headers)


def check(answer: Response) -> Response:
    """Return an answer that is no refusal.

    Raises:
        RefusedError: If it is one.
    """
    if answer.status != OK:
        raise RefusedError(answer)
    return answer


def run(work: Callable[[], Coroutine[object, object, Outcome]]) -> Outcome:
    """Run one command's work in a loop of its own."""
    with curio.Kernel() as kernel:
        return kernel.run(work)
