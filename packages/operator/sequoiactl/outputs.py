"""Prints tables and JSON."""

from collections.abc import Sequence

import orjson
import typer


def show_json(document: object) -> None:
    """Print a document as one line of JSON."""
    typer.echo(orjson.dumps(document).decode())


def show_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> None:
    """Print a header row and rows, aligned to the longest cell per column."""
    widths = [
        max(len(row[column]) for row in (headers, *rows))
        for column in range(len(headers))
    ]
    for row in (headers, *rows):
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        typer.echo('  '.join(cells).rstrip())
