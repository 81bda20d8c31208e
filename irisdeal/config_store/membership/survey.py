"""What the stores that run say of themselves, asked once by somebody who is no part of the core."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Success

from irisdeal.config_store.consensus.register import UNKNOWN, Value
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.report import Report
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime.settings import Address

WITHIN = 1.0  # s for an answer: hundreds of times the way there and back


@dataclass(frozen=True)
class Survey:
    """Reports by address, and why there is none."""

    reports: dict[Address, Report]
    silent: dict[Address, str]

    @property
    def decided(self) -> Value:
        """The newest value that anyone knows to be decided; `UNKNOWN` where nobody does."""
        return max(
            (report.decided for report in self.reports.values()),
            key=lambda value: value.change,
            default=UNKNOWN,
        )

    @property
    def members(self) -> Members:
        return self.decided.members

    def heard(self) -> frozenset[str]:
        """The seats that answered."""
        return frozenset(report.seat for report in self.reports.values())

    @property
    def has_quorum(self) -> bool:
        return self.members.is_quorum(self.heard())

    def can_lose(self) -> int:
        """How many more members may be lost before no quorum lives; -1 where none does."""
        lists = [seats for seats in (self.members.seats, self.members.former) if seats]
        return max(
            -1, min((len(self.heard() & set(seats)) - len(seats) // 2 - 1 for seats in lists), default=-1)
        )

    def learners(self) -> list[str]:
        return sorted(self.heard() - self.members.voters())


async def ask(address: Address) -> Report | str:
    """One store's report, or in words why there is none."""
    link = RpcClient(address, "irisdeal almanac")
    try:
        answer = await link.call("state", None, WITHIN)
        return Report.decode(answer.unwrap()) if isinstance(answer, Success) else answer.failure().detail
    except (ValueError, TypeError) as error:
        return f"its answer is no report: {error}"
    finally:
        link.close()


async def survey(addresses: Iterable[Address]) -> Survey:
    """These stores, and at the same ports all members that they name."""
    asked: dict[Address, Report | str] = {}
    waiting = set(addresses)
    ports = {port for _, port in waiting}
    while waiting:
        answers = await asyncio.gather(*(ask(address) for address in sorted(waiting)))
        asked.update(zip(sorted(waiting), answers, strict=True))
        ips = {
            ip
            for report in asked.values()
            if isinstance(report, Report)
            for ip in report.decided.members.ips() | {report.ip}
        }
        waiting = {(ip, port) for ip in ips for port in ports} - set(asked)
    return Survey(
        {address: report for address, report in asked.items() if isinstance(report, Report)},
        {address: why for address, why in asked.items() if isinstance(why, str)},
    )
