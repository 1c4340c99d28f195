"""Which samples are handed over to a trainer, and which are made again."""

from datetime import datetime, timedelta

from attrs import frozen

from sequoia_policy.samples import VersionSpan, staleness


@frozen
class StalenessBound:
    """The oldest sample that a trainer takes.

    Attributes:
        versions: Most versions behind the trainer.
        age: Longest time since the sample was committed, unless None.
    """

    versions: int
    age: timedelta | None = None

    def allows(
        self,
        spans: tuple[VersionSpan, ...],
        trainer_version: int,
        age: timedelta,
    ) -> bool:
        """Tell whether a sample is fresh enough."""
        if self.age is not None and age > self.age:
            return False
        return staleness(spans, trainer_version) <= self.versions


@frozen
class CommittedSample:
    """A committed sample that was not handed over yet."""

    slot: int
    spans: tuple[VersionSpan, ...]
    committed_at: datetime


@frozen
class Handover:
    """A decision on committed samples.

    Attributes:
        chosen: Slots to hand over.
        too_old: Slots to make again.
    """

    chosen: tuple[int, ...]
    too_old: tuple[int, ...]


@frozen
class TrainerView:
    """What a trainer said when it asked.

    Attributes:
        version: Its own weight version.
        limit: Most samples that it wants.
        now: When it asked.
    """

    version: int
    limit: int
    now: datetime


def decide_handover(
    samples: tuple[CommittedSample, ...],
    bound: StalenessBound,
    view: TrainerView,
) -> Handover:
    """Choose fresh samples, oldest versions first, and find too old ones."""
    fresh = []
    too_old = []
    for sample in samples:
        age = view.now - sample.committed_at
        if bound.allows(sample.spans, view.version, age):
            fresh.append(sample)
        else:
            too_old.append(sample.slot)
    fresh.sort(key=lambda sample: staleness(sample.spans, 0), reverse=True)
    chosen = tuple(sample.slot for sample in fresh[: view.limit])
    return Handover(chosen, tuple(too_old))
