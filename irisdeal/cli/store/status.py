"""`irisdeal store status` and `members`: the status of running replicas."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

import click

from irisdeal.cli.store.options import JSON, SETTINGS, STORES, read_settings
from irisdeal.cli.store.output import generation_of, print_json, print_table

if TYPE_CHECKING:
    from irisdeal.config_store.membership.messages import ReplicaStatus
    from irisdeal.config_store.membership.survey import Survey
    from irisdeal.runtime.settings import Address, Settings

STATUS_COLUMNS = (
    "store",
    "seat",
    "zone",
    "counts",
    "change",
    "generation",
    "holds",
    "list",
    "ballot",
    "leaving",
)


@click.command()
@STORES
@SETTINGS
@JSON
def status(stores: tuple[Address, ...], settings_file: str | None, as_json: bool) -> None:
    """Show the state of each replica, and whether a quorum answers.

    STORES are ip:port of any replicas, with the first port of `port_range`; by default the seeds of the
    settings. One that answers is enough: it names the others. Exit code 0 with a quorum, 1 without, 2 if no
    replica answered.

    Example: irisdeal store status 10.0.0.1:7340
    """
    survey = _survey(stores, settings_file)
    if as_json:
        print_json(_status_as_json(survey))
    else:
        _print_status(survey)
    _exit_with_quorum_status(survey)


@click.command()
@STORES
@SETTINGS
@JSON
def members(stores: tuple[Address, ...], settings_file: str | None, as_json: bool) -> None:
    """Show the numbered list of members, which of them answer, and which learners are waiting to join.

    STORES and exit codes as for status.

    Example: irisdeal store members 10.0.0.1:7340 --json
    """
    survey = _survey(stores, settings_file)
    if as_json:
        print_json(_members_as_json(survey))
    else:
        _print_members(survey)
    _exit_with_quorum_status(survey)


def _survey(stores: tuple[Address, ...], settings_file: str | None) -> Survey:
    from irisdeal.config_store.membership.survey import survey

    return asyncio.run(survey(stores or _seeds(read_settings(settings_file))))


def _seeds(settings: Settings) -> list[Address]:
    """Return the stores of the seeds, and of this machine where it has one."""
    from irisdeal.runtime import ports

    ips = [*ports.seeds(settings), *([settings.ip] if settings.data_path else [])]
    return [ports.address_of(settings, ip, ports.CONFIG_STORE) for ip in ips]


def _exit_with_quorum_status(survey: Survey) -> None:
    """Exit with code 0 with a quorum, 1 without, 2 if no replica answered."""
    if not survey.statuses:
        sys.exit(2)
    sys.exit(0 if survey.has_quorum else 1)


def _status_as_json(survey: Survey) -> dict[str, object]:
    return {
        "change": survey.decided.change,
        "generation": generation_of(survey.decided),
        "list": survey.members.number,
        "quorum": survey.has_quorum,
        "bears": survey.spare_members(),
        "stores": [
            _replica_as_json(survey, address, replica) for address, replica in sorted(survey.statuses.items())
        ],
        "silent": {_format_address(address): reason for address, reason in sorted(survey.failures.items())},
    }


def _replica_as_json(survey: Survey, address: Address, replica: ReplicaStatus) -> dict[str, object]:
    return {
        "store": _format_address(address),
        "seat": replica.seat,
        "zone": replica.zone,
        "counts": _role(survey, replica.seat),
        "change": replica.decided.change,
        "generation": generation_of(replica.decided),
        "holds": replica.has_body,
        "list": replica.decided.members.number,
        "ballot": replica.accepted.count,
        "leaving": replica.is_leaving,
    }


def _print_status(survey: Survey) -> None:
    rows = [_status_row(survey, address, replica) for address, replica in sorted(survey.statuses.items())]
    print_table(STATUS_COLUMNS, rows)
    for address, reason in sorted(survey.failures.items()):
        click.echo(f"{_format_address(address)}: {reason}")
    click.echo(_quorum_summary(survey))


def _status_row(survey: Survey, address: Address, replica: ReplicaStatus) -> list[str]:
    return [
        _format_address(address),
        replica.seat,
        replica.zone,
        _role(survey, replica.seat),
        str(replica.decided.change),
        generation_of(replica.decided),
        _format_flag(replica.has_body),
        str(replica.decided.members.number),
        str(replica.accepted.count),
        _format_flag(replica.is_leaving),
    ]


def _members_as_json(survey: Survey) -> dict[str, object]:
    answered = survey.answered()
    return {
        "list": survey.members.number,
        "settled": not survey.members.former,
        "quorum": survey.has_quorum,
        "bears": survey.spare_members(),
        "seats": [
            {"seat": seat, "counts": _role(survey, seat), "answers": seat in answered}
            for seat in _seats(survey)
        ],
    }


def _print_members(survey: Survey) -> None:
    state = "a change is under way" if survey.members.former else "settled"
    click.echo(f"list {survey.members.number}, {state}")
    answered = survey.answered()
    rows = [[seat, _role(survey, seat), _format_flag(seat in answered)] for seat in _seats(survey)]
    print_table(("seat", "counts", "answers"), rows)
    click.echo(_quorum_summary(survey))


def _seats(survey: Survey) -> list[str]:
    return [*sorted(survey.members.voters()), *survey.learners()]


def _role(survey: Survey, seat: str) -> str:
    if seat in survey.members.seats:
        return "member"
    return "former" if seat in survey.members.former else "learner"


def _quorum_summary(survey: Survey) -> str:
    spare = survey.spare_members()
    if spare < 0:
        return "no quorum: no reads or writes are possible"
    return f"a quorum answers; it bears the loss of {spare} more"


def _format_flag(is_set: bool) -> str:
    return "yes" if is_set else "-"


def _format_address(address: Address) -> str:
    ip, port = address
    return f"{ip}:{port}"
