"""Decides which samples a trainer gets and which are generated again."""

from datetime import datetime, timedelta

from attrs import frozen

from sequoia_policy.samples import VersionSpan, staleness


@frozen
class StalenessBound:
    """Limits on the staleness of the samples that a trainer accepts.

    Attributes:
        versions: Maximum number of versions behind the trainer.
        age: Maximum time since the sample was committed; None for no limit.
    """

    versions: int
    age: timedelta | None = None

    def allows(
        self,
        spans: tuple[VersionSpan, ...],
        trainer_version: int,
        age: timedelta,
    ) -> bool:
        """Return whether a sample is within the limits."""
        if self.age is not None and age > self.age:
            return False
        return staleness(spans, trainer_version) <= self.versions


@frozen
class CommittedSample:
    """A committed sample that has not been handed over yet."""

    slot: int
    spans: tuple[VersionSpan, ...]
    committed_at: datetime


@frozen
class Handover:
    """The decision on committed samples.

    Attributes:
        chosen: Slots whose samples are handed over.
        too_old: Slots whose samples are too stale and generated again.
    """

    chosen: tuple[int, ...]
    too_old: tuple[int, ...]


@frozen
class SampleRequest:
    """A trainer's request for samples.

    Attributes:
        version: Weight version of the trainer.
        limit: Maximum number of samples to return.
        now: Time of the request.
    """

    version: int
    limit: int
    now: datetime


def decide_handover(
    samples: tuple[CommittedSample, ...],
    bound: StalenessBound,
    request: SampleRequest,
) -> Handover:
    """Choose the samples to hand over, oldest version first.

    Samples beyond the staleness bound are returned as too old.
    """
    fresh = []
    too_old = []
    for sample in samples:
        age = request.now - sample.committed_at
        if bound.allows(sample.spans, request.version, age):
            fresh.append(sample)
        else:
            too_old.append(sample.slot)
    fresh.sort(key=lambda sample: staleness(sample.spans, 0), reverse=True)
    chosen = tuple(sample.slot for sample in fresh[: request.limit])
    return Handover(chosen, tuple(too_old))
