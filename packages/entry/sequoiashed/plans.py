"""Follows the newest plan from the platform's table or from peers."""

from datetime import timedelta

import curio
from attrs import define
from sequoia_policy.errors import ServiceError
from sequoia_policy.members import Member
from sequoia_policy.plan_readers import read_plan
from sequoia_wire.codecs import decode
from sequoia_wire.logs import Log
from sequoia_wire.messages import parse_address
from sequoia_wire.peer_types.ttypes import (
    PeerAnswer,
    PeerRequest,
    PlanCopy,
    PlanRequest,
)
from sequoia_wire.platform_messages import Row, TableQuery
from sequoia_wire.rows import PLAN_HEAD, PlanHead

from sequoiashed.forwards import open_channel
from sequoiashed.states import HostState

FETCH_TIMEOUT = timedelta(seconds=2)
MILLISECOND = timedelta(milliseconds=1)

log = Log('plan')


@define
class PlanFollower:
    """Puts the newest plan in force and ignores older ones.

    Attributes:
        text: Text of the plan in force, as served to peers.
        fetching: Whether a fetch triggered by a peer is running.
    """

    state: HostState
    text: str = ''
    fetching: bool = False

    def keys(self) -> tuple[str, ...]:
        """Return the key of the row with the newest plan."""
        return (PLAN_HEAD,)

    async def accept(
        self, rows: dict[str, Row], requested_at: timedelta
    ) -> None:
        """Apply the plan's head as read from the table.

        Args:
            rows: Rows of the table; other rows are ignored.
            requested_at: When the read was sent.
        """
        if PLAN_HEAD not in rows:
            return
        head = decode(rows[PLAN_HEAD].body.encode(), PlanHead)
        if head.number > self.state.plan_state.number:
            await self._fetch_document(head)
        self.state.plan_state.confirm(head.number, requested_at)

    async def handle_peer_plan(
        self,
        peer: Member,
        number: int,
        confirmed_at: timedelta | None,
    ) -> None:
        """Compare the plan number that a peer reports with that of this host.

        A higher number starts a fetch. ``confirmed_at`` is when the peer
        last confirmed its plan, on this host's clock; None if it never did.
        """
        if number > self.state.plan_state.number and not self.fetching:
            await curio.spawn(self._fetch_from_store_or_peer, peer, daemon=True)
        if confirmed_at is not None:
            self.state.plan_state.confirm(number, confirmed_at)

    def copy_plan(self, above: int) -> PlanCopy | None:
        """Return the plan for a peer; None unless its number is above ``above``."""
        state = self.state.plan_state
        if state.number <= above:
            return None
        return PlanCopy(state.number, self.text, 0)

    async def _fetch_from_store_or_peer(self, peer: Member) -> None:
        self.fetching = True
        try:
            rows = await self.state.store.read(TableQuery((PLAN_HEAD,)))
            await self.accept(rows, self.state.clock.elapsed())
        except ServiceError:
            await self._fetch_from_peer(peer)
        finally:
            self.fetching = False

    async def _fetch_document(self, head: PlanHead) -> None:
        try:
            body = await self.state.store.get_object(head.document)
        except ServiceError as error:
            log.write('plan document could not be read', detail=error.detail)
            return
        if body is not None:
            self._put_in_force(body.decode(), head.number)

    async def _fetch_from_peer(self, peer: Member) -> None:
        address = parse_address(peer.peer)
        request = PlanRequest(above=self.state.plan_state.number)
        try:
            channel = await open_channel(address, self.state.peer_key)
            async with channel:
                await channel.send(
                    PeerRequest(
                        plan=request,
                        origin_domain=self.state.settings.domain,
                    ),
                )
                response = await channel.receive(PeerAnswer, FETCH_TIMEOUT)
        except (ServiceError, OSError, curio.TaskTimeout) as error:
            log.write(
                'plan request to peer failed',
                peer=peer.name,
                error=str(error),
            )
            return
        if response.plan is not None and response.plan.number:
            self._put_in_force(response.plan.text, response.plan.number)

    def _put_in_force(self, text: str, number: int) -> None:
        parsed = read_plan(text, number)
        if parsed.problems:
            log.write('plan is invalid', number=number)
            return
        if self.state.plan_state.accept(parsed.plan):
            self.text = text
            self.state.metrics.plan_number.set(number)
            log.write('plan is in force', number=number)
