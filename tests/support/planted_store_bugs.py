"""Bugs planted in the store, each as one method put in place of another. `squall` days must find every one of
them.

`planted(name)` is the program with that bug while it lasts. Beside each stands what is wrong.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import ExitStack
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
from irisdeal.config_store.peers import now
from irisdeal.config_store.replica import StoreReplica


async def promise_not_synced(self: Acceptor, ballot: Ballot) -> tuple[bool, AcceptorState]:
    """A promise is kept in memory alone."""
    async with self.lock:
        good, self.kept = on_prepare(self.kept, ballot)
        return good, self.kept


async def accept_not_synced(self: Acceptor, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
    """What was accepted is kept in memory alone."""
    async with self.lock:
        if not self.holds(value.version_id):
            return None
        good, self.kept = on_accept(self.kept, ballot, value)
        self._need()
        return good, self.kept.promised


async def accept_after_higher(self: Acceptor, ballot: Ballot, value: Value) -> tuple[bool, Ballot] | None:
    """A ballot is accepted though a higher one was promised."""
    async with self.lock:
        if not self.holds(value.version_id):
            return None
        await self._write(AcceptorState(max(ballot, self.kept.promised), ballot, value))
        return True, self.kept.promised


def old_majority_alone(self: Members, heard: Iterable[str]) -> bool:
    """While the list changes, the old one decides alone."""
    seats = self.former or self.seats
    return len(set(heard) & set(seats)) >= majority(seats)


def learner_counted(self: Members, heard: Iterable[str]) -> bool:
    """Another disk at a member's address counts as the member."""
    ips = set(map(ip_of, heard))
    return all(
        len(ips & set(map(ip_of, seats))) >= majority(seats) for seats in (self.seats, self.former) if seats
    )


async def any_disk_answers(
    self: StoreReplica, seat: str, ballot: list[Any], value: list[Any] | None = None
) -> Any:
    """A prepare or accept for the disk that was here before is answered by the new one."""
    return await VOTE(self, self.acceptor.seat, ballot, value)


async def lease_from_answer(self: StatusRounds, ip: str) -> ReplicaStatus | None:
    """Contact counts from when the answer came."""
    answer = await self.peers.call(ip, "state", self.own_status().encode(), MOST_ANSWER)
    if not isinstance(answer, Success):
        return None
    report = ReplicaStatus.decode(answer.unwrap())
    self.record_status(report)
    self.contact.record_answer(report.seat, now(), report.value.change)
    return report


async def value_unsafe(self: StoreReplica) -> Value | None:
    """The highest value that a majority tells of, decided or not."""
    known, own = self.rounds.members, self.rounds.own_status()
    heard = await asyncio.gather(*(self.rounds.request_status(ip) for ip in sorted(known.ips() - {self.ip})))
    reports = [own, *(report for report in heard if report)]
    is_enough = known.is_quorum(report.seat for report in reports)
    return max(reports, key=lambda report: report.accepted).value if is_enough else None


async def read_alone(self: StoreReplica) -> list[Any]:
    """What this member knows."""
    version = self.acceptor.version(self.force.version_id)
    return [True, version.body if version is not None else None]


async def force_undecided(
    self: StoreReplica, seat: str, ballot: list[Any], value: list[Any] | None = None
) -> Any:
    """What was accepted is in force, before a majority has it."""
    given = await VOTE(self, seat, ballot, value)
    if value is not None and given is not None and given[0]:
        self.force = Value.decode(value)
        self.news.set()
        self.news = asyncio.Event()
    return given


def again_refused(self: Proposer, version_id: VersionId) -> PutOutcome | None:
    """An order that holds is refused when it comes again."""
    held = self.acceptor.decided.version_id
    if held.number < version_id.number:
        return None
    return (
        PutOutcome.OTHER
        if held.number == version_id.number and version_id not in self.orders
        else PutOutcome.CONFIRMED
    )


async def alone_confirmed(self: Proposer, version: ConfigVersion, within: float) -> PutOutcome:
    """An order is confirmed once it is held here."""
    self.tasks.start(PUT(self, version, within))
    return PutOutcome.CONFIRMED if await self.acceptor.save_version(version) else PutOutcome.LATER


def never_woke(self: QuorumContact, moment: float) -> bool:
    """A process that stood still goes on as before."""
    return False


MOST_ANSWER = 10.0  # s: an answer may come after a freeze
VOTE, PUT = StoreReplica._vote, Proposer.put

PLANTED: dict[str, list[tuple[Any, str, Any]]] = {
    "promise not synced": [(Acceptor, "prepare", promise_not_synced)],
    "accept not synced": [(Acceptor, "accept", accept_not_synced)],
    "accept after a higher promise": [(Acceptor, "accept", accept_after_higher)],
    "list changed with the old majority alone": [(Members, "is_quorum", old_majority_alone)],
    "learner counted": [(Members, "is_quorum", learner_counted), (StoreReplica, "_vote", any_disk_answers)],
    "lease from the answer": [
        (StatusRounds, "request_status", lease_from_answer),
        (QuorumContact, "tick", never_woke),
    ],
    "read without making safe": [(StoreReplica, "_heard_value", value_unsafe)],
    "read alone": [(StoreReplica, "read", read_alone)],
    "body in force before decided": [(StoreReplica, "_vote", force_undecided)],
    "an order again refused": [(Proposer, "settled", again_refused)],
    "confirmed alone": [(Proposer, "put", alone_confirmed)],
}


def planted(name: str) -> ExitStack:
    """The program has this bug until the end of the `with`; "nothing": it is as it is."""
    stack = ExitStack()
    for owner, method, instead in PLANTED.get(name, []):
        stack.enter_context(mock.patch.object(owner, method, instead))
    return stack
