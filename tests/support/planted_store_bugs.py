"""Planted bugs of the configuration store, each a replacement for a method; simulated days must detect them.

`planted(name)` is a context in which the program has that bug. The docstring of each replacement describes
it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import replace
from typing import Any
from unittest import mock

from returns.result import Success

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.proposer import Proposer
from irisdeal.config_store.consensus.register import (
    AcceptorState,
    Ballot,
    PutOutcome,
    Value,
    on_accept,
    on_prepare,
)
from irisdeal.config_store.membership.contact import QuorumContact
from irisdeal.config_store.membership.members import Members, ip_of, majority
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.status_rounds import StatusRounds
from irisdeal.config_store.messages import (
    AcceptReply,
    AcceptRequest,
    PrepareReply,
    PrepareRequest,
    ReadReply,
    VersionMissingReply,
)
from irisdeal.config_store.peers import now
from irisdeal.config_store.replica import StoreReplica


async def prepare_not_synced(self: Acceptor, ballot: Ballot) -> tuple[bool, AcceptorState]:
    """A promise is not synced to disk."""
    async with self.write_lock:
        is_granted, self.state = on_prepare(self.state, ballot)
        return is_granted, self.state


async def accept_not_synced(self: Acceptor, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
    """An accepted value is not synced to disk."""
    async with self.write_lock:
        if not self.has_version(value.version_id):
            return None
        is_granted, self.state = on_accept(self.state, ballot, value)
        self._retain_versions()
        return is_granted, self.state.promised


async def accept_after_higher(self: Acceptor, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
    """A ballot is accepted despite a higher promise."""
    async with self.write_lock:
        if not self.has_version(value.version_id):
            return None
        await self._write(AcceptorState(max(ballot, self.state.promised), ballot, value))
        return True, self.state.promised


def old_majority_only(self: Members, replied: Iterable[str]) -> bool:
    """During a membership change, a quorum of the old list suffices."""
    seats = self.former or self.seats
    return len(set(replied) & set(seats)) >= majority(seats)


def learner_counted(self: Members, replied: Iterable[str]) -> bool:
    """Another disk at a member's address counts as the member."""
    ips = set(map(ip_of, replied))
    return all(
        len(ips & set(map(ip_of, seats))) >= majority(seats) for seats in (self.seats, self.former) if seats
    )


async def any_disk_prepares(self: StoreReplica, request: PrepareRequest) -> PrepareReply | None:
    """The new disk replies to a prepare for the former disk at this address."""
    return await PREPARE(self, replace(request, seat=self.acceptor.seat))


async def any_disk_accepts(
    self: StoreReplica, request: AcceptRequest
) -> AcceptReply | VersionMissingReply | None:
    """The new disk replies to an accept for the former disk at this address."""
    return await ACCEPT(self, replace(request, seat=self.acceptor.seat))


async def lease_from_answer(self: StatusRounds, ip: str) -> ReplicaStatus | None:
    """Contact counts from the arrival of the reply, not from the request."""
    result = await self.peers.call(ip, "state", self.own_status().encode(), REPLY_TIMEOUT_S)
    if not isinstance(result, Success):
        return None
    status = ReplicaStatus.decode(result.unwrap())
    self.record_status(status)
    self.contact.record_answer(status.seat, now(), status.value.change)
    return status


async def value_unsafe(self: StoreReplica) -> Value | None:
    """A read returns the highest value that a majority reports, whether decided or not."""
    known, own_status = self.rounds.members, self.rounds.own_status()
    replies = await asyncio.gather(
        *(self.rounds.request_status(ip) for ip in sorted(known.ips() - {self.ip}))
    )
    statuses = [own_status, *(status for status in replies if status)]
    has_quorum = known.is_quorum(status.seat for status in statuses)
    return max(statuses, key=lambda status: status.accepted).value if has_quorum else None


async def read_without_quorum(self: StoreReplica) -> ReadReply:
    """A read returns the applied value of this replica without a quorum."""
    version = self.acceptor.get_version(self.applied.version_id)
    return ReadReply(True, version.body if version is not None else None)


async def undecided_applied(
    self: StoreReplica, request: AcceptRequest
) -> AcceptReply | VersionMissingReply | None:
    """A value is applied once this replica accepts it, before a majority has it."""
    reply = await ACCEPT(self, request)
    if isinstance(reply, AcceptReply) and reply.is_accepted:
        self.applied = request.value
        self.applied_event.set()
        self.applied_event = asyncio.Event()
    return reply


def repeated_put_refused(self: Proposer, version_id: VersionId) -> PutOutcome | None:
    """A repeated put of the decided version is reported as a conflict."""
    decided = self.acceptor.decided.version_id
    if decided.number < version_id.number:
        return None
    return (
        PutOutcome.CONFLICT
        if decided.number == version_id.number and version_id not in self.pending_puts
        else PutOutcome.DECIDED
    )


async def confirmed_without_quorum(self: Proposer, version: ConfigVersion, timeout_s: float) -> PutOutcome:
    """A put is confirmed once this replica alone has stored it."""
    self.tasks.start(PUT(self, version, timeout_s))
    return PutOutcome.DECIDED if await self.acceptor.save_version(version) else PutOutcome.UNDECIDED


def ignores_stalls(self: QuorumContact, now: float) -> bool:
    """A process keeps its contact after a stall."""
    return False


REPLY_TIMEOUT_S = 10.0  # long enough for a reply after a freeze
PREPARE, ACCEPT, PUT = StoreReplica.prepare, StoreReplica.accept, Proposer.put

PLANTED: dict[str, list[tuple[Any, str, Any]]] = {
    "prepare not synced": [(Acceptor, "prepare", prepare_not_synced)],
    "accept not synced": [(Acceptor, "accept", accept_not_synced)],
    "accept after a higher promise": [(Acceptor, "accept", accept_after_higher)],
    "list changed by the old majority only": [(Members, "is_quorum", old_majority_only)],
    "learner counted": [
        (Members, "is_quorum", learner_counted),
        (StoreReplica, "prepare", any_disk_prepares),
        (StoreReplica, "accept", any_disk_accepts),
    ],
    "lease from the answer": [
        (StatusRounds, "request_status", lease_from_answer),
        (QuorumContact, "tick", ignores_stalls),
    ],
    "read without deciding again": [(StoreReplica, "_value_from_statuses", value_unsafe)],
    "read without a quorum": [(StoreReplica, "read", read_without_quorum)],
    "value applied before decided": [(StoreReplica, "accept", undecided_applied)],
    "a repeated put refused": [(Proposer, "known_outcome", repeated_put_refused)],
    "confirmed without a quorum": [(Proposer, "put", confirmed_without_quorum)],
}


def planted(name: str) -> ExitStack:
    """Return a context in which the program has this bug; "nothing" plants none."""
    stack = ExitStack()
    for owner, method, replacement in PLANTED.get(name, []):
        stack.enter_context(mock.patch.object(owner, method, replacement))
    return stack
