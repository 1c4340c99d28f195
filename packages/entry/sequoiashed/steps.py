"""Open steps of a trainer, as the duty that makes their samples sees them."""

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
    """A step under way in one shard.

    Attributes:
        prompts: Prompt of each group.
        open_revisions: Revision of the row of each slot that was reopened.
        closed: Slots whose row was seen with a sample. Their rows are never
            written here, whatever late attempts bring.
        superseded: Attempts of slots that another holder filled.
        min_version: Oldest version with which it may be generated now.
        reopened: Value of the step's row when its slots were last read.
    """

    number: int
    placement: Placement
    schedule: StepSchedule
    prompts: tuple[str, ...]
    open_revisions: dict[int, int] = field(factory=dict)
    closed: set[int] = field(factory=set)
    superseded: list[int] = field(factory=list)
    min_version: int = 0
    reopened: int = -1

    def expected(self, slot: int) -> int:
        """Return the revision that the row of an open slot should have."""
        return self.open_revisions.get(slot, ABSENT)

    def see(self, row: SlotRow, revision: int) -> None:
        """Take a slot's row as read from the table."""
        if row.is_open:
            self.closed.discard(row.slot)
            self.open_revisions[row.slot] = revision
            self.schedule.reopen(row.slot)
        else:
            self.close(row.slot)

    def close(self, slot: int) -> None:
        """Note that a slot has its sample."""
        self.closed.add(slot)
        self.open_revisions.pop(slot, None)
        self.superseded.extend(self.schedule.close(slot))


def plan_slots(spec: StepSpec, shard: int, shards: int) -> dict[int, SlotPlan]:
    """Return the slots of a step that one shard makes, by index."""
    planned = {}
    index = 0
    for number, group in enumerate(spec.groups):
        for _ in range(group.samples):
            if number % shards == shard:
                planned[index] = SlotPlan(index, number, spec.max_tokens)
            index += 1
    return planned


@define
class StepReader:
    """Follows the open steps of one trainer for one shard.

    Attributes:
        trainer_version: Newest version that the trainer opened a step with.
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
        """Read the open steps, and slots of steps that changed.

        Raises:
            ServiceError: If the store is away.
        """
        query = TableQuery(prefixes=(steps_prefix(self.trainer_name),))
        rows = await self.state.store.read(query)
        found = [decode(row.body.encode(), StepRow) for row in rows.values()]
        numbers = {row.step for row in found}
        versions = [row.version for row in found]
        self.trainer_version = max(self.trainer_version, *versions, 0)
        for closed in self.steps.keys() - numbers:
            self.steps.pop(closed)
        for row in found:
            await self._refresh_step(row)

    async def _refresh_step(self, row: StepRow) -> None:
        step = self.steps.get(row.step)
        if step is None:
            step = await self._open(row)
        if step is None or step.reopened == row.reopened:
            return
        await self._read_slots(step)
        step.reopened = row.reopened

    async def _open(self, row: StepRow) -> OpenStep | None:
        body = await self.state.store.get_object(row.document)
        if body is None or hashlib.sha256(body).hexdigest() != row.digest:
            log.write('step has no specification', step=row.step)
            return None
        spec = decode(body, StepSpec)
        trainer = self.trainer
        try:
            placement = place_record(
                self.state.plan,
                spec.label,
                trainer.labels,
            )
        except ServiceError as refusal:
            log.write('step is not allowed', step=row.step, why=refusal.detail)
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
            step.see(decode(row.body.encode(), SlotRow), row.revision)
