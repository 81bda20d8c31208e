"""`irisdeal store adopt`: a new member list from this machine's disk after a permanent loss of the quorum."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from irisdeal.cli.store.options import JSON, SETTINGS, UsageError, read_folder, read_settings
from irisdeal.cli.store.output import generation_of, print_json, value_as_json

if TYPE_CHECKING:
    from irisdeal.config_store.membership.adoption import Adoption
    from irisdeal.config_store.membership.survey import Survey
    from irisdeal.runtime.settings import Settings


@click.command()
@SETTINGS
@click.option(
    "--yes-lose",
    "confirmed",
    multiple=True,
    metavar="NAME",
    help="A machine or generation whose loss is accepted; may be repeated.",
)
@click.option("--dry-run", is_flag=True, help="Print what would be done, and change nothing.")
@JSON
def adopt(settings_file: str | None, confirmed: tuple[str, ...], dry_run: bool, as_json: bool) -> None:
    """Start a new list of members from this machine's disk after a permanent loss of the quorum.

    Run it on the core machine whose disk has the newest change (status, history), with its store stopped. It
    is refused (exit code 1) while a quorum is possible, while a store that answers has newer data, and until
    each machine that does not answer is named with --yes-lose: data that only those have is lost. Then start
    the store; the others join automatically, with empty disks or their own.

    Example: irisdeal store adopt --settings settings.toml --yes-lose 10.0.0.2 --yes-lose 10.0.0.3
    """
    from irisdeal.config_store.membership import adoption

    settings = read_settings(settings_file)
    if not Path(settings.data_path).is_dir():
        raise UsageError(f"data_path {settings.data_path}: wanted the folder of this machine's store")
    content = read_folder(settings.data_path)
    planned = adoption.plan_adoption(content, settings.ip)
    survey = _survey(settings, planned)
    refusals = adoption.refusal_reasons(content, planned, settings.ip, survey, confirmed)
    is_done = not refusals and not dry_run
    if is_done:
        _write(settings, planned)
    if as_json:
        print_json(_as_json(planned, refusals, is_done))
    else:
        _print(planned, refusals, is_done)
    sys.exit(1 if refusals else 0)


def _survey(settings: Settings, planned: Adoption) -> Survey:
    """Query the stores of all known machines."""
    from irisdeal.config_store.membership.survey import survey
    from irisdeal.runtime import ports

    ips = {*ports.seeds(settings), settings.ip, *planned.machines}
    return asyncio.run(survey(ports.address_of(settings, ip, ports.CONFIG_STORE) for ip in ips))


def _write(settings: Settings, planned: Adoption) -> None:
    """Write the new list to the disk, synced. Raises `UsageError` if the write fails."""
    from irisdeal.config_store.membership import adoption
    from irisdeal.config_store.storage.folder import DiskFolder
    from irisdeal.runtime.events import Event, log_event

    try:
        adoption.adopt(DiskFolder(settings.data_path), planned)
    except OSError as error:
        raise UsageError(f"{settings.data_path}: {error.strerror or error}") from None
    seats = " ".join(planned.state.decided.members.seats)
    log_event(Event.MEMBERSHIP_ADOPTED, seats=seats, base=planned.base.change)


def _as_json(planned: Adoption, refusals: list[str], is_done: bool) -> dict[str, object]:
    return {
        "done": is_done,
        "refused": refusals,
        "begins_from": value_as_json(planned.base),
        "becomes": value_as_json(planned.state.decided),
        "gives_up": [*planned.machines, *planned.versions],
    }


def _print(planned: Adoption, refusals: list[str], is_done: bool) -> None:
    for refusal in refusals:
        click.echo(f"irisdeal: refused: {refusal}", err=True)
    if refusals:
        return
    members = planned.state.decided.members
    click.echo(
        f"{'is' if is_done else 'would be'} list {members.number}: {members.seats[0]} "
        f"from change {planned.base.change}, {generation_of(planned.base)}"
    )
