"""Keeps the text of an item at the release of the engines that began it.

What two releases generate does not fit together. A text whose release is gone
begins anew.
"""

from datetime import timedelta

from attrs import evolve, frozen
from sequoia_policy.clocks import Clock
from sequoia_policy.submissions import Item
from sequoia_wire.logs import Log, LogKind

from sequoia_rollouts.streaming.generations import Generation
from sequoia_rollouts.submissions.placers import EngineRequirements, Placer

MAX_WAIT = timedelta(seconds=1)  # for a free engine of the release

log = Log('runner')
TEXT_RESTARTED = log.event(
    'text restarted',
    'request_id',
    'submission',
    'release',
    'events',
    'reason',
    kind=LogKind.FAILURE,
)


@frozen
class ItemReleases:
    """The releases that go on with the items of one submission.

    Attributes:
        submission: Id of the submission.
        generations: Partial generations by item id.
    """

    clock: Clock
    placer: Placer
    submission: str
    generations: dict[str, Generation]

    def is_bound(self, item: Item) -> bool:
        """Return whether only engines of one release may run an item."""
        generation = self.generations.get(item.id)
        return generation is not None and bool(generation.events)

    def find(self, item: Item) -> str:
        """Return the release that has to go on with an item; empty for any.

        A text whose release is not known begins anew.
        """
        if not self.is_bound(item):
            return ''
        generation = self.generations[item.id]
        if not generation.release:
            self._restart(generation, 'the release is unknown')
        return generation.release

    def record_wait(self, item: Item, required: EngineRequirements) -> None:
        """Let a text begin anew if its release does not go on with it."""
        generation = self.generations[item.id]
        now = self.clock.elapsed()
        if generation.waits_since is None:
            generation.waits_since = now
        if not self.placer.has_release(required):
            self._restart(generation, 'no engine of the release is left')
        elif now - generation.waits_since > MAX_WAIT and self._is_other_free(
            required
        ):
            self._restart(generation, 'no engine of the release is free')

    def _is_other_free(self, required: EngineRequirements) -> bool:
        any_release = evolve(required, release='')
        return self.placer.choose_engine(any_release) is not None

    def _restart(self, generation: Generation, reason: str) -> None:
        TEXT_RESTARTED.write(
            request_id=generation.item.id,
            submission=self.submission,
            release=generation.release,
            events=len(generation.events),
            reason=reason,
        )
        generation.restart()
