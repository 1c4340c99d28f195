"""Parses the YAML text of a plan and lists every problem with its line."""

import re
from datetime import timedelta

import cattrs
import yaml
from attrs import fields, frozen
from cattrs.gen import make_dict_structure_fn

from sequoia_policy import plans
from sequoia_policy.durations import parse_duration
from sequoia_policy.plan_checks import find_reference_problems
from sequoia_policy.problems import Problem

PATH_PATTERN = re.compile(r"\['?([^\]']+)'?\]|\.([\w-]+)")
ERROR_SEPARATOR = ' @ '


@frozen
class PlanReadResult:
    """A parsed plan and its problems; it is valid if there are none."""

    plan: plans.Plan
    problems: tuple[Problem, ...]


def make_plan_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys."""
    plan_converter = cattrs.Converter(forbid_extra_keys=True)
    plan_converter.register_structure_hook(
        timedelta,
        lambda text, _kind: parse_duration(str(text)),
    )
    plan_converter.register_structure_hook_factory(
        lambda kind: hasattr(kind, '__attrs_attrs__'),
        lambda kind: make_dict_structure_fn(
            kind,
            plan_converter,
            _cattrs_forbid_extra_keys=True,
        ),
    )
    return plan_converter


converter = make_plan_converter()


def read_plan(text: str, number: int = 0) -> PlanReadResult:
    """Parse and check a whole plan.

    Args:
        text: YAML with one top-level key per section.
        number: Number under which the plan was accepted; 0 for a draft.
    """
    try:
        root = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as error:
        return PlanReadResult(plans.Plan(), (describe_syntax_error(error),))
    if not isinstance(root, yaml.MappingNode):
        problem = Problem(1, '$', 'the plan is not a mapping of sections')
        return PlanReadResult(plans.Plan(), (problem,))
    lines = map_lines(root)
    try:
        sections = converter.structure(
            yaml.load(text, Loader=yaml.CSafeLoader),
            dict[str, plans.Section],
        )
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        problems = describe_structure_errors(error, lines)
        return PlanReadResult(plans.Plan(), problems)
    plan = plans.Plan(sections, number)
    unlocated = find_reference_problems(plan)
    return PlanReadResult(
        plan, tuple(problem.locate(lines) for problem in unlocated)
    )


def describe_syntax_error(error: yaml.YAMLError) -> Problem:
    """Return the problem that corresponds to a YAML syntax error."""
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 1
    return Problem(line, '$', getattr(error, 'problem', None) or str(error))


def describe_structure_errors(
    error: Exception,
    lines: dict[str, int],
) -> tuple[Problem, ...]:
    """Return one problem for each error of a failed structuring."""
    problems = []
    for message in cattrs.transform_error(
        error, format_exception=format_structure_error
    ):
        text, _separator, path = message.rpartition(ERROR_SEPARATOR)
        dotted = normalize_path(path)
        problems.append(Problem(1, dotted, text).locate(lines))
    return tuple(problems)


def format_structure_error(error: BaseException, kind: type | None) -> str:
    """Return what is wrong with an entry and which values are allowed."""
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        extra = ', '.join(sorted(error.extra_fields))
        known = ', '.join(field.name for field in fields(error.cl))
        return f'{extra} is unknown; allowed are: {known}'
    if isinstance(error, KeyError):
        return f'{error.args[0]} is missing'
    if kind is timedelta:
        return str(error)
    expected = getattr(kind, '__name__', kind)
    return f'expected {expected}: {error}'


def normalize_path(path: str) -> str:
    """Convert a cattrs error path to names joined by dots."""
    names = [first or second for first, second in PATH_PATTERN.findall(path)]
    return '.'.join(['$', *names])


def map_lines(root: yaml.MappingNode) -> dict[str, int]:
    """Return the line number, from 1, of each key by its dotted path."""
    lines: dict[str, int] = {'$': 1}
    pending: list[tuple[str, yaml.Node]] = [('$', root)]
    while pending:
        prefix, node = pending.pop()
        if not isinstance(node, yaml.MappingNode):
            continue
        for key, child in node.value:
            path = f'{prefix}.{key.value}'
            lines[path] = key.start_mark.line + 1
            pending.append((path, child))
    return lines
