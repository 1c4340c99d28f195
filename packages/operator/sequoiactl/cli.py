"""The command line of operators."""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import typer
from sequoia_policy.errors import ServiceError
from sequoia_wire.messages import parse_address

from sequoiactl import hosts, plans
from sequoiactl.clients import AdminClient, RefusedError
from sequoiactl.explanations import select_lines, read_lines

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3

app = typer.Typer(
    help='Shows, checks and edits the rollout plan; shows and drains hosts.',
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(plans.app, name='plan')
app.add_typer(hosts.app, name='host')


@app.callback()
def connect(
    context: typer.Context,
    admin: Annotated[
        str,
        typer.Option(
            envvar='SEQUOIACTL_ADMIN',
            help='Admin addresses of entry hosts, joined by commas.',
        ),
    ] = '127.0.0.1:8083',
    operator: Annotated[
        str,
        typer.Option(
            envvar='SEQUOIACTL_OPERATOR',
            help='Name of the operator in the plan.',
        ),
    ] = '',
    key: Annotated[
        str,
        typer.Option(
            envvar='SEQUOIACTL_KEY',
            help='Key of the operator.',
        ),
    ] = '',
) -> None:
    """Shows, checks and edits the rollout plan; shows and drains hosts."""
    try:
        addresses = tuple(parse_address(text) for text in admin.split(','))
    except ValueError as bad:
        raise typer.BadParameter(str(bad)) from bad
    context.obj = AdminClient(addresses, operator, key)


@app.command()
def explain(
    wanted: Annotated[
        str,
        typer.Argument(
            metavar='ID',
            help='Id of a request, an item or a submission.',
        ),
    ],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help='Log files of hosts; standard input if none.'),
    ] = None,
) -> None:
    """Tell from log lines of several hosts what became of an id, and why."""
    texts: Iterable[str] = sys.stdin
    if logs:
        texts = [text for log in logs for text in log.read_text().splitlines()]
    story = select_lines(read_lines(texts), wanted)
    if not story:
        sys.stderr.write(f'sequoiactl: no line is about {wanted}\n')
        raise typer.Exit(EXIT_REFUSED)
    for line in story:
        typer.echo(line.render(story[0].at))


def main() -> None:
    """Run a command; explain a refusal in one line."""
    try:
        app()
    except RefusedError as refused:
        sys.stderr.write(f'sequoiactl: {refused}\n{refused.body}\n')
        sys.exit(EXIT_REFUSED)
    except ServiceError as silent:
        sys.stderr.write(f'sequoiactl: no host answers: {silent}\n')
        sys.exit(EXIT_UNREACHABLE)
