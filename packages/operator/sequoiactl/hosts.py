"""Commands about entry hosts and targets."""

from functools import partial
from typing import Annotated

import typer
from sequoia_wire.codecs import converter
from sequoia_wire.messages import parse_address
from sequoia_wire.operations import HostStatus

from sequoiactl.clients import AdminClient, run
from sequoiactl.outputs import show_json, show_table

app = typer.Typer(help='Entry hosts and targets.', no_args_is_help=True)

AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


def read_reachable(client: AdminClient) -> list[HostStatus]:
    """Return the statuses of all hosts that respond."""
    statuses = run(client.read_statuses)
    return [status for status in statuses.values() if status]


@app.command('list')
def list_hosts(context: typer.Context, as_json: AsJson = False) -> None:
    """Show each host, its plan and its duties."""
    statuses = read_reachable(context.obj)
    if as_json:
        show_json(converter.unstructure(statuses))
        return
    rows = [
        (
            status.name,
            status.domain,
            'ready' if status.ready else 'not ready',
            str(status.plan_number),
            ' '.join(status.duties),
        )
        for status in statuses
    ]
    show_table(('host', 'domain', 'state', 'plan', 'duties'), rows)


@app.command('targets')
def list_targets(context: typer.Context, as_json: AsJson = False) -> None:
    """Show the targets as one host of each failure domain sees them."""
    views = {
        status.domain: [
            target
            for target in status.targets
            if target.domain == status.domain
        ]
        for status in read_reachable(context.obj)
    }
    targets = [target for view in views.values() for target in view]
    if as_json:
        show_json(converter.unstructure(targets))
        return
    rows = [
        (
            target.name,
            target.pool,
            target.domain,
            '?' if target.version is None else str(target.version),
            f'{target.load:.2f}',
            'leaving' if target.leaving else 'usable',
        )
        for target in targets
    ]
    headers = ('target', 'pool', 'domain', 'version', 'load', 'state')
    show_table(headers, rows)


@app.command('leave')
def mark_leaving(
    context: typer.Context,
    target: Annotated[str, typer.Argument(help='Name of the target.')],
) -> None:
    """Stop new work to a target until it starts again."""
    client: AdminClient = context.obj

    run(partial(client.mark_leaving, target))
    typer.echo(f'{target} gets no new work')


@app.command('drain')
def drain_host(
    context: typer.Context,
    address: Annotated[str, typer.Argument(help='Admin address.')],
) -> None:
    """Shut a host down gracefully."""
    client: AdminClient = context.obj

    run(partial(client.drain, parse_address(address)))
    typer.echo(f'{address} drains')
