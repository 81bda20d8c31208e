"""The status of all stores that run, requested once by somebody who is no replica."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from irisdeal.config_store.consensus.register import UNKNOWN_VALUE, Value
from irisdeal.config_store.membership.members import Members, majority
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime.settings import Address

TIMEOUT_S = 1.0  # for an answer: hundreds of round trips
CLIENT_NAME = "irisdeal almanac"  # what stores of all releases are told of who asks


@dataclass(frozen=True)
class Survey:
    """Answers of stores.

    Attributes:
        statuses: the status of each store that answered, by address.
        failures: why there is none of each other store, by address.
    """

    statuses: dict[Address, ReplicaStatus]
    failures: dict[Address, str]

    @property
    def decided(self) -> Value:
        """The newest value that any store knows to be decided; `UNKNOWN_VALUE` where none does."""
        return max(
            (status.decided for status in self.statuses.values()),
            key=lambda value: value.change,
            default=UNKNOWN_VALUE,
        )

    @property
    def members(self) -> Members:
        """The newest list of members that any store knows."""
        return self.decided.members

    def answered(self) -> frozenset[str]:
        """Return the seats that answered."""
        return frozenset(status.seat for status in self.statuses.values())

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum of the newest list answered."""
        return self.members.is_quorum(self.answered())

    def spare_members(self) -> int:
        """Return how many more members may be lost before there is no quorum; -1 where there is none now."""
        answered = self.answered()
        lists = [seats for seats in (self.members.seats, self.members.former) if seats]
        spare = min((len(answered & set(seats)) - majority(seats) for seats in lists), default=-1)
        return max(-1, spare)

    def learners(self) -> list[str]:
        """Return the seats that answered and are no members."""
        return sorted(self.answered() - self.members.voters())


async def request_status(address: Address) -> Result[ReplicaStatus, str]:
    """Request one store's status. A failure says why there is none."""
    client = RpcClient(address, CLIENT_NAME)
    try:
        answer = await client.call("state", None, TIMEOUT_S)
        if isinstance(answer, Success):
            return Success(ReplicaStatus.decode(answer.unwrap()))
        return Failure(answer.failure().detail)
    except (ValueError, TypeError) as error:
        return Failure(f"its answer is no report: {error}")
    finally:
        client.close()


async def survey(addresses: Iterable[Address]) -> Survey:
    """Ask these stores, and at the same ports all members that they name."""
    statuses: dict[Address, ReplicaStatus] = {}
    failures: dict[Address, str] = {}
    waiting = set(addresses)
    ports = {port for _, port in waiting}
    while waiting:
        asked = sorted(waiting)
        answers = await asyncio.gather(*map(request_status, asked))
        for address, answer in zip(asked, answers, strict=True):
            if isinstance(answer, Success):
                statuses[address] = answer.unwrap()
            else:
                failures[address] = answer.failure()
        ips = {ip for status in statuses.values() for ip in status.decided.members.ips() | {status.ip}}
        named = {(ip, port) for ip in ips for port in ports}
        waiting = named - set(statuses) - set(failures)
    return Survey(statuses, failures)
