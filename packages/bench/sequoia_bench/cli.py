"""Command line that runs the benchmarks."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Annotated

import typer

from sequoia_bench.accounts import measure_accounts
from sequoia_bench.ages import compare_sources
from sequoia_bench.caches import measure_caches
from sequoia_bench.faults import run_faults
from sequoia_bench.figures import Figure, print_figures
from sequoia_bench.footprints import measure_footprints
from sequoia_bench.gossip import measure_gossip
from sequoia_bench.leaving import measure_leaving
from sequoia_bench.live import measure_live
from sequoia_bench.prefixes import measure_prefixes
from sequoia_bench.queues import compare_choosers
from sequoia_bench.recovery import measure_recovery
from sequoia_bench.samples import compare_training
from sequoia_bench.streams import measure_streams
from sequoia_bench.weight_updates import measure_weight_updates

Benchmark = Callable[[int], list[Figure]]

BENCHMARKS = MappingProxyType(
    {
        'accounts': measure_accounts,
        'ages': compare_sources,
        'caches': measure_caches,
        'choices': compare_choosers,
        'faults': run_faults,
        'footprints': measure_footprints,
        'gossip': measure_gossip,
        'leaving': measure_leaving,
        'live': measure_live,
        'prefixes': measure_prefixes,
        'recovery': measure_recovery,
        'samples': compare_training,
        'streams': measure_streams,
        'weights': measure_weight_updates,
    },
)

app = typer.Typer(add_completion=False)


@app.command()
def run_benchmarks(
    names: Annotated[
        list[str] | None,
        typer.Argument(
            help=f'Some of {", ".join(BENCHMARKS)}; all by default.'
        ),
    ] = None,
    seed: Annotated[
        int, typer.Option(help='Seed of the random number generators.')
    ] = 1,
) -> None:
    """Run benchmarks and print their figures."""
    chosen = names or list(BENCHMARKS)
    for name in chosen:
        if name not in BENCHMARKS:
            raise typer.BadParameter(f'{name} is not a benchmark')
    typer.echo(f'seed {seed}')
    for benchmark in chosen:
        typer.echo(f'-- {benchmark}')
        print_figures(BENCHMARKS[benchmark](seed))
