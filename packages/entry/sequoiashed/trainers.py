"""HTTP interface for trainers: open a step, read samples, close a step."""

import hashlib
import re
from urllib.parse import parse_qs, urlsplit

from attrs import define, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.handovers import SampleRequest, StalenessBound
from sequoia_policy.placements import place_record
from sequoia_policy.plans import Trainer
from sequoia_wire.codecs import decode, encode
from sequoia_wire.exchanges import Exchange
from sequoia_wire.logs import Log
from sequoia_wire.messages import RequestHead, encode_headers
from sequoia_wire.platform_messages import (
    ABSENT,
    Row,
    RowWrite,
    TableQuery,
)
from sequoia_wire.rows import (
    StepRow,
    StepSpec,
    slots_prefix,
    step_key,
)

from sequoiashed.handovers import HandoverHandler, HandoverRequest
from sequoiashed.live import read_bearer_token
from sequoiashed.states import HostState

TRAINERS_PREFIX = '/v1/trainers/'
STEPS_PATTERN = re.compile(r'/v1/trainers/([\w.-]+)/steps')
STEP_PATTERN = re.compile(r'/v1/trainers/([\w.-]+)/steps/(\d+)/(samples|close)')
MAX_BATCH_SAMPLES = 64
CLOSE_BATCH_ROWS = 64
OK = 200
JSON = encode_headers({'content-type': 'application/json'})

log = Log('trainer')


@frozen
class StepOpened:
    """Response body for a step that was opened."""

    step: int
    slots: int


@define
class TrainerHandler:
    """Handles the HTTP requests of trainers."""

    state: HostState
    handovers: HandoverHandler

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request of a trainer.

        Raises:
            ServiceError: If the request is refused.
        """
        head = exchange.head
        steps_match = STEPS_PATTERN.fullmatch(head.path)
        if steps_match:
            await self._open(exchange, steps_match.group(1))
            return
        match = STEP_PATTERN.fullmatch(head.path)
        if match is None:
            raise ServiceError(Code.UNKNOWN_PATH, head.path)
        name, step, action = match.groups()
        trainer = self._authenticate(head, name)
        if action == 'close':
            await exchange.read_body()
            await self._close(name, int(step))
            await exchange.respond(OK)
            return
        request = self._read_request(head, name, int(step), trainer)
        batch = await self.handovers.serve(request)
        await exchange.respond(OK, encode(batch), JSON)

    async def _open(self, exchange: Exchange, name: str) -> None:
        trainer = self._authenticate(exchange.head, name)
        label = exchange.head.header('sequoia-label')
        self._check_placement(label, trainer)
        body = await exchange.read_body()
        spec = decode(body, StepSpec)
        if spec.label != label or not spec.slots:
            raise ServiceError(
                Code.BAD_REQUEST,
                'the label differs from the header, or the step has no slots',
            )
        await self._commit_step(name, spec, body)
        opened = StepOpened(spec.step, spec.slots)
        await exchange.respond(OK, encode(opened), JSON)

    async def _commit_step(
        self, name: str, spec: StepSpec, body: bytes
    ) -> None:
        digest = hashlib.sha256(body).hexdigest()
        document = f'steps/{name}/{spec.step}/{digest}'
        await self.state.store.put_object(document, body)
        row = StepRow(
            spec.step,
            document,
            digest,
            spec.label,
            spec.slots,
            spec.version,
        )
        key = step_key(name, spec.step)
        write = RowWrite(key, ABSENT, encode(row).decode())
        response = await self.state.store.commit(write)
        if response.committed:
            log.write('step opened', trainer=name, step=spec.step)
            return
        existing = decode(response.rows[0].body.encode(), StepRow)
        if existing.digest != digest:
            raise ServiceError(
                Code.STEP_CONFLICT,
                'the step is open with another specification',
            )

    async def _close(self, name: str, step: int) -> None:
        """Delete the step's rows, first the row that marks it as open."""
        key = step_key(name, step)
        prefixes = (
            slots_prefix(name, step),
            f'delivery/{name}/{step:08d}/',
        )
        rows = await self.state.store.read(TableQuery((key,), prefixes))
        if key in rows:
            await self._delete([rows.pop(key)])
        remaining = list(rows.values())
        for start in range(0, len(remaining), CLOSE_BATCH_ROWS):
            await self._delete(remaining[start : start + CLOSE_BATCH_ROWS])

    async def _delete(self, rows: list[Row]) -> None:
        writes = [RowWrite(row.key, row.revision, None) for row in rows]
        await self.state.store.commit(*writes)

    def _authenticate(self, head: RequestHead, name: str) -> Trainer:
        if not self.state.accepts_calls:
            raise ServiceError(Code.NOT_READY, self.state.settings.name)
        return self.state.plan.authenticate_trainer(
            name, read_bearer_token(head)
        )

    def _check_placement(self, label: str | None, trainer: Trainer) -> None:
        state = self.state
        placement = place_record(state.plan, label, trainer.labels)
        domain = state.settings.domain
        now = state.clock.elapsed()
        state.plan_state.restrict_placement(placement, domain, now).check(
            domain
        )
        if not state.plan.labels[placement.label].stored:
            raise ServiceError(
                Code.MISPLACED,
                f'{label} is a label whose records may not be stored',
            )

    def _read_request(
        self,
        head: RequestHead,
        name: str,
        step: int,
        trainer: Trainer,
    ) -> HandoverRequest:
        query = parse_qs(urlsplit(head.target).query)
        for label in trainer.labels:
            self._check_placement(label, trainer)
        limit = min(
            MAX_BATCH_SAMPLES, read_number(query, 'limit', MAX_BATCH_SAMPLES)
        )
        sample_request = SampleRequest(
            read_number(query, 'version'),
            max(1, limit),
            self.state.clock.now(),
        )
        bound = StalenessBound(
            trainer.staleness_versions,
            trainer.staleness_age,
        )
        cursor = read_number(query, 'cursor')
        return HandoverRequest(name, step, cursor, sample_request, bound)


def read_number(
    query: dict[str, list[str]],
    name: str,
    default: int | None = None,
) -> int:
    """Return a non-negative integer parameter of a query.

    Raises:
        ServiceError: If it is missing without a default, or not a number.
    """
    text = query.get(name, [''])[0]
    if text.isdigit():
        return int(text)
    if default is None or text:
        raise ServiceError(
            Code.BAD_REQUEST,
            f'{name} is missing or not a whole number',
        )
    return default
