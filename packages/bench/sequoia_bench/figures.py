"""Benchmark results and their output."""

import typer
from attrs import frozen
from sequoia_wire.codecs import converter
from sequoiactl.outputs import show_table


@frozen
class Figure:
    """One result of a benchmark.

    Attributes:
        bench: Name of the benchmark.
        case: Configuration that was measured.
        name: Measured quantity.
        unit: Unit of ``amount``.
    """

    bench: str
    case: str
    name: str
    amount: float
    unit: str


def print_figures(figures: list[Figure]) -> None:
    """Print figures as a table, then as one line of JSON."""
    rows = [
        (figure.bench, figure.case, figure.name, format_amount(figure))
        for figure in figures
    ]
    show_table(('bench', 'case', 'figure', 'amount'), rows)
    typer.echo(converter.dumps(figures).decode())


def format_amount(figure: Figure) -> str:
    """Format an amount with its unit."""
    return f'{figure.amount:.4g} {figure.unit}'
