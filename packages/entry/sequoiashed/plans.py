"""Follows the newest plan, from the platform or from peers."""

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

FETCH_PATIENCE = timedelta(seconds=2)
MILLISECOND = timedelta(milliseconds=1)

log = Log('plan')


@define
class PlanFollower:
    """Puts the newest plan in force; takes only higher numbers."""

    state: HostState
    text: str = ''
    fetching: bool = False

    def keys(self) -> tuple[str, ...]:
        """Return the row of the newest plan."""
        return (PLAN_HEAD,)

    async def accept(self, rows: dict[str, Row], asked: timedelta) -> None:
        """Take the row of the newest plan, as read from the table."""
        if PLAN_HEAD not in rows:
            return
        head = decode(rows[PLAN_HEAD].body.encode(), PlanHead)
        if head.number > self.state.plan_state.number:
            await self._fetch(head)
        self.state.plan_state.confirm(head.number, asked)

    async def hear(
        self,
        peer: Member,
        number: int,
        confirmed: timedelta | None,
    ) -> None:
        """Take the plan number that a peer has in force."""
        if number > self.state.plan_state.number and not self.fetching:
            await curio.spawn(self._fetch_anywhere, peer, daemon=True)
        if confirmed is not None:
            self.state.plan_state.confirm(number, confirmed)

    def copy_plan(self, above: int) -> PlanCopy | None:
        """Return the plan for a peer, if it is above a number."""
        state = self.state.plan_state
        if state.number <= above:
            return None
        return PlanCopy(state.number, self.text, 0)

    async def _fetch_anywhere(self, peer: Member) -> None:
        self.fetching = True
        try:
            rows = await self.state.store.read(TableQuery((PLAN_HEAD,)))
            await self.accept(rows, self.state.clock.elapsed())
        except ServiceError:
            await self._fetch_from_peer(peer)
        finally:
            self.fetching = False

    async def _fetch(self, head: PlanHead) -> None:
        try:
            body = await self.state.store.get_object(head.document)
        except ServiceError as failure:
            log.write('plan could not be read', detail=failure.detail)
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
                answer = await channel.receive(PeerAnswer, FETCH_PATIENCE)
        except (ServiceError, OSError, curio.TaskTimeout) as failure:
            log.write('peer gave no plan', peer=peer.name, error=str(failure))
            return
        if answer.plan is not None and answer.plan.number:
            self._put_in_force(answer.plan.text, answer.plan.number)

    def _put_in_force(self, text: str, number: int) -> None:
        reading = read_plan(text, number)
        if reading.problems:
            log.write('plan is not valid', number=number)
            return
        if self.state.plan_state.accept(reading.plan):
            self.text = text
            self.state.metrics.plan_number.set(number)
            log.write('plan is in force', number=number)
