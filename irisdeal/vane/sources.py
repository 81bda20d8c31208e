"""Where a door hears news: two registries at once, asked with the version that it has; a silent one is left."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from irisdeal.almanac.word import NOTHING, Stamp, Word
from irisdeal.barometer.counter import Figures
from irisdeal.gauge.registry import Life, State, hear_life, tell_life
from irisdeal.isobar.answers import NONE, WAIT, How
from irisdeal.mast import places
from irisdeal.mast.events import invariant, tell
from irisdeal.mast.process import Tasks
from irisdeal.mast.settings import Settings
from irisdeal.telegraph.link import Link

SOURCES = 2  # asked at once: one may lag or die without a loss of time
ASK = 1.5  # s for news: an ask is held for 1 s
COUNT = 0.4  # s for totals
LEFT = 3.0  # s that a source in our zone that was silent is not preferred
PAUSE = 0.1  # s before the next source is tried
PLACE = 0.06  # s for a registry to answer an ask for a place: some ways there and back
DEAF = 0.5  # s that a registry which did not answer an ask for a place in time is not asked for one
GONE_KEPT = 120.0  # s that a life that has ended is remembered, to be told to who forgot


class Sources:
    """What this door knows of the world, merged from all it heard; it only moves forward."""

    def __init__(
        self, settings: Settings, on_word: Callable[[Word], None], on_life: Callable[[Life, bool], None],
    ) -> None:
        self.settings, self.on_word, self.on_life = settings, on_word, on_life
        self.loop = asyncio.get_running_loop()
        self.roster: list[str] = places.seeds(settings)
        self.zones: dict[str, str] = {}
        self.word: Word | None = None
        self.lives: dict[str, Life] = {}
        self.ended: dict[str, float] = {}
        self.silent: dict[str, dict[str, bool]] = {}  # life -> source -> whether it says silent
        self.using: list[str] = []
        self.left: dict[str, float] = {}  # sources that were silent, until when they are not preferred
        self.good: dict[str, float] = {}  # source -> when it last answered and was in touch with the core
        self.links: dict[str, Link] = {}
        self.deaf: dict[str, float] = {}  # registries that did not answer at once, until when they are not asked
        self.answering: set[str] = set()  # sources that answer, in touch with the core or not
        self.has_heard = asyncio.Event()  # that a first source has answered
        self.tasks = Tasks()

    def start(self) -> None:
        for index in range(SOURCES):
            self.tasks.start(self._follow(index))

    def stop(self) -> None:
        self.tasks.cancel()

    def reload(self, settings: Settings) -> None:
        self.settings = settings
        for ip in places.seeds(settings):
            if ip not in self.roster:
                self.roster.append(ip)

    def heard_within(self, seconds: float) -> bool:
        """Whether some source that is in touch with the core answered of late."""
        return any(at >= self.loop.time() - seconds for at in self.good.values())

    def _next(self, after: str | None) -> str | None:
        """The next source in a turn that each door begins elsewhere, one that no other turn uses."""
        order = sorted(self.roster, key=lambda ip: hash_of(self.settings.ip, ip))
        free = [ip for ip in order if ip not in self.using and ip not in self.left]
        near = next(filter(self._is_near, free), None)
        if near is not None and not any(self._is_near(ip) for ip in self.using):
            return near
        if after in order:
            at = order.index(after) + 1
            order = order[at:] + order[:at]
        return next((ip for ip in order if ip not in self.using), None)

    def _is_near(self, ip: str) -> bool:
        """Bytes between zones are dear: one source is in ours while it can be."""
        return self.zones.get(ip) == self.settings.zone

    def _could_be_nearer(self, ip: str) -> bool:
        return not any(map(self._is_near, self.using)) and any(
            self._is_near(other) and other not in self.left for other in self.roster) and ip == self.using[0]

    async def _follow(self, index: int) -> None:
        ip: str | None = None
        while True:
            ip = self._next(ip)
            if ip is None:
                await asyncio.sleep(4 * PAUSE)
                continue
            self.using.append(ip)
            link = Link(places.at(self.settings, ip, places.GAUGE), f"vane {self.settings.ip}")
            try:
                await self._ask(ip, link)
            finally:
                self.using.remove(ip)
                self.good.pop(ip, None)
                self.answering.discard(ip)
                for told in self.silent.values():
                    told.pop(ip, None)
                link.close()
            await asyncio.sleep(PAUSE)

    async def _ask(self, ip: str, link: Link) -> None:
        """Ask one source until it is silent or out of touch with the core."""
        life = number = 0
        lonely = 0
        while lonely < 3:
            stamp = self.word.stamp if self.word else NOTHING
            answer = await link.call(
                "news", [stamp.number, stamp.digest, life, number, len(self.roster)], ASK)
            if isinstance(answer, Failure):
                tell(403, source=ip, trouble=answer.failure())
                self.left[ip] = self.loop.time() + LEFT
                return
            word, now_life, number, lives, roster, in_touch = answer.unwrap()
            self.answering.add(ip)
            self.has_heard.set()
            if now_life != life:
                life = now_life
                self.tasks.start(self._tell_again(link))
            self._hear(ip, word, lives, list(roster))
            self.zones.update(roster)
            self.left = {other: at for other, at in self.left.items() if at > self.loop.time()}
            if self._could_be_nearer(ip):
                return
            if in_touch:
                self.good[ip], lonely = self.loop.time(), 0
            else:
                lonely += 1
                await asyncio.sleep(PAUSE)

    async def _tell_again(self, link: Link) -> None:
        """A source that is new, or has started again, may have forgotten: tell it what we know."""
        now = self.loop.time()
        await link.call("lives", [[tell_life(life, now), 0] for life in self.lives.values()], ASK)

    def _hear(self, ip: str, word: list[Any] | None, lives: list[Any], roster: list[str]) -> None:
        for member in roster:
            if member not in self.roster:
                self.roster.append(member)
        now = self.loop.time()
        for told, silent in lives:
            self._hear_life(ip, hear_life(told, now), bool(silent))
        if word is not None:
            came = Word(Stamp(word[0], word[1]), word[2])
            larger = self.word is None or came.stamp > self.word.stamp
            if larger and invariant(came.is_whole(), "a word that was told is whole", source=ip):
                self.word = came
                self.on_word(came)
        for id_, at in list(self.ended.items()):
            if now - at > GONE_KEPT:
                del self.ended[id_]
                self.lives.pop(id_, None)
                self.silent.pop(id_, None)

    def _hear_life(self, ip: str, life: Life, silent: bool) -> None:
        known = self.lives.get(life.id)
        if known is not None:
            older = life.count < known.count and life.state == known.state
            if older or known.state > life.state:  # it never goes back
                life = known
        self.lives[life.id] = life
        if life.state is State.GONE:
            self.ended.setdefault(life.id, self.loop.time())
        told = self.silent.setdefault(life.id, {})
        told[ip] = silent
        self.on_life(life, all(told.values()))

    def end(self, id_: str) -> None:
        """The backend itself showed that this life is over."""
        life = self.lives.get(id_)
        if life is not None and life.state is not State.GONE:
            gone = Life(life.id, life.service, life.address, life.zone, life.capacity, State.GONE, life.count,
                        life.warm_at)
            self.lives[id_] = gone
            self.ended.setdefault(id_, self.loop.time())
            self.on_life(gone, True)

    async def count(self, position: float, number: int, figures: Figures) -> tuple[float, int, int, Figures] | None:
        """Tell our word for an interval, hear what may be read: position, doors, the total's number and figures.

        None where nobody answers.
        """
        for ip in self._by_nearness():
            answer = await self._count_link(ip).call("count", [position, number, figures], COUNT)
            if isinstance(answer, Success):
                there, doors, total, sums = answer.unwrap()
                return float(there), int(doors), int(total), sums
        return None

    async def place(self, ask: list[Any], hold: float, wait: float) -> tuple[str, list[Any]] | None:
        """A registry's answer to an ask for a place, and which one it was; None where none answers.

        `hold`: s that it may wait for room; `wait`: s that we may wait for a first registry, at our start. One that
        is silent is not asked again for a while, then by one request at a time until it answers: the others do not
        wait for it.
        """
        if not self.has_heard.is_set():
            try:
                async with asyncio.timeout(wait):
                    await self.has_heard.wait()
            except TimeoutError:
                return None
        for ip in self._by_nearness():
            now = self.loop.time()
            if self.deaf.get(ip, 0.0) > now:
                continue
            if ip in self.deaf:
                self.deaf[ip] = now + PLACE  # the others go elsewhere until this one is answered
            answer = await self._count_link(ip).call("place", ask, PLACE)
            if isinstance(answer, Success):
                self.deaf.pop(ip, None)
                told = answer.unwrap()
                if told[0] == WAIT[0] and hold > 0:
                    answer = await self._count_link(ip).call("wait", ask, PLACE + hold)
                    told = answer.value_or(NONE)
                return ip, told
            self.deaf[ip] = self.loop.time() + DEAF
        return None

    def place_ended(self, ip: str, body: list[Any]) -> None:
        """Tell a registry the end of a place that it gave."""
        self._count_link(ip).tell("ended", body)

    def _late(self, ip: str, kind: str, told: Any) -> None:
        """An answer that came after its time: a place that it gave is not used."""
        if kind in ("place", "wait") and told[0] > 0:
            self.place_ended(ip, [told[0], int(How.UNKNOWN), 0.0])

    def _by_nearness(self) -> list[str]:
        return sorted(self.answering, key=lambda ip: (not self._is_near(ip), hash_of(self.settings.ip, ip)))

    def _count_link(self, ip: str) -> Link:
        if ip not in self.links:
            self.links[ip] = Link(places.at(self.settings, ip, places.GAUGE), f"vane {self.settings.ip}",
                                  lambda kind, told: self._late(ip, kind, told))
        return self.links[ip]


def hash_of(*parts: str) -> int:
    """The same number on every machine."""
    return zlib.crc32("|".join(parts).encode())
