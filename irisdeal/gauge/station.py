"""The registry's process: outside calls, the other registries, the doors that ask for news."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import Any

from returns.result import Failure, Success

from irisdeal.almanac.model import read
from irisdeal.almanac.quorum import majority
from irisdeal.almanac.word import NOTHING, Stamp, Word
from irisdeal.gauge.commands import Beat, Command, Leave, Look, Put, Read, decode
from irisdeal.gauge.registry import MOST_LIVES, Life, Registry, State, hear_life, tell_life
from irisdeal.gauge.desk import Desk
from irisdeal.http1.server import Answer, HttpServer, Request
from irisdeal.isobar.loads import TELL
from irisdeal.mast import places
from irisdeal.mast.events import tell
from irisdeal.mast.process import Tasks, every
from irisdeal.mast.settings import Settings, address
from irisdeal.telegraph.link import Link, Server

FLUSH = 0.2  # s between two tellings of beats and sums to the other registries
ANSWER = 0.4  # s for a short answer of another process
HOLD = 1.0  # s that a door's ask may be held without news
LEND = 0.04  # s for another registry to lend tokens: the door that asked waits for 0.06
LOOK = 0.25  # s between two looks at who is silent
PUT = 0.95  # s for the store to take a configuration; it gives up by itself before
OWN_PAUSE = 1.0  # s between two looks: so late, we were not there to hear beats
JSON = [(b"Content-Type", b"application/json")]


class Station:
    """One registry."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.ip = settings, settings.ip
        self.loop = asyncio.get_running_loop()
        self.life = secrets.randbits(48)
        self.registry = Registry(settings.beat_interval_ms / 1000)
        self.desk = Desk(settings, self.registry, self.loop, self._lend_from, lambda: len(self.roster))
        self.zones: dict[str, str] = {self.ip: settings.zone}
        self.word: Word | None = None
        self.roster: frozenset[str] = frozenset(places.seeds(settings)) | {self.ip}
        self.in_touch = False
        self.controls: dict[str, list[str]] = {settings.zone: [settings.bind.control]}
        self.links: dict[str, Link] = {}
        self.store = Link(places.at(settings, self.ip, places.ALMANAC), f"gauge {self.ip}")
        self.news = asyncio.Event()
        self.unsent: dict[str, Life] = {}  # lives heard here that the others have not been told
        self.sure: set[tuple[str, State]] = set()  # ends of lives that a majority of the core was told by us
        self.looked = self.loop.time()
        self.tasks = Tasks()
        self.server = Server(self.handle, self.desk.quick, self.desk.lost)
        self.http = HttpServer(self.outside, self.loop)

    # What a process does

    async def start(self) -> None:
        await self.server.listen((self.ip, places.port(self.settings, places.GAUGE)))
        self.tasks.start(self._watch_store())
        self.tasks.start(self._learn())
        self.tasks.start(every(FLUSH, self._flush))
        self.tasks.start(every(LOOK, self._look))
        self.tasks.start(every(TELL, self._tell_loads))
        self.tasks.start(self.desk.intervals(lambda sums: self._tell("sums", [self.ip, *sums])))
        await self.http.listen(address(self.settings.bind.control))

    async def stop(self) -> None:
        self.http.leaving = True
        await asyncio.sleep(0.1)
        self.tasks.cancel()
        self.http.close()
        self.server.close()

    def reload(self, settings: Settings) -> None:
        self.settings = settings
        self.roster |= frozenset(places.seeds(settings))

    def _wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    # The store

    async def _watch_store(self) -> None:
        """Ask our machine's store with the version that we have; without it, another's."""
        while True:
            stamp = self.word.stamp if self.word else NOTHING
            ask = [stamp.number, stamp.digest, len(self.roster)]
            answer = await self.store.call("watch", ask, HOLD + ANSWER)
            if isinstance(answer, Failure):
                self.in_touch = False
                await self._other_store(ask)
                await asyncio.sleep(0.1)
                continue
            self._take(answer.unwrap())

    async def _other_store(self, ask: list[Any]) -> None:
        for ip in self._others():
            link = Link(places.at(self.settings, ip, places.ALMANAC), f"gauge {self.ip}")
            answer = await link.call("watch", [*ask[:2], -1], ANSWER)
            link.close()
            if isinstance(answer, Success):
                return self._take(answer.unwrap())

    def _take(self, told: list[Any]) -> None:
        word, roster, self.in_touch = told
        known = len(self.roster)
        self.roster |= frozenset(roster)
        if word is not None:
            came = Word(Stamp(word[0], word[1]), word[2])
            if self.word is None or came.stamp > self.word.stamp:
                self.word = came
                checked = read(came.body)
                if isinstance(checked, Success):
                    self.desk.configure(checked.unwrap())
                return self._wake()
        if len(self.roster) != known:
            self._wake()

    # The other registries

    def _others(self) -> list[str]:
        return sorted(self.roster - {self.ip})

    def _link(self, ip: str) -> Link:
        if ip not in self.links:
            self.links[ip] = Link(places.at(self.settings, ip, places.GAUGE), f"gauge {self.ip}")
        return self.links[ip]

    async def _learn(self) -> None:
        """At the start: all that the others know."""
        for _ in range(5):
            for answer in await asyncio.gather(*(self._link(ip).call("all", None, ANSWER)
                                                 for ip in self._others())):
                if isinstance(answer, Success):
                    self._hear_lives(answer.unwrap())
            await asyncio.sleep(0.5)

    def _hear_lives(self, told: list[Any]) -> None:
        now, news = self.loop.time(), False
        for life, age in told:
            news |= self.registry.hear(hear_life(life, now), now, age / 1000)
        if news:
            self._wake()

    async def _flush(self) -> None:
        now = self.loop.time()
        lives = [[tell_life(life, now), 0] for life in self.unsent.values()]
        self.unsent = {}
        if lives or len(self.zones) < len(self.roster):
            for ip in self._others():
                self.tasks.start(self._link(ip).call("told", [lives, self._control()], ANSWER))

    def _control(self) -> list[str]:
        return [self.ip, self.settings.zone, self.settings.bind.control]

    async def _lend_from(self, ip: str, ask: list[Any]) -> Any:
        return (await self._link(ip).call("lend", ask, LEND)).value_or(None)

    def _tell(self, kind: str, body: list[Any]) -> None:
        """To all other registries; who misses it hears the next."""
        for ip in self._others():
            link = self._link(ip)
            if not link.tell(kind, body):
                self.tasks.start(link.call(kind, body, ANSWER))

    def _tell_loads(self) -> None:
        """What our doors have out at each backend, to the other registries."""
        sums = self.desk.sums()
        if sums is not None:
            self._tell("loads", [self.ip, sums])

    async def _tell_now(self, life: Life) -> bool:
        """Whether a majority of the core knows, this one counted: then no loss that is tolerated forgets it."""
        now, known, enough = self.loop.time(), {self.ip}, asyncio.Event()
        wanted = majority(self.roster)

        async def tell_one(ip: str) -> None:
            body = [[[tell_life(life, now), 0]], self._control()]
            if isinstance(await self._link(ip).call("told", body, 2 * ANSWER), Success):
                known.add(ip)
                if len(known & self.roster) >= wanted:
                    enough.set()

        for ip in self._others():
            self.tasks.start(tell_one(ip))
        if wanted <= 1:
            return True
        try:
            async with asyncio.timeout(2 * ANSWER):
                await enough.wait()
        except TimeoutError:
            tell(304, id=life.id, known=len(known), roster=len(self.roster))
            return False
        return True

    def _look(self) -> None:
        now = self.loop.time()
        if now - self.looked > OWN_PAUSE:
            self.registry.void_silence(now)
        self.looked = now
        if self.registry.look(now):
            self._wake()
        self.desk.look(now)

    # Calls of our own processes

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "news":
                return await self._tell_news(*body)
            case "count":
                return self.desk.count(peer, *body)
            case "lend":
                return self.desk.lend(*body)
            case "sums":
                return self.desk.hear_sum(*body)
            case "told":
                lives, (ip, zone, control) = body
                self.zones[ip] = zone
                self._hear_lives(lives)
                if control not in self.controls.setdefault(zone, []):
                    self.controls[zone].append(control)
                return None
            case "place":
                return await self.desk.place(peer, body)
            case "wait":
                return await self.desk.wait(peer, body)
            case "loads":
                self.desk.hear_loads(body[0], body[1])
                return None
            case "lives":  # a door tells what it knows to one that may have forgotten
                self._hear_lives(body)
                return None
            case "all":
                return self.registry.all(self.loop.time())
        raise ValueError(f"no call {kind!r}")

    async def _tell_news(self, number: int, digest: bytes, life: int, changes: int, members: int) -> list[Any]:
        """[word or None, our life, our number, changed lives, roster, in touch], at once or within HOLD s."""
        have = Stamp(number, digest)
        known = changes if life == self.life else 0
        if not self._has_news(have, known, members) and life == self.life:
            try:
                async with asyncio.timeout(HOLD):
                    await self.news.wait()
            except TimeoutError:
                pass
        now = self.loop.time()
        word = self.word if self.word is not None and self.word.stamp > have else None
        return [[word.stamp.number, word.stamp.digest, word.body] if word else None, self.life,
                self.registry.number,
                [[tell_life(entry.life, now), entry.silent] for entry in self.registry.since(known)],
                {ip: self.zones.get(ip, "") for ip in sorted(self.roster)}, self.in_touch]

    def _has_news(self, have: Stamp, known: int, members: int) -> bool:
        return ((self.word is not None and self.word.stamp > have) or self.registry.number > known
                or len(self.roster) != members)

    # Calls from outside

    async def outside(self, request: Request) -> Answer:
        decoded = decode(request.method, request.target, request.body)
        if isinstance(decoded, Failure):
            refusal = decoded.failure()
            if request.method == b"POST" and request.target.startswith(b"/config"):
                tell(201, trouble=refusal.trouble)
            return Answer(refusal.status, json.dumps({"error": str(refusal.trouble)}).encode(), JSON)
        return await self.run(decoded.unwrap())

    async def run(self, command: Command) -> Answer:
        """Carry out a command."""
        match command:
            case Beat():
                return await self._beat(command)
            case Leave():
                return await self._leave(command)
            case Put():
                return await self._put(command)
            case Read():
                answer = await self.store.call("read", None, PUT)
                if isinstance(answer, Failure):
                    return self._later(str(answer.failure()))
                known, body = answer.unwrap()
                if not known:
                    return self._later("too few of the core were heard")
                return Answer(200, body, JSON) if body is not None else Answer(404, b"{}", JSON)
            case Look():
                return Answer(200, json.dumps(self._status()).encode(), JSON)

    def _later(self, why: str) -> Answer:
        return Answer(503, json.dumps({"error": why}).encode(), [*JSON, (b"Retry-After", b"0.2")])

    def _status(self) -> dict[str, Any]:
        now = self.loop.time()
        total = self.desk.counter.total
        return {
            "generation": f"r{self.word.stamp.number}" if self.word else None, "in_touch": self.in_touch,
            "roster": sorted(self.roster), "doors": total.doors, "interval": total.number,
            "tenants": total.figures,
            "backends": [{"id": e.life.id, "service": e.life.service, "zone": e.life.zone,
                          "state": e.life.state.name.lower(), "silent": e.silent,
                          "heard_s": round(now - e.heard, 2)} for e in self.registry.entries.values()]}

    async def _put(self, command: Put) -> Answer:
        word = command.word
        if self.word is None or word.stamp.number > self.word.stamp.number:
            body = [word.stamp.number, word.stamp.digest, word.body]
        else:  # not above the one held, which is what is to be acknowledged
            body = [self.word.stamp.number, self.word.stamp.digest, self.word.body]
        answer = await self.store.call("put", body, PUT)
        if isinstance(answer, Success) and answer.unwrap():
            return Answer(200, b"{}", JSON)
        return self._later("not held by a majority in time")

    async def _beat(self, beat: Beat) -> Answer:
        now = self.loop.time()
        state = State.DRAINING if beat.state == "draining" else State.READY
        life = Life(beat.id, beat.service, beat.address, beat.zone, beat.capacity, state, beat.call_count,
                    now + beat.warmup_left_ms / 1000)
        if self.registry.hear(life, now):
            self._wake()
        self.unsent[life.id] = self.registry.entries[life.id].life
        if state is State.DRAINING and not await self._make_sure(life.id):
            return self._later("too few of the core were told")
        near = self.controls.get(beat.zone)
        target = {"beat_target": near[0]} if near and beat.zone != self.settings.zone else {}
        return Answer(200, json.dumps(target).encode(), JSON)

    async def _make_sure(self, id_: str) -> bool:
        """Whether a majority knows that this life ends: only then may its end be acknowledged."""
        life = self.registry.entries[id_].life
        if (id_, life.state) in self.sure:
            return True
        if not await self._tell_now(life):
            return False
        if len(self.sure) >= MOST_LIVES:
            self.sure.clear()  # to be told once more is all that it costs
        self.sure.add((id_, life.state))
        return True

    async def _leave(self, leave: Leave) -> Answer:
        """Also of a life that we do not know: others may, and what is acknowledged holds for all."""
        now = self.loop.time()
        if self.registry.leave(leave.id, now) is None:
            self.registry.hear(Life(leave.id, "", "", "", 0, State.GONE, 0, now), now)
        self._wake()
        if not await self._make_sure(leave.id):
            return self._later("too few of the core were told")
        return Answer(200, b"{}", JSON)
