"""What a member hears of the others: asked in each round, whoever is silent is waited for beside it.

So it knows whether it has contact with a majority, what is decided, and who may come to count or has gone. What
takes a disk's time or a ballot's goes on beside the rounds, one such chore at a time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from returns.result import Success

from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.proposer import BALLOT, Proposer
from irisdeal.config_store.consensus.register import NO_BALLOT, UNKNOWN, Value, set_members
from irisdeal.config_store.membership.contact import Contact
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.reconfiguration import MembershipMonitor, Wanted
from irisdeal.config_store.membership.report import Report, decided_among
from irisdeal.config_store.peers import Peers, now
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

ROUND = 0.5  # s between two rounds; what was missed is here within two of them
SEEKING = 0.12  # s between them without contact
SETTLE = (
    0.3  # s, to twice that: so long may a value be accepted and not known as decided, then a ballot ends it
)
ANSWER = 0.35  # s for a short answer of another machine: hundreds of times the way there and back
SOON = 0.02  # s that a round waits for the answers of those that are well: a few ways there and back
Learn = Callable[[Value, list[str]], None]  # this value is decided, its body is at these machines


class StatusRounds:
    """One member's view of the others."""

    def __init__(
        self,
        settings: Settings,
        acceptor: Acceptor,
        peers: Peers,
        proposer: Proposer,
        tasks: Tasks,
        learn: Learn,
    ) -> None:
        self.settings, self.acceptor, self.peers, self.proposer = settings, acceptor, peers, proposer
        self.tasks, self.learn = tasks, learn
        self.contact, self.heard = Contact(), MembershipMonitor(now())
        self.chance = random.Random(acceptor.ip)
        self.leaving = self.was_held = False
        self.asking: set[str] = set()
        self.open: tuple[int, float] = (
            -1,
            0.0,
        )  # the highest change accepted and not known as decided; since
        self.chore: asyncio.Task[None] | None = None

    # What is known

    @property
    def members(self) -> Members:
        """The newest list that is known to be decided."""
        return self.acceptor.decided.members

    def others(self) -> list[str]:
        """All machines that may be there."""
        ips = self.members.ips() | self.acceptor.kept.value.members.ips()
        return sorted((ips | set(ports.seeds(self.settings)) | set(self.learners())) - {self.settings.ip})

    def learners(self) -> list[str]:
        """Machines outside the list that were heard of late."""
        return self.heard.learners(self.acceptor.decided, now())

    def has_contact(self) -> bool:
        return self.contact.is_held(self.members, self.acceptor.seat, now())

    def known_age(self, change: int) -> float:
        """s since a moment by which all that was decided is in force here, with this change; inf where none."""
        accepted = self.acceptor.kept.value.change
        return self.contact.known_age(self.members, self.acceptor.seat, now(), change, accepted)

    def report(self) -> Report:
        kept, decided = self.acceptor.kept, self.acceptor.decided
        return Report(
            self.acceptor.seat,
            self.settings.zone,
            kept.accepted,
            kept.value,
            decided,
            decided != UNKNOWN and self.acceptor.holds(decided.version_id),
            self.leaving,
        )

    # Asking

    def hear(self, report: Report) -> None:
        """A machine's word of itself, asked for or not."""
        self.heard.heard(report, now())
        if report.holds:
            self.peers.newest[report.ip] = report.decided.version_id
        self.proposer.meet(report.accepted)
        self.learn(report.decided, [report.ip])

    async def ask(self, ip: str) -> Report | None:
        """Its report, as of now; only this shows that we reach it."""
        asked_at = now()
        answer = await self.peers.call(ip, "state", self.report().encode(), ANSWER)
        if not isinstance(answer, Success):
            return None
        report = Report.decode(answer.unwrap())
        self.hear(report)
        self.contact.heard(report.seat, asked_at, report.value.change)
        return report

    async def _ask_alone(self, ip: str) -> None:
        """One ask of a machine at a time."""
        if ip not in self.asking:
            self.asking.add(ip)
            try:
                await self.ask(ip)
            finally:
                self.asking.discard(ip)

    def tell_leaving(self) -> None:
        """All hear that we leave."""
        self.leaving = True
        self.heard.heard(self.report(), now())
        for ip in self.others():
            self.tasks.start(self.ask(ip))

    # Rounds

    async def run(self) -> None:
        while True:
            if self.contact.tick(now()):
                log_event(Event.PROCESS_STALLED)
                self.heard.woke(now())
            asks = [self.tasks.start(self._ask_alone(ip)) for ip in self.others()]
            if asks:
                await asyncio.wait(asks, timeout=SOON)
            self._look()
            await asyncio.sleep(ROUND if self.was_held else SEEKING)

    def _look(self) -> None:
        """What was heard, taken together."""
        own, at = self.report(), now()
        self.heard.heard(own, at)
        for event, seat in self.heard.news(self.acceptor.decided, self.acceptor.seat, at):
            log_event(event, seat=seat)
        reports = [heard.report for heard in self.heard.reports.values()]
        shown = decided_among(reports)
        if shown is not None:
            self.learn(shown, [report.ip for report in reports if report.value == shown])
        if self.has_contact() != self.was_held:
            self.was_held = not self.was_held
            log_event(
                Event.QUORUM_CONTACT_REGAINED if self.was_held else Event.QUORUM_CONTACT_LOST,
                list=self.members.number,
            )
        if self.chore is None or self.chore.done():
            self.chore = self.tasks.start(self._chores(reports))

    async def _chores(self, reports: Iterable[Report]) -> None:
        try:
            await self._catch_up(reports)
            await self.acceptor.save()
        except OSError:
            return  # told as event 203; the next round tries again
        if self.was_held:
            await self._settle(reports)
            await self._propose_members()

    async def _settle(self, reports: Iterable[Report]) -> None:
        """End what was begun and is not known as decided: it may have been confirmed by one that is cut off now.

        All that see it pause by chance before, and who is first spares it the others.
        """
        kept, decided = self.acceptor.kept, self.acceptor.decided
        ended = (
            kept.accepted if kept.value == decided else NO_BALLOT
        )  # nothing under it can be decided any more
        change = max((report.value.change for report in reports if report.accepted > ended), default=-1)
        if change <= decided.change:
            self.open = (-1, 0.0)
        elif change != self.open[0]:
            self.open = (change, now() + SETTLE * self.chance.random())
        elif now() - self.open[1] >= SETTLE:
            log_event(Event.ACCEPTED_VALUE_RECOVERED, change=change, decided=decided.change)
            self.open = (-1, 0.0)
            await self.proposer.safe(BALLOT)

    async def _catch_up(self, reports: Iterable[Report]) -> None:
        """Accept what is decided as others accepted it, as if its proposer had reached us."""
        kept, decided = self.acceptor.kept, self.acceptor.decided
        for report in reports:
            if report.value == decided and report.accepted >= kept.promised and kept.value != decided:
                log_event(Event.ACCEPTOR_CAUGHT_UP, change=decided.change, ballot=report.accepted.count)
                await self.acceptor.accept(report.accepted, report.value)
                return

    async def _propose_members(self) -> None:
        """The next list, where there is one and it is our turn; then at once that it stands alone."""
        members = self.members
        wanted = self.heard.next(self.acceptor.decided, self.acceptor.seat, now(), self._wanted())
        if wanted is None:
            return
        log_event(
            Event.MEMBERSHIP_CHANGE_PROPOSED,
            list=wanted.number,
            seats=" ".join(wanted.seats),
            former=" ".join(wanted.former),
        )
        await self.proposer.decide(set_members(wanted), lambda value: value.members != members)
        if wanted.former and self.members == wanted:  # a joint list stands less
            await self.proposer.decide(set_members(wanted.settled()), lambda value: value.members != wanted)

    def _wanted(self) -> Wanted:
        settings = self.settings
        return Wanted(
            settings.tolerance.machines,
            settings.tolerance.zones,
            settings.tolerance.regions,
            settings.zones,
            settings.bound("sync_s", 4.0),
        )
