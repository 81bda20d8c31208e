"""Output of `irisdeal store`: JSON, tables and register values."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.table import Table

if TYPE_CHECKING:
    from irisdeal.config_store.consensus.register import Value

TABLE_WIDTH = 116  # columns
NUMERIC_COLUMNS = ("change", "list", "ballot", "bytes")


def print_json(content: object) -> None:
    """Print the output of `--json`."""
    click.echo(json.dumps(content, indent=1))


def print_table(columns: Iterable[str], rows: Iterable[Iterable[str]]) -> None:
    """Print rows under these headings, with numbers aligned right."""
    table = Table(box=None, padding=(0, 2, 0, 0), pad_edge=False)
    for column in columns:
        table.add_column(column, justify="right" if column in NUMERIC_COLUMNS else "left")
    for row in rows:
        table.add_row(*row)
    Console(width=TABLE_WIDTH, soft_wrap=False).print(table)


def generation_of(value: Value) -> str:
    """Return `r12`, or `none` before the operator's first configuration."""
    return f"r{value.version_id.number}" if value.version_id.number >= 0 else "none"


def value_as_json(value: Value) -> dict[str, object]:
    """Return a register value as JSON."""
    return {
        "change": value.change,
        "generation": generation_of(value),
        "digest": value.version_id.digest.hex(),
        "list": value.members.number,
        "seats": list(value.members.seats),
        "former": list(value.members.former),
    }
