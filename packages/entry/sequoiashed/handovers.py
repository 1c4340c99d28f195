"""Hands over samples to trainers by cursor, each sample exactly once."""

from datetime import timedelta

import curio
from attrs import define, evolve, frozen
from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.handovers import (
    CommittedSample,
    Handover,
    SampleRequest,
    StalenessBound,
    decide_handover,
)
from sequoia_wire.codecs import decode, encode
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import (
    Row,
    RowWrite,
    TableQuery,
)
from sequoia_wire.rows import (
    DeliveryRow,
    SampleBatch,
    SampleRecord,
    SlotRow,
    StepRow,
    delivery_key,
    slot_key,
    slots_prefix,
    step_key,
)

from sequoiashed.states import HostState

POLL_INTERVAL = timedelta(milliseconds=150)
MAX_WAIT = timedelta(seconds=2)
MAX_CONCURRENT_FETCHES = 16

log = Log('handover')


@frozen
class HandoverRequest:
    """A trainer's request for the samples at a cursor of a step."""

    trainer: str
    step: int
    cursor: int
    sample_request: SampleRequest
    bound: StalenessBound

    def delivery_key(self, cursor: int) -> str:
        """Return the key of the delivery row of a cursor."""
        return delivery_key(self.trainer, self.step, cursor)


@frozen
class StepRows:
    """The rows of a step, read in one query.

    Attributes:
        slots: Row and revision of each slot, by index.
        current: Delivery of the requested cursor.
        previous: Delivery of the cursor before it.
    """

    step: StepRow
    step_revision: int
    slots: dict[int, tuple[SlotRow, int]]
    current: DeliveryRow | None
    current_revision: int
    previous: DeliveryRow | None


@define
class HandoverHandler:
    """Responds to requests of trainers for samples."""

    state: HostState

    async def serve(self, request: HandoverRequest) -> SampleBatch:
        """Return the samples at a cursor; poll up to ``MAX_WAIT`` for some.

        The same cursor and version return the same samples. A repetition
        with a later version drops samples that have become too old. This is
        safe because a trainer repeats a cursor only if it did not use the
        earlier response.

        Raises:
            ServiceError: If the step or cursor is unknown, or the store is
                unavailable.
        """
        deadline = self.state.clock.elapsed() + MAX_WAIT
        while True:
            rows = await self._read(request)
            delivery = await self._deliver(request, rows)
            if delivery is not None:
                return await self._fetch(request, rows.step, delivery)
            if self.state.clock.elapsed() > deadline:
                break
            await curio.sleep(POLL_INTERVAL.total_seconds())
        cursor = request.cursor
        return SampleBatch(request.step, cursor, cursor, whole=False)

    async def _read(self, request: HandoverRequest) -> StepRows:
        requested_key = step_key(request.trainer, request.step)
        current_key = request.delivery_key(request.cursor)
        previous_key = request.delivery_key(request.cursor - 1)
        prefix = slots_prefix(request.trainer, request.step)
        keys = (requested_key, current_key, previous_key)
        rows = await self.state.store.read(TableQuery(keys, (prefix,)))
        if requested_key not in rows:
            raise ServiceError(Code.UNKNOWN_STEP, requested_key)
        current = rows.get(current_key, Row(current_key))
        return StepRows(
            decode(rows[requested_key].body.encode(), StepRow),
            rows[requested_key].revision,
            decode_slots(rows, prefix),
            decode_delivery(current),
            current.revision,
            decode_delivery(rows.get(previous_key, Row(previous_key))),
        )

    async def _deliver(
        self,
        request: HandoverRequest,
        rows: StepRows,
    ) -> DeliveryRow | None:
        """Return the delivery of the cursor, committing it if needed.

        Returns None if there is nothing to deliver or if another host
        changed the rows first.
        """
        if (
            rows.current
            and rows.current.trainer_version == request.sample_request.version
        ):
            return rows.current
        if request.cursor and rows.previous is None:
            raise ServiceError(
                Code.BAD_CURSOR, f'no delivery precedes cursor {request.cursor}'
            )
        candidates = find_candidates(request, rows)
        decision = decide_handover(
            candidates, request.bound, request.sample_request
        )
        if not decision.chosen and not decision.too_old:
            return None
        delivery = make_delivery(request, rows, decision)
        writes = make_writes(request, rows, decision, delivery)
        response = await self.state.store.commit(*writes)
        if not response.committed:
            return None
        self._record_metrics(decision)
        return delivery if decision.chosen else None

    async def _fetch(
        self,
        request: HandoverRequest,
        step: StepRow,
        delivery: DeliveryRow,
    ) -> SampleBatch:
        samples: list[SampleRecord] = []
        documents = delivery.documents
        for start in range(0, len(documents), MAX_CONCURRENT_FETCHES):
            async with curio.TaskGroup(wait=all) as group:
                for document in documents[
                    start : start + MAX_CONCURRENT_FETCHES
                ]:
                    await group.spawn(self._fetch_sample, document)
            samples.extend(group.results)
        return SampleBatch(
            request.step,
            request.cursor,
            request.cursor + 1,
            delivery.delivered >= step.slots,
            tuple(sorted(samples, key=lambda sample: sample.slot)),
        )

    async def _fetch_sample(self, document: str) -> SampleRecord:
        body = await self.state.store.get_object(document)
        if body is None:
            raise ServiceError(
                Code.STORE_UNAVAILABLE, f'missing sample object {document}'
            )
        return decode(body, SampleRecord)

    def _record_metrics(self, decision: Handover) -> None:
        samples = self.state.metrics.samples
        samples.labels('handed_over').inc(len(decision.chosen))
        samples.labels('too_old').inc(len(decision.too_old))


def decode_slots(
    rows: dict[str, Row],
    prefix: str,
) -> dict[int, tuple[SlotRow, int]]:
    """Return the slot rows with their revisions, by index."""
    decoded = [
        (decode(row.body.encode(), SlotRow), row.revision)
        for key, row in rows.items()
        if key.startswith(prefix)
    ]
    return {slot.slot: (slot, revision) for slot, revision in decoded}


def decode_delivery(row: Row) -> DeliveryRow | None:
    """Return the delivery of a row, or None if the row is absent."""
    if not row.body:
        return None
    return decode(row.body.encode(), DeliveryRow)


def find_candidates(
    request: HandoverRequest,
    rows: StepRows,
) -> tuple[CommittedSample, ...]:
    """Return committed samples that no other cursor has delivered."""
    return tuple(
        CommittedSample(slot.slot, slot.spans, slot.committed_at)
        for slot, _revision in rows.slots.values()
        if not slot.is_open and slot.delivery in {None, request.cursor}
    )


def make_delivery(
    request: HandoverRequest,
    rows: StepRows,
    decision: Handover,
) -> DeliveryRow:
    """Return the delivery row of the samples that were chosen."""
    delivered_before = rows.previous.delivered if rows.previous else 0
    documents = tuple(
        rows.slots[slot][0].document for slot in sorted(decision.chosen)
    )
    return DeliveryRow(
        request.cursor,
        request.sample_request.version,
        documents,
        delivered_before + len(documents),
    )


def make_writes(
    request: HandoverRequest,
    rows: StepRows,
    decision: Handover,
    delivery: DeliveryRow,
) -> tuple[RowWrite, ...]:
    """Return the writes of the transaction of a handover.

    Every row that the decision is based on is written with the revision
    that was read, so that only one of two hosts can hand over a sample.
    """
    writes = [make_delivery_write(request, rows, delivery)]
    for slot in decision.too_old:
        reopened = evolve(rows.slots[slot][0], document='', delivery=None)
        writes.append(make_slot_write(request, rows, reopened))
    for chosen in decision.chosen:
        delivered = evolve(rows.slots[chosen][0], delivery=request.cursor)
        writes.append(make_slot_write(request, rows, delivered))
    released = find_released_slots(request, rows, decision)
    writes.extend(make_slot_write(request, rows, slot) for slot in released)
    if decision.too_old:
        writes.append(make_step_write(request, rows))
    return tuple(writes)


def find_released_slots(
    request: HandoverRequest,
    rows: StepRows,
    decision: Handover,
) -> tuple[SlotRow, ...]:
    """Return slots of the cursor that its repetition does not deliver again.

    A repetition with a lower limit delivers fewer slots.
    """
    decided = {*decision.chosen, *decision.too_old}
    return tuple(
        evolve(slot, delivery=None)
        for slot, _revision in rows.slots.values()
        if slot.delivery == request.cursor and slot.slot not in decided
    )


def make_delivery_write(
    request: HandoverRequest,
    rows: StepRows,
    delivery: DeliveryRow,
) -> RowWrite:
    """Return the write of the delivery row; an empty delivery deletes it."""
    key = request.delivery_key(request.cursor)
    body = encode(delivery).decode() if delivery.documents else None
    return RowWrite(key, rows.current_revision, body)


def make_slot_write(
    request: HandoverRequest,
    rows: StepRows,
    slot: SlotRow,
) -> RowWrite:
    """Return the conditional write of a slot row."""
    key = slot_key(request.trainer, request.step, slot.slot)
    revision = rows.slots[slot.slot][1]
    return RowWrite(key, revision, encode(slot).decode())


def make_step_write(request: HandoverRequest, rows: StepRows) -> RowWrite:
    """Return the write that signals reopened slots to the step's duty."""
    key = step_key(request.trainer, request.step)
    step = evolve(rows.step, reopened=rows.step.reopened + 1)
    return RowWrite(key, rows.step_revision, encode(step).decode())
