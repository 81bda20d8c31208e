"""`irisdeal store history`, `verify` and `export`: read a replica's folder without changing it."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from irisdeal.cli.store.options import FOLDER, JSON, UsageError, read_folder
from irisdeal.cli.store.output import generation_of, print_json, print_table, value_as_json

if TYPE_CHECKING:
    from irisdeal.config_store.configuration.version import ConfigVersion
    from irisdeal.config_store.storage.acceptor_state import PersistedState
    from irisdeal.config_store.storage.inspection import FolderContent

SHOWN_DIGEST_LENGTH = 16  # hexadecimal digits of a digest in a table


@click.command()
@FOLDER
@JSON
def history(folder: str, as_json: bool) -> None:
    """Show the versions in a replica's folder, the newest first, and the status of each.

    `decided`: the newest version known as decided; `accepted`: possibly not decided; `kept`: an older
    version, or one that lost against another.

    Example: irisdeal store history /var/lib/irisdeal
    """
    content = read_folder(folder)
    versions = sorted(content.versions.items(), key=lambda item: item[1].version_id, reverse=True)
    rows = [{**_version_as_json(content, version), "file": name} for name, version in versions]
    state = content.state
    if as_json:
        print_json({"kept": _state_as_json(state) if state is not None else None, "versions": rows})
        return
    if state is not None:
        _print_values(state)
    columns = ("generation", "stands", "bytes", "digest")
    print_table(columns, [[str(row[column])[: _shown_length(column)] for column in columns] for row in rows])


def _shown_length(column: str) -> int | None:
    return SHOWN_DIGEST_LENGTH if column == "digest" else None


def _version_as_json(content: FolderContent, version: ConfigVersion) -> dict[str, object]:
    return {
        "generation": f"r{version.version_id.number}",
        "stands": content.status(version.version_id),
        "bytes": len(version.body),
        "digest": version.version_id.digest.hex(),
    }


def _state_as_json(state: PersistedState) -> dict[str, object]:
    return {
        "disk": state.disk_id,
        "promised": state.acceptor_state.promised.count,
        "ballot": state.acceptor_state.accepted.count,
        "accepted": value_as_json(state.acceptor_state.value),
        "decided": value_as_json(state.decided),
    }


def _print_values(state: PersistedState) -> None:
    for name, value in (("decided", state.decided), ("accepted", state.acceptor_state.value)):
        seats = " ".join(value.members.seats)
        click.echo(
            f"{name}: change {value.change}, {generation_of(value)}, list {value.members.number}: {seats}"
        )


@click.command()
@FOLDER
@JSON
def verify(folder: str, as_json: bool) -> None:
    """Check that every file in a replica's folder is complete and undamaged. Exit code 0, or 1 with what is wrong.

    Example: irisdeal store verify /var/lib/irisdeal
    """
    from irisdeal.config_store.storage.inspection import verify as verify_content

    content = read_folder(folder)
    errors = verify_content(content)
    if as_json:
        details = [{"file": error.peer, "detail": error.detail} for error in errors]
        print_json({"versions": len(content.versions), "good": not errors, "troubles": details})
    else:
        for error in errors:
            click.echo(str(error))
        found = f", {len(errors)} errors" if errors else ""
        click.echo(f"{len(content.versions)} versions are complete{found}")
    sys.exit(1 if errors else 0)


@click.command()
@FOLDER
@click.option(
    "--generation",
    default=None,
    metavar="rN",
    help="The generation to export; by default the newest decided one.",
)
@click.option(
    "--to",
    "out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Output file; by default standard output.",
)
@click.option("--json", "as_json", is_flag=True, help="With --to: print what was written as JSON.")
def export(folder: str, generation: str | None, out: Path | None, as_json: bool) -> None:
    """Write out a configuration from a replica's folder, byte for byte as the operator sent it.

    Exit code 1 if it is not in the folder. Sent to POST /config/replace, it restores that configuration.

    Example: irisdeal store export /var/lib/irisdeal --generation r12 --to r12.json
    """
    from irisdeal.config_store.storage.inspection import find_version, newest_version

    if as_json and out is None:
        raise UsageError("--json: wanted with --to, as standard output is the configuration")
    content = read_folder(folder)
    version = newest_version(content) if generation is None else find_version(content, generation)
    if version is None:
        click.echo(f"irisdeal: {generation or 'a decided configuration'} is not in {folder}", err=True)
        sys.exit(1)
    if out is None:
        click.echo(version.body, nl=False)
        return
    try:
        out.write_bytes(version.body)
    except OSError as error:
        raise UsageError(f"--to {out}: {error.strerror}") from None
    written = _version_as_json(content, version)
    summary = f"{written['generation']}, {written['stands']}, {written['bytes']} bytes"
    click.echo(json.dumps(written, indent=1) if as_json else summary)
