"""A new first list, begun by hand from one disk where no quorum can be had any more.

Rules of an adoption:
1. The disk gets another identity, so whatever the old list still sends to the old one is answered by nobody.
2. Its ballot, its change and its list's number lie `LEAP` above all that the old list can have reached: a member
   of the old list that turns up after all hears of it, and follows.
3. It begins from the newest value whose body is on this disk. What it gives up is named, and each name must be
   given back: it is refused where a quorum can still be had, or where a store that answers holds a newer value.
"""

from __future__ import annotations

import secrets
from collections.abc import Collection
from dataclasses import dataclass

from irisdeal.config_store.consensus.acceptor import ID
from irisdeal.config_store.consensus.register import UNKNOWN, AcceptorState, Ballot, Value
from irisdeal.config_store.membership.members import Members, ip_of, seat
from irisdeal.config_store.membership.survey import Survey
from irisdeal.config_store.storage.acceptor_state import AcceptorStateFile, PersistedState
from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.inspection import Disk

LEAP = 1_000_000  # changes and ballots: three years of 760 changes a day
EVERYTHING = "everything"  # what is given up where this disk knows nothing


@dataclass(frozen=True)
class Adoption:
    """What would be written, what it begins from, and the names of what it gives up: machines, generations."""

    state: PersistedState
    base: Value
    machines: tuple[str, ...]
    others: tuple[str, ...]


def plan(disk: Disk, ip: str) -> Adoption:
    """A new first list of this machine alone."""
    known = [*disk.values, UNKNOWN]
    base = max(filter(disk.holds, known), key=lambda value: value.change)
    machines = sorted({ip_of(other) for value in known for other in value.members.voters()} - {ip})
    newer = sorted({f"r{value.version_id.number}" for value in known if value.change > base.change})
    promised = disk.state.kept.promised.count if disk.state is not None else 0
    identity = secrets.token_hex(ID)
    ballot = Ballot(promised + LEAP, seat(ip, identity))
    members = Members(max(value.members.number for value in known) + LEAP, (ballot.seat,))
    value = Value(max(value.change for value in known) + LEAP, base.version_id, members)
    return Adoption(
        PersistedState(identity, AcceptorState(ballot, ballot, value), value),
        base,
        tuple(machines),
        tuple(newer) if base != UNKNOWN else (EVERYTHING,),
    )


def refusals(disk: Disk, adoption: Adoption, ip: str, survey: Survey, given: Collection[str]) -> list[str]:
    """Why it must not be done; `given`: the names that may be lost. Empty where it may."""
    if any(report.ip == ip for report in survey.reports.values()):
        return [f"the store of {ip} runs: stop it first"]
    held = [
        (max(report.value.change, report.decided.change if report.holds else -1), report.seat)
        for report in survey.reports.values()
    ]
    newest = max(held, default=(-1, ""))
    if newest[0] > adoption.base.change:
        return [f"{newest[1]} holds change {newest[0]}, this disk {adoption.base.change}: adopt there"]
    for value in disk.values:
        own = {seat(ip, disk.state.disk)} if disk.state is not None else set()
        if value.members.is_quorum(survey.heard() | own):
            return [f"a quorum of list {value.members.number} can still be had: start the store of {ip}"]
    silent = set(adoption.machines) - {report.ip for report in survey.reports.values()}
    newer = {
        f"r{report.decided.version_id.number}"
        for report in survey.reports.values()
        if report.decided.change > adoption.base.change
    }  # known there, held by nobody who answers
    return [
        f"--yes-lose {name}: wanted, as {why}"
        for names, why in (
            (silent, "it does not answer, and what it alone holds is given up"),
            (newer | set(adoption.others), "it is given up"),
        )
        for name in sorted(names)
        if name not in given
    ]


def adopt(folder: Folder, adoption: Adoption) -> None:
    """Synced when it returns. OSError where the disk refuses."""
    AcceptorStateFile(folder).write(adoption.state)
