"""The open steps of a trainer as read by the duty that samples them."""

import hashlib

from attrs import define, field
from sequoia_policy.errors import ServiceError
from sequoia_policy.placements import Placement, place_record
from sequoia_policy.plans import Trainer
from sequoia_policy.schedules import SlotPlan, StepSchedule
from sequoia_wire.codecs import decode
from sequoia_wire.logs import Log
from sequoia_wire.platform_messages import ABSENT, TableQuery
from sequoia_wire.rows import (
    SlotRow,
    StepRow,
    StepSpec,
    slots_prefix,
    steps_prefix,
)

from sequoiashed.states import HostState

log = Log('steps')


@define
class OpenStep:
    """An open step and the state of its slots in one shard.

    Attributes:
        prompts: Prompt of each group.
        open_revisions: Row revision of each slot that was reopened.
        filled_slots: Slots whose row contains a sample. Late attempts must
            not overwrite these rows.
        superseded: Attempts of slots that another holder filled.
        min_version: Minimum weight version that may generate the step now.
        reopen_count: Value of ``StepRow.reopened`` when the slots were last
            read.
    """

    number: int
    placement: Placement
    schedule: StepSchedule
    prompts: tuple[str, ...]
    open_revisions: dict[int, int] = field(factory=dict)
    filled_slots: set[int] = field(factory=set)
    superseded: list[int] = field(factory=list)
    min_version: int = 0
    reopen_count: int = -1

    def expected_revision(self, slot: int) -> int:
        """Return the row revision to expect when writing an open slot."""
        return self.open_revisions.get(slot, ABSENT)

    def apply_row(self, row: SlotRow, revision: int) -> None:
        """Record a slot's row as read from the table."""
        if row.is_open:
            self.filled_slots.discard(row.slot)
            self.open_revisions[row.slot] = revision
            self.schedule.reopen(row.slot)
        else:
            self.mark_filled(row.slot)

    def mark_filled(self, slot: int) -> None:
        """Mark a slot as filled and its running attempts as superseded."""
        self.filled_slots.add(slot)
        self.open_revisions.pop(slot, None)
        self.superseded.extend(self.schedule.close(slot))


def plan_slots(spec: StepSpec, shard: int, shards: int) -> dict[int, SlotPlan]:
    """Return the slots of a step that belong to one shard, by index."""
    slots = {}
    index = 0
    for group_index, group in enumerate(spec.groups):
        for _ in range(group.samples):
            if group_index % shards == shard:
                slots[index] = SlotPlan(index, group_index, spec.max_tokens)
            index += 1
    return slots


@define
class StepReader:
    """Reads the open steps of one trainer for one shard.

    Attributes:
        trainer_version: Newest weight version with which the trainer opened
            a step.
    """

    state: HostState
    trainer_name: str
    shard: int
    steps: dict[int, OpenStep] = field(factory=dict)
    trainer_version: int = 0

    @property
    def trainer(self) -> Trainer:
        """The trainer as the plan describes it."""
        return self.state.plan.trainers[self.trainer_name]

    async def refresh(self) -> None:
        """Read the open steps, and the slots of new or reopened steps.

        Raises:
            ServiceError: If the store is unavailable.
        """
        query = TableQuery(prefixes=(steps_prefix(self.trainer_name),))
        rows = await self.state.store.read(query)
        step_rows = [
            decode(row.body.encode(), StepRow) for row in rows.values()
        ]
        numbers = {row.step for row in step_rows}
        versions = [row.version for row in step_rows]
        self.trainer_version = max(self.trainer_version, *versions, 0)
        for closed in self.steps.keys() - numbers:
            self.steps.pop(closed)
        for row in step_rows:
            await self._refresh_step(row)

    async def _refresh_step(self, row: StepRow) -> None:
        step = self.steps.get(row.step)
        if step is None:
            step = await self._open(row)
        if step is None or step.reopen_count == row.reopened:
            return
        await self._read_slots(step)
        step.reopen_count = row.reopened

    async def _open(self, row: StepRow) -> OpenStep | None:
        body = await self.state.store.get_object(row.document)
        if body is None or hashlib.sha256(body).hexdigest() != row.digest:
            log.write('step specification is missing or corrupt', step=row.step)
            return None
        spec = decode(body, StepSpec)
        trainer = self.trainer
        try:
            placement = place_record(
                self.state.plan,
                spec.label,
                trainer.labels,
            )
        except ServiceError as error:
            log.write('step may not be placed', step=row.step, why=error.detail)
            return None
        schedule = StepSchedule(
            plan_slots(spec, self.shard, trainer.shards),
            trainer.hedge_share,
            trainer.order,
        )
        prompts = tuple(group.prompt for group in spec.groups)
        step = OpenStep(row.step, placement, schedule, prompts)
        self.steps[row.step] = step
        return step

    async def _read_slots(self, step: OpenStep) -> None:
        prefix = slots_prefix(self.trainer_name, step.number)
        rows = await self.state.store.read(TableQuery(prefixes=(prefix,)))
        for row in rows.values():
            step.apply_row(decode(row.body.encode(), SlotRow), row.revision)
