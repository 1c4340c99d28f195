"""Client of the admin addresses of entry hosts."""

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
    RequestHead,
    Response,
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
        body: Error text, or the current text of a section after a conflict.
    """

    def __init__(self, response: Response) -> None:
        """Read code, status and body of the response."""
        body = response.body.decode(errors='replace')
        code = response.head.header('sequoia-code') or 'unknown'
        super().__init__(f'{code} (status {response.status})')
        self.status = response.status
        self.body = body


@define
class AdminClient:
    """Sends requests to the first responding host, or to each host.

    Attributes:
        addresses: Admin addresses of entry hosts.
        operator: Name of the operator; empty for requests without one.
        key: Key of the operator.
    """

    addresses: tuple[Address, ...]
    operator: str = ''
    key: str = field(default='', repr=False)
    client: HttpClient = field(factory=HttpClient)

    async def read_plan(self) -> PlanText:
        """Return the newest accepted plan."""
        return decode((await self._request('GET', '/plan')).body, PlanText)

    async def submit_edits(self, edits: tuple[SectionEdit, ...]) -> PlanText:
        """Submit edits; return the accepted plan.

        Raises:
            RefusedError: If the host refuses the edits.
        """
        body = encode(PlanSubmission(edits))
        return decode(
            (await self._request('POST', '/plan', body)).body, PlanText
        )

    async def read_history(self) -> PlanHistory:
        """Return all accepted edits."""
        response = await self._request('GET', '/plan/history')
        return decode(response.body, PlanHistory)

    async def read_statuses(self) -> dict[Address, HostStatus | None]:
        """Return the status of each host, None for unreachable hosts."""
        return {
            address: await self._read_status(address)
            for address in self.addresses
        }

    async def mark_leaving(self, target: str) -> None:
        """Stop new work to a target."""
        await self._request('POST', '/leave', encode(LeaveOrder(target)))

    async def drain(self, address: Address) -> None:
        """Request the graceful shutdown of a host."""
        head = self._make_head('POST', '/drain')
        check_response(await self.client.fetch(address, head))

    async def _read_status(self, address: Address) -> HostStatus | None:
        try:
            response = await self.client.fetch(
                address,
                RequestHead('GET', '/status'),
            )
        except ServiceError:
            return None
        return decode(response.body, HostStatus)

    async def _request(
        self, method: str, path: str, body: bytes = b''
    ) -> Response:
        head = self._make_head(method, path)
        last_error: ServiceError | None = None
        for address in self.addresses:
            try:
                response = await self.client.fetch(address, head, body)
            except ServiceError as error:
                last_error = error
                continue
            return check_response(response)
        raise last_error or ValueError('no admin address was given')

    def _make_head(self, method: str, path: str) -> RequestHead:
        headers = encode_headers(
            {
                'sequoia-operator': self.operator,
                'authorization': f'Bearer {self.key}',
            }
        )
        return RequestHead(method, path, headers)


def check_response(response: Response) -> Response:
    """Return the response if its status is 200.

    Raises:
        RefusedError: If it has another status.
    """
    if response.status != OK:
        raise RefusedError(response)
    return response


def run(work: Callable[[], Coroutine[object, object, Outcome]]) -> Outcome:
    """Run a coroutine function in a new event loop."""
    with curio.Kernel() as kernel:
        return kernel.run(work)
