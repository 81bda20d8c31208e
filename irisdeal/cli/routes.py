"""`irisdeal routes`: check, show, match and compare OpenAPI descriptions."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console
from rich.table import Table as DisplayTable

if TYPE_CHECKING:
    from irisdeal.front_door.routes.model import Route
    from irisdeal.front_door.routes.table import Table
    from irisdeal.front_door.sources.openapi import Description

FILE = click.Path(dir_okay=False, path_type=Path)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


class MissingExtraError(click.ClickException):
    """A library of the extra `irisdeal[routes]` is not installed."""

    exit_code = 2

    def __init__(self, error: ImportError) -> None:
        super().__init__(f"irisdeal routes needs the extra irisdeal[routes]: {error.name} is missing")


def _read_description(file: Path) -> Description:
    try:
        from irisdeal.front_door.sources.openapi import read
    except ImportError as error:
        raise MissingExtraError(error) from None
    if not file.exists():
        click.echo(f"irisdeal: {file}: no such file", err=True)
        sys.exit(2)
    return read(file)


def _load_table(file: Path) -> Table:
    """Return the route table of a description. Exits with code 1 and the first error if it is invalid."""
    from irisdeal.front_door.routes.table import DescriptionLimitError, build

    description = _read_description(file)
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


def _route_as_json(route: Route) -> dict[str, Any]:
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

    Exit codes: 0, 1 if a check fails, 2 if the command cannot run as given.

    Example: irisdeal routes check refund.yaml
    """


@routes.command()
@click.argument("file", type=FILE)
@click.option(
    "--schema",
    is_flag=True,
    help="Also validate the description against the OpenAPI schema; slow for large ones.",
)
@JSON
def check(file: Path, schema: bool, as_json: bool) -> None:
    """Check whether a gateway would accept a description, and list its problems.

    Example: irisdeal routes check refund.yaml --json
    """
    description = _read_description(file)
    problems = [
        {"file": p.file, "pointer": p.pointer, "text": p.text, "level": "error" if p.error else "warning"}
        for p in description.problems
    ]
    if schema and not description.errors:
        problems += _schema_problems(file)
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


def _schema_problems(file: Path) -> list[dict[str, str]]:
    """Return the violations of the OpenAPI schema."""
    try:
        from openapi_spec_validator import OpenAPIV30SpecValidator, OpenAPIV31SpecValidator
    except ImportError as error:
        raise MissingExtraError(error) from None
    from irisdeal.front_door.sources.yamljson import load

    text = file.read_text("utf-8-sig")
    value = load(text, file.suffix.lower() == ".json" or text.lstrip()[:1] == "{")
    is_30 = str(value.get("openapi")).startswith("3.0")
    validator_class = OpenAPIV30SpecValidator if is_30 else OpenAPIV31SpecValidator
    problems = []
    try:
        for schema_error in validator_class(value, base_uri=file.absolute().as_uri()).iter_errors():
            pointer = "#" + "".join(
                "/" + str(p).replace("~", "~0").replace("/", "~1") for p in schema_error.absolute_path
            )
            problems.append(
                {
                    "file": str(file),
                    "pointer": pointer,
                    "level": "error",
                    "text": " ".join(str(schema_error.message).split())[:300],
                }
            )
    except Exception as error:  # an error of the validator itself, such as in a reference, is reported too
        text = f"cannot be validated: {type(error).__name__}: {' '.join(str(error).split())[:200]}"
        problems.append({"file": str(file), "pointer": "#", "level": "error", "text": text})
    return problems


@routes.command()
@click.argument("file", type=FILE)
@JSON
def show(file: Path, as_json: bool) -> None:
    """Show every route with its class, repeat rule and cost.

    Example: irisdeal routes show refund.yaml
    """
    table = _load_table(file)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "digest": table.digest,
                    "routes": [_route_as_json(route) for route in table.routes.values()],
                },
                indent=1,
            )
        )
        return
    grid = DisplayTable(
        title=f"{file}: {len(table.routes)} routes, digest {table.digest}", title_justify="left"
    )
    for name in ("method", "path", "class", "repeat", "units", "aim ms", "deadline ms"):
        grid.add_column(name, overflow="fold")
    for route in table.routes.values():
        fields = _route_as_json(route)
        grid.add_row(
            route.method,
            route.template,
            fields["class"],
            fields["repeat"],
            fields["units"],
            f"{fields['aim_ms']:g}",
            f"{fields['deadline_ms']:g}",
        )
    Console().print(grid)


@routes.command()
@click.argument("file", type=FILE)
@click.argument("method")
@click.argument("target")
@JSON
def match(file: Path, method: str, target: str, as_json: bool) -> None:
    """Show the route of a request, or why it has none (exit code 1).

    Example: irisdeal routes match refund.yaml GET "/refund/check?receipt=7"
    """
    from irisdeal.front_door.routes.costs import InvalidUnitsError, read_units
    from irisdeal.front_door.routes.path import InvalidTargetError, read_target

    table = _load_table(file)
    result: dict[str, Any]
    try:
        parsed = read_target(target)
        route_match = table.find(method, parsed)
        if route_match.route is not None:
            result = {
                "status": None,
                "route": _route_as_json(route_match.route),
                "parameters": route_match.parameters,
            }
            if route_match.route.units.place != "body":
                result["units"] = read_units(route_match.route.units, parsed.query, b"")
        elif route_match.allowed_methods:
            result = {
                "status": 405,
                "allow": list(route_match.allowed_methods),
                "reason": "the path has other methods",
            }
        else:
            result = {"status": 404, "reason": "no such path"}
    except (InvalidTargetError, InvalidUnitsError) as error:
        result = {"status": 400, "reason": str(error)}
    if as_json:
        click.echo(json.dumps(result, indent=1))
    elif result["status"] is None:
        route = result["route"]
        click.echo(
            f"{route['method']} {route['path']}: class {route['class']}, {route['repeat']}, units "
            f"{result.get('units', route['units'])}"
        )
        for name, value in result["parameters"].items():
            click.echo(f"  {name} = {value}")
    else:
        allow = f" Allow: {', '.join(result['allow'])}" if "allow" in result else ""
        click.echo(f"{result['status']}: {result['reason']}{allow}")
    sys.exit(0 if result["status"] is None else 1)


@routes.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@JSON
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Show the changes between two descriptions; exit code 1 if a gateway would refuse the swap.

    Example: irisdeal routes diff refund.yaml refund-new.yaml
    """
    from irisdeal.front_door.routes.difference import compare_tables, refusal_reason

    old_table, new_table = _load_table(old), _load_table(new)
    changes, reason = compare_tables(old_table, new_table), refusal_reason(old_table, new_table)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "old": old_table.digest,
                    "new": new_table.digest,
                    "refused": reason,
                    "changes": [
                        {
                            "what": c.kind,
                            "method": c.method,
                            "path": c.template,
                            "old": c.old,
                            "new": c.new,
                        }
                        for c in changes
                    ],
                },
                indent=1,
            )
        )
    else:
        for change in changes:
            click.echo(change.text())
        click.echo(f"{len(changes)} changes" + (f"; a gateway refuses this swap: {reason}" if reason else ""))
    sys.exit(1 if reason else 0)
