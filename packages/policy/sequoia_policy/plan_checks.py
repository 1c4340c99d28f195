"""Validates the entries of a plan: names, references and value ranges."""

from collections.abc import Iterator

from sequoia_policy import plans
from sequoia_policy.problems import Problem

KINDS = ('teams', 'labels', 'pools', 'services', 'callers', 'trainers')


def find_reference_problems(plan: plans.Plan) -> tuple[Problem, ...]:
    """Return all problems of names, references and value ranges."""
    problems: list[Problem] = []
    for name, section in plan.sections.items():
        root = f'$.{name}'
        problems.extend(check_owner(plan, root, section))
        problems.extend(check_labels(plan, root, section))
        problems.extend(check_pools(root, section))
        problems.extend(check_services(plan, root, section))
        problems.extend(check_callers(plan, root, section))
        problems.extend(check_trainers(plan, root, section))
    problems.extend(find_duplicate_names(plan))
    return tuple(problems)


def find_duplicate_names(plan: plans.Plan) -> Iterator[Problem]:
    """Yield a problem for each entry that two sections define."""
    first_paths: dict[str, str] = {}
    for name, section in plan.sections.items():
        for kind in KINDS:
            for entry in getattr(section, kind):
                path = f'$.{name}.{kind}.{entry}'
                first = first_paths.setdefault(f'{kind}.{entry}', path)
                if first != path:
                    yield Problem(1, path, f'already defined at {first}')


def check_owner(
    plan: plans.Plan,
    root: str,
    section: plans.Section,
) -> Iterator[Problem]:
    """Yield a problem if the owner is not a team of the plan."""
    if section.owner not in plan.teams:
        yield make_unknown_name_problem(
            f'{root}.owner', section.owner, plan.teams
        )


def check_labels(
    plan: plans.Plan,
    root: str,
    section: plans.Section,
) -> Iterator[Problem]:
    """Yield problems of labels without failure domains or with unknown ones."""
    for name, label in section.labels.items():
        path = f'{root}.labels.{name}'
        if not label.domains:
            yield Problem(1, path, 'needs at least one failure domain')
        for domain in label.domains:
            if domain not in plan.domains:
                yield make_unknown_name_problem(path, domain, plan.domains)


def check_pools(root: str, section: plans.Section) -> Iterator[Problem]:
    """Yield problems of pools with values out of range."""
    for name, pool in section.pools.items():
        path = f'{root}.pools.{name}'
        if not 0 <= pool.live_floor <= 1:
            yield Problem(1, f'{path}.live_floor', 'must be from 0 to 1')
        if pool.parallel_loads < 1:
            yield Problem(1, f'{path}.parallel_loads', 'must be 1 or more')
        shares = (pool.live_share, pool.rollout_share)
        if min(shares) < 0 or sum(shares) > 1:
            message = 'live_share and rollout_share must be 0 or more, 1 in all'
            yield Problem(1, path, message)


def check_services(
    plan: plans.Plan,
    root: str,
    section: plans.Section,
) -> Iterator[Problem]:
    """Yield problems of services: unknown pool, no attempts, no deadline."""
    for name, service in section.services.items():
        path = f'{root}.services.{name}'
        if service.pool not in plan.pools:
            yield make_unknown_name_problem(
                f'{path}.pool', service.pool, plan.pools
            )
        if service.attempts < 1:
            yield Problem(1, f'{path}.attempts', 'must be 1 or more')
        if not service.deadline:
            yield Problem(1, f'{path}.deadline', 'must be more than 0s')


def check_callers(
    plan: plans.Plan,
    root: str,
    section: plans.Section,
) -> Iterator[Problem]:
    """Yield problems of callers with unknown services or labels."""
    for name, caller in section.callers.items():
        path = f'{root}.callers.{name}'
        for service in caller.services:
            if service not in plan.services:
                yield make_unknown_name_problem(
                    f'{path}.services', service, plan.services
                )
        for label in caller.labels:
            if label not in plan.labels:
                yield make_unknown_name_problem(
                    f'{path}.labels', label, plan.labels
                )


def check_trainers(
    plan: plans.Plan,
    root: str,
    section: plans.Section,
) -> Iterator[Problem]:
    """Yield problems of trainers: unknown references, values out of range."""
    for name, trainer in section.trainers.items():
        path = f'{root}.trainers.{name}'
        for kind, pool in (('pool', trainer.pool), ('scorer', trainer.scorer)):
            if pool not in plan.pools:
                yield make_unknown_name_problem(
                    f'{path}.{kind}', pool, plan.pools
                )
        for label in trainer.labels:
            if label not in plan.labels:
                yield make_unknown_name_problem(
                    f'{path}.labels', label, plan.labels
                )
        yield from check_trainer_ranges(path, trainer)


def check_trainer_ranges(
    path: str,
    trainer: plans.Trainer,
) -> Iterator[Problem]:
    """Yield problems of a trainer with values out of range."""
    if trainer.staleness_versions < 0:
        yield Problem(1, f'{path}.staleness_versions', 'must be 0 or more')
    if not 0 <= trainer.hedge_share <= 1:
        yield Problem(1, f'{path}.hedge_share', 'must be from 0 to 1')
    if trainer.shards < 1:
        yield Problem(1, f'{path}.shards', 'must be 1 or more')


def make_unknown_name_problem(path: str, name: str, known: object) -> Problem:
    """Return the problem of a reference to a name that is not in ``known``."""
    choices = ', '.join(sorted(known))  # type: ignore[call-overload]
    return Problem(1, path, f'{name!r} is unknown; known are: {choices}')
