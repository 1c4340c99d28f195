"""Roles of engines."""

import enum


class Role(enum.Enum):
    """Kinds of work that an engine accepts."""

    BOTH = 'both'
    LIVE = 'live'
    ROLLOUT = 'rollout'

    def accepts(self, *, is_rollout: bool) -> bool:
        """Return whether an engine of this role accepts a kind of work."""
        refused = Role.LIVE if is_rollout else Role.ROLLOUT
        return self is not refused
