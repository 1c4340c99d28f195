"""Splits the plan's text into sections, joins them and applies edits."""

import hashlib

import yaml
from attrs import frozen

from sequoia_policy.errors import Code, ServiceError
from sequoia_policy.plan_readers import PlanReadResult, read_plan
from sequoia_policy.plans import Plan

PREAMBLE = ''  # key of the lines before the first section


@frozen
class SectionEdit:
    """A replacement of the text of one section.

    Attributes:
        base: Digest of the text on which the edit is based; empty for a new
            section.
        text: The complete new text of the section; empty to delete it.
    """

    section: str
    base: str
    text: str


class PlanConflictError(ServiceError):
    """Raised for an edit of a section that has changed since its base.

    Attributes:
        section: Name of the section.
        current: The section's current text.
    """

    def __init__(self, section: str, current: str) -> None:
        """Initialize the error for a section."""
        super().__init__(
            Code.PLAN_CONFLICT,
            f'section {section} has changed since the edit was based on it',
        )
        self.section = section
        self.current = current


def split_sections(text: str) -> dict[str, str]:
    """Return the text of each section, including comments, in file order."""
    starts = find_section_starts(text)
    lines = text.splitlines(keepends=True)
    names = [PREAMBLE, *starts]
    bounds = [0, *starts.values(), len(lines)]
    sections = {
        name: ''.join(lines[bounds[index] : bounds[index + 1]])
        for index, name in enumerate(names)
    }
    if not sections[PREAMBLE]:
        sections.pop(PREAMBLE)
    return sections


def find_section_starts(text: str) -> dict[str, int]:
    """Return the index of the first line, from 0, of each section.

    Raises:
        ServiceError: With code PLAN_INVALID if the text is not valid YAML or
            not a mapping.
    """
    try:
        root = yaml.compose(text, Loader=yaml.CSafeLoader)
    except yaml.YAMLError as error:
        raise ServiceError(Code.PLAN_INVALID, str(error)) from error
    if root is None:
        return {}
    if not isinstance(root, yaml.MappingNode):
        raise ServiceError(
            Code.PLAN_INVALID, 'the plan is not a mapping of sections'
        )
    return {key.value: key.start_mark.line for key, _child in root.value}


def join_sections(sections: dict[str, str]) -> str:
    """Return the text of a plan with these sections, without empty ones."""
    return ''.join(
        text if text.endswith('\n') else f'{text}\n'
        for text in sections.values()
        if text
    )


def digest_text(text: str) -> str:
    """Return the digest that identifies a version of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


def find_edits(current: str, edited: str) -> tuple[SectionEdit, ...]:
    """Return the section edits that turn the current into the edited text."""
    old = split_sections(current)
    new = split_sections(edited)
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
    """Return the text of the plan after the edits.

    Raises:
        PlanConflictError: If a section has changed since its edit was based
            on it, and does not already have the new text.
        ServiceError: With code PLAN_INVALID if an edit defines other sections.
    """
    sections = split_sections(current) if current else {}
    for edit in edits:
        old = sections.get(edit.section, '')
        base = digest_text(old) if old else ''
        if base != edit.base and old != edit.text:
            raise PlanConflictError(edit.section, old)
        check_single_section(edit)
        sections[edit.section] = edit.text
    return join_sections(sections)


def check_single_section(edit: SectionEdit) -> None:
    """Check that the text of an edit defines only the edited section.

    Raises:
        ServiceError: With code PLAN_INVALID if it defines others.
    """
    names = [name for name in split_sections(edit.text) if name]
    if edit.text and edit.section and names != [edit.section]:
        raise ServiceError(
            Code.PLAN_INVALID,
            f'the edit of section {edit.section} defines sections {names}',
        )


def read_valid_plan(text: str, number: int) -> Plan:
    """Parse a plan that must be valid.

    Raises:
        ServiceError: With code PLAN_INVALID and the list of all problems.
    """
    parsed: PlanReadResult = read_plan(text, number)
    if parsed.problems:
        lines = '; '.join(str(problem) for problem in parsed.problems)
        raise ServiceError(Code.PLAN_INVALID, lines)
    return parsed.plan


def check_owners(
    before: Plan,
    after: Plan,
    edits: tuple[SectionEdit, ...],
    teams: frozenset[str],
) -> None:
    """Check that the operator's teams own all edited sections.

    The owner before the edit counts, so that a team may transfer its section
    to another one. A team may add a section that it owns.

    Raises:
        ServiceError: With code CALLER_NOT_ALLOWED if another team owns a
            section.
    """
    for edit in edits:
        section = before.sections.get(edit.section)
        section = section or after.sections.get(edit.section)
        if section and section.owner not in teams:
            raise ServiceError(
                Code.CALLER_NOT_ALLOWED,
                f'section {edit.section} belongs to {section.owner}',
            )
