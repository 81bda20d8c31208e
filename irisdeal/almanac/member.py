"""One machine of the store: it accepts and proposes, follows what is decided, and answers its callers.

Every machine is alike. In each round it asks all others for their state: so it knows whether it has contact with
a majority, what is decided, and who may come to count or has gone.
"""

from __future__ import annotations

import asyncio
from typing import Any

from returns.result import Success

from irisdeal.almanac.acceptor import Acceptor
from irisdeal.almanac.contact import Contact
from irisdeal.almanac.folder import Folder
from irisdeal.almanac.members import Members
from irisdeal.almanac.peers import Peers, now
from irisdeal.almanac.proposer import Proposer
from irisdeal.almanac.register import UNKNOWN, Ballot, Outcome, Value, set_members
from irisdeal.almanac.report import Report, decided_among, read_from
from irisdeal.almanac.shelf import Have
from irisdeal.almanac.succession import Wanted, Watch, may_go
from irisdeal.almanac.word import Stamp, Word
from irisdeal.mast import places
from irisdeal.mast.events import tell
from irisdeal.mast.process import Tasks
from irisdeal.mast.settings import Settings
from irisdeal.telegraph.link import Server

ROUND = 0.5  # s between two rounds; what was missed is here within two of them
SEEKING = 0.12  # s between them without contact
ANSWER = 0.35  # s for a short answer of another machine: hundreds of times the way there and back
LEASE = 1.5  # s of contact from when a majority was asked: two rounds may be missed
PUT = 0.85  # s for an order: the operator goes elsewhere after a second of silence
READ = 0.85  # s, likewise
HOLD = 1.0  # s that a watch may be held without news
STILL = 1.0  # s that a round may be late: later, the process stood still
PARTING = 0.15  # s in which all hear that we leave
HANDOVER = 1.5  # s at most that we wait until others hold what we hold, well inside any time to end


class Member:
    """The store's process."""

    def __init__(self, settings: Settings, folder: Folder | None = None) -> None:
        """`folder`: in place of the one that the settings name."""
        self.settings, self.ip = settings, settings.ip
        self.tasks = Tasks()
        self.acceptor = Acceptor(self.ip, settings.data_path or "almanac-data", folder, self.tasks)
        self.peers = Peers(settings, self.acceptor, self.tasks)
        self.proposer = Proposer(self.acceptor, self.peers, self.tasks, self.announce,
                                 settings.config_source != "highest")
        self.contact = Contact(LEASE)
        self.force = UNKNOWN  # the newest decided value whose body is here
        self.leaving = self.was_held = False
        self.news = asyncio.Event()
        self.server = Server(self.handle)

    # What a process does

    async def start(self) -> None:
        seeds = Members.first({*places.seeds(self.settings)})
        self.heard = Watch(now())
        await self.acceptor.open(Value.first(seeds) if self.settings.bootstrap else None)
        if self.acceptor.decided == UNKNOWN:
            tell(206, seat=self.acceptor.seat)
        self._enforce()
        await self.server.listen((self.ip, places.port(self.settings, places.ALMANAC)))
        self.tasks.start(self._rounds())

    async def stop(self) -> None:
        self.leaving = True
        for ip in self._others():
            self.peers.tell(ip, "state", self.report().tell())
        until = now() + HANDOVER
        await asyncio.sleep(PARTING)
        while not self._may_go() and now() < until:
            await asyncio.sleep(PARTING)
        tell(227 if self._may_go() else 228, seat=self.acceptor.seat)
        self.tasks.cancel()
        self.server.close()
        self.peers.close()

    def _may_go(self) -> bool:
        return not self.proposer.turn.locked() and may_go(
            self.acceptor.decided, self.heard.reports, self.acceptor.seat, now(), self.heard.since)

    def reload(self, settings: Settings) -> None:
        self.settings = settings

    def _wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    # What is decided

    def learn(self, value: Value, ips: list[str]) -> None:
        """This value is decided; its body is at these machines."""
        before = self._known()
        if not self.acceptor.learn(value):
            return
        members = value.members
        tell(209, change=value.change, generation=f"r{value.stamp.number}", list=members.number)
        if members != before:
            tell(220 if members.former else 221, list=members.number, seats=" ".join(members.seats))
        self.proposer.decided()
        self._enforce()
        if self.force != value:
            self.tasks.start(self._take_over(value, ips))

    def announce(self, ballot: Ballot, value: Value) -> None:
        """We decided this: all hear of it."""
        self.learn(value, [])
        for ip in self._others():
            self.peers.tell(ip, "decided", [ballot.tell(), value.tell()])

    async def _take_over(self, value: Value, ips: list[str]) -> None:
        others = [ip for ip in sorted(value.members.ips()) if ip not in ips]
        if await self.peers.body(value.stamp, [*ips, *others]) is not None:
            self._enforce()

    def _enforce(self) -> None:
        """What is decided is in force here once its body is here."""
        decided = self.acceptor.decided
        if decided.change > self.force.change and self.acceptor.holds(decided.stamp):
            self.force = decided
            tell(205, change=decided.change)
            self._wake()

    # The others

    def _known(self) -> Members:
        return self.acceptor.decided.members

    def _others(self) -> list[str]:
        """All machines that may be there."""
        ips = self._known().ips() | self.acceptor.kept.value.members.ips()
        return sorted((ips | set(places.seeds(self.settings)) | set(self._learners())) - {self.ip})

    def _learners(self) -> list[str]:
        """Machines outside the list that were heard of late."""
        return self.heard.learners(self.acceptor.decided, now())

    def report(self) -> Report:
        kept, decided = self.acceptor.kept, self.acceptor.decided
        return Report(self.acceptor.seat, self.settings.zone, kept.accepted, kept.value, decided,
                      decided != UNKNOWN and self.acceptor.holds(decided.stamp), self.leaving)

    def _heard(self, told: Any) -> Report:
        report = Report.hear(told)
        self.heard.heard(report, now())
        self.peers.newest[report.ip] = report.decided.stamp
        self.learn(report.decided, [report.ip])
        return report

    async def _ask(self, ip: str) -> Report | None:
        asked_at = now()
        answer = await self.peers.call(ip, "state", self.report().tell(), ANSWER)
        if not isinstance(answer, Success):
            return None
        report = self._heard(answer.unwrap())
        self.contact.heard(report.seat, asked_at)
        return report

    def has_contact(self) -> bool:
        return self.contact.is_held(self._known(), self.acceptor.seat, now())

    async def _round(self) -> None:
        heard = [report for report in await asyncio.gather(*map(self._ask, self._others())) if report]
        own = self.report()
        self.heard.heard(own, now())
        for number, seat in self.heard.news(self.acceptor.decided, self.acceptor.seat, now()):
            tell(number, seat=seat)
        shown = decided_among([own, *heard])
        if shown is not None:
            self.learn(shown, [report.ip for report in heard if report.value == shown])
        if self.force != self.acceptor.decided:
            await self._take_over(self.acceptor.decided, [report.ip for report in heard if report.holds])
        await self._catch_up(heard)
        if self.has_contact() != self.was_held:
            self.was_held = not self.was_held
            tell(225 if self.was_held else 224, list=self._known().number, heard=len(heard))
        if self.was_held:
            await self._propose_members()

    async def _catch_up(self, heard: list[Report]) -> None:
        """Accept what is decided as others accepted it, as if its proposer had reached us; keep what is decided."""
        kept, decided = self.acceptor.kept, self.acceptor.decided
        try:
            for report in heard:
                if report.value == decided and report.accepted >= kept.promised and kept.value != decided:
                    tell(210, change=decided.change, ballot=report.accepted.count)
                    await self.acceptor.accept(report.accepted, report.value)
                    break
            await self.acceptor.save()
        except OSError as error:
            tell(203, error=error)

    async def _rounds(self) -> None:
        while True:
            await self._round()
            pause, begun = ROUND if self.was_held else SEEKING, now()
            await asyncio.sleep(pause)
            if now() - begun > pause + STILL:
                tell(214, seconds=round(now() - begun, 2))
                self.contact.woke()
                self.heard.woke(now())

    # The list of members

    async def _propose_members(self) -> None:
        """The next list, where there is one and it is our turn."""
        members = self._known()
        wanted = self.heard.next(self.acceptor.decided, self.acceptor.seat, now(), self._wanted())
        if wanted is not None:
            tell(215, list=wanted.number, seats=" ".join(wanted.seats), former=" ".join(wanted.former))
            await self.proposer.decide(set_members(wanted), lambda value: value.members != members)

    def _wanted(self) -> Wanted:
        settings = self.settings
        return Wanted(settings.tolerance.machines, settings.tolerance.zones, settings.tolerance.regions,
                      settings.zones, settings.bound("sync_s", 4.0))

    # Calls

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "state":
                if body is not None:  # else it is asked by somebody who is no part of the core
                    self._heard(body)
                return self.report().tell()
            case "prepare" | "accept":
                return await self._vote(kind, *body)
            case "bring":
                return await self.peers.brought(peer, body)
            case "fetch":
                return self.peers.fetched(*body)
            case "decided":
                return self.learn(Value.hear(body[1]), [peer.rpartition(" ")[2]])
            case "put":
                return int(await self.put(Word(Stamp(body[0], bytes(body[1])), bytes(body[2]))))
            case "read":
                return await self.read()
            case "watch":
                return await self.watch(Have.hear(body[0]), int(body[1]))
        raise ValueError(f"no call {kind!r}")

    async def _vote(self, kind: str, seat: str, ballot: list[Any], value: list[Any] | None = None) -> Any:
        """None where this is not that seat's disk, or where the disk refuses."""
        if seat != self.acceptor.seat:
            return None
        try:
            if value is None:
                good, kept = await self.acceptor.prepare(Ballot.hear(ballot))
                return [good, kept.tell()]
            given = await self.acceptor.accept(Ballot.hear(ballot), Value.hear(value))
        except OSError:
            return None
        return [given[0], given[1].tell()] if given else [None, Have(self.acceptor.decided.stamp).tell()]

    async def put(self, word: Word) -> Outcome:
        """What became of an order. It may come to be decided after a LATER."""
        if not self.has_contact():
            tell(213, call="put", generation=f"r{word.stamp.number}")
            return Outcome.LATER
        return await self.proposer.put(word, PUT)

    async def read(self) -> list[Any]:
        """`[known, body]`: what is decided now, body None where nothing is; not known without a quorum."""
        if not self.has_contact():
            tell(213, call="read")
            return [False, None]
        until, known = now() + READ, self._known()
        heard = await asyncio.gather(*(self._ask(ip) for ip in sorted(known.ips() - {self.ip})))
        value = read_from([self.report(), *(report for report in heard if report)], known)
        if value is None:
            value = await self.proposer.safe(until - now())
        if value is None:
            return [False, None]
        self.learn(value, [])
        if value.stamp.number < 0:
            return [True, None]
        word = await self.peers.body(value.stamp, sorted(value.members.ips()))
        return [word is not None, word.body if word is not None else None]

    async def watch(self, have: Have, change: int) -> list[Any]:
        """`[parcel or None, value in force, learners, age in ms of our contact or -1]`, soon or in HOLD s."""
        if have.stamp == self.force.stamp and change == self.force.change:
            try:
                async with asyncio.timeout(HOLD):
                    await self.news.wait()
            except TimeoutError:
                pass
        force, parcel = self.force, None
        if force.stamp != have.stamp and force.stamp.number >= 0:
            parcel = self.peers.fetched(have.tell(), force.stamp.number, force.stamp.digest)
        age = self.contact.age(self._known(), self.acceptor.seat, now())
        return [parcel, force.tell(), self._learners(), int(age * 1000) if age <= LEASE else -1]
