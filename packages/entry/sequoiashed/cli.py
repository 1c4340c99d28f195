"""The command line of the daemon."""

import inspect
import sys
from collections.abc import Callable
from typing import Annotated

import curio
import typer
from curio.task import ContextTask
from sequoia_wire.allocators import map_large_blocks
from sequoia_wire.logs import start_logs

from sequoiashed.hosts import EntryHost
from sequoiashed.settings import (
    SETTINGS,
    Setting,
    SettingError,
    read_settings,
)

EXIT_INVALID_SETTING = 2

app = typer.Typer(
    help='Daemon of a sequoiashed entry host.',
    add_completion=False,
    no_args_is_help=True,
)


@app.callback()
def describe() -> None:
    """Daemon of a sequoiashed entry host."""


def run_host(**texts: str | None) -> None:
    """Check the settings and serve until SIGTERM."""
    try:
        settings = read_settings(texts)
    except SettingError as error:
        sys.stderr.write(f'sequoiashed: {error}\n')
        raise typer.Exit(EXIT_INVALID_SETTING) from error
    start_logs()
    map_large_blocks()
    kernel = curio.Kernel(taskcls=ContextTask)
    with kernel:
        kernel.run(EntryHost(settings).run)


def make_parameter(setting: Setting) -> inspect.Parameter:
    """Return the command line option of a setting as a parameter."""
    default = setting.default or 'required'
    option = typer.Option(
        setting.flag,
        envvar=setting.variable,
        help=f'{setting.help} [default: {default}]',
        show_default=False,
    )
    return inspect.Parameter(
        setting.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )


def add_setting_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add one command line option per setting to a command."""
    parameters = [make_parameter(setting) for setting in SETTINGS]
    command.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
    command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    return command


@app.command('settings')
def list_settings() -> None:
    """Print all settings as a table in Markdown."""
    typer.echo('| flag | variable | default | meaning |')
    typer.echo('| --- | --- | --- | --- |')
    for setting in SETTINGS:
        typer.echo(describe_setting(setting))


def describe_setting(setting: Setting) -> str:
    """Return a setting as a row of the Markdown table."""
    default = 'required' if setting.default is None else setting.default
    cells = (
        f'`{setting.flag}`',
        f'`{setting.variable}`',
        default,
        setting.help,
    )
    return f'| {" | ".join(cells)} |'


app.command('run')(add_setting_options(run_host))
