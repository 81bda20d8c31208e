"""Requests the status of all running stores once, from a process that is not a replica."""

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

STATUS_TIMEOUT_S = 1.0  # for a reply: hundreds of round trips
CLIENT_NAME = "irisdeal almanac"  # client name on the connection, fixed across releases


@dataclass(frozen=True)
class Survey:
    """Replies of the surveyed stores.

    Attributes:
        statuses: the status of each store that replied, by address.
        failures: the error for each store that did not, by address.
    """

    statuses: dict[Address, ReplicaStatus]
    failures: dict[Address, str]

    @property
    def decided(self) -> Value:
        """The newest decided value in any status; `UNKNOWN_VALUE` if there is none."""
        return max(
            (status.decided for status in self.statuses.values()),
            key=lambda value: value.change,
            default=UNKNOWN_VALUE,
        )

    @property
    def members(self) -> Members:
        """The newest decided member list in any status."""
        return self.decided.members

    def answered(self) -> frozenset[str]:
        """Return the seats that replied."""
        return frozenset(status.seat for status in self.statuses.values())

    @property
    def has_quorum(self) -> bool:
        """Whether a quorum of the newest member list replied."""
        return self.members.is_quorum(self.answered())

    def spare_members(self) -> int:
        """Return how many more members may be lost while a quorum remains; -1 if there is none now."""
        answered = self.answered()
        lists = [seats for seats in (self.members.seats, self.members.former) if seats]
        spare = min((len(answered & set(seats)) - majority(seats) for seats in lists), default=-1)
        return max(-1, spare)

    def learners(self) -> list[str]:
        """Return the seats that replied and are not members, sorted."""
        return sorted(self.answered() - self.members.voters())


async def request_status(address: Address) -> Result[ReplicaStatus, str]:
    """Request one store's status; a failure holds the error text."""
    client = RpcClient(address, CLIENT_NAME)
    try:
        result = await client.call("state", None, STATUS_TIMEOUT_S)
        if isinstance(result, Success):
            return Success(ReplicaStatus.decode(result.unwrap()))
        return Failure(result.failure().detail)
    except (ValueError, TypeError) as error:
        return Failure(f"malformed status: {error}")
    finally:
        client.close()


async def survey(addresses: Iterable[Address]) -> Survey:
    """Survey these stores, and all members named in their replies at the same ports."""
    statuses: dict[Address, ReplicaStatus] = {}
    failures: dict[Address, str] = {}
    pending = set(addresses)
    ports = {port for _, port in pending}
    while pending:
        batch = sorted(pending)
        results = await asyncio.gather(*map(request_status, batch))
        for address, result in zip(batch, results, strict=True):
            if isinstance(result, Success):
                statuses[address] = result.unwrap()
            else:
                failures[address] = result.failure()
        ips = {ip for status in statuses.values() for ip in status.decided.members.ips() | {status.ip}}
        named = {(ip, port) for ip in ips for port in ports}
        pending = named - set(statuses) - set(failures)
    return Survey(statuses, failures)
