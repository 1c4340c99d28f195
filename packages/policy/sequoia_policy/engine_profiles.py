"""Desired profiles of engines: their roles and adapters."""

from collections.abc import Sequence

from attrs import frozen

from sequoia_policy.choices import rank_names
from sequoia_policy.roles import Role


@frozen
class EngineProfile:
    """Role and adapters of an engine."""

    role: Role = Role.BOTH
    adapters: frozenset[str] = frozenset()


@frozen
class ProfileChange:
    """One change of an engine's profile; exactly one field is set."""

    role: Role | None = None
    load_adapter: str | None = None
    unload_adapter: str | None = None


@frozen
class RoleShares:
    """Shares of a pool's engines that accept only one kind of work.

    Attributes:
        live: Share reserved for live calls.
        rollout: Share reserved for rollouts.
    """

    live: float = 0
    rollout: float = 0


def assign_roles(
    pool: str,
    engines: Sequence[str],
    shares: RoleShares,
) -> dict[str, Role]:
    """Return the role of each engine.

    Engines are ranked by rendezvous hashing, so that few roles change when an
    engine joins or leaves. Shares are rounded down, so that a small pool
    keeps engines that accept both kinds of work.
    """
    ranked = rank_names(f'roles/{pool}', engines)
    live = int(shares.live * len(ranked))
    rollout = int(shares.rollout * len(ranked))
    roles = dict.fromkeys(ranked, Role.BOTH)
    roles.update(dict.fromkeys(ranked[:live], Role.LIVE))
    roles.update(dict.fromkeys(ranked[live : live + rollout], Role.ROLLOUT))
    return roles


def plan_profile_change(
    current: EngineProfile, desired: EngineProfile
) -> ProfileChange | None:
    """Return the next change towards an engine's desired profile, or None.

    Adapters are loaded before the role changes and unloaded after it, so that
    no work reaches an engine that lacks the adapter it needs.
    """
    missing = sorted(desired.adapters - current.adapters)
    if missing:
        return ProfileChange(load_adapter=missing[0])
    if current.role is not desired.role:
        return ProfileChange(role=desired.role)
    extra = sorted(current.adapters - desired.adapters)
    if extra:
        return ProfileChange(unload_adapter=extra[0])
    return None
