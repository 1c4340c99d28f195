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
from sequoiactl.explanations import read_lines, select_lines

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
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    context.obj = AdminClient(addresses, operator, key)


@app.command()
def explain(
    searched_id: Annotated[
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
    """Explain what happened to an id, from log lines of several hosts."""
    texts: Iterable[str] = sys.stdin
    if logs:
        texts = [
            text for path in logs for text in path.read_text().splitlines()
        ]
    selected = select_lines(read_lines(texts), searched_id)
    if not selected:
        sys.stderr.write(f'sequoiactl: no log line mentions {searched_id}\n')
        raise typer.Exit(EXIT_REFUSED)
    for line in selected:
        typer.echo(line.render(selected[0].at))


def main() -> None:
    """Run a command and report errors of hosts on standard error."""
    try:
        app()
    except RefusedError as error:
        sys.stderr.write(f'sequoiactl: {error}\n{error.body}\n')
        sys.exit(EXIT_REFUSED)
    except ServiceError as error:
        sys.stderr.write(f'sequoiactl: no host responded: {error}\n')
        sys.exit(EXIT_UNREACHABLE)
