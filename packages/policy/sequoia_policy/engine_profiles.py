"""What engines should be besides their version: roles and adapters."""

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
    """One change of an outfit; exactly one field is set."""

    role: Role | None = None
    load_adapter: str | None = None
    unload_adapter: str | None = None


@frozen
class RoleShares:
    """Shares of a pool's engines that take only one kind of work."""

    live: float = 0
    rollout: float = 0


def assign_roles(
    pool: str,
    engines: Sequence[str],
    shares: RoleShares,
) -> dict[str, Role]:
    """Return the role of each engine, stable while engines come and go.

    Shares are rounded down, so that a small pool keeps engines for both.
    """
    order = rank_names(f'roles/{pool}', engines)
    live = int(shares.live * len(order))
    rollout = int(shares.rollout * len(order))
    roles = dict.fromkeys(order, Role.BOTH)
    roles.update(dict.fromkeys(order[:live], Role.LIVE))
    roles.update(dict.fromkeys(order[live : live + rollout], Role.ROLLOUT))
    return roles


def plan_profile_change(
    seen: EngineProfile, wanted: EngineProfile
) -> ProfileChange | None:
    """Return the next change that brings an engine nearer to its outfit.

    Adapters are loaded before a role is changed, and unloaded last, so that
    no work meets an engine without its adapter.
    """
    missing = sorted(wanted.adapters - seen.adapters)
    if missing:
        return ProfileChange(load_adapter=missing[0])
    if seen.role is not wanted.role:
        return ProfileChange(role=wanted.role)
    extra = sorted(seen.adapters - wanted.adapters)
    if extra:
        return ProfileChange(unload_adapter=extra[0])
    return None
