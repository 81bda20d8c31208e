"""Where a door hears news: two registries at once, and how old what it knows may be.

Rules that must hold here:
1. What a source tells holds all that was decided by the moment at which our ask was sent, less the age that it
   told (`as_of`, on our steady clock). It counts once the word is here, whole.
2. A source that has no contact with the core, or whose knowledge is older than `OLD`, is left at once for one that
   is not; where there is none it is asked on, and what is held goes on. `age` says how old that may be.
3. Words only move forward by number, and lives never go back, within a life of this process.
4. The list of sources is what the sources in use tell; seeds are asked only where none of these is left.
5. No door asks more than `SOURCES` at once, and each turns to another after a pause of its own chance.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable
from typing import Any

from returns.result import Failure

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

ENOUGH = VersionId(1 << 62, b"")  # as the word that we have: no source has a newer one
SOURCES = 2  # asked at once: one may lag or die without a loss of time
HOLD = 1.0  # s that a source holds an ask without news
ASK = HOLD + 0.5  # s for news
OLD = (
    CONTACT_LEASE_S + HOLD
)  # s: knowledge that is older when it comes is no contact; sources in order tell 1.1 at most
LOST = (
    OLD + ASK
)  # s: the age of our own knowledge from which we have no contact: the next answer has not come
LEFT = 2.0  # s at least that a source which was left is not preferred; doubled each time that it was no use again
MOST_LEFT = 8.0  # s
PAUSE, MOST_PAUSE = 0.05, 0.15  # s before the next source is tried: drawn between these
AGAIN = 3  # times as long where all that are there were of no use a moment ago
FIRST = 2.0  # s from its start that a door stays with its first sources though they have no contact yet
IDLE = 0.02  # s: an answer that comes sooner and brings nothing was not held, and the next ask waits `MOST_PAUSE`
GONE_KEPT = 120.0  # s that a life that has ended is remembered, to be told to who forgot


class Sources:
    """What this door knows of the world, merged from all it heard; it only moves forward."""

    def __init__(
        self,
        settings: Settings,
        on_version: Callable[[ConfigVersion], None],
        on_incarnation: Callable[[BackendIncarnation, bool], None],
    ) -> None:
        self.settings, self.on_version, self.on_incarnation = settings, on_version, on_incarnation
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(settings.ip)
        self.assembler = ChunkAssembler(VersionStore(max_older=0))
        self.version: ConfigVersion | None = None
        self.change = -1  # of the newest word that is here
        self.as_of = float("-inf")  # we know all that was decided by then
        self.born = self.loop.time()
        self.has_contact: bool | None = None  # as was told last; None before any
        self.incarnations: dict[str, BackendIncarnation] = {}
        self.ended: dict[str, float] = {}
        self.silent: dict[str, dict[str, bool]] = {}  # life -> source -> whether it says silent
        self.using: list[str] = []
        self.told: dict[
            str, dict[str, str]
        ] = {}  # source -> the machines of the core and their zones, by its word
        self.zones: dict[str, str] = {}  # what all of them told; as it was, where none tells
        self.left: dict[
            str, tuple[float, float]
        ] = {}  # source -> until when it is not preferred, and for how long
        self.fresh: dict[str, float] = {}  # source -> as of when its knowledge was when it told last
        self.known: dict[str, int] = {}  # source -> its life that was told what we know
        self.on_left: Callable[[set[str]], None] = lambda gone: (
            None
        )  # hears which machines have left the core
        self.answering: set[str] = set()  # sources that answer, in contact with the core or not
        self.has_heard = asyncio.Event()  # that a first source has answered
        self.arriving = ""  # the source that a word comes from in pieces; the other one does not bring it too
        self.tasks = Tasks()

    def start(self) -> None:
        for _ in range(SOURCES):
            self.tasks.start(self._follow())

    def stop(self) -> None:
        self.tasks.cancel()

    def reload(self, settings: Settings) -> None:
        self.settings = settings

    # How old what we know may be

    @property
    def version_id(self) -> VersionId:
        """Of the word that is here."""
        return self.version.version_id if self.version is not None else NO_VERSION

    def age(self, now: float) -> float:
        """s since the moment by which we know all that was decided; inf where no source in contact told any."""
        return now - self.as_of

    def _judge(self) -> None:
        """Tell when contact was won or lost."""
        now = self.loop.time()
        has_contact = self.age(now) <= LOST
        if has_contact != self.has_contact and (has_contact or now - self.born > LOST):
            if not has_contact:
                log_event(Event.CONTACT_LOST, age=round(self.age(now), 2), sources=",".join(self.using))
            elif self.has_contact is not None:
                log_event(Event.CONTACT_REGAINED, sources=",".join(self.using))
            self.has_contact = has_contact

    # Which sources

    def _candidates(self) -> list[str]:
        """All that may be asked and are not, the best first: not left of late, near, fresh, in our own turn."""
        now = self.loop.time()
        has_near = any(map(self.is_near, self.using))

        def rank(ip: str) -> tuple[bool, float, bool, float, int]:
            is_near = self.is_near(ip) and not has_near  # bytes between zones are dear: one is in ours
            left_until = self.left[ip][0] if self._is_left(ip, now) else 0.0
            return (
                ip not in self.zones and bool(self.zones),
                left_until,
                not is_near,
                -round(self.fresh.get(ip, now)),
                hash_of(self.settings.ip, ip),
            )

        return sorted(
            (ip for ip in {*self.zones, *ports.seeds(self.settings)} if ip not in self.using), key=rank
        )

    def _is_left(self, ip: str, now: float) -> bool:
        return self.left.get(ip, (0.0, 0.0))[0] > now

    def _deregister(self, ip: str) -> None:
        """Do not prefer it for a while, of another length at each door: they do not come back as one."""
        _, before = self.left.get(ip, (0.0, 0.0))
        lasts = min(MOST_LEFT, max(LEFT, 2 * before))
        self.left[ip] = self.loop.time() + lasts * (1 + self.chance.random()), lasts

    def is_near(self, ip: str) -> bool:
        """Whether this machine is in our zone."""
        return self.zones.get(ip) == self.settings.zone

    def _better(self, ip: str, is_good: bool) -> bool:
        """Whether to turn from this source to another: from one without contact to any that may have it, and the
        first in use to one in our zone, where none in use is."""
        now = self.loop.time()
        others = [other for other in self._candidates() if not self._is_left(other, now)]
        if not is_good:
            return bool(others) and not self._waits()
        return (
            ip == self.using[0] and not any(map(self.is_near, self.using)) and any(map(self.is_near, others))
        )

    def _waits(self) -> bool:
        """Whether we have just started and no source had contact yet: all may be starting, and tell when they have
        it."""
        return self.as_of == float("-inf") and self.loop.time() - self.born < FIRST

    async def _follow(self) -> None:
        while True:
            ip = next(iter(self._candidates()), None)
            was_left = ip is None or self._is_left(ip, self.loop.time())
            if ip is not None:
                self.using.append(ip)
                link = RpcClient(
                    ports.address_of(self.settings, ip, ports.REGISTRY), f"proxy {self.settings.ip}"
                )
                try:
                    await self._ask(ip, link)
                finally:
                    self._left_off(ip)
                    link.close()
            await asyncio.sleep(self.chance.uniform(PAUSE, MOST_PAUSE) * (AGAIN if was_left else 1))
            self._judge()

    def _left_off(self, ip: str) -> None:
        self.using.remove(ip)
        self.answering.discard(ip)
        if self.arriving == ip:
            self.arriving = ""
        for told in self.silent.values():
            told.pop(ip, None)

    # News

    async def _ask(self, ip: str, link: RpcClient) -> None:
        """Ask one source until it is silent, out of contact, or another one is better."""
        incarnation = number = 0
        while True:
            sync_state, sent = self._have(ip), self.loop.time()
            answer = await link.call("news", [sync_state.encode(), incarnation, number, self.change], ASK)
            if isinstance(answer, Failure):
                log_event(Event.SOURCE_UNRESPONSIVE, source=ip, trouble=answer.failure())
                return self._deregister(ip)
            chunk, now_life, number, incarnations, zones, age, change = answer.unwrap()
            self.answering.add(ip)
            self.has_heard.set()
            is_first = now_life != incarnation
            if is_first:
                incarnation = now_life
                if self.known.get(ip) != incarnation:
                    self.known[ip] = incarnation
                    self.tasks.start(self._tell_again(link))
            before = self.change, self._have(ip)
            self._hear_word(ip, sync_state, chunk, change)
            self._hear_lives(ip, incarnations)
            is_good = self._hear_age(ip, sent, age, change)
            self._hear_zones(ip, zones, is_good)
            self._judge()
            if not is_good and not self._is_left(ip, self.loop.time()) and not self._waits():
                log_event(Event.SOURCE_WITHOUT_CONTACT, source=ip, age=age)
                self._deregister(ip)
            if self._better(ip, is_good):
                return
            is_idle = not (is_first or incarnations) and (self.change, self._have(ip)) == before
            if is_idle and self.loop.time() - sent < IDLE:
                await asyncio.sleep(MOST_PAUSE)

    def _have(self, ip: str) -> SyncState:
        """What we have, for this source: while a word comes in pieces from another one, this is to bring none."""
        return self.assembler.sync_state(self.version_id) if self.arriving in ("", ip) else SyncState(ENOUGH)

    def _hear_word(self, ip: str, sync_state: SyncState, chunk: list[Any] | None, change: int) -> None:
        """`change`: of the source's newest word; below 0 where this parcel is of an older one."""
        if chunk is None:
            if self.arriving == ip:
                self.arriving = ""
            if sync_state.version_id == self.version_id:
                self.change = max(self.change, change)
        elif sync_state == self._have(ip):  # else the other one has brought it meanwhile
            version = self.assembler.take(chunk)
            self.arriving = (
                ip if version is None and self.assembler.sync_state(self.version_id).offset != 0 else ""
            )
            if version is not None and version.version_id.number > self.version_id.number:
                self.version, self.change = version, max(self.change, change)
                self.on_version(version)

    def _hear_age(self, ip: str, sent: float, age: int, change: int) -> bool:
        """Whether the source has contact. `age`: ms, below 0 where it has none; `change`: as above."""
        if age < 0:
            return False
        as_of = sent - age / 1000
        self.fresh[ip] = as_of
        if 0 <= change <= self.change:
            self.as_of = max(self.as_of, as_of)
        is_good = self.loop.time() - as_of <= OLD
        if is_good:
            self.left.pop(ip, None)
        return is_good

    def _hear_zones(self, ip: str, zones: dict[str, str], is_good: bool) -> None:
        """The machines of the core: by the word of those in contact, else as they were, and any more."""
        if is_good:
            self.told = {other: told for other, told in self.told.items() if other in self.using}
            self.told[ip] = dict(zones)
        now = {other: zone for told in self.told.values() for other, zone in told.items()}
        if not self.told:
            now = {**self.zones, **zones}
        gone = self.zones.keys() - now.keys()
        self.zones = now
        if gone:
            log_event(Event.SOURCES_CHANGED, left=",".join(sorted(gone)), sources=len(now))
        for other in gone:
            for known in (self.left, self.fresh, self.told, self.known):
                known.pop(other, None)
        if gone:
            self.on_left(set(gone))

    async def _tell_again(self, link: RpcClient) -> None:
        """A source that is new, or has started again, may have forgotten: tell it what we know."""
        now = self.loop.time()
        await link.call(
            "lives",
            [[incarnation.encode(now), 0] for incarnation in self.incarnations.values()],
            ASK,
        )

    def _hear_lives(self, ip: str, incarnations: list[Any]) -> None:
        now = self.loop.time()
        for told, silent in incarnations:
            self._hear_life(ip, BackendIncarnation.decode(told, now), bool(silent))
        for id_, at in list(self.ended.items()):
            if now - at > GONE_KEPT:
                del self.ended[id_]
                self.incarnations.pop(id_, None)
                self.silent.pop(id_, None)

    def _hear_life(self, ip: str, incarnation: BackendIncarnation, silent: bool) -> None:
        known = self.incarnations.get(incarnation.id)
        if known is not None:
            older = incarnation.count < known.count and incarnation.state == known.state
            if older or known.state > incarnation.state:  # it never goes back
                incarnation = known
        self.incarnations[incarnation.id] = incarnation
        if incarnation.state is BackendState.GONE:
            self.ended.setdefault(incarnation.id, self.loop.time())
        told = self.silent.setdefault(incarnation.id, {})
        told[ip] = silent
        self.on_incarnation(incarnation, all(told.values()))

    def end(self, id_: str) -> None:
        """The backend itself showed that this life is over."""
        incarnation = self.incarnations.get(id_)
        if incarnation is not None and incarnation.state is not BackendState.GONE:
            gone = BackendIncarnation(
                incarnation.id,
                incarnation.service,
                incarnation.address,
                incarnation.zone,
                incarnation.capacity,
                BackendState.GONE,
                incarnation.count,
                incarnation.warm_at,
            )
            self.incarnations[id_] = gone
            self.ended.setdefault(id_, self.loop.time())
            self.on_incarnation(gone, True)


def hash_of(*parts: str) -> int:
    """The same number on every machine."""
    return zlib.crc32("|".join(parts).encode())
