"""Disaster recovery: an operator begins a new member list from one disk after the quorum is permanently lost.

Rules of an adoption:

1. The disk gets a new identity, so that requests of the old list to the old identity are not answered.
2. Its ballot, change and list number are `NUMBER_GAP` above any that the old list can have reached, so that a
   member of the old list that returns learns the new list and follows it.
3. It starts from the newest value whose body is on this disk. The data that is given up is listed, and the operator
   must confirm each item. The adoption is refused while a quorum is still possible, or if a store that replies has
   a newer value.
"""

from __future__ import annotations

import secrets
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from irisdeal.config_store.consensus.acceptor import DISK_ID_BYTES
from irisdeal.config_store.consensus.register import UNKNOWN_VALUE, AcceptorState, Ballot, Value
from irisdeal.config_store.membership.members import Members, format_seat, ip_of
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.survey import Survey
from irisdeal.config_store.storage.acceptor_state import AcceptorStateFile, PersistedState
from irisdeal.config_store.storage.folder import Folder
from irisdeal.config_store.storage.inspection import FolderContent

NUMBER_GAP = 1_000_000  # in changes, ballots and list numbers: over three years at 760 changes a day
CONFIRM_EVERYTHING = "everything"  # the item to confirm if this disk has no usable state


@dataclass(frozen=True)
class Adoption:
    """A planned adoption.

    Attributes:
        state: the state to write to the disk.
        base: the value from which the new list starts.
        machines: addresses of the members that are given up.
        versions: configuration versions that are given up, such as `r12`.
    """

    state: PersistedState
    base: Value
    machines: tuple[str, ...]
    versions: tuple[str, ...]


def plan_adoption(disk: FolderContent, ip: str) -> Adoption:
    """Plan the adoption of a new member list that consists of this machine alone.

    Args:
        disk: the content of this machine's disk.
        ip: the address of this machine.
    """
    known_values = [*disk.values, UNKNOWN_VALUE]
    base = max(filter(disk.has_version_of, known_values), key=lambda value: value.change)
    machines = sorted({ip_of(other) for value in known_values for other in value.members.voters()} - {ip})
    newer = sorted({_version_name(value) for value in known_values if value.change > base.change})
    last_ballot = disk.state.acceptor_state.promised.count if disk.state is not None else 0
    identity = secrets.token_hex(DISK_ID_BYTES)
    ballot = Ballot(last_ballot + NUMBER_GAP, format_seat(ip, identity))
    members = Members(max(value.members.number for value in known_values) + NUMBER_GAP, (ballot.seat,))
    value = Value(max(value.change for value in known_values) + NUMBER_GAP, base.version_id, members)
    return Adoption(
        PersistedState(identity, AcceptorState(ballot, ballot, value), value),
        base,
        tuple(machines),
        tuple(newer) if base != UNKNOWN_VALUE else (CONFIRM_EVERYTHING,),
    )


def refusal_reasons(
    disk: FolderContent, adoption: Adoption, ip: str, survey: Survey, confirmed: Collection[str]
) -> list[str]:
    """Return the reasons to refuse the adoption, as messages for the operator; empty if it is allowed.

    Args:
        disk: the content of this machine's disk.
        adoption: the planned adoption.
        ip: the address of this machine.
        survey: the replies of the running stores.
        confirmed: the items that the operator agreed to lose.
    """
    statuses = survey.statuses.values()
    if any(status.ip == ip for status in statuses):
        return [f"the store of {ip} runs: stop it first"]
    newest_change, newest_seat = max(map(_newest_body, statuses), default=(-1, ""))
    if newest_change > adoption.base.change:
        return [
            f"{newest_seat} has change {newest_change}, this disk has {adoption.base.change}: adopt there"
        ]
    own_seats = {format_seat(ip, disk.state.disk_id)} if disk.state is not None else set()
    for value in disk.values:
        if value.members.is_quorum(survey.answered() | own_seats):
            return [f"a quorum of list {value.members.number} can still be had: start the store of {ip}"]
    unreachable = set(adoption.machines) - {status.ip for status in statuses}
    # Versions that replying stores report as decided, while none of them has the body.
    newer = {
        _version_name(status.decided) for status in statuses if status.decided.change > adoption.base.change
    }
    return [
        *_unconfirmed(unreachable, "it does not reply, and data that only it has is lost", confirmed),
        *_unconfirmed(newer | set(adoption.versions), "it is lost", confirmed),
    ]


def _version_name(value: Value) -> str:
    return f"r{value.version_id.number}"


def _newest_body(status: ReplicaStatus) -> tuple[int, str]:
    """Return the newest change that the replica accepted or whose body it has, and the seat."""
    decided = status.decided.change if status.has_body else -1
    return max(status.value.change, decided), status.seat


def _unconfirmed(names: Iterable[str], why: str, confirmed: Collection[str]) -> list[str]:
    return [f"--yes-lose {name} is required: {why}" for name in sorted(names) if name not in confirmed]


def adopt(folder: Folder, adoption: Adoption) -> None:
    """Write and sync the new state. Raises OSError if the disk fails."""
    AcceptorStateFile(folder).write(adoption.state)
