"""Command line of the stand-ins, the load generator and the demo."""

import random
import sys
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import curio
import typer
from sequoia_policy.durations import parse_duration
from sequoia_wire.clocks import SystemClock
from sequoia_wire.codecs import decode, encode
from sequoia_wire.messages import parse_address
from sequoia_wire.platform_messages import TargetStatus
from sequoia_wire.servers import Handler, HttpServer

from sequoia_standins.demos import Demo, prepare_folder
from sequoia_standins.deployments import ORDER_SECRET, SHAPES
from sequoia_standins.engines import EngineStandin, EngineTraits
from sequoia_standins.experiments import LoadTask, TrainerJob
from sequoia_standins.loads import LiveLoad
from sequoia_standins.plain_services import PlainStandin, score
from sequoia_standins.platforms import HostsStandin, WeightsStandin
from sequoia_standins.relays import Relay, RelayPlan
from sequoia_standins.stores import StoreStandin
from sequoia_standins.trainers import TrainerStandin

MILLISECONDS = 1000

app = typer.Typer(
    help='Stand-ins for the platform, and experiments against them.',
    add_completion=False,
    no_args_is_help=True,
)

AddressText = Annotated[str, typer.Option(help='IP number and port.')]
NameText = Annotated[str, typer.Option(help='Name of the target.')]
DomainText = Annotated[str, typer.Option(help='Failure domain.')]
TaskFile = Annotated[Path, typer.Argument(help='JSON file of the task.')]


def serve(address: str, handler: Handler) -> None:
    """Serve a stand-in until the process exits."""
    server = HttpServer(parse_address(address), handler)
    server.open()
    with curio.Kernel() as kernel:
        kernel.run(server.run)


def make_status(name: str) -> TargetStatus:
    """Return the status of a target that starts now."""
    started_at = SystemClock().now().timestamp()
    return TargetStatus(name, round(started_at * MILLISECONDS))


@app.command('store')
def run_store(
    address: AddressText,
    commits: Annotated[float, typer.Option(help='Commits per second.')] = 400,
    reads: Annotated[float, typer.Option(help='Reads per second.')] = 2000,
) -> None:
    """Run the stand-in of the table and object store."""
    serve(address, StoreStandin(commits, reads).handle)


@app.command('hosts')
def run_hosts(
    address: AddressText,
    lag: Annotated[
        str, typer.Option(help='Delay until a published list is served.')
    ] = '2s',
) -> None:
    """Run the stand-in of the hosts list."""
    serve(address, HostsStandin(parse_duration(lag)).handle)


@app.command('weights')
def run_weights(address: AddressText) -> None:
    """Run the stand-in of the weight store."""
    serve(address, WeightsStandin().handle)


@app.command('relay')
def run_relay(
    address: AddressText,
    plan_file: Annotated[Path, typer.Argument(help='JSON file of routes.')],
) -> None:
    """Run a relay that can partition failure domains."""
    relay = Relay(decode(plan_file.read_bytes(), RelayPlan))
    server = HttpServer(parse_address(address), relay.handle)
    server.open()
    with curio.Kernel() as kernel:
        kernel.run(relay.run)
        kernel.run(server.run)


@app.command('scorer')
def run_scorer(
    address: AddressText,
    name: NameText,
    domain: DomainText,
) -> None:
    """Run a scorer."""
    serve(address, PlainStandin(make_status(name), domain, score).handle)


@app.command('plain')
def run_plain(
    address: AddressText,
    name: NameText,
    domain: DomainText,
    work_time: Annotated[
        str,
        typer.Option(help='Duration of a call.'),
    ] = '20ms',
) -> None:
    """Run a plain service."""
    standin = PlainStandin(
        make_status(name),
        domain,
        work_time=parse_duration(work_time),
    )
    serve(address, standin.handle)


@app.command('engine')
def run_engine(
    address: AddressText,
    name: NameText,
    domain: DomainText,
    token_time: Annotated[
        str,
        typer.Option(help='Time between two tokens of a stream.'),
    ] = '3ms',
    checks_fencing: Annotated[
        bool,
        typer.Option('--checks-fencing', help='Refuse old fencing numbers.'),
    ] = False,
) -> None:
    """Run an engine."""
    traits = EngineTraits(
        parse_duration(token_time),
        checks_fencing=checks_fencing,
        order_secret=ORDER_SECRET,
    )
    serve(address, EngineStandin(make_status(name), domain, traits).handle)


@app.command('load')
def run_load(task_file: TaskFile) -> None:
    """Send live calls; write a JSON report next to the task file."""
    task = decode(task_file.read_bytes(), LoadTask)
    load = LiveLoad(
        task.addresses,
        task.kinds,
        task.per_second,
        timedelta(seconds=task.seconds),
        random.Random(task.seed),
    )
    with curio.Kernel() as kernel:
        report = kernel.run(load.run)
    task_file.with_suffix('.report').write_bytes(encode(report))


@app.command('trainer')
def run_trainer(task_file: TaskFile) -> None:
    """Run a trainer; write a JSON report next to the task file."""
    job = decode(task_file.read_bytes(), TrainerJob)
    trainer = TrainerStandin(
        job.task,
        job.addresses,
        job.weight_store,
        random.Random(job.seed),
    )
    with curio.Kernel() as kernel:
        report = kernel.run(trainer.run)
    task_file.with_suffix('.report').write_bytes(encode(report))


@app.command('demo')
def run_demo(
    deployment: Annotated[
        str,
        typer.Option(help=f'One of {", ".join(SHAPES)}.'),
    ] = 'tamsui',
    seed: Annotated[int, typer.Option(help='Random seed of the load.')] = 1,
) -> None:
    """Run a deployment with faults and check all guarantees."""
    if deployment not in SHAPES:
        raise typer.BadParameter(f'{deployment} is not one of {list(SHAPES)}')
    demo = Demo(SHAPES[deployment], seed, prepare_folder(deployment))
    with curio.Kernel() as kernel:
        passed = kernel.run(demo.run)
    sys.exit(0 if passed else 1)
