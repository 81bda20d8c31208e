"""Which value the statuses of several replicas show to be decided. No input or output here."""

from __future__ import annotations

from collections.abc import Iterable

from irisdeal.config_store.consensus.register import Ballot, Value
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus


def decided_among(statuses: Iterable[ReplicaStatus]) -> Value | None:
    """Return the newest value that a quorum of its own list accepted in one ballot; None where there is none.

    That a replica accepted a ballot stays true, so statuses of different moments may be combined.
    """
    acceptors: dict[tuple[Ballot, Value], set[str]] = {}
    for status in statuses:
        acceptors.setdefault((status.accepted, status.value), set()).add(status.seat)
    decided = [value for (_, value), seats in acceptors.items() if value.members.is_quorum(seats)]
    return max(decided, key=lambda value: value.change, default=None)


def value_for_read(statuses: Iterable[ReplicaStatus], known: Members) -> Value | None:
    """Return what a linearizable read answers: the newest decided value.

    Args:
        statuses: all requested after the read began.
        known: the newest list of members that the reader knows.

    Returns:
        None where too few answered, or where a ballot is needed first: the highest accepted value is not shown to
        be decided, and may yet be decided, or lost.
    """
    answers = list(statuses)
    if not known.is_quorum(status.seat for status in answers):
        return None
    highest = max(status.accepted for status in answers)
    return decided_among(status for status in answers if status.accepted == highest)
