"""`irisdeal routes`: check, show, match and compare OpenAPI descriptions."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console
from rich.table import Table as Grid

if TYPE_CHECKING:
    from irisdeal.front_door.routes.model import Route
    from irisdeal.front_door.routes.table import Table
    from irisdeal.front_door.sources.openapi import Description

FILE = click.Path(dir_okay=False, path_type=Path)
JSON = click.option("--json", "as_json", is_flag=True, help="For machines.")


class Missing(click.ClickException):
    """A library of the extra is not installed."""

    exit_code = 2

    def __init__(self, error: ImportError) -> None:
        super().__init__(f"irisdeal routes wants the extra irisdeal[routes]: {error.name} is missing")


def _read(file: Path) -> Description:
    try:
        from irisdeal.front_door.sources.openapi import read
    except ImportError as error:
        raise Missing(error) from None
    if not file.exists():
        click.echo(f"irisdeal: {file}: no such file", err=True)
        sys.exit(2)
    return read(file)


def _table(file: Path) -> Table:
    """The table of a description that must be right: its first error ends the command, with 1."""
    from irisdeal.front_door.routes.table import DescriptionLimitError, build

    description = _read(file)
    if description.errors:
        click.echo(f"irisdeal: {description.errors[0].line()}", err=True)
        sys.exit(1)
    try:
        return build(
            description.routes,
            allow_weaken="weaken" in description.allow,
            allow_remove="remove" in description.allow,
        )
    except DescriptionLimitError as error:
        click.echo(f"irisdeal: {file}: {error}", err=True)
        sys.exit(1)


def _as_json(route: Route) -> dict[str, Any]:
    rule = route.rule
    return {
        "method": route.method,
        "path": route.template,
        "class": rule.name,
        "repeat": rule.repeat.name.lower(),
        "keyed": {"header": rule.key_header, "group": rule.group, "window_ms": rule.window / 1000}
        if rule.repeat.name == "KEYED"
        else None,
        "units": route.units.text(),
        "aim_ms": rule.aim / 1000,
        "deadline_ms": rule.deadline / 1000,
        "worth": rule.worth,
        "late_worth": rule.late_worth,
        "customer": route.customer.text(),
        "plan": route.plan.text(),
        "operation": route.operation or None,
        "pointer": route.pointer,
        "deprecated": route.deprecated,
    }


@click.group()
def routes() -> None:
    """OpenAPI descriptions as the source of routes and costs.

    Exit codes: 0, 1 where a check fails, 2 where the command cannot be used as asked.

    Example: irisdeal routes check refund.yaml
    """


@routes.command()
@click.argument("file", type=FILE)
@click.option("--schema", is_flag=True, help="Also validate the whole description; slow for large ones.")
@JSON
def check(file: Path, schema: bool, as_json: bool) -> None:
    """Whether a door would take this description; every problem with its place.

    Example: irisdeal routes check refund.yaml --json
    """
    description = _read(file)
    problems = [
        {"file": p.file, "pointer": p.pointer, "text": p.text, "level": "error" if p.error else "warning"}
        for p in description.problems
    ]
    if schema and not description.errors:
        problems += _validated(file)
    failed = any(problem["level"] == "error" for problem in problems)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "file": str(file),
                    "version": description.version,
                    "paths": description.paths,
                    "operations": description.operations,
                    "problems": problems,
                },
                indent=1,
            )
        )
    else:
        for problem in problems:
            click.echo(f"{problem['level']}: {problem['file']}: {problem['pointer']}: {problem['text']}")
        click.echo(
            f"{file}: {description.paths} paths, {description.operations} operations, "
            f"{sum(p['level'] == 'error' for p in problems)} errors, "
            f"{sum(p['level'] == 'warning' for p in problems)} warnings"
        )
    sys.exit(1 if failed else 0)


def _validated(file: Path) -> list[dict[str, str]]:
    """What the OpenAPI schema itself finds wrong."""
    try:
        from openapi_spec_validator import OpenAPIV30SpecValidator, OpenAPIV31SpecValidator
    except ImportError as error:
        raise Missing(error) from None
    from irisdeal.front_door.sources.yamljson import load

    text = file.read_text("utf-8-sig")
    value = load(text, file.suffix.lower() == ".json" or text.lstrip()[:1] == "{")
    is_30 = str(value.get("openapi")).startswith("3.0")
    made = OpenAPIV30SpecValidator if is_30 else OpenAPIV31SpecValidator
    found = []
    try:
        for wrong in made(value, base_uri=file.absolute().as_uri()).iter_errors():
            pointer = "#" + "".join(
                "/" + str(p).replace("~", "~0").replace("/", "~1") for p in wrong.absolute_path
            )
            found.append(
                {
                    "file": str(file),
                    "pointer": pointer,
                    "level": "error",
                    "text": " ".join(str(wrong.message).split())[:300],
                }
            )
    except Exception as error:  # the validator's own trouble with a reference, say, is told and not hidden
        text = f"cannot be validated: {type(error).__name__}: {' '.join(str(error).split())[:200]}"
        found.append({"file": str(file), "pointer": "#", "level": "error", "text": text})
    return found


@routes.command()
@click.argument("file", type=FILE)
@JSON
def show(file: Path, as_json: bool) -> None:
    """Every route with its class, rule on repeats and cost.

    Example: irisdeal routes show refund.yaml
    """
    table = _table(file)
    if as_json:
        click.echo(
            json.dumps(
                {"digest": table.digest, "routes": [_as_json(route) for route in table.routes.values()]},
                indent=1,
            )
        )
        return
    grid = Grid(title=f"{file}: {len(table.routes)} routes, digest {table.digest}", title_justify="left")
    for name in ("method", "path", "class", "repeat", "units", "aim ms", "deadline ms"):
        grid.add_column(name, overflow="fold")
    for route in table.routes.values():
        told = _as_json(route)
        grid.add_row(
            route.method,
            route.template,
            told["class"],
            told["repeat"],
            told["units"],
            f"{told['aim_ms']:g}",
            f"{told['deadline_ms']:g}",
        )
    Console().print(grid)


@routes.command()
@click.argument("file", type=FILE)
@click.argument("method")
@click.argument("target")
@JSON
def match(file: Path, method: str, target: str, as_json: bool) -> None:
    """Which route a request takes, and why none where it takes none (exit code 1).

    Example: irisdeal routes match refund.yaml GET "/refund/check?receipt=7"
    """
    from irisdeal.front_door.routes.costs import InvalidUnitsError, read_units
    from irisdeal.front_door.routes.path import InvalidTargetError, read_target

    table = _table(file)
    told: dict[str, Any]
    try:
        read = read_target(target)
        found = table.find(method, read)
        if found.route is not None:
            told = {"status": None, "route": _as_json(found.route), "parameters": found.parameters}
            if found.route.units.place != "body":
                told["units"] = read_units(found.route.units, read.query, b"")
        elif found.allowed_methods:
            told = {
                "status": 405,
                "allow": list(found.allowed_methods),
                "reason": "the path has other methods",
            }
        else:
            told = {"status": 404, "reason": "no such path"}
    except (InvalidTargetError, InvalidUnitsError) as error:
        told = {"status": 400, "reason": str(error)}
    if as_json:
        click.echo(json.dumps(told, indent=1))
    elif told["status"] is None:
        route = told["route"]
        click.echo(
            f"{route['method']} {route['path']}: class {route['class']}, {route['repeat']}, units "
            f"{told.get('units', route['units'])}"
        )
        for name, value in told["parameters"].items():
            click.echo(f"  {name} = {value}")
    else:
        allow = f" Allow: {', '.join(told['allow'])}" if "allow" in told else ""
        click.echo(f"{told['status']}: {told['reason']}{allow}")
    sys.exit(0 if told["status"] is None else 1)


@routes.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@JSON
def diff(old: Path, new: Path, as_json: bool) -> None:
    """What changes from one description to another; exit code 1 where a door would refuse the swap.

    Example: irisdeal routes diff refund.yaml refund-new.yaml
    """
    from irisdeal.front_door.routes.difference import compare_tables, refusal_reason

    one, other = _table(old), _table(new)
    changes, reason = compare_tables(one, other), refusal_reason(one, other)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "old": one.digest,
                    "new": other.digest,
                    "refused": reason,
                    "changes": [
                        {"what": c.kind, "method": c.method, "path": c.template, "old": c.old, "new": c.new}
                        for c in changes
                    ],
                },
                indent=1,
            )
        )
    else:
        for change in changes:
            click.echo(change.text())
        click.echo(f"{len(changes)} changes" + (f"; a door refuses this swap: {reason}" if reason else ""))
    sys.exit(1 if reason else 0)
