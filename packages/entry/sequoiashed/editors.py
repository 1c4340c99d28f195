"""Accepts edits of the plan by a conditional write of its head."""

from attrs import define, field, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plan_texts import (
    PlanConflictError,
    SectionEdit,
    apply_edits,
    check_owners,
    digest_text,
    read_valid_plan,
)
from sequoia_policy.plans import Plan
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange, encode_error
from sequoia_wire.logs import Log
from sequoia_wire.messages import encode_headers
from sequoia_wire.operations import (
    PlanHistory,
    PlanSubmission,
    PlanText,
)
from sequoia_wire.platform_messages import (
    ABSENT,
    Row,
    RowWrite,
    TableQuery,
)
from sequoia_wire.rows import PLAN_HEAD, PlanEdit, PlanHead, history_key

from sequoiashed.live import read_bearer_token
from sequoiashed.plans import PlanFollower
from sequoiashed.states import HostState

MAX_WRITE_ATTEMPTS = 8  # edits of other sections make a write fail
HISTORY_PREFIX = 'plan/history/'
OK = 200
GET = 'GET'
JSON = encode_headers({'content-type': 'application/json'})

log = Log('editor')


@frozen
class CurrentPlan:
    """The newest plan as read from the table."""

    text: str = ''
    number: int = 0
    revision: int = ABSENT
    plan: Plan = field(factory=Plan)


@define
class PlanEditHandler:
    """Serves requests of operators that read or edit the plan."""

    state: HostState
    follower: PlanFollower

    async def handle_plan(self, exchange: Exchange) -> None:
        """Return the newest plan for GET; otherwise apply submitted edits.

        Raises:
            ServiceError: If the edits are invalid or not allowed, or the
                store fails.
        """
        body = await exchange.read_body()
        if exchange.head.method == GET:
            current = await self._read_current()
            newest = PlanText(current.number, current.text)
            await exchange.respond(OK, encode(newest), JSON)
            return
        submission = decode(body, PlanSubmission)
        try:
            accepted = await self._submit(exchange, submission)
        except PlanConflictError as conflict:
            await respond_conflict(exchange, conflict)
            return
        await exchange.respond(OK, encode(accepted), JSON)

    async def handle_history(self, exchange: Exchange) -> None:
        """Return all accepted edits, ordered by plan number."""
        await exchange.read_body()
        query = TableQuery(prefixes=(HISTORY_PREFIX,))
        rows = await self.state.store.read(query)
        edits = [decode(row.body.encode(), PlanEdit) for row in rows.values()]
        edits.sort(key=lambda edit: edit.number)
        await exchange.respond(OK, encode(PlanHistory(tuple(edits))), JSON)

    async def _submit(
        self,
        exchange: Exchange,
        submission: PlanSubmission,
    ) -> PlanText:
        operator = exchange.head.header('sequoia-operator') or ''
        key = read_bearer_token(exchange.head)
        for _ in range(MAX_WRITE_ATTEMPTS):
            current = await self._read_current()
            new_text = self._apply_edits(
                current, submission.edits, operator, key
            )
            if new_text == current.text:
                return PlanText(current.number, current.text)
            if await self._write(current, new_text, submission, operator):
                await self._apply_newest()
                return PlanText(current.number + 1, new_text)
        raise ServiceError(
            Code.PLAN_CONFLICT,
            'other edits were accepted during each write attempt',
        )

    def _apply_edits(
        self,
        current: CurrentPlan,
        edits: tuple[SectionEdit, ...],
        operator: str,
        key: str,
    ) -> str:
        """Return the plan's text with the edits applied.

        The first plan is checked against the operators that it defines
        itself.

        Raises:
            ServiceError: If the new plan is invalid, or the operator is
                unknown or does not own an edited section.
            PlanConflictError: If an edited section changed meanwhile.
        """
        new_text = apply_edits(current.text, edits)
        new_plan = read_valid_plan(new_text, current.number + 1)
        authority = current.plan if current.number else new_plan
        teams = authority.teams_of(operator, key)
        if not teams:
            raise ServiceError(Code.UNKNOWN_CALLER, operator)
        if current.number:
            check_owners(current.plan, new_plan, edits, teams)
        return new_text

    async def _read_current(self) -> CurrentPlan:
        rows = await self.state.store.read(TableQuery((PLAN_HEAD,)))
        if PLAN_HEAD not in rows:
            return CurrentPlan()
        row = rows[PLAN_HEAD]
        head = decode(row.body.encode(), PlanHead)
        body = await self.state.store.get_object(head.document)
        if body is None:
            raise ServiceError(
                Code.STORE_UNAVAILABLE, 'the document of the plan is missing'
            )
        text = body.decode()
        plan = read_valid_plan(text, head.number)
        return CurrentPlan(text, head.number, row.revision, plan)

    async def _write(
        self,
        current: CurrentPlan,
        new_text: str,
        submission: PlanSubmission,
        operator: str,
    ) -> bool:
        digest = digest_text(new_text)
        number = current.number + 1
        head = PlanHead(number, f'plans/{digest}', digest)
        await self.state.store.put_object(head.document, new_text.encode())
        edit = PlanEdit(
            number,
            ', '.join(edit.section for edit in submission.edits),
            operator,
            self.state.clock.now(),
            digest,
        )
        response = await self.state.store.commit(
            RowWrite(PLAN_HEAD, current.revision, encode(head).decode()),
            RowWrite(history_key(number), ABSENT, encode(edit).decode()),
        )
        if response.committed:
            log.write('plan accepted', number=number, operator=operator)
        return response.committed

    async def _apply_newest(self) -> None:
        """Put the accepted plan in force on this host without a poll."""
        rows: dict[str, Row] = await self.state.store.read(
            TableQuery((PLAN_HEAD,)),
        )
        await self.follower.accept(rows, self.state.clock.elapsed())


async def respond_conflict(
    exchange: Exchange,
    conflict: PlanConflictError,
) -> None:
    """Respond to a conflicting edit with the current text of the section."""
    status = conflict.code.value.status
    body = conflict.current.encode()
    await exchange.respond(status, body, encode_error(conflict))
