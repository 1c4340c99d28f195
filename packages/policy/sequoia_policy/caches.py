"""Decides whether an engine imports a stream's KV cache from another one."""

from attrs import frozen

from sequoia_policy.placements import Placement
from sequoia_policy.targets import Target


@frozen
class CachedStream:
    """A stream with a KV cache on an engine.

    Attributes:
        holder: Engine that has the cache.
        tokens: Number of tokens that the cache covers.
    """

    holder: Target
    tokens: int


def is_import_worthwhile(
    stream: CachedStream,
    target: Target,
    placement: Placement,
    break_even: int,
) -> bool:
    """Return whether a target should import a cache instead of computing it.

    A KV cache contains the content of the record, so it moves only between
    failure domains in which the record may be stored.

    Args:
        stream: Stream to continue.
        target: Engine that continues the stream.
        placement: Failure domains in which the record may be stored.
        break_even: Number of tokens from which an import is cheaper than
            computing the cache; 0 disables imports.
    """
    if not break_even or stream.tokens < break_even:
        return False
    if stream.holder.name == target.name:
        return False
    domains = {stream.holder.domain, target.domain}
    return domains <= placement.domains
