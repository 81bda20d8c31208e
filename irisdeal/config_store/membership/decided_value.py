"""Derives decided values from the statuses of several replicas. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from irisdeal.config_store.consensus.register import Ballot, Value
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus


def decided_among(statuses: Iterable[ReplicaStatus]) -> Value | None:
    """Return the newest value that a quorum of its own member list accepted in one ballot; None if there is none.

    An accepted ballot is never undone, so statuses of different times may be combined.
    """
    acceptors: dict[tuple[Ballot, Value], set[str]] = {}
    for status in statuses:
        acceptors.setdefault((status.accepted, status.value), set()).add(status.seat)
    decided = [value for (_, value), seats in acceptors.items() if value.members.is_quorum(seats)]
    return max(decided, key=lambda value: value.change, default=None)


def value_for_read(statuses: Iterable[ReplicaStatus], known: Members) -> Value | None:
    """Return the newest decided value for a linearizable read.

    Args:
        statuses: statuses that were all requested after the read began.
        known: the newest member list that the reader has learned as decided.

    Returns:
        None without a quorum of replies, or if a ballot is needed first: the statuses do not show that the highest
        accepted value is decided, so it may still be decided or discarded.
    """
    replies = list(statuses)
    if not known.is_quorum(status.seat for status in replies):
        return None
    highest = max(status.accepted for status in replies)
    return decided_among(status for status in replies if status.accepted == highest)
