"""`irisdeal store`: who the members are and what they hold, what a store's folder holds, a new list by hand."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich.console import Console
from rich.table import Table

if TYPE_CHECKING:
    from irisdeal.config_store.consensus.register import Value
    from irisdeal.config_store.membership.survey import Survey
    from irisdeal.config_store.storage.inspection import FolderContent
    from irisdeal.runtime.settings import Address, Settings

WIDTH = 116  # columns of a table: as long as our lines


class Unusable(click.ClickException):
    """Cannot be used as asked: one line on standard error, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"irisdeal: {self.message}", err=True)


class At(click.ParamType[Any]):
    """`ip:port`."""

    name = "ip:port"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        from irisdeal.runtime.settings import parse_address

        try:
            return value if isinstance(value, tuple) else parse_address(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


SETTINGS = click.option(
    "--settings",
    "settings_file",
    type=click.Path(dir_okay=False),
    envvar="IRISDEAL_SETTINGS",
    show_envvar=True,
    metavar="FILE",
    help="A core machine's settings.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="For machines.")
STORES = click.argument("stores", type=At(), nargs=-1)
FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@click.group()
def store() -> None:
    """The store of the operator's configuration.

    status and members ask stores that run; history, verify and export read a store's folder and change nothing;
    adopt begins a new list of members where no quorum can be had any more.

    Example: irisdeal store status --settings /etc/irisdeal/settings.toml
    """


def _settings(settings_file: str | None) -> Settings:
    if settings_file is None:
        raise Unusable("--settings: wanted, as no store was named")
    from returns.result import Failure

    from irisdeal.runtime.settings import load_settings

    read = load_settings(settings_file)
    if isinstance(read, Failure):
        raise Unusable(str(read.failure()))
    return read.unwrap()


def _seeds(settings: Settings) -> list[Address]:
    from irisdeal.runtime import ports

    ips = [*ports.seeds(settings), *([settings.ip] if settings.data_path else [])]
    return [ports.address_of(settings, ip, ports.CONFIG_STORE) for ip in ips]


def _survey(stores: tuple[Address, ...], settings_file: str | None) -> Survey:
    from irisdeal.config_store.membership.survey import survey

    return asyncio.run(survey(stores or _seeds(_settings(settings_file))))


def _grid(*heads: str) -> Table:
    table = Table(box=None, padding=(0, 2, 0, 0), pad_edge=False)
    for head in heads:
        table.add_column(head, justify="right" if head in ("change", "list", "ballot", "bytes") else "left")
    return table


def _print(table: Table) -> None:
    Console(width=WIDTH, soft_wrap=False).print(table)


def _verdict(survey: Survey) -> str:
    spare = survey.spare_members()
    if spare < 0:
        return "no quorum: nothing is confirmed or read"
    return f"a quorum lives; it bears the loss of {spare} more"


def _end(survey: Survey) -> None:
    """Exit code 0 with a quorum, 1 without, 2 where nobody answered."""
    sys.exit(2 if not survey.statuses else 0 if survey.has_quorum else 1)


@store.command()
@STORES
@SETTINGS
@JSON
def status(stores: tuple[Address, ...], settings_file: str | None, as_json: bool) -> None:
    """What each store holds and knows, and whether a quorum lives.

    STORES are ip:port of any of them, the first port of `port_range`; else the seeds of the settings. One that
    answers is enough: the others are found by it. Exit code 0 with a quorum, 1 without, 2 where nobody answered.

    Example: irisdeal store status 10.0.0.1:7340
    """
    found = _survey(stores, settings_file)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "change": found.decided.change,
                    "generation": _generation(found.decided),
                    "list": found.members.number,
                    "quorum": found.has_quorum,
                    "bears": found.spare_members(),
                    "stores": [_plain(found, at) for at in sorted(found.statuses)],
                    "silent": {f"{ip}:{port}": why for (ip, port), why in sorted(found.failures.items())},
                },
                indent=1,
            )
        )
        _end(found)
    table = _grid(
        "store", "seat", "zone", "counts", "change", "generation", "holds", "list", "ballot", "leaving"
    )
    for at, report in sorted(found.statuses.items()):
        table.add_row(
            f"{at[0]}:{at[1]}",
            report.seat,
            report.zone,
            _role(found, report.seat),
            str(report.decided.change),
            _generation(report.decided),
            _yes(report.has_body),
            str(report.decided.members.number),
            str(report.accepted.count),
            _yes(report.leaving),
        )
    _print(table)
    for (ip, port), why in sorted(found.failures.items()):
        click.echo(f"{ip}:{port}: {why}")
    click.echo(_verdict(found))
    _end(found)


def _generation(value: Value) -> str:
    """`r12`, or `none` before the operator's first order."""
    return f"r{value.version_id.number}" if value.version_id.number >= 0 else "none"


def _yes(holds: bool) -> str:
    return "yes" if holds else "-"


def _role(survey: Survey, seat: str) -> str:
    members = survey.members
    return "member" if seat in members.seats else "former" if seat in members.former else "learner"


def _plain(survey: Survey, at: Address) -> dict[str, object]:
    report = survey.statuses[at]
    return {
        "store": f"{at[0]}:{at[1]}",
        "seat": report.seat,
        "zone": report.zone,
        "counts": _role(survey, report.seat),
        "change": report.decided.change,
        "generation": _generation(report.decided),
        "holds": report.has_body,
        "list": report.decided.members.number,
        "ballot": report.accepted.count,
        "leaving": report.leaving,
    }


@store.command()
@STORES
@SETTINGS
@JSON
def members(stores: tuple[Address, ...], settings_file: str | None, as_json: bool) -> None:
    """The list of members under its number, who of it answers, and who waits to come in.

    STORES and exit codes as for status.

    Example: irisdeal store members 10.0.0.1:7340 --json
    """
    found = _survey(stores, settings_file)
    seats = [*sorted(found.members.voters()), *found.learners()]
    heard = found.answered()
    if as_json:
        click.echo(
            json.dumps(
                {
                    "list": found.members.number,
                    "settled": not found.members.former,
                    "quorum": found.has_quorum,
                    "bears": found.spare_members(),
                    "seats": [
                        {"seat": seat, "counts": _role(found, seat), "answers": seat in heard}
                        for seat in seats
                    ],
                },
                indent=1,
            )
        )
        _end(found)
    click.echo(
        f"list {found.members.number}, {'a change is under way' if found.members.former else 'settled'}"
    )
    table = _grid("seat", "counts", "answers")
    for seat in seats:
        table.add_row(seat, _role(found, seat), _yes(seat in heard))
    _print(table)
    click.echo(_verdict(found))
    _end(found)


def _look(folder: str) -> FolderContent:
    from irisdeal.config_store.storage.folder import DiskFolder
    from irisdeal.config_store.storage.inspection import inspect_folder

    try:
        return inspect_folder(DiskFolder(folder))
    except OSError as error:
        raise Unusable(f"{folder}: {error.strerror or error}") from None


@store.command()
@FOLDER
@JSON
def history(folder: str, as_json: bool) -> None:
    """The versions in a store's folder, the newest first, and how each stands.

    `decided`: the newest that it knew to be decided; `accepted`: perhaps not decided; `kept`: older, or one that
    lost against another.

    Example: irisdeal store history /var/lib/irisdeal
    """
    disk = _look(folder)
    versions = sorted(disk.versions.items(), key=lambda item: item[1].version_id, reverse=True)
    rows = [
        {
            "generation": f"r{version.version_id.number}",
            "stands": disk.status(version.version_id),
            "bytes": len(version.body),
            "digest": version.version_id.digest.hex(),
            "file": name,
        }
        for name, version in versions
    ]
    state = disk.state
    if as_json:
        told = (
            None
            if state is None
            else {
                "disk": state.disk_id,
                "promised": state.acceptor_state.promised.count,
                "ballot": state.acceptor_state.accepted.count,
                "accepted": _value(state.acceptor_state.value),
                "decided": _value(state.decided),
            }
        )
        click.echo(json.dumps({"kept": told, "versions": rows}, indent=1))
        return
    if state is not None:
        for name, value in (("decided", state.decided), ("accepted", state.acceptor_state.value)):
            click.echo(
                f"{name}: change {value.change}, {_generation(value)}, list {value.members.number}: "
                f"{' '.join(value.members.seats)}"
            )
    table = _grid("generation", "stands", "bytes", "digest")
    for row in rows:
        table.add_row(str(row["generation"]), str(row["stands"]), str(row["bytes"]), str(row["digest"])[:16])
    _print(table)


def _value(value: Value) -> dict[str, object]:
    return {
        "change": value.change,
        "generation": _generation(value),
        "digest": value.version_id.digest.hex(),
        "list": value.members.number,
        "seats": list(value.members.seats),
        "former": list(value.members.former),
    }


@store.command()
@FOLDER
@JSON
def verify(folder: str, as_json: bool) -> None:
    """Whether everything in a store's folder proves itself. Exit code 0, or 1 with what is wrong.

    Example: irisdeal store verify /var/lib/irisdeal
    """
    from irisdeal.config_store.storage.inspection import verify as check

    disk = _look(folder)
    troubles = check(disk)
    if as_json:
        click.echo(
            json.dumps(
                {
                    "versions": len(disk.versions),
                    "good": not troubles,
                    "troubles": [{"file": trouble.peer, "detail": trouble.detail} for trouble in troubles],
                },
                indent=1,
            )
        )
    else:
        for trouble in troubles:
            click.echo(str(trouble))
        click.echo(
            f"{len(disk.versions)} versions are whole" + (f", {len(troubles)} troubles" if troubles else "")
        )
    sys.exit(1 if troubles else 0)


@store.command()
@FOLDER
@click.option("--generation", default=None, metavar="rN", help="Another one than the newest decided.")
@click.option(
    "--to",
    "out",
    type=click.Path(dir_okay=False, path_type=Path),
    default=None,
    metavar="FILE",
    help="Else standard output.",
)
@click.option("--json", "as_json", is_flag=True, help="With --to: what was written, for machines.")
def export(folder: str, generation: str | None, out: Path | None, as_json: bool) -> None:
    """A configuration from a store's folder, byte for byte as the operator sent it.

    Exit code 1 where it is not there. Sent to POST /config/replace again, it is what it was.

    Example: irisdeal store export /var/lib/irisdeal --generation r12 --to r12.json
    """
    from irisdeal.config_store.storage.inspection import find_version, newest_version

    if as_json and out is None:
        raise Unusable("--json: wanted with --to, as standard output is the configuration")
    disk = _look(folder)
    version = newest_version(disk) if generation is None else find_version(disk, generation)
    if version is None:
        click.echo(f"irisdeal: {generation or 'a decided configuration'} is not in {folder}", err=True)
        sys.exit(1)
    told = {
        "generation": f"r{version.version_id.number}",
        "stands": disk.status(version.version_id),
        "bytes": len(version.body),
        "digest": version.version_id.digest.hex(),
    }
    if out is None:
        click.echo(version.body, nl=False)
    else:
        try:
            out.write_bytes(version.body)
        except OSError as error:
            raise Unusable(f"--to {out}: {error.strerror}") from None
        click.echo(
            json.dumps(told, indent=1)
            if as_json
            else f"{told['generation']}, {told['stands']}, {told['bytes']} bytes"
        )


@store.command()
@SETTINGS
@click.option(
    "--yes-lose",
    "given",
    multiple=True,
    metavar="NAME",
    help="A machine or generation that may be given up; again for each.",
)
@click.option("--dry-run", is_flag=True, help="Say what would be done, and change nothing.")
@JSON
def adopt(settings_file: str | None, given: tuple[str, ...], dry_run: bool, as_json: bool) -> None:
    """Begin a new list of members from this machine's disk, where no quorum can be had any more.

    Run it on the core machine whose disk has the newest change (status, history), with its store stopped. It is
    refused (exit code 1) while a quorum can be had, while a store that answers holds something newer, and until
    each machine that does not answer was named with --yes-lose: what those alone hold is given up. Then start the
    store; the others come in by themselves, from empty disks or their own.

    Example: irisdeal store adopt --settings settings.toml --yes-lose 10.0.0.2 --yes-lose 10.0.0.3
    """
    from irisdeal.config_store.membership import adoption
    from irisdeal.config_store.membership.survey import survey
    from irisdeal.config_store.storage.folder import DiskFolder
    from irisdeal.runtime import ports
    from irisdeal.runtime.events import Event, log_event

    settings = _settings(settings_file)
    if not Path(settings.data_path).is_dir():
        raise Unusable(f"data_path {settings.data_path}: wanted the folder of this machine's store")
    disk = _look(settings.data_path)
    planned = adoption.plan(disk, settings.ip)
    ips = {*ports.seeds(settings), settings.ip, *planned.machines}
    found = asyncio.run(survey(ports.address_of(settings, ip, ports.CONFIG_STORE) for ip in ips))
    refused = adoption.refusals(disk, planned, settings.ip, found, given)
    if not refused and not dry_run:
        try:
            adoption.adopt(DiskFolder(settings.data_path), planned)
        except OSError as error:
            raise Unusable(f"{settings.data_path}: {error.strerror or error}") from None
        log_event(
            Event.MEMBERSHIP_ADOPTED,
            seats=" ".join(planned.state.decided.members.seats),
            base=planned.base.change,
        )
    if as_json:
        click.echo(
            json.dumps(
                {
                    "done": not refused and not dry_run,
                    "refused": refused,
                    "begins_from": _value(planned.base),
                    "becomes": _value(planned.state.decided),
                    "gives_up": [*planned.machines, *planned.versions],
                },
                indent=1,
            )
        )
    else:
        for why in refused:
            click.echo(f"irisdeal: refused: {why}", err=True)
        if not refused:
            click.echo(
                f"{'would be' if dry_run else 'is'} list {planned.state.decided.members.number}: "
                f"{planned.state.decided.members.seats[0]} from change {planned.base.change}, "
                f"{_generation(planned.base)}"
            )
    sys.exit(1 if refused else 0)


@click.group(name="almanac", commands=store.commands, hidden=True, deprecated=True)
def deprecated_store() -> None:
    """The former name of `irisdeal store`. Answers with a warning on standard error."""
