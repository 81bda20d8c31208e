"""A quota account by time slots: each slot has one count, to which all front doors of the account add.

With a hundred front doors each receives a request of an account once in minutes: only the count shows the
demand, and calls to it are scarce. One call decides one attempt, and a rejected attempt costs no second one
(`docs/design/fleet.md`).
The rules:

1. Time is divided into slots, the same at all front doors, each with a name of its own at the counter service. A
   claim adds its units there and holds if the total is within what is carried over and the rate times the slot.
   One that does not hold stays in the total: later ones in the slot find no capacity either.
2. The first rate times slot of units need no knowledge. The claim that exceeds them reads the previous slot,
   computes what is carried over, and publishes it in the name for all others. After a slot in which none did so,
   a full burst is carried over. The first claim that does not hold publishes in the next slot what capacity
   it left, so none is lost.
3. Carried over is what was carried into the previous slot, plus its rate times slot, minus its total: from zero
   to the burst. Where several publish it at once, their mean counts.
4. A front door that has observed an exhausted slot rejects until its end without a call. What it observed of an
   account whose demand far exceeds its rate thins the attempts of the next slots (`rejection_probability`).
5. While the counter service does not answer, a front door admits by even shares of the rate, and a first request,
   as most accounts are far within their quotas. These admissions are not reported.

Bounds, for a rate r, a burst B, slots of s seconds and a quantum q, while counts persist and answers arrive: what
holds in a slot is at most c + r s + q (c: carried over), so over n slots in a row with c published it is at most
B + n (r s + q): the rate holds in the long run. Compared with a token bucket it is ahead by r s at most, after a
slot that needed no knowledge by at most B more. A lost count admits at most B + r s more; a counter service that
is lost for t seconds, a first request and LOCAL_SHARES even shares of B + r t at each front door.

A total packs three integers into its seven digits: quanta claimed, the sum of what was carried over, and how often
that was published. Times are µs of a clock that all front doors share, amounts quota units, rates units a second.
"""

from __future__ import annotations

import math

from irisdeal.front_door.quota.counter_calls import CallPurpose, ClaimResult, CounterCall

US_PER_S = 1_000_000
# Of the time that the burst lasts: shorter slots cost more calls, longer ones exceed the rate by more.
SLOT_SHARE_OF_BURST = 0.5
# Four of the longest slots are as long as the counter service keeps a name.
MAX_SLOT_S = 15.0
MIN_SLOT_S = 1.0
NAME_LIFETIME_SLOTS = 4.0  # a name published one slot ahead can be read through the whole of the next one
# Numbers that one field of the total holds.
CLAIMED_MODULUS = 1000
CARRIED_MODULUS = 1000
QUANTA_PER_BURST = 50  # of claims: twenty bursts fit, more than is ever claimed in a slot
CARRIED_QUANTA = 100  # of a full burst that is carried over; nine publications fit
MIN_SLOT_FRACTION = 0.4  # of a slot after which its total shows a rate
EXCESS_FACTOR = 1.2  # times the rate from which on an account's demand is excessive
EXCESS_MEMORY_SLOTS = 3  # for which that is assumed: excess lasts for many slots, a spike for less than one
CLAIM_MARGIN = 1.5  # claims per unit of such an account's capacity: demand at its front doors is uneven
DEMAND_MEAN_S = 4.0  # time constant of the local demand's mean
ASSUMED_SHARES = 2.0  # even shares that the local demand is assumed to be before a total is known
LOCAL_SHARES = 2.0  # even shares of the rate that are admitted locally: most accounts use half
# Knuth's multiplicative hash (The Art of Computer Programming, vol. 3, 6.4), over 32 bits.
HASH_MULTIPLIER = 2654435761
HASH_RANGE = 2**32
MIN_BURST = 1e-3  # units, so that no quantum is 0


class QuotaAccount:
    """One account with a rate, at one front door."""

    __slots__ = (
        "burst",
        "carried_over",
        "claimed",
        "excess_rate_per_s",
        "excess_slot",
        "front_doors",
        "key",
        "local_allowance",
        "local_allowance_at",
        "local_demand",
        "local_demand_at",
        "phase_us",
        "quantum",
        "rate_per_s",
        "slot_index",
        "slot_us",
        "total_known_at",
    )

    def __init__(self, key: int, rate_per_s: float, burst: float, front_doors: int, now: int) -> None:
        """`rate_per_s` is over 0; `front_doors` is the number of those that the account's requests come through."""
        self.key = key
        self.rate_per_s = rate_per_s
        self.burst = max(burst, MIN_BURST)
        self.front_doors = max(1, front_doors)
        slot_s = min(MAX_SLOT_S, max(MIN_SLOT_S, SLOT_SHARE_OF_BURST * self.burst / rate_per_s))
        self.slot_us = int(slot_s * US_PER_S)
        # Slots of different accounts do not start at once.
        self.phase_us = key * HASH_MULTIPLIER % HASH_RANGE * self.slot_us // HASH_RANGE
        self.quantum = max(self.burst, self.refill(self.slot_us)) / QUANTA_PER_BURST
        self.slot_index = -1  # of the last slot observed
        self.claimed = 0.0  # units in that slot
        self.carried_over: float | None = None  # into it, once published
        self.excess_rate_per_s = 0.0  # in the last slot with excessive demand
        self.excess_slot = -EXCESS_MEMORY_SLOTS - 1  # the index of that slot
        self.total_known_at = -1  # time of the last total; below 0 none is known
        self.local_demand = 0.0
        self.local_demand_at = now
        self.local_allowance = self.burst  # units that may be admitted without the counter service
        self.local_allowance_at = now

    def refill(self, time_us: int) -> float:
        """Return the units that the rate adds in a time."""
        return self.rate_per_s * time_us / US_PER_S

    def _slot_index_at(self, now: int) -> int:
        return (now - self.phase_us) // self.slot_us

    def record_demand(self, units: float, now: int) -> None:
        """Record an attempt at this front door."""
        decay = math.exp((self.local_demand_at - now) / (DEMAND_MEAN_S * US_PER_S))
        self.local_demand = self.local_demand * decay + units
        self.local_demand_at = now

    def local_rate_per_s(self, now: int) -> float:
        """Return the demand at this front door, in units a second."""
        decay = math.exp((self.local_demand_at - now) / (DEMAND_MEAN_S * US_PER_S))
        return self.local_demand * decay / DEMAND_MEAN_S

    def total_rate_per_s(self, now: int) -> float:
        """Return the demand at all front doors, in units a second: as last known, at least the local one."""
        local_rate_per_s = self.local_rate_per_s(now)
        if self.total_known_at < 0:
            return local_rate_per_s * self.front_doors / ASSUMED_SHARES
        if self._slot_index_at(now) - self.excess_slot <= EXCESS_MEMORY_SLOTS:
            return max(local_rate_per_s, self.excess_rate_per_s)
        return max(local_rate_per_s, self.claimed / self.slot_us * US_PER_S)

    def slot_capacity(self) -> float:
        """Return the units that may be claimed in the slot last observed; with nothing published, by rule 2."""
        return (self.carried_over or 0.0) + self.refill(self.slot_us)

    def rejection_probability(self, now: int) -> float:
        """Return with what probability a new attempt is rejected, by the recent demand at all front doors."""
        if not 0 < self._slot_index_at(now) - self.excess_slot <= EXCESS_MEMORY_SLOTS:
            return 0.0
        return max(0.0, 1.0 - CLAIM_MARGIN * self.rate_per_s / self.excess_rate_per_s)

    def rejects_without_call(self, now: int, random_unit: float) -> bool:
        """Return whether a new attempt is rejected by what is known. `random_unit` is from 0 to 1."""
        is_known = self.slot_index == self._slot_index_at(now) and self.carried_over is not None
        if is_known and self.claimed >= self.slot_capacity():
            return True
        return random_unit < self.rejection_probability(now)

    def claim(self, units: float, now: int, random_unit: float) -> CounterCall:
        """Return the call that claims units of this slot.

        `random_unit`, from 0 to 1, rounds to whole quanta so that the mean is exact.
        """
        quanta = math.floor(units / self.quantum + random_unit)
        return self._call(CallPurpose.CLAIM, self._slot_index_at(now), quanta, quanta, units)

    def counter_answered(self, call: CounterCall, total: float, now: int) -> ClaimResult:
        """Take in the total that the counter service returned for a call."""
        if call.purpose not in (CallPurpose.CLAIM, CallPurpose.READ):
            return ClaimResult(True, [])
        claimed, carried_over = self._unpack(total)
        self.total_known_at = now
        if call.purpose is CallPurpose.READ:
            return self._previous_slot_read(call, claimed, carried_over)
        self._observe(call, claimed, carried_over, now)
        capacity = self.slot_capacity()
        exceeds_any_capacity = self.claimed - call.units > capacity + self.burst
        if self.carried_over is not None or self.claimed <= capacity or exceeds_any_capacity:
            return self._decide(call, self.claimed, capacity)
        read = self._call(CallPurpose.READ, call.slot_index, 0, call.quanta, call.units, self.claimed)
        return ClaimResult(None, [read])

    def admit_locally(self, units: float, now: int) -> bool:
        """Return whether an attempt is admitted while the counter service does not answer; deduct its units."""
        shares = LOCAL_SHARES / self.front_doors
        max_allowance = max(units, shares * self.burst)
        refilled = self.local_allowance + shares * self.refill(now - self.local_allowance_at)
        self.local_allowance = min(max_allowance, refilled)
        self.local_allowance_at = now
        if self.local_allowance < units:
            return False
        self.local_allowance -= units
        return True

    def return_claim(self, claim: CounterCall, now: int) -> list[CounterCall]:
        """Return units whose request was never forwarded: a call where others may need the capacity."""
        is_over = claim.slot_index != self._slot_index_at(now)
        if is_over or not claim.quanta or 2 * self.claimed < self.slot_capacity():
            return []
        self.claimed = max(0.0, self.claimed - claim.units)
        return [self._call(CallPurpose.RETURN, claim.slot_index, -claim.quanta)]

    def _call(
        self,
        purpose: CallPurpose,
        slot_index: int,
        amount: float,
        quanta: float = 0,
        units: float = 0.0,
        slot_claimed: float = 0.0,
    ) -> CounterCall:
        named_slot = slot_index - (purpose is CallPurpose.READ)
        name = (self.key << 24) | (named_slot % 2**24)
        lifetime_us = int(NAME_LIFETIME_SLOTS * self.slot_us)
        return CounterCall(purpose, name, float(amount), lifetime_us, slot_index, quanta, units, slot_claimed)

    def _unpack(self, total: float) -> tuple[float, float | None]:
        """Return the units claimed and carried over of a total; None where nothing was published."""
        quanta = round(total) % CLAIMED_MODULUS
        publications = round(total) // CLAIMED_MODULUS
        claimed = max(0, quanta) * self.quantum
        count = publications // CARRIED_MODULUS
        if count <= 0:
            return claimed, None
        mean_quanta = publications % CARRIED_MODULUS / count
        return claimed, min(1.0, mean_quanta / CARRIED_QUANTA) * self.burst

    def _decide(self, claim: CounterCall, claimed: float, capacity: float) -> ClaimResult:
        """Decide a claim; the one that exceeds a capacity not yet used up publishes the rest in the next slot."""
        claimed_before = claimed - claim.quanta * self.quantum
        holds = claimed <= capacity + self.quantum / 2
        if holds or claimed_before > capacity:
            return ClaimResult(holds, [])
        return ClaimResult(holds, [self._publish(claim.slot_index + 1, capacity - claimed_before)])

    def _publish(self, slot_index: int, remaining: float) -> CounterCall:
        carried_quanta = round(min(1.0, remaining / self.burst) * CARRIED_QUANTA)
        return self._call(CallPurpose.CARRY, slot_index, CLAIMED_MODULUS * (CARRIED_MODULUS + carried_quanta))

    def _observe(self, claim: CounterCall, claimed: float, carried_over: float | None, now: int) -> None:
        if claim.slot_index == self.slot_index:
            # After the count was lost it starts from zero: the last values known here remain.
            claimed = self.claimed + claim.units if claimed < self.claimed else claimed
            carried_over = self.carried_over if carried_over is None else carried_over
        self.slot_index = claim.slot_index
        self.claimed = claimed
        self.carried_over = carried_over
        elapsed_us = now - self.phase_us - claim.slot_index * self.slot_us
        if elapsed_us < MIN_SLOT_FRACTION * self.slot_us:
            return
        counted_us = min(elapsed_us, self.slot_us)
        if claimed > EXCESS_FACTOR * self.refill(counted_us):
            self.excess_rate_per_s = claimed / counted_us * US_PER_S
            self.excess_slot = claim.slot_index

    def _previous_slot_read(
        self, read: CounterCall, claimed: float, carried_over: float | None
    ) -> ClaimResult:
        """Compute what the previous slot leaves (rule 3), and decide the claim that waits for it."""
        refill = self.refill(self.slot_us)
        carried_before = self.burst if carried_over is None else carried_over
        remaining = min(self.burst, max(0.0, carried_before + refill - claimed))
        if read.slot_index == self.slot_index:
            self.carried_over = remaining
        result = self._decide(read, read.slot_claimed, remaining + refill)
        return ClaimResult(result.holds, [self._publish(read.slot_index, remaining), *result.calls])
