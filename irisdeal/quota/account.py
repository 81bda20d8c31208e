"""A customer's account at one door: what all doors ask for it and what its store holds, by one count.

Rules that this file keeps:

1. One call to the count keeper tells both figures and brings both back. A name's total packs two whole
   numbers, within the seven digits that a total keeps: what is asked, and how far the store is drawn.
2. The store's figure is a virtual time (the generic cell rate algorithm, ITU-T I.371, annex A) in units:
   where the store is full it stands at the rate times the age of the name, the brim, and at most the burst
   above. A claim adds its units. Whoever finds the figure well under the brim, and a customer that asks for
   much, lifts it there; of several who do so at once all but the first see it in their answer, and take it
   back.
3. What the companion's chance lets through is claimed; a claim that finds too little is given back at once.
   What the chance turns away costs no call of its own, and is told with the next claim.
4. A name is left for a new one long before the keeper forgets it. Whoever is first in the new one brings over
   how far the last one was drawn. Where counts were lost, what this door knew is the least that was drawn.
5. While the keeper is silent what was last known stands, and what is drawn here is told later, less what has
   flowed in since.

Times are µs of the front door's clock, amounts are quota units, rates are units a second.
"""

from __future__ import annotations

import math
from dataclasses import replace

from irisdeal.quota.call import Call, Purpose

SECOND = 1_000_000
LONGEST_EPOCH, SHORTEST_EPOCH = 20.0, 4.0  # s that a name is used; the keeper keeps one for 60 s at most
LIVES = 2.5  # epochs that a name lives: through the whole of the next one it can still be read
ASKED_FULL = 2_000  # quanta of what is asked; more of it spills into the store's figure, one quantum each
DRAWN_FULL = 4_000  # quanta that the store's figure comes to in an epoch; both together are 8,000,000
FINEST = 0.25  # units: a quantum of the store, at least
MOST_ASKED = 30.0  # times its limit that a customer asks, at most: eight times it, each tried four times
LIFTING = 100_000  # µs that an answer of the keeper may take
LOST = 0.5  # part of the burst that a count may fall short of what was known: another door was quicker
UNTOLD = 2.0  # even parts that are held to be asked here before a total was heard
MATTERS = 0.15  # of its room that a customer asks for: below it nothing hangs on how far under the brim it is
BRIM = 0.4  # part of the burst under the brim that is let be: a call less for most claims of quiet customers
SHORT, LONG = 1.0, 4.0  # s over which what is asked is taken as a mean: at least; as it fades
MARGIN = 0.9  # claims for each unit of room: some find the store drawn, and too few would leave it unused
ROOM, LEFT = 0.9, 0.5  # parts of the rate and of the store that pass unclaimed, while the keeper is silent


class Account:
    """One customer of one plan with a rate, at one door."""

    __slots__ = (
        "asked", "asked_at", "asked_before", "asked_index", "asked_quantum", "burst", "drawn_quantum",
        "epoch", "guess", "heard_at", "key", "level", "level_at", "lifting", "mine", "mine_at", "owed",
        "phase", "rate", "seen", "untold", "untold_at", "ways")

    def __init__(self, key: int, rate: float, burst: float, ways: int, now: int) -> None:
        """`rate` is over 0; `ways`: doors that it comes through."""
        self.key, self.rate, self.burst, self.ways = key, rate, burst, max(1, ways)
        span = (DRAWN_FULL * FINEST - burst) / (2.0 * rate)
        span = min(LONGEST_EPOCH, max(SHORTEST_EPOCH, span))
        self.epoch = int(span * SECOND)
        self.phase = key * 2654435761 % 2**32 * self.epoch // 2**32  # names are not all renewed at once
        self.asked_quantum = max(1.0, MOST_ASKED * rate * span / ASKED_FULL)
        self.drawn_quantum = max(FINEST, (2.0 * rate * span + burst) / DRAWN_FULL)
        self.asked, self.asked_index, self.asked_before, self.asked_at = 0.0, -1, 0.0, 0
        self.seen = (-1, 0)  # the number of the last name heard of, and the quanta asked in it
        self.heard_at = -1  # of the last total; below 0 none was heard
        self.level = self.guess = burst  # what the store holds: at most, by what is known; as is held likely
        self.level_at = now  # of both
        self.lifting = 0  # until when a lift of ours is held to be under way
        self.mine, self.mine_at, self.owed = 0.0, now, 0.0
        self.untold, self.untold_at = 0.0, now  # drawn here while the keeper was silent

    def ask(self, weight: float, now: int) -> None:
        """A try has come here."""
        self.mine, self.mine_at = self.mine * math.exp((self.mine_at - now) / (LONG * SECOND)) + weight, now
        self.owed += weight

    def here(self, now: int) -> float:
        """What is asked here, a second."""
        return self.mine * math.exp((self.mine_at - now) / (LONG * SECOND)) / LONG

    def total(self, now: int) -> float:
        """What all doors ask, a second: as told, and no less than is seen here. Before it is told, a door's
        first request tells little of the others: some even parts of what is asked here."""
        here = self.here(now)
        return max(here, self.asked if self.heard_at >= 0 else here * self.ways / UNTOLD)

    def _flow(self, now: int) -> None:
        flown = self.rate * max(0, now - self.level_at) / SECOND
        self.level, self.guess = min(self.burst, self.level + flown), min(self.burst, self.guess + flown)
        self.level_at = now

    def _know(self, level: float) -> None:
        self.level = self.guess = level

    def need(self, now: int) -> float:
        """What is asked as a part of the room: how much an answer of the keeper matters."""
        self._flow(now)
        if self.heard_at < 0:
            return 1.0
        return self.total(now) * LONG / max(1e-9, self.rate * LONG + max(0.0, self.guess))

    def chance(self, now: int, claims: bool, strain: float = 1.0) -> float:
        """The companion: with what chance a new try is refused, by what is asked and what there is room for.

        Where what passes is claimed, a little more passes than there is room for, unless calls are short."""
        asked = self.total(now) * LONG
        if asked <= 0.0:
            return 0.0
        self._flow(now)
        store = max(0.0, self.guess)
        if claims:
            room = (self.rate * LONG + store) * max(ROOM, MARGIN / math.sqrt(strain))
        else:
            room = ROOM * self.rate * LONG + LEFT * store
        return max(0.0, 1.0 - room / asked)

    def _call(self, purpose: Purpose, index: int, quanta: int, **more: float) -> Call:
        return Call(purpose, (self.key << 24) | (index % 2**24), float(ASKED_FULL * quanta),
                    int(LIVES * self.epoch), index, quanta, **more)

    def claim(self, units: float, now: int, draw: float) -> Call:
        """Claim units of the store and tell what is owed. `draw`, from 0 to 1, rounds fairly in the mean."""
        asked = math.floor(self.owed / self.asked_quantum + draw)
        quanta = math.floor((units + self._late(now)) / self.drawn_quantum + draw)
        index = (now - self.phase) // self.epoch
        call = self._call(Purpose.CLAIM, index, quanta, units=units, asked=self.owed)
        self.owed = self.untold = 0.0
        return replace(call, amount=call.amount + asked)

    def answered(self, call: Call, total: float, now: int) -> tuple[bool, list[Call]]:
        """The keeper's total after a call: whether a claim holds, and what is to be called now."""
        if call.purpose is Purpose.CLAIM:
            return self._claimed(call, total, now)
        if call.purpose is Purpose.READ:
            return True, self._carry(call, total, now)
        if call.purpose is Purpose.LIFT and total - call.expected >= call.amount / 2:
            return True, [self._call(Purpose.RETURN, call.index, -call.quanta)]  # another one was before us
        return True, []

    def _claimed(self, claim: Call, total: float, now: int) -> tuple[bool, list[Call]]:
        drawn, asked = divmod(round(total), ASKED_FULL)
        begun = claim.index * self.epoch + self.phase
        self._hear_asked(asked * self.asked_quantum, claim.index, begun, now)
        self._flow(now)
        least, self.heard_at = max(0.0, self.burst - self.level), now
        calls: list[Call] = []
        mine = claim.quanta * self.drawn_quantum
        over = drawn * self.drawn_quantum - self.rate * (now - begun) / SECOND - mine  # the brim, before us
        # What is asked only grows: less of it than was seen is a count that was lost.
        lost = self.seen[0] == claim.index and asked < self.seen[1] and over < least - LOST * self.burst
        unsure = lost or self.seen[0] != claim.index  # a name that is new to us may not be put right yet
        self.seen = (claim.index, asked)
        matters = self.need(now) >= MATTERS
        if drawn <= claim.quanta and matters:  # nobody was here before: what the last name holds decides
            read = self._call(Purpose.READ, claim.index - 1, 0, units=claim.units, expected=total)
            calls.append(replace(read, index=claim.index))
            self.lifting = now + LIFTING
        elif now >= self.lifting and (lost or (matters and over < -BRIM * self.burst)):
            calls.append(self._lift(claim.index, least - over, total))
            self.lifting = now + LIFTING
        over = max(0.0, over, least if unsure or now < self.lifting else 0.0)
        holds = over + claim.units <= self.burst + self.drawn_quantum / 2
        if not holds and claim.quanta:
            calls.append(self._call(Purpose.RETURN, claim.index, -claim.quanta))
        self._know(self.burst - over - (mine if holds else 0.0))
        return holds, calls

    def _lift(self, index: int, units: float, total: float) -> Call:
        lift = self._call(Purpose.LIFT, index, math.ceil(units / self.drawn_quantum))
        return replace(lift, expected=total + lift.amount)

    def _carry(self, read: Call, total: float, now: int) -> list[Call]:
        """What the last name holds, for who is the first in the next: it is brought over."""
        ended = read.index * self.epoch + self.phase
        flown = self.rate * (now - ended) / SECOND  # in the time of the name in use
        over = round(total) // ASKED_FULL * self.drawn_quantum - flown - self.rate * self.epoch / SECOND
        self._flow(now)
        over = max(0.0, over, self.burst - self.level - read.units)
        self._know(min(self.level, self.burst - over - read.units))
        return [self._lift(read.index, over + flown, read.expected)] if over + flown > 0 else []

    def failed(self, call: Call) -> None:
        """A call was turned away and not added: what was told with it is told again."""
        self.owed += call.asked

    def missed(self, call: Call, now: int) -> None:
        """A call has no answer in time; it is held to be added, as a crowded keeper's are."""
        self._flow(now)
        self.level, self.guess = self.level - call.units, self.guess - call.units

    def _late(self, now: int) -> float:
        """What was drawn here and not told, less what has flowed in since."""
        return self.untold * math.exp((self.untold_at - now) / SECOND * self.rate / self.burst)

    def draw(self, units: float, now: int) -> None:
        """Units go out unclaimed: the others are held to draw as many times ours as they ask."""
        times = min(2.0 * self.ways, max(1.0, self.total(now) / max(1e-9, self.here(now))))
        self._flow(now)
        self.level, self.guess = self.level - units, max(-self.burst / 2, self.guess - units * times)
        self.untold, self.untold_at = self._late(now) + units, now

    def undraw(self, units: float) -> None:
        """Units that were drawn unclaimed, and never sent on."""
        self.untold = max(0.0, self.untold - units)
        self.level, self.guess = min(self.burst, self.level + units), min(self.burst, self.guess + units)

    def give_back(self, claim: Call) -> list[Call]:
        """Claimed, and never sent on."""
        self._know(min(self.burst, self.level + claim.units))
        return [self._call(Purpose.RETURN, claim.index, -claim.quanta)] if claim.quanta else []

    def _hear_asked(self, asked: float, index: int, begun: int, now: int) -> None:
        """What all ask: the mean since a total that this door heard, or since the name began."""
        known = index == self.asked_index and asked >= self.asked_before
        since, amount = (now - self.asked_at, asked - self.asked_before) if known else (now - begun, asked)
        if since < SHORT * SECOND and (known or self.heard_at >= 0):
            return  # too short a time to tell a rate; the next total covers it
        rate = amount / max(SHORT, since / SECOND)
        part = 1.0 if self.heard_at < 0 else 1.0 - math.exp(-since / (LONG * SECOND))
        self.asked += part * (rate - self.asked)
        self.asked_index, self.asked_before, self.asked_at = index, asked, now
