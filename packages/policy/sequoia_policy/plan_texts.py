"""The plan's text by sections: split, join, and edits of single sections."""

import hashlib

import yaml
from attrs import frozen

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plan_readers import PlanReading, read_plan
from sequoia_policy.plans import Plan

PREAMBLE = ''  # name of the lines before the first section


@frozen
class SectionEdit:
    """A new text for one section.

    Attributes:
        base: Digest of the text that the edit started from; empty for a new
            section.
        text: The whole new text of the section.
    """

    section: str
    base: str
    text: str


class PlanConflictError(ServiceError):
    """An edit of a section that was changed by somebody else.

    Attributes:
        current: The section's present text.
    """

    def __init__(self, section: str, current: str) -> None:
        """Create the error for a section."""
        super().__init__(Code.PLAN_CONFLICT, f'section {section} has changed')
        self.section = section
        self.current = current


def split_sections(text: str) -> dict[str, str]:
    """Return the text of each section, with its comments, in order."""
    starts = find_starts(text)
    lines = text.splitlines(keepends=True)
    names = [PREAMBLE, *starts]
    bounds = [0, *starts.values(), len(lines)]
    parts = {
        name: ''.join(lines[bounds[place] : bounds[place + 1]])
        for place, name in enumerate(names)
    }
    if not parts[PREAMBLE]:
        parts.pop(PREAMBLE)
    return parts


def find_starts(text: str) -> dict[str, int]:
    """Return the first line, from 0, of each section.

    Raises:
        ServiceError: With code PLAN_INVALID if the text is no mapping.
    """
    try:
        root = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as bad:
        raise ServiceError(Code.PLAN_INVALID, str(bad)) from bad
    if root is None:
        return {}
    if not isinstance(root, yaml.MappingNode):
        raise ServiceError(Code.PLAN_INVALID, 'not a mapping of sections')
    return {key.value: key.start_mark.line for key, _child in root.value}


def join_sections(sections: dict[str, str]) -> str:
    """Return the whole text of sections."""
    return ''.join(
        text if text.endswith('\n') else f'{text}\n'
        for text in sections.values()
        if text
    )


def digest_text(text: str) -> str:
    """Return the digest by which versions of a text are told apart."""
    return hashlib.sha256(text.encode()).hexdigest()


def find_edits(current: str, wanted: str) -> tuple[SectionEdit, ...]:
    """Return the edits that turn one whole text into another."""
    old = split_sections(current)
    new = split_sections(wanted)
    return tuple(
        SectionEdit(
            name,
            digest_text(old[name]) if name in old else '',
            new.get(name, ''),
        )
        for name in (old | new)
        if old.get(name) != new.get(name)
    )


def apply_edits(current: str, edits: tuple[SectionEdit, ...]) -> str:
    """Return the whole text after edits of single sections.

    Raises:
        PlanConflictError: If a section is not as its editor saw it.
        ServiceError: With code PLAN_INVALID if an edit holds other sections.
    """
    sections = split_sections(current) if current else {}
    for edit in edits:
        old = sections.get(edit.section, '')
        base = digest_text(old) if old else ''
        if base != edit.base and old != edit.text:
            raise PlanConflictError(edit.section, old)
        check_single(edit)
        sections[edit.section] = edit.text
    return join_sections(sections)


def check_single(edit: SectionEdit) -> None:
    """Refuse an edit whose text defines other sections.

    Raises:
        ServiceError: With code PLAN_INVALID.
    """
    names = [name for name in split_sections(edit.text) if name]
    if edit.text and edit.section and names != [edit.section]:
        raise ServiceError(
            Code.PLAN_INVALID,
            f'an edit of {edit.section} defines {names}',
        )


def read_valid_plan(text: str, number: int) -> Plan:
    """Read a plan that must have no problem.

    Raises:
        ServiceError: With code PLAN_INVALID and all problems.
    """
    reading: PlanReading = read_plan(text, number)
    if reading.problems:
        lines = '; '.join(str(problem) for problem in reading.problems)
        raise ServiceError(Code.PLAN_INVALID, lines)
    return reading.plan


def check_owners(
    before: Plan,
    after: Plan,
    edits: tuple[SectionEdit, ...],
    teams: frozenset[str],
) -> None:
    """Refuse edits of sections that the operator's teams do not own.

    An owner may give a section away, and a team may add a section.

    Raises:
        ServiceError: With code CALLER_NOT_ALLOWED.
    """
    for edit in edits:
        section = before.sections.get(edit.section)
        section = section or after.sections.get(edit.section)
        if section and section.owner not in teams:
            raise ServiceError(
                Code.CALLER_NOT_ALLOWED,
                f'section {edit.section} belongs to {section.owner}',
            )
