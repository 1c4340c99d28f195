"""True labels of samples: which version made which tokens."""

import mmh3
from attrs import define, evolve, field, frozen


@frozen
class VersionSpan:
    """Tokens ``start`` to ``stop`` (exclusive), made by one version."""

    version: int
    start: int
    stop: int


class VoidAttemptError(Exception):
    """An attempt whose tokens cannot be labelled truly."""


@define
class AttemptTokens:
    """Collects the tokens of one slot's attempt, with their versions.

    The label comes only from what the engine said in each chunk.
    """

    tokens: list[int] = field(factory=list)
    spans: list[VersionSpan] = field(factory=list)
    done: bool = False

    def accept(
        self,
        start: int,
        tokens: tuple[int, ...],
        version: int | None,
    ) -> None:
        """Take a chunk.

        Args:
            start: Index of the chunk's first token.
            tokens: The chunk's tokens.
            version: The version that the engine gave for them.

        Raises:
            VoidAttemptError: If there is a gap, an overlap or no version.
        """
        if self.done:
            raise VoidAttemptError('a chunk came after the end')
        if start != len(self.tokens):
            raise VoidAttemptError(
                f'chunk starts at {start} instead of {len(self.tokens)}',
            )
        if not tokens:
            return
        if version is None or version < 0:
            raise VoidAttemptError(f'tokens from {start} have no version')
        self.tokens.extend(tokens)
        self._extend(version, start)

    def copy(self) -> 'AttemptTokens':
        """Return a copy, from which another attempt can go on."""
        return AttemptTokens(list(self.tokens), list(self.spans))

    def finish(self, start: int) -> None:
        """Take the end of the stream.

        Raises:
            VoidAttemptError: If tokens are missing.
        """
        if start != len(self.tokens):
            raise VoidAttemptError(f'the stream ends at {start}')
        self.done = True

    def _extend(self, version: int, start: int) -> None:
        stop = len(self.tokens)
        if self.spans and self.spans[-1].version == version:
            self.spans[-1] = evolve(self.spans[-1], stop=stop)
            return
        self.spans.append(VersionSpan(version, start, stop))


def make_seed(trainer: str, step: int, slot: int) -> int:
    """Return the seed of a slot.

    All attempts of a slot have the same seed: a second attempt with another
    one would prefer short samples, as the shorter answer is whole first.
    """
    return mmh3.hash(f'{trainer}/{step}/{slot}', signed=False)


def oldest_version(spans: tuple[VersionSpan, ...]) -> int:
    """Return the oldest version among ``spans``, which is not empty."""
    return min(span.version for span in spans)


def staleness(spans: tuple[VersionSpan, ...], trainer_version: int) -> int:
    """Return how many versions a sample is behind its trainer."""
    return trainer_version - oldest_version(spans)
