"""The registry's process: outside calls, the other registries, the doors that ask for news."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import Any

from returns.result import Failure, Success

from irisdeal.almanac.model import read
from irisdeal.almanac.register import Outcome
from irisdeal.almanac.shelf import Shelf
from irisdeal.almanac.word import Word
from irisdeal.gauge.admission import AdmissionService
from irisdeal.gauge.authority_watch import AuthorityWatch
from irisdeal.gauge.commands import Beat, Command, Leave, Look, Put, Read, decode
from irisdeal.gauge.list_record import ListRecord
from irisdeal.gauge.messages import IntervalReport, IntervalSum
from irisdeal.gauge.news import News
from irisdeal.gauge.quota_service import LEND_S
from irisdeal.gauge.registry import MOST_LIVES, Life, Registry, State, hear_life, tell_life
from irisdeal.gauge.store import AGAIN, Follower
from irisdeal.gauge.metrics import RegistryMetrics
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.http1.messages import Answer, Request
from irisdeal.http1.server import HttpServer
from irisdeal.placement.load_reports import TELL
from irisdeal.mast import places
from irisdeal.mast.events import tell
from irisdeal.mast.process import Tasks, every
from irisdeal.mast.settings import Settings, address
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.messages import LendRequest
from irisdeal.ratelimit.interval_counter import encode_usages
from irisdeal.telegraph.link import Link
from irisdeal.telegraph.server import Server

FLUSH = 0.2  # s between two tellings of beats and sums to the other registries
ANSWER = 0.4  # s for a short answer of another process
LOOK = 0.25  # s between two looks at who is silent
LEARN = 2.5  # s that a registry which starts or was away asks the others for lives before it goes on without
LEARN_PAUSE = 0.25  # s between two such asks
OWN_PAUSE = 1.0  # s between two looks: so late, we were not there to hear beats
QUIET_S = 0.1  # s that a registry which ends goes on accepting: callers go to another once it does not
END_S = 0.4  # s of the grace that are kept for the process's own end
TAKEN_LEAVING = frozenset({"told", "all", "ended"})  # calls that are answered to the end: what others rely on
JSON = [(b"Content-Type", b"application/json")]


class Station:
    """One registry."""

    def __init__(self, settings: Settings) -> None:
        self.settings, self.ip = settings, settings.ip
        self.loop = asyncio.get_running_loop()
        self.life = secrets.randbits(48)
        self.registry = Registry(settings.beat_interval_ms / 1000)
        self.zones: dict[str, str] = {self.ip: settings.zone}
        self.follower = Follower(settings, Shelf(), self._on_word, self._changed)
        self.has_learned, self.learning, self.had_contact = False, False, False
        self.news = News(self.follower, self.registry, self.life, self.zones, lambda: self.has_learned)
        self.admission = AdmissionService(
            settings, self.registry, self.loop, self.life, self.follower.age, self._lend_from
        )
        self.tasks = Tasks()
        record = ListRecord(settings.data_path) if settings.data_path else None
        self.authority_watch = AuthorityWatch(self.admission.authority, record, self.follower.age, self.tasks)
        self.controls: dict[str, str] = {self.ip: settings.bind.control}  # where each registry takes beats
        self.links: dict[str, Link] = {}
        self.unsent: dict[str, Life] = {}  # lives heard here that the others have not been told
        self.sure: set[tuple[str, State]] = set()  # ends of lives that a majority of the core was told by us
        self.looked = self.loop.time()
        self.server = Server(self.handle, self.admission.quick, self.admission.places.lost)
        self.http = HttpServer(self.outside, self.loop)
        self.metrics = RegistryMetrics()
        self.metrics_server = MetricsServer(settings, self.metrics, self.loop)

    # What a process does

    async def start(self) -> None:
        await self.server.listen((self.ip, places.port(self.settings, places.GAUGE)))
        self.follower.start()
        self.tasks.start(self._learn({self.ip}))
        self.tasks.start(every(FLUSH, self._flush))
        self.tasks.start(every(LOOK, self._look))
        self.tasks.start(every(TELL, self._tell_loads))
        self.tasks.start(self.admission.quotas.intervals(self._tell_sum))
        self.tasks.start(self.authority_watch.recall())
        await self.http.listen(address(self.settings.bind.control))
        await self.metrics_server.start()

    async def stop(self) -> None:
        """End in order: proxies go to other registries at once, what was read from outside is answered."""
        now = self.loop.time()
        ends_at = now + self.settings.bound("grace_s", 6.0) - END_S
        self.server.begin_drain(TAKEN_LEAVING)
        unanswered = await self.http.drain(now + QUIET_S, ends_at)
        cut = await self.server.drain(ends_at)
        if unanswered.requests or unanswered.unsent_bytes or cut:
            self.metrics.cut_calls.add(amount=len(unanswered.requests))
            tell(323, calls=len(unanswered.requests), unsent_bytes=unanswered.unsent_bytes, internal=cut)
        self.follower.stop()
        self.tasks.cancel()
        self.metrics_server.close()

    def reload(self, settings: Settings) -> None:
        self.settings = settings
        self.follower.reload(settings)

    # The store

    def _on_word(self, word: Word) -> None:
        checked = read(word.body)
        if isinstance(checked, Success):
            self.admission.quotas.configure(checked.unwrap())

    def _changed(self) -> None:
        """The word, the list of the core, or whether there is contact is another."""
        if self.follower.value.change >= 0:
            members = self.follower.members
            self.admission.authority.hear(IssuerList(members.number, members.ips()), self.loop.time())
        core = self.follower.everyone()
        for ip in self.links.keys() - core:
            self.links.pop(ip).close()
        for ip in self.zones.keys() - core:
            del self.zones[ip], self.controls[ip]
        has_contact = self.follower.has_contact
        if has_contact and not self.had_contact and self.has_learned:
            self.tasks.start(self._learn(set()))  # we were cut off: others may have been told what we were not
        self.had_contact = has_contact
        self.news.wake()

    # The other registries

    def _others(self) -> list[str]:
        return sorted(self.follower.everyone() - {self.ip})

    def _link(self, ip: str) -> Link:
        if ip not in self.links:
            self.links[ip] = Link(places.at(self.settings, ip, places.GAUGE), f"gauge {self.ip}")
        return self.links[ip]

    async def _learn(self, forgot: set[str]) -> None:
        """All that enough of the others know; we are no full source before, or before `LEARN` s are over.

        An end is acknowledged once a majority knows it. Enough were heard when those that were not, with whoever
        forgot (`forgot`: ourselves, where we have just started), are no majority: each one that was told an end has
        then somebody among those heard.
        """
        if self.learning:
            return
        self.learning, self.has_learned = True, False
        heard: set[str] = set()
        until = self.loop.time() + LEARN

        async def ask(ip: str) -> None:
            answer = await self._link(ip).call("all", None, ANSWER)
            if isinstance(answer, Success):
                heard.add(ip)
                self._hear_lives(answer.unwrap())

        while True:
            await asyncio.gather(*map(ask, self._others()))
            missing = forgot | self.follower.members.ips() - heard - {self.ip}
            is_enough = not self.follower.is_majority(missing) or not self._others()
            if is_enough or self.loop.time() > until:
                break
            await asyncio.sleep(LEARN_PAUSE)
        tell(316 if is_enough else 317, heard=len(heard), lives=len(self.registry.entries))
        self.learning, self.has_learned = False, True
        self.news.wake()

    def _hear_lives(self, told: list[Any]) -> None:
        now, news = self.loop.time(), False
        for life, age in told:
            news |= self.registry.hear(hear_life(life, now), now, age / 1000)
        if news:
            self.news.wake()

    async def _flush(self) -> None:
        now = self.loop.time()
        lives = [[tell_life(life, now), 0] for life in self.unsent.values()]
        self.unsent = {}
        if lives or self.follower.everyone() - self.zones.keys():
            for ip in self._others():
                self.tasks.start(self._link(ip).call("told", [lives, self._control()], ANSWER))

    def _control(self) -> list[str]:
        return [self.ip, self.settings.zone, self.settings.bind.control]

    async def _lend_from(self, ip: str, request: LendRequest) -> int:
        return int((await self._link(ip).call("lend", request.encode(), LEND_S)).value_or(0))

    def _tell_sum(self, told: IntervalSum) -> None:
        self._tell("sums", told.encode())

    def _tell(self, kind: str, body: list[Any]) -> None:
        """To all other registries; who misses it hears the next."""
        for ip in self._others():
            link = self._link(ip)
            if not link.tell(kind, body):
                self.tasks.start(link.call(kind, body, ANSWER))

    def _tell_loads(self) -> None:
        """What our doors have out at each backend, to the other registries."""
        sums = self.admission.places.sums()
        if sums is not None:
            self._tell("loads", [self.ip, sums])

    async def _tell_now(self, life: Life) -> bool:
        """Whether a majority of the core knows, this one counted: then no loss that is tolerated forgets it."""
        now, known, enough = self.loop.time(), {self.ip}, asyncio.Event()

        async def tell_one(ip: str) -> None:
            body = [[[tell_life(life, now), 0]], self._control()]
            if isinstance(await self._link(ip).call("told", body, 2 * ANSWER), Success):
                known.add(ip)
                if self.follower.is_majority(known):
                    enough.set()

        for ip in self._others():
            self.tasks.start(tell_one(ip))
        if self.follower.is_majority(known):
            return True
        try:
            async with asyncio.timeout(2 * ANSWER):
                await enough.wait()
        except TimeoutError:
            tell(304, id=life.id, known=len(known), members=len(self.follower.members.ips()))
            self.metrics.refused_ends.add()
            return False
        self.metrics.acknowledged_ends.add(str(len(known)))
        return True

    def _look(self) -> None:
        now = self.loop.time()
        if now - self.looked > OWN_PAUSE:
            self.registry.void_silence(now)
            self.tasks.start(self._learn(set()))
        self.looked = now
        if self.registry.look(now):
            self.news.wake()
        self.admission.places.look()
        self.authority_watch.look()

    # Calls of our own processes

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "news":
                return await self.news.answer(*body)
            case "count":
                return self.admission.quotas.report(peer, IntervalReport.decode(body)).encode()
            case "lend":
                return self.admission.quotas.lend(LendRequest.decode(body))
            case "sums":
                return self.admission.quotas.hear_sum(IntervalSum.decode(body))
            case "told":
                lives, (ip, zone, control) = body
                self.zones[ip] = zone
                self._hear_lives(lives)
                self.controls[ip] = control
                return None
            case "place":
                return await self.admission.place(peer, body)
            case "wait":
                return await self.admission.wait(peer, body)
            case "loads":
                self.admission.places.hear_loads(body[0], body[1])
                return None
            case "lives":  # a door tells what it knows to one that may have forgotten
                self._hear_lives(body)
                return None
            case "all":
                return self.registry.all(self.loop.time())
        raise ValueError(f"no call {kind!r}")

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
            case Put():  # goes to its end, whoever waits: what became of an order is known then
                return await asyncio.shield(self.tasks.start(self._put(command)))
            case Read():
                known, body = await self.follower.read()
                if not known:
                    return self._later("no store has contact with a majority of the core, or none answered in time")
                return Answer(200, body, JSON) if body is not None else Answer(404, b"{}", JSON)
            case Look():
                return Answer(200, json.dumps(self._status()).encode(), JSON)

    def _later(self, why: str) -> Answer:
        """To be asked again, here or elsewhere: nothing is refused for good."""
        body = json.dumps({"error": why, "retry_after_s": AGAIN}).encode()
        return Answer(503, body, [*JSON, (b"Retry-After", b"%.1f" % AGAIN)])

    def _status(self) -> dict[str, Any]:
        now = self.loop.time()
        quotas, authority = self.admission.quotas, self.admission.authority
        total = quotas.counter.total
        return {
            "generation": f"r{self.follower.stamp.number}" if self.follower.word else None,
            "change": self.follower.change,
            "contact_age_s": self.follower.age(),
            "store": self.follower.source,
            "members": list(self.follower.members.seats),
            "learners": sorted(self.follower.learners),
            "doors": total.proxies,
            "interval": total.number,
            "tenants": encode_usages(total.usages),
            "issuing": authority.may_issue(self.follower.age(), now),
            "issuers": authority.issuers(now),
            "permits": {
                tenant: {"ready": round(count, 1), "held_ahead": quotas.issuer.outstanding.total(tenant)}
                for tenant, count in quotas.issuer.not_full(now).items()
            },
            "backends": [
                {
                    "id": e.life.id,
                    "service": e.life.service,
                    "zone": e.life.zone,
                    "state": e.life.state.name.lower(),
                    "silent": e.silent,
                    "heard_s": round(now - e.heard, 2),
                }
                for e in self.registry.entries.values()
            ],
        }

    async def _put(self, command: Put) -> Answer:
        answer = await self._ordered(command)
        self.metrics.orders.add(str(answer.status))
        return answer

    async def _ordered(self, command: Put) -> Answer:
        match await self.follower.put(command.word):
            case Outcome.CONFIRMED:
                return Answer(200, b"{}", JSON)
            case Outcome.OTHER:
                held = f"r{self.follower.stamp.number}"
                return Answer(
                    409, json.dumps({"error": "another body holds this number", "held": held}).encode(), JSON
                )
        return self._later("not decided by a majority of the core in time")

    async def _beat(self, beat: Beat) -> Answer:
        now = self.loop.time()
        state = State.DRAINING if beat.state == "draining" else State.READY
        life = Life(
            beat.id,
            beat.service,
            beat.address,
            beat.zone,
            beat.capacity,
            state,
            beat.call_count,
            now + beat.warmup_left_ms / 1000,
        )
        if self.registry.hear(life, now):
            self.news.wake()
        self.unsent[life.id] = self.registry.entries[life.id].life
        if state is State.DRAINING and not await self._make_sure(life.id):
            return self._later("too few of the core were told")
        near = [control for ip, control in self.controls.items() if self.zones.get(ip) == beat.zone]
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
        self.news.wake()
        if not await self._make_sure(leave.id):
            return self._later("too few of the core were told")
        return Answer(200, b"{}", JSON)
