"""Rows that the service stores in the platform's table, and their keys."""

from datetime import datetime

from attrs import field, frozen
from sequoia_policy.samples import VersionSpan

PLAN_HEAD = 'plan/head'


@frozen
class PlanHead:
    """The newest accepted plan.

    Attributes:
        number: Increases by one with each accepted edit.
        document: Key of the object that contains the plan text.
        digest: SHA-256 of the text, in hexadecimal.
    """

    number: int
    document: str
    digest: str


@frozen
class PlanEdit:
    """History entry of one accepted edit."""

    number: int
    section: str
    operator: str
    accepted_at: datetime
    digest: str


@frozen
class SampleGroup:
    """Samples of one step that share a prompt.

    Attributes:
        samples: Number of samples.
    """

    prompt: str
    samples: int


@frozen
class StepSpec:
    """The samples that a trainer requests for one step.

    Attributes:
        label: Label of the step's records.
        groups: Prompts, each with its number of samples.
        max_tokens: Maximum length of a sample.
        version: Weight version of the trainer when it opens the step.
    """

    step: int
    label: str
    groups: tuple[SampleGroup, ...]
    max_tokens: int = 256
    version: int = 0

    @property
    def slots(self) -> int:
        """The number of samples of the step."""
        return sum(group.samples for group in self.groups)


@frozen
class StepRow:
    """An open step.

    Attributes:
        document: Key of the object that contains the specification.
        digest: SHA-256 of the specification, in hexadecimal.
        slots: Number of samples.
        version: Weight version of the trainer when it opened the step.
        reopened: Number of times that slots of the step were reopened.
    """

    step: int
    document: str
    digest: str
    label: str
    slots: int
    version: int = 0
    reopened: int = 0


@frozen
class SlotRow:
    """A slot with a committed sample.

    Attributes:
        document: Key of the sample's object; empty if the slot was reopened.
        spans: Weight versions that generated the sample's tokens.
        delivery: Cursor at which the sample was delivered; None before.
    """

    slot: int
    document: str
    spans: tuple[VersionSpan, ...]
    committed_at: datetime
    delivery: int | None = None

    @property
    def is_open(self) -> bool:
        """Whether the slot needs a new sample."""
        return not self.document


@frozen
class DeliveryRow:
    """The samples delivered at one cursor.

    Attributes:
        trainer_version: Weight version of the trainer at the request.
        documents: Keys of the samples' objects.
        delivered: Number of samples of the step delivered so far.
    """

    cursor: int
    trainer_version: int
    documents: tuple[str, ...]
    delivered: int


@frozen
class SampleRecord:
    """A sample as delivered to its trainer."""

    trainer: str
    step: int
    slot: int
    group: int
    attempt: str
    prompt: str
    tokens: tuple[int, ...] = field(repr=False)
    spans: tuple[VersionSpan, ...] = ()
    reward: float = 0


@frozen
class SampleBatch:
    """The response to a trainer's request for samples.

    Attributes:
        cursor: The requested cursor.
        next_cursor: The cursor to request next; the same if no sample is ready.
        whole: Whether all samples of the step have been delivered.
    """

    step: int
    cursor: int
    next_cursor: int
    whole: bool
    samples: tuple[SampleRecord, ...] = ()


def lease_key(duty: str) -> str:
    """Return the key of a duty's lease."""
    return f'lease/{duty}'


def steps_prefix(trainer: str) -> str:
    """Return the key prefix of a trainer's open steps."""
    return f'step/{trainer}/'


def step_key(trainer: str, step: int) -> str:
    """Return the key of a step."""
    return f'{steps_prefix(trainer)}{step:08d}'


def slots_prefix(trainer: str, step: int) -> str:
    """Return the key prefix of a step's slots."""
    return f'slot/{trainer}/{step:08d}/'


def slot_key(trainer: str, step: int, slot: int) -> str:
    """Return the key of a slot."""
    return f'{slots_prefix(trainer, step)}{slot:06d}'


def delivery_key(trainer: str, step: int, cursor: int) -> str:
    """Return the key of the delivery at a cursor."""
    return f'delivery/{trainer}/{step:08d}/{cursor:06d}'


def history_key(number: int) -> str:
    """Return the key of an accepted edit's history entry."""
    return f'plan/history/{number:08d}'
