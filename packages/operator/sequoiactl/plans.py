"""Commands about the rollout plan."""

import difflib
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Annotated

import curio
import typer
from attrs import evolve
from sequoia_policy.durations import parse_duration
from sequoia_policy.plan_readers import read_plan
from sequoia_policy.plan_texts import (
    SectionEdit,
    digest_text,
    find_edits,
    split_sections,
)
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import converter, encode
from sequoia_wire.messages import Address
from sequoia_wire.operations import HostStatus

from sequoiactl.clients import AdminClient, run
from sequoiactl.outputs import show_json, show_table

EXIT_INVALID = 1
EXIT_NOT_IN_FORCE = 4
STATUS_POLL = timedelta(milliseconds=200)

app = typer.Typer(help='The rollout plan.', no_args_is_help=True)

PlanFile = Annotated[
    Path,
    typer.Argument(exists=True, dir_okay=False, help='YAML file of a plan.'),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


@app.command('check')
def check_plan(file: PlanFile, as_json: AsJson = False) -> None:
    """List every problem of a plan with its line and section."""
    problems = read_plan(file.read_text()).problems
    if as_json:
        show_json(converter.unstructure(problems))
    else:
        for problem in problems:
            typer.echo(f'{file}: {problem}')
    if problems:
        raise typer.Exit(EXIT_INVALID)
    if not as_json:
        typer.echo(f'{file}: no problems')


@app.command('show')
def show_plan(
    context: typer.Context,
    section: Annotated[str, typer.Option(help='Only this section.')] = '',
) -> None:
    """Print the newest accepted plan."""
    client: AdminClient = context.obj
    text = run(client.read_plan).text
    if section:
        text = split_sections(text).get(section, '')
    typer.echo(text, nl=False)


@app.command('diff')
def show_diff(context: typer.Context, file: PlanFile) -> None:
    """Show how a file differs from the newest accepted plan."""
    client: AdminClient = context.obj
    current = run(client.read_plan)
    lines = difflib.unified_diff(
        current.text.splitlines(keepends=True),
        file.read_text().splitlines(keepends=True),
        f'plan {current.number}',
        str(file),
    )
    typer.echo(''.join(lines), nl=False)


@app.command('apply')
def apply_plan(context: typer.Context, file: PlanFile) -> None:
    """Have all changed sections of a file accepted together."""
    client: AdminClient = context.obj
    number = run(partial(submit_plan, client, file.read_text()))
    typer.echo(f'plan {number} is accepted')


@app.command('edit')
def edit_section(
    context: typer.Context,
    section: Annotated[str, typer.Option(help='Section to replace.')],
    file: PlanFile,
    base: Annotated[
        str,
        typer.Option(
            help='Digest of the text that the edit started from; by default '
            'that of the newest text.',
        ),
    ] = '',
) -> None:
    """Replace one section by the text of a file."""
    client: AdminClient = context.obj
    edit = SectionEdit(section, base, file.read_text())
    number = run(partial(submit_section, client, edit))
    typer.echo(f'plan {number} is accepted')


@app.command('history')
def show_history(context: typer.Context, as_json: AsJson = False) -> None:
    """List all accepted edits."""
    client: AdminClient = context.obj
    history = run(client.read_history)
    if as_json:
        typer.echo(encode(history.edits).decode())
        return
    rows = [
        (str(edit.number), str(edit.accepted_at), edit.operator, edit.section)
        for edit in history.edits
    ]
    show_table(('number', 'accepted', 'operator', 'sections'), rows)


@app.command('status')
def show_status(
    context: typer.Context,
    wait: Annotated[
        str,
        typer.Option(help='Wait so long until all hosts have it, e.g. 12s.'),
    ] = '0s',
    as_json: AsJson = False,
) -> None:
    """Show which hosts have the newest plan in force."""
    client: AdminClient = context.obj
    limit = parse_duration(wait)
    number, statuses = run(lambda: watch_statuses(client, limit))
    outdated = find_outdated(number, statuses)
    if as_json:
        show_json(
            {
                'number': number,
                'late': [str(address) for address in outdated],
            },
        )
    else:
        rows = [
            describe_host(address, status, number)
            for address, status in statuses.items()
        ]
        show_table(('host', 'address', 'plan', 'state'), rows)
    if outdated:
        raise typer.Exit(EXIT_NOT_IN_FORCE)


async def submit_plan(client: AdminClient, new_text: str) -> int:
    """Submit all changed sections; return the number of the newest plan.

    Submits nothing if the text equals the newest plan.
    """
    current = await client.read_plan()
    edits = find_edits(current.text, new_text)
    if not edits:
        return current.number
    accepted = await client.submit_edits(edits)
    return accepted.number


async def submit_section(client: AdminClient, edit: SectionEdit) -> int:
    """Submit an edit of one section; return the accepted plan's number.

    An edit without a base is based on the newest text.
    """
    current = split_sections((await client.read_plan()).text)
    if not edit.base and edit.section in current:
        edit = evolve(edit, base=digest_text(current[edit.section]))
    accepted = await client.submit_edits((edit,))
    return accepted.number


Statuses = dict[Address, HostStatus | None]


async def watch_statuses(
    client: AdminClient,
    limit: timedelta,
) -> tuple[int, Statuses]:
    """Poll until all hosts have the newest plan or ``limit`` has passed.

    Returns the newest plan's number and the last status of each host.
    """
    clock = SystemClock()
    deadline = clock.elapsed() + limit
    number = (await client.read_plan()).number
    statuses = await client.read_statuses()
    while find_outdated(number, statuses) and clock.elapsed() < deadline:
        await curio.sleep(STATUS_POLL.total_seconds())
        statuses = await client.read_statuses()
    return number, statuses


def find_outdated(number: int, statuses: Statuses) -> list[Address]:
    """Return the unreachable hosts and those with a plan below ``number``."""
    return [
        address
        for address, status in statuses.items()
        if status is None or status.plan_number < number
    ]


def describe_host(
    address: Address,
    status: HostStatus | None,
    number: int,
) -> tuple[str, str, str, str]:
    """Return the table row of a host."""
    if status is None:
        return ('?', str(address), '?', 'silent')
    state = 'in force' if status.plan_number >= number else 'late'
    if status.plan_lapsed:
        state = f'{state}, not confirmed'
    return (status.name, str(address), str(status.plan_number), state)
