"""A new first list, begun by hand from one disk where no quorum can be had any more.

Rules of an adoption:

1. The disk gets another identity, so whatever the old list still sends to the old one is answered by nobody.
2. Its ballot, its change and its list's number lie `LEAP` above all that the old list can have reached: a member of
   the old list that comes back after all learns of it, and follows.
3. It begins from the newest value whose body is on this disk. What it gives up is named, and each name must be
   confirmed by the operator. It is refused where a quorum can still be had, or where a store that answers has a
   newer value.
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

LEAP = 1_000_000  # changes and ballots: three years of 760 changes a day
CONFIRM_EVERYTHING = "everything"  # the name of what is given up where this disk knows nothing


@dataclass(frozen=True)
class Adoption:
    """A planned adoption.

    Attributes:
        state: what would be written to the disk.
        base: the value from which the new list begins.
        machines: addresses of the members that would be given up.
        versions: versions of the configuration that would be given up, as `r12`.
    """

    state: PersistedState
    base: Value
    machines: tuple[str, ...]
    versions: tuple[str, ...]


def plan_adoption(disk: FolderContent, ip: str) -> Adoption:
    """Return the adoption of a new first list that is this machine alone.

    Args:
        disk: what is on its disk.
        ip: its address.
    """
    known = [*disk.values, UNKNOWN_VALUE]
    base = max(filter(disk.has_version_of, known), key=lambda value: value.change)
    machines = sorted({ip_of(other) for value in known for other in value.members.voters()} - {ip})
    newer = sorted({_version_name(value) for value in known if value.change > base.change})
    last_ballot = disk.state.acceptor_state.promised.count if disk.state is not None else 0
    identity = secrets.token_hex(DISK_ID_BYTES)
    ballot = Ballot(last_ballot + LEAP, format_seat(ip, identity))
    members = Members(max(value.members.number for value in known) + LEAP, (ballot.seat,))
    value = Value(max(value.change for value in known) + LEAP, base.version_id, members)
    return Adoption(
        PersistedState(identity, AcceptorState(ballot, ballot, value), value),
        base,
        tuple(machines),
        tuple(newer) if base != UNKNOWN_VALUE else (CONFIRM_EVERYTHING,),
    )


def refusal_reasons(
    disk: FolderContent, adoption: Adoption, ip: str, survey: Survey, confirmed: Collection[str]
) -> list[str]:
    """Return why the adoption must not be done, in words for the operator; empty where it may be done.

    Args:
        disk: what is on this machine's disk.
        adoption: what is planned.
        ip: this machine's address.
        survey: the stores that answer.
        confirmed: the names that the operator agreed to lose.
    """
    statuses = survey.statuses.values()
    if any(status.ip == ip for status in statuses):
        return [f"the store of {ip} runs: stop it first"]
    newest_change, newest_seat = max(map(_newest_body, statuses), default=(-1, ""))
    if newest_change > adoption.base.change:
        return [f"{newest_seat} holds change {newest_change}, this disk {adoption.base.change}: adopt there"]
    own = {format_seat(ip, disk.state.disk_id)} if disk.state is not None else set()
    for value in disk.values:
        if value.members.is_quorum(survey.answered() | own):
            return [f"a quorum of list {value.members.number} can still be had: start the store of {ip}"]
    unreachable = set(adoption.machines) - {status.ip for status in statuses}
    # Stores that answer know of these, and none of them has the body.
    newer = {
        _version_name(status.decided) for status in statuses if status.decided.change > adoption.base.change
    }
    return [
        *_unconfirmed(unreachable, "it does not answer, and what it alone holds is given up", confirmed),
        *_unconfirmed(newer | set(adoption.versions), "it is given up", confirmed),
    ]


def _version_name(value: Value) -> str:
    return f"r{value.version_id.number}"


def _newest_body(status: ReplicaStatus) -> tuple[int, str]:
    """Return the newest change whose body the replica has, or that it accepted; and its seat."""
    decided = status.decided.change if status.has_body else -1
    return max(status.value.change, decided), status.seat


def _unconfirmed(names: Iterable[str], why: str, confirmed: Collection[str]) -> list[str]:
    return [f"--yes-lose {name}: wanted, as {why}" for name in sorted(names) if name not in confirmed]


def adopt(folder: Folder, adoption: Adoption) -> None:
    """Write the new list, synced when this returns. Raises OSError where the disk refuses."""
    AcceptorStateFile(folder).write(adoption.state)
