"""Accepts edits of the plan: one conditional write of its head."""

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

ACCEPT_TRIES = 8  # races with editors of other sections
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
    """Answers operators that read or edit the plan."""

    state: HostState
    follower: PlanFollower

    async def show(self, exchange: Exchange) -> None:
        """Answer with the newest plan, or take edits of it."""
        body = await exchange.read_body()
        if exchange.head.method == GET:
            current = await self._read()
            shown = PlanText(current.number, current.text)
            await exchange.respond(OK, encode(shown), JSON)
            return
        submission = decode(body, PlanSubmission)
        try:
            accepted = await self._submit(exchange, submission)
        except PlanConflictError as conflict:
            await answer_conflict(exchange, conflict)
            return
        await exchange.respond(OK, encode(accepted), JSON)

    async def show_history(self, exchange: Exchange) -> None:
        """Answer with all accepted edits."""
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
        for _ in range(ACCEPT_TRIES):
            current = await self._read()
            wanted = self._check(current, submission.edits, operator, key)
            if wanted == current.text:
                return PlanText(current.number, current.text)
            if await self._write(current, wanted, submission, operator):
                await self._follow()
                return PlanText(current.number + 1, wanted)
        raise ServiceError(Code.PLAN_CONFLICT, 'too many editors at once')

    def _check(
        self,
        current: CurrentPlan,
        edits: tuple[SectionEdit, ...],
        operator: str,
        key: str,
    ) -> str:
        """Return the whole new text, if it is valid and allowed."""
        wanted = apply_edits(current.text, edits)
        after = read_valid_plan(wanted, current.number + 1)
        known = current.plan if current.number else after
        teams = known.teams_of(operator, key)
        if not teams:
            raise ServiceError(Code.UNKNOWN_CALLER, operator)
        if current.number:
            check_owners(current.plan, after, edits, teams)
        return wanted

    async def _read(self) -> CurrentPlan:
        rows = await self.state.store.read(TableQuery((PLAN_HEAD,)))
        if PLAN_HEAD not in rows:
            return CurrentPlan()
        row = rows[PLAN_HEAD]
        head = decode(row.body.encode(), PlanHead)
        body = await self.state.store.get_object(head.document)
        if body is None:
            raise ServiceError(Code.STORE_UNAVAILABLE, 'the plan has no text')
        text = body.decode()
        plan = read_valid_plan(text, head.number)
        return CurrentPlan(text, head.number, row.revision, plan)

    async def _write(
        self,
        current: CurrentPlan,
        wanted: str,
        submission: PlanSubmission,
        operator: str,
    ) -> bool:
        digest = digest_text(wanted)
        number = current.number + 1
        head = PlanHead(number, f'plans/{digest}', digest)
        await self.state.store.put_object(head.document, wanted.encode())
        edit = PlanEdit(
            number,
            ', '.join(edit.section for edit in submission.edits),
            operator,
            self.state.clock.now(),
            digest,
        )
        answer = await self.state.store.commit(
            RowWrite(PLAN_HEAD, current.revision, encode(head).decode()),
            RowWrite(history_key(number), ABSENT, encode(edit).decode()),
        )
        if answer.committed:
            log.write('plan accepted', number=number, operator=operator)
        return answer.committed

    async def _follow(self) -> None:
        """Put the accepted plan in force here at once."""
        rows: dict[str, Row] = await self.state.store.read(
            TableQuery((PLAN_HEAD,)),
        )
        await self.follower.accept(rows, self.state.clock.elapsed())


async def answer_conflict(
    exchange: Exchange,
    conflict: PlanConflictError,
) -> None:
    """Answer a conflict with the newer text of the section."""
    status = conflict.code.value.status
    body = conflict.current.encode()
    await exchange.respond(status, body, encode_error(conflict))
