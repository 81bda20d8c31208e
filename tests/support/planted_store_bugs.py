"""Bugs planted in the configuration store, each as a method in place of another; simulated days must find
them.

`planted(name)` is a context in which the program has that bug. The docstring of each method says what is
wrong.
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
    """A promise is in memory only."""
    async with self.write_lock:
        is_granted, self.state = on_prepare(self.state, ballot)
        return is_granted, self.state


async def accept_not_synced(self: Acceptor, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
    """An accepted value is in memory only."""
    async with self.write_lock:
        if not self.has_version(value.version_id):
            return None
        is_granted, self.state = on_accept(self.state, ballot, value)
        self._retain_versions()
        return is_granted, self.state.promised


async def accept_after_higher(self: Acceptor, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
    """A ballot is accepted although a higher one was promised."""
    async with self.write_lock:
        if not self.has_version(value.version_id):
            return None
        await self._write(AcceptorState(max(ballot, self.state.promised), ballot, value))
        return True, self.state.promised


def old_majority_only(self: Members, answered: Iterable[str]) -> bool:
    """During a membership change, a quorum of the old list suffices."""
    seats = self.former or self.seats
    return len(set(answered) & set(seats)) >= majority(seats)


def learner_counted(self: Members, answered: Iterable[str]) -> bool:
    """Another disk at a member's address counts as the member."""
    ips = set(map(ip_of, answered))
    return all(
        len(ips & set(map(ip_of, seats))) >= majority(seats) for seats in (self.seats, self.former) if seats
    )


async def any_disk_prepares(self: StoreReplica, request: PrepareRequest) -> PrepareReply | None:
    """A prepare for the disk that was here before is answered by the new one."""
    return await PREPARE(self, replace(request, seat=self.acceptor.seat))


async def any_disk_accepts(
    self: StoreReplica, request: AcceptRequest
) -> AcceptReply | VersionMissingReply | None:
    """An accept for the disk that was here before is answered by the new one."""
    return await ACCEPT(self, replace(request, seat=self.acceptor.seat))


async def lease_from_answer(self: StatusRounds, ip: str) -> ReplicaStatus | None:
    """Contact counts from the arrival of the answer, not from the request."""
    answer = await self.peers.call(ip, "state", self.own_status().encode(), MOST_ANSWER)
    if not isinstance(answer, Success):
        return None
    report = ReplicaStatus.decode(answer.unwrap())
    self.record_status(report)
    self.contact.record_answer(report.seat, now(), report.value.change)
    return report


async def value_unsafe(self: StoreReplica) -> Value | None:
    """A read returns the highest value that a majority reports, decided or not."""
    known, own = self.rounds.members, self.rounds.own_status()
    answered = await asyncio.gather(
        *(self.rounds.request_status(ip) for ip in sorted(known.ips() - {self.ip}))
    )
    reports = [own, *(report for report in answered if report)]
    is_enough = known.is_quorum(report.seat for report in reports)
    return max(reports, key=lambda report: report.accepted).value if is_enough else None


async def read_without_quorum(self: StoreReplica) -> ReadReply:
    """A read returns what this replica knows, without asking a quorum."""
    version = self.acceptor.get_version(self.applied.version_id)
    return ReadReply(True, version.body if version is not None else None)


async def undecided_applied(
    self: StoreReplica, request: AcceptRequest
) -> AcceptReply | VersionMissingReply | None:
    """A value is applied once it is accepted here, before a majority has it."""
    reply = await ACCEPT(self, request)
    if isinstance(reply, AcceptReply) and reply.is_accepted:
        self.applied = request.value
        self.applied_event.set()
        self.applied_event = asyncio.Event()
    return reply


def repeated_put_refused(self: Proposer, version_id: VersionId) -> PutOutcome | None:
    """A put of what is decided is answered as a conflict when it is repeated."""
    decided = self.acceptor.decided.version_id
    if decided.number < version_id.number:
        return None
    return (
        PutOutcome.CONFLICT
        if decided.number == version_id.number and version_id not in self.pending_puts
        else PutOutcome.DECIDED
    )


async def confirmed_without_quorum(self: Proposer, version: ConfigVersion, within: float) -> PutOutcome:
    """A put is confirmed once this replica has stored it."""
    self.tasks.start(PUT(self, version, within))
    return PutOutcome.DECIDED if await self.acceptor.save_version(version) else PutOutcome.UNDECIDED


def never_woke(self: QuorumContact, moment: float) -> bool:
    """A process that was suspended keeps its contact."""
    return False


MOST_ANSWER = 10.0  # s: an answer may come after a freeze
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
        (QuorumContact, "tick", never_woke),
    ],
    "read without deciding again": [(StoreReplica, "_value_from_statuses", value_unsafe)],
    "read without a quorum": [(StoreReplica, "read", read_without_quorum)],
    "value applied before decided": [(StoreReplica, "accept", undecided_applied)],
    "a repeated put refused": [(Proposer, "known_outcome", repeated_put_refused)],
    "confirmed without a quorum": [(Proposer, "put", confirmed_without_quorum)],
}


def planted(name: str) -> ExitStack:
    """Return a context in which the program has this bug; "nothing": the program as it is."""
    stack = ExitStack()
    for owner, method, instead in PLANTED.get(name, []):
        stack.enter_context(mock.patch.object(owner, method, instead))
    return stack
