"""The desk of a registry at which doors ask: for places at backends, tokens of quotas, repeats, finished totals.

One call of a door asks for all that its next attempt needs, so a request costs one way to the registry and back.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from irisdeal.almanac.model import Configuration
from irisdeal.ratelimit.retry_budget import Repeats
from irisdeal.ratelimit.interval_counter import NOUGHT, SILENT, Counter, Figures
from irisdeal.ratelimit.interval_clock import LENGTH, Edge
from irisdeal.ratelimit.tokens import Rule, Tokens
from irisdeal.gauge.registry import Registry, State
from irisdeal.isobar.answers import NONE, OVER_BUDGET, OVER_QUOTA, POOLED, WAIT, How
from irisdeal.isobar.loads import Loads, key
from irisdeal.isobar.placing import Placer
from irisdeal.mast.events import tell
from irisdeal.mast.settings import Settings
from irisdeal.synoptic.pulse import Pulse
from irisdeal.synoptic.terms import Terms
from irisdeal.telegraph.calls import name_of
from irisdeal.telegraph.link import LATER

MOST_HOLD = 2.0  # s that an ask may wait for room
GRACE = 0.5  # s beyond the door's own time that a place counts, if its door says nothing

SUM_AT = 0.45  # of an interval, when the sum of the one before is told: doors have told theirs by 0.3
IDLE = 30.0  # s after which a tenant that asks for nothing is forgotten: its tokens are full by then

DENIED = 0.1  # s that nobody is asked to lend after a no
STILL = SILENT * LENGTH  # s between two acts, beyond which others have begun to take over our part
# registry and [tenant, wanted, our change]; [given, its change], or None where nothing was heard in time
Lend = Callable[[str, list[Any]], Awaitable[Any]]


class Desk:
    """Places at backends for the doors that ask this registry."""

    def __init__(
        self, settings: Settings, registry: Registry, loop: asyncio.AbstractEventLoop, lend_from: Lend,
        members: Callable[[], int],
    ) -> None:
        """`lend_from`: asks another registry for tokens of a tenant, gives how many it lent. `members`: how many
        machines the core has."""
        self.registry, self.loop = registry, loop
        self.placer = Placer(settings.zones, random.Random())
        self.loads = Loads()
        self.synced = 0
        self.told: dict[int, int] = {}
        bound = settings.bound
        self.rule = Rule(bound("quota_window_s", 5.0), bound("quota_excess", 0.1), bound("quota_slack", 20.0))
        self.retry = (bound("retry_ratio", 0.2), bound("retry_window_s", 10.0), bound("retry_slack", 50.0))
        self.born = loop.time()
        self.edge = Edge(self.born)
        self.counter = Counter(settings.ip)
        self.limits: dict[str, tuple[float, float]] = {}
        self.tokens: dict[str, Tokens] = {}
        self.repeats: dict[str, Repeats] = {}
        self.ip, self.lend_from, self.members = settings.ip, lend_from, members
        self.pulse, self.terms = Pulse(STILL, self.born), Terms()
        self.fence = -1  # totals of earlier intervals give us no part: we stood still behind them
        self.borrowing: dict[str, tuple[str, asyncio.Future[None]]] = {}
        self.counting: dict[int, str] = {}  # door -> the connection over which it counted last
        self.denied: dict[str, float] = {}  # tenant -> until when no registry is asked to lend

    def quick(self, peer: str, kind: str, body: Any) -> Any:
        """The answer to a call that needs no waiting; `LATER` for all others."""
        if kind == "ended":
            number, how, ratio = body
            service = self.placer.ended(peer, number, How(how), ratio, self.loop.time())
            if service is not None:
                self._wake(service)
            return None
        if kind == "place":
            tenant, now = body[7], self.loop.time()
            self._beat(now)
            self._sync()
            if tenant and not self._tokens(tenant, now).claim(now, body[9]):
                if body[9] or self._lender(tenant, now) is None:
                    return OVER_QUOTA
                return LATER
            return self._admitted(peer, body, now)
        return LATER

    def _admitted(self, peer: str, body: Any, now: float) -> Any:
        """What is answered to an ask that is within its quota."""
        zone, service, usual, avoid, _, hold, time, _, again, _, connected = body
        repeats = self._repeats(service)
        if not again:
            repeats.request(now)
        elif not repeats.spend(now, self.members()):
            return OVER_BUDGET
        placed = self._place(peer, zone, service, usual, avoid, now, time, False, connected)
        return placed or (NONE if hold <= 0 else WAIT)

    def _place(
        self, peer: str, zone: str, service: str, usual: float, avoid: list[int], now: float, time: float,
        any_: bool, connected: list[int],
    ) -> list[Any] | None:
        placed = self.placer.place(peer, zone, service, usual, avoid, now, now + time + GRACE, not any_, connected)
        return [placed[0], placed[1].id, round(placed[2], 2)] if placed is not None else None

    async def place(self, peer: str, body: Any) -> Any:
        """An ask that found no token here: one from another registry."""
        tenant = body[7]
        await self._borrow(tenant)
        now = self.loop.time()
        if not self._tokens(tenant, now).claim(now):
            return OVER_QUOTA
        return self._admitted(peer, body, now)

    async def wait(self, peer: str, body: Any) -> list[Any]:
        """An ask that found no room; its token, if it needs one, is claimed."""
        zone, service, usual, avoid, rank, hold, time, *_, connected = body
        return await self._wait(peer, zone, service, usual, avoid, rank, hold, time, connected)

    async def _wait(
        self, peer: str, zone: str, service: str, usual: float, avoid: list[int], rank: int, hold: float,
        time: float, connected: list[int],
    ) -> list[Any]:
        """Wait for room for `hold` s; then the best there is, full or not."""
        begun = self.loop.time()
        until = begun + min(hold, MOST_HOLD)
        while True:
            token: asyncio.Future[None] = self.loop.create_future()
            if not self.placer.wait(service, rank, token):
                return NONE
            try:
                async with asyncio.timeout_at(until):
                    await token
            except TimeoutError:
                self.placer.wait_no_more(service, token)
            now = self.loop.time()
            self._sync()
            last = now >= until
            placed = self._place(peer, zone, service, usual, avoid, now, time - (now - begun), last, connected)
            if placed is not None or last:
                return placed or NONE

    def _wake(self, service: str) -> None:
        """Room for one more, perhaps: who goes next looks again."""
        while (token := self.placer.next(service)) is not None:
            assert isinstance(token, asyncio.Future)
            if not token.done():
                token.set_result(None)
                return

    def _sync(self) -> None:
        """The backends as the registry has them by now."""
        if self.synced == self.registry.number:
            return
        for entry in self.registry.since(self.synced):
            life = entry.life
            if life.state is State.READY:
                backend = self.placer.know(life.id, life.service, life.zone, life.capacity, life.warm_at)
                backend.silent = entry.silent
            else:
                self.placer.retire(life.id)
        self.synced = self.registry.number

    def _beat(self, now: float) -> None:
        """Before each act on what we hold for others: drop it where we stood still, as others have it by now."""
        if quiet := self.pulse.beat(now):
            self.fence = self.edge.number(now)
            for tokens in self.tokens.values():
                tokens.void(now)
            self.denied.clear()
            for service in self.placer.look(now):
                self._wake(service)
            tell(320, seconds=round(quiet, 2), tenants=len(self.tokens))

    def at_change(self, change: int) -> None:
        """A change of the register that is decided: the term under which tokens are lent."""
        self.terms.hear(change)

    def look(self, now: float) -> None:
        """Once in a while: places whose doors said nothing; who waits looks again, as time alone changes much."""
        self._beat(now)
        self._sync()
        for service in self.placer.look(now) | set(self.placer.waiting):
            self._wake(service)

    def lost(self, peer: str) -> None:
        """A door's connection ended: not silent, it moved or is gone, if this is the one over which it counts."""
        door = key(name_of(peer))
        if self.counting.get(door, peer) == peer:
            self.counting.pop(door, None)
            self.counter.leave(door)
        for service in self.placer.leave(peer):
            self._wake(service)

    # The other registries

    def sums(self) -> dict[int, int] | None:
        """What our doors have at each backend, None where it is nought as it was."""
        sums = self.placer.sums()
        told, self.told = self.told, sums
        self.placer.others(self.loads.total(self.loop.time()))
        return sums if sums or told else None

    def hear_loads(self, registry: str, sums: dict[int, int]) -> None:
        self.loads.hear(registry, sums, self.loop.time())

    # What is counted as one

    def configure(self, configuration: Configuration) -> None:
        """The tenants' limits, as the operator set them last."""
        self.limits = {tenant.name: (tenant.rate_per_s, tenant.burst) for tenant in configuration.tenants or ()}
        for name, tokens in self.tokens.items():
            tokens.change(*self.limits.get(name, (0.0, 0.0)))

    def _tokens(self, tenant: str, now: float) -> Tokens:
        tokens = self.tokens.get(tenant)
        if tokens is None:
            rate, burst = self.limits.get(tenant, (0.0, 0.0))
            tokens = self.tokens[tenant] = Tokens(
                self.rule, rate, burst, self._many(), now - self.born, now)
            if self._is_fenced():
                tokens.void(now)
        return tokens

    def _many(self) -> int:
        """Registries there are, as whoever knows most says: before all know of a new one, parts are cut for it."""
        return max(self.members(), self.counter.total.many)

    def _is_fenced(self) -> bool:
        """Whether no total since we stood still is finished."""
        return self.counter.total.number < self.fence

    def _lender(self, tenant: str, now: float) -> str | None:
        """The registry that has the most tokens of this tenant left, by its last sum; None where none has, or said
        no a moment ago: in a flood all are out, and asking costs."""
        if tenant in self.borrowing:
            return self.borrowing[tenant][0]
        if self.denied.get(tenant, -1.0) > now:
            return None
        unasked = self._tokens(tenant, now).depth()  # it was not asked for any: it has about what we had
        left, lender = max(((told.figures[tenant][2] if tenant in told.figures else unasked, ip)
                            for ip, told in self.counter.sums.items()
                            if ip != self.ip and now - told.heard < 3 * LENGTH), default=(0.0, ""))
        return lender if left >= 1.0 else None

    async def _borrow(self, tenant: str) -> None:
        """Take over tokens of another registry; who asks meanwhile waits for the same ones."""
        if tenant in self.borrowing:
            await asyncio.shield(self.borrowing[tenant][1])
            return
        now = self.loop.time()
        lender = self._lender(tenant, now)
        if lender is None:
            return
        done: asyncio.Future[None] = self.loop.create_future()
        self.borrowing[tenant] = (lender, done)
        try:
            wanted = self._tokens(tenant, now).wants(self.counter.total.own.get(tenant, NOUGHT)[0], now)
            change, stood = self.terms.change, self.fence
            told = await self.lend_from(lender, [tenant, wanted, change])
            self._beat(self.loop.time())
            got, theirs = told if told is not None else (0.0, change)
            if got > 0 and (stood != self.fence or not self.terms.is_shared(theirs)):
                got = 0.0  # lost: it was given before we stood still, or under another list
            if got > 0:
                self._tokens(tenant, now).borrow(min(got, wanted))
            else:
                self.denied[tenant] = self.loop.time() + DENIED
        finally:
            del self.borrowing[tenant]
            done.set_result(None)

    def lend(self, tenant: str, wanted: float, change: int) -> list[Any]:
        """Tokens given to another registry, gone here, and our term; none to who acts under another list."""
        now = self.loop.time()
        self._beat(now)
        if not self.terms.is_shared(change):
            if self.terms.is_news(change):
                tell(321, tenant=tenant, change=change, own=self.terms.change)
            return [0.0, self.terms.change]
        return [self._tokens(tenant, now).lend(wanted, now), self.terms.change]

    def _repeats(self, service: str) -> Repeats:
        if service not in self.repeats:
            ratio, window, slack = self.retry
            self.repeats[service] = Repeats(ratio, window, POOLED * slack)
        return self.repeats[service]

    def count(self, peer: str, position: float, number: int, figures: Figures) -> list[Any]:
        """A door's word for interval `number`; what it may read: [position, doors, the total's number, figures]."""
        now = self.loop.time()
        self._beat(now)
        self.edge.hear(position, now)
        if number >= 0:
            door = key(name_of(peer))
            self.counting[door] = peer
            self.counter.hear(door, number, figures, now)
        total = self.counter.total
        if self._is_fenced():  # what we have finished is from before we stood still
            return [round(self.edge.position(now), 4), total.doors, -1, {}]
        return [round(self.edge.position(now), 4), total.doors, total.number,
                {tenant: [round(figure, 3) for figure in total.figures[tenant]]
                 for tenant in figures if tenant in total.figures}]

    def hear_sum(
        self, registry: str, position: float, number: int, figures: Figures, doors: list[int], many: int,
    ) -> None:
        """Another registry's sum. `many`: registries there are, as it knows."""
        now = self.loop.time()
        self.edge.hear(position, now)
        self.counter.hear_sum(registry, number, figures, doors, now, many)

    async def intervals(self, tell: Callable[[list[Any]], None]) -> None:
        """Each interval: our sum of the one before, a while later; its total, once the running one is over."""
        number = self.edge.number(self.loop.time())
        while True:
            await asyncio.sleep(self.edge.until(number, self.loop.time()) + SUM_AT * LENGTH)
            tell(self.close(number - 1))
            await asyncio.sleep(self.edge.until(number + 1, self.loop.time()))
            self.finish(number - 1)
            number = max(number + 1, self.edge.number(self.loop.time()))

    def close(self, number: int) -> list[Any]:
        """Our sum of an interval that is over, for the other registries."""
        now = self.loop.time()
        self._beat(now)
        left = {tenant: round(tokens.left(now), 1) for tenant, tokens in self.tokens.items() if tokens.rate > 0}
        sums, doors = self.counter.close(number, left, now, self.members())
        return [round(self.edge.position(now), 4), number, sums, doors, self.members()]

    def finish(self, number: int) -> None:
        """The total of an interval is finished: our parts by it.

        What nobody asks for is shared by all of the core, those that are silent too: one that has just started has
        heard nobody, and would take all for itself.
        """
        now = self.loop.time()
        self._beat(now)
        was_fenced = self._is_fenced()
        total = self.counter.finish(number, now)
        if self._is_fenced():
            return
        if was_fenced:
            tell(322, interval=total.number)
        for tenant, tokens in list(self.tokens.items()):
            if now - tokens.used > IDLE:
                del self.tokens[tenant]
            elif tokens.rate > 0:
                part = self.counter.part(tenant, tokens.rate, self._many())
                tokens.told(part * max(0.0, 1.0 - total.figures.get(tenant, NOUGHT)[4]), now)
