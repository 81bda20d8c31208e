"""A customer's account at one door: a count for each slot of time, which all its doors add to.

With a hundred doors each sees a customer once in minutes: only the count knows, and it is short of calls. One
call decides one try, and a try that is turned away costs no second one (`docs/design/fleet.md`). The rules:

1. Time is cut into slots, the same at all doors, each with a name of its own. A claim adds its units there
   and holds if the total is within what is carried in and the rate times the slot. One that does not hold
   stays in the total: what comes behind it in the slot finds no room either.
2. The first rate times slot of units need no knowledge. Who passes them reads the slot before, reckons what
   is carried in, and tells it in the name for all others. After a slot in which nobody did so a full store is
   carried in. The first claim that does not hold tells the next slot what room it left, so none is lost.
3. Carried in is what was carried into the slot before, and its rate times slot, less its total: from nought
   to the burst. Where several tell it at once their mean counts.
4. A door that was told that a slot is drawn refuses till its end without a call. What it learnt of a customer
   that asks far more than its rate thins the tries of the next slots (the companion's chance).
5. While the keeper is silent a door goes by even parts of the rate and lets a first request in, as most
   customers are far within their quotas. What goes out so is told to nobody.

Bounds, for a rate r, a burst B, slots of s seconds and a quantum q, while counts stand and answers come: what
holds in a slot is at most c + r s + q (c: carried in), so over n slots in a row with c told it is at most
B + n (r s + q): the rate holds in the long run. Beside a store that fills evenly it is ahead by r s at most,
after a slot that needed no knowledge by at most B more. A lost count lets at most B + r s more through; a
keeper silent for t seconds a first request and EVEN parts of B + r t at each of the doors.

A total packs three whole numbers into its seven digits: quanta drawn, the sum of what was carried in, and by
how many it was told. Times are µs of a clock that all doors share, amounts quota units, rates units a second.
"""

from __future__ import annotations

import math

from irisdeal.front_door.quota.call import Call, Purpose

SECOND = 1_000_000
SLOT = 0.5  # of the time that the burst lasts: shorter ones cost more calls, longer ones run further ahead
LONGEST, SHORTEST = 15.0, 1.0  # s of a slot; four of the longest are as long as the keeper keeps a name
LIVES = 4.0  # slots that a name lives: told one ahead, it can be read through the whole of the next one
DRAWN_FULL, CARRIED_FULL = 1000, 1000  # numbers that one place of the total holds
FINEST = 50  # quanta of what is drawn in a burst: twenty bursts fit, more than is ever asked in a slot
CARRIED = 100  # quanta of what is carried in, for a full store; nine tellers fit
TELLS = 0.4  # part of a slot after which its total tells a rate
MUCH = 1.2  # times the rate from which on a customer is one that asks too much
KNOWN = 3  # slots for which that is held true: spells of much last for many slots, spikes for less than one
MARGIN = 1.5  # claims for each unit of room of such a customer: its doors see it unevenly
LONG = 4.0  # s over which what is asked here is taken as a mean
UNTOLD = 2.0  # even parts that are held to be asked here before a total was heard
EVEN = 2.0  # even parts of the rate that go out here while the keeper is silent: most customers use half


class Account:
    """One customer of one plan with a rate, at one door."""

    __slots__ = (
        "alone",
        "alone_at",
        "burst",
        "carried",
        "drawn",
        "heard_at",
        "index",
        "key",
        "mine",
        "mine_at",
        "much",
        "much_in",
        "phase",
        "quantum",
        "rate",
        "slot",
        "ways",
    )

    def __init__(self, key: int, rate: float, burst: float, ways: int, now: int) -> None:
        """`rate` is over 0; `ways`: doors that it comes through."""
        self.key, self.rate, self.burst, self.ways = key, rate, max(burst, 1e-3), max(1, ways)
        self.slot = int(min(LONGEST, max(SHORTEST, SLOT * self.burst / rate)) * SECOND)
        self.phase = key * 2654435761 % 2**32 * self.slot // 2**32  # slots of customers do not begin at once
        self.quantum = max(self.burst, self.flow(self.slot)) / FINEST
        self.index, self.drawn = -1, 0.0  # the last slot heard of, and the units drawn there
        self.carried: float | None = None  # into it, once told
        self.much, self.much_in = 0.0, -KNOWN - 1  # units a second in the last slot with too much; which
        self.heard_at = -1  # of the last total; below 0 none was heard
        self.mine, self.mine_at = 0.0, now
        self.alone, self.alone_at = self.burst, now  # what may go out while the keeper is silent

    def flow(self, time: int) -> float:
        """Units that flow in, in so many µs."""
        return self.rate * time / SECOND

    def _index(self, now: int) -> int:
        return (now - self.phase) // self.slot

    def ask(self, units: float, now: int) -> None:
        """A try has come here."""
        self.mine = self.mine * math.exp((self.mine_at - now) / (LONG * SECOND)) + units
        self.mine_at = now

    def here(self, now: int) -> float:
        """What is asked here, a second."""
        return self.mine * math.exp((self.mine_at - now) / (LONG * SECOND)) / LONG

    def total(self, now: int) -> float:
        """What all doors ask, a second: as told lately, and no less than is seen here."""
        here = self.here(now)
        if self.heard_at < 0:
            return here * self.ways / UNTOLD
        fresh = self._index(now) - self.much_in <= KNOWN
        return max(here, self.much if fresh else self.drawn / self.slot * SECOND)

    def room(self) -> float:
        """Units that may be drawn in the slot last heard of; with nothing told, those of rule 2."""
        return (self.carried or 0.0) + self.flow(self.slot)

    def chance(self, now: int) -> float:
        """The companion: with what chance a new try is refused, by what all asked lately."""
        if not 0 < self._index(now) - self.much_in <= KNOWN:
            return 0.0
        return max(0.0, 1.0 - MARGIN * self.rate / self.much)

    def is_vain(self, now: int, draw: float) -> bool:
        """Whether a new try is refused by what is known, with no call. `draw` is from 0 to 1."""
        known = self.index == self._index(now) and self.carried is not None
        return (known and self.drawn >= self.room()) or draw < self.chance(now)

    def _call(self, purpose: Purpose, index: int, amount: float, *claimed: float) -> Call:
        name = (self.key << 24) | ((index - (purpose is Purpose.READ)) % 2**24)
        return Call(purpose, name, float(amount), int(LIVES * self.slot), index, *claimed)

    def claim(self, units: float, now: int, draw: float) -> Call:
        """Claim units of this slot. `draw`, from 0 to 1, rounds fairly in the mean."""
        quanta = math.floor(units / self.quantum + draw)
        return self._call(Purpose.CLAIM, self._index(now), quanta, quanta, units)

    def answered(self, call: Call, total: float, now: int) -> tuple[bool | None, list[Call]]:
        """The keeper's total after a call: whether its claim holds, None where a READ decides that."""
        if call.purpose not in (Purpose.CLAIM, Purpose.READ):
            return True, []
        quanta, places = round(total) % DRAWN_FULL, round(total) // DRAWN_FULL
        drawn, told = max(0, quanta) * self.quantum, places // CARRIED_FULL
        carried = min(1.0, places % CARRIED_FULL / told / CARRIED) * self.burst if told > 0 else None
        self.heard_at = now
        if call.purpose is Purpose.READ:
            return self._carry(call, drawn, carried)
        self._hear(call, drawn, carried, now)
        room = self.room()
        if self.carried is not None or self.drawn <= room or self.drawn - call.units > room + self.burst:
            return self._fits(call, self.drawn, room)  # or not, whatever is carried in
        return None, [self._call(Purpose.READ, call.index, 0, call.quanta, call.units, self.drawn)]

    def _fits(self, claim: Call, drawn: float, room: float) -> tuple[bool, list[Call]]:
        """Whether a claim holds; the one that finds too little where there was room tells the next slot."""
        before, holds = drawn - claim.quanta * self.quantum, drawn <= room + self.quantum / 2
        return holds, [] if holds or before > room else [self._tell(claim.index + 1, room - before)]

    def _tell(self, index: int, left: float) -> Call:
        part = round(min(1.0, left / self.burst) * CARRIED)
        return self._call(Purpose.CARRY, index, DRAWN_FULL * (CARRIED_FULL + part))

    def _hear(self, claim: Call, drawn: float, carried: float | None, now: int) -> None:
        if claim.index == self.index:  # a count that was lost begins anew: what was known here stands
            drawn = self.drawn + claim.units if drawn < self.drawn else drawn
            carried = self.carried if carried is None else carried
        self.index, self.drawn, self.carried = claim.index, drawn, carried
        into = now - self.phase - claim.index * self.slot
        if into >= TELLS * self.slot and drawn > MUCH * self.flow(min(into, self.slot)):
            self.much, self.much_in = drawn / min(into, self.slot) * SECOND, claim.index

    def _carry(self, read: Call, drawn: float, carried: float | None) -> tuple[bool, list[Call]]:
        """What the slot before leaves; rule 3."""
        index, flow = read.index, self.flow(self.slot)
        left = min(self.burst, max(0.0, (self.burst if carried is None else carried) + flow - drawn))
        if index == self.index:
            self.carried = left
        holds, calls = self._fits(read, read.drawn, left + flow)
        return holds, [self._tell(index, left), *calls]

    def by_itself(self, units: float, now: int) -> bool:
        """Whether a try goes out while the keeper is silent; if so its units are drawn here."""
        part = EVEN / self.ways
        most = max(units, part * self.burst)
        self.alone = min(most, self.alone + part * self.flow(now - self.alone_at))
        self.alone_at = now
        if self.alone < units:
            return False
        self.alone -= units
        return True

    def give_back(self, claim: Call, now: int) -> list[Call]:
        """Claimed, and never sent on: told where it may be another's room."""
        if claim.index != self._index(now) or not claim.quanta or 2 * self.drawn < self.room():
            return []
        self.drawn = max(0.0, self.drawn - claim.units)
        return [self._call(Purpose.RETURN, claim.index, -claim.quanta)]
