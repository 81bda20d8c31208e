"""Every state that the beliefs of three doors on two zones can reach in so many steps, and rules that
hold.

    python -m benchmarks.zones_states --depth 7 --from calm --from left

A breadth-first search of the real core (`irisdeal.front_door.zones.failover.ZoneFailover`), no model of it. A step
is one of: a door's attempt at a zone is answered, or fails, as that zone is; it fails though its zone is well
(`STRAYS` times at most); the oldest word of a door reaches the keeper and is answered, or is lost
(`LOSSES`); `TICK` passes; zone 0 is lost or back (`FAULTS`). Two states are one where they differ by
nothing that is looked at again, or by which door is which. It begins from where all is well, from where
zone 0 is lost and doors have seen a little of it, from where all have left it, and from where one is
coming back; each is reached by steps of the core.

Rules: each door has a zone to send to; a zone is left by a door alone that saw an attempt fail there
since it last changed its mind, and only while another zone has answered it lately; a zone that came
back is sent no more than cold backends bear; what the keeper counts, with what is on its way, is the
doors that count themselves.
"""

from __future__ import annotations

import argparse
import copy
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from irisdeal.front_door.zones.failover import (
    EPOCH_US,
    MAX_SUCCESS_AGE_US,
    SECOND_US,
    TRIAL_SUCCESS_AMOUNT,
    ZoneCounterCall,
    ZoneFailover,
    ZoneState,
    required_suspects,
)

DOORS, BACKENDS, FAULTS, STRAYS, LOSSES = 3, 2, 2, 2, 1
PART = 0.6  # of what makes a cold backend fall: what all doors may send there
TICK = 400_000  # µs: longer than the first look, shorter than the wait for a trial
FALL, START, WARM = 4.0, 0.18, 17 * SECOND_US
BEGIN = 100 * EPOCH_US + SECOND_US


class Even(random.Random):
    """Chance without luck, so that a step has one outcome."""

    def random(self) -> float:
        return 0.5

    def __deepcopy__(self, memo: dict[int, Any]) -> Even:
        return self


@dataclass(slots=True)
class World:
    """One state."""

    doors: list[ZoneFailover]
    now: int = BEGIN
    lost: bool = False
    faults: int = FAULTS
    strays: int = STRAYS
    losses: int = LOSSES
    counts: dict[int, int] = field(default_factory=dict)
    words: list[list[ZoneCounterCall]] = field(default_factory=lambda: [[], [], []])
    # Door and zone that failed it since the door last changed its mind.
    saw: set[tuple[int, int]] = field(default_factory=set)
    fresh: set[tuple[int, int]] = field(default_factory=set)  # the same, and it has not answered since
    trace: tuple[str, ...] = ()
    broken: str = ""

    def key(self) -> tuple[Any, ...]:
        def age(at: int) -> int:
            return min(20 * SECOND_US, self.now - at) if at >= 0 else -1

        epoch = self.now // EPOCH_US
        doors = tuple(
            (
                z.state.value,
                round(z.evidence.score, 3),
                sorted(z.evidence.failed_backends),
                round(z.evidence.failure_ratio, 4),
                age(z.state_since),
                z.with_fleet,
                z.counted_epoch - epoch if z.counted_epoch >= 0 else None,
                z.successes_at_leave,
                z.checked_epoch - epoch,
                max(-1, z.next_check_at - self.now) if z.next_check_at else None,
                z.check_count,
                max(0, z.next_trial_at - self.now),
                z.failed_returns,
                age(z.last_success_at),
                age(z.last_success_sent_at),
                age(z.last_failure_sent_at),
            )
            for door in self.doors
            for z in door.zones.values()
        )
        each = tuple(
            sorted(
                (
                    repr(doors[2 * door : 2 * door + 2]),
                    repr(self.words[door]),
                    repr([((door, n) in self.saw, (door, n) in self.fresh) for n in range(2)]),
                )
                for door in range(DOORS)
            )
        )
        return (
            each,
            self.now % EPOCH_US,
            self.lost,
            self.faults,
            self.strays,
            self.losses,
            tuple(sorted(self.counts.items())),
        )

    def then(self, what: str) -> World:
        made = copy.copy(self)
        made.doors, made.counts = copy.deepcopy(self.doors), dict(self.counts)
        made.words, made.trace = [list(w) for w in self.words], (*self.trace, what)
        made.saw, made.fresh = set(self.saw), set(self.fresh)
        return made

    # Steps

    def next(self) -> Iterator[World]:
        for door in range(DOORS):
            for zone in range(2):
                yield from self._attempts(door, zone)
            if self.words[door]:
                yield self._heard(door, True)
                if self.losses:
                    yield self._heard(door, False)
        made = self.then("tick")
        made.now += TICK
        for door, belief in enumerate(made.doors):
            made._do(door, lambda belief=belief: belief.due_calls(made.now))
            belief.finish_ramps(made.now)
        yield made
        if self.faults:
            made = self.then("back" if self.lost else "lost")
            made.lost, made.faults = not self.lost, self.faults - 1
            yield made

    def _attempts(self, door: int, zone: int) -> Iterator[World]:
        belief, sent = self.doors[door], self.now - TICK // 2
        name = b"1" if b"0" in belief.zones[zone].evidence.failed_backends else b"0"
        if not belief.load_share(zone, self.now) and belief.due_trial(self.now) != zone:
            return
        fails = self.lost and zone == 0
        if fails or self.strays:
            made = self.then(f"door {door} fails at zone {zone}")
            made.strays -= not fails
            made.saw.add((door, zone))
            made.fresh.add((door, zone))
            if not belief.load_share(zone, self.now):
                made.doors[door].record_trial(zone, made.now)
            made._do(door, lambda: made.doors[door].record_failure(zone, name, sent, made.now))
            yield made
        if not fails:
            made = self.then(f"door {door} is answered by zone {zone}")
            if not belief.load_share(zone, self.now):
                made.doors[door].record_trial(zone, made.now)
            made.fresh.discard((door, zone))
            made._do(door, lambda: made.doors[door].record_success(zone, name, sent, made.now))
            yield made

    def _heard(self, door: int, answered: bool) -> World:
        made = self.then(f"door {door}'s word is {'answered' if answered else 'lost'}")
        word = made.words[door].pop(0)
        made.losses -= not answered
        if answered:
            made.counts[word.counter_name] = made.counts.get(word.counter_name, 0) + int(word.amount)
            stood = made.doors[door].zones[word.zone].state is not ZoneState.LEFT
            made._do(
                door, lambda: made.doors[door].receive_count(word, made.counts[word.counter_name], made.now)
            )
            if stood and made.doors[door].zones[word.zone].state is ZoneState.LEFT:
                if (count := made.counts[word.counter_name] % TRIAL_SUCCESS_AMOUNT) < required_suspects(
                    DOORS
                ):
                    made.broken = f"door {door} left zone {word.zone} since {count} did"
                elif (door, word.zone) not in self.fresh:
                    made.broken = f"door {door} left zone {word.zone} on others' word alone"
        return made

    def _do(self, door: int, call: Any) -> None:
        """A call of the core's; what must hold of the change that it makes."""
        before = [zone.state for zone in self.doors[door].zones.values()]
        self.words[door] += call()
        for number, zone in self.doors[door].zones.items():
            if zone.state is before[number]:
                continue
            if zone.state is ZoneState.LEFT:
                other = self.doors[door].zones[1 - number]
                if (door, number) not in self.saw:
                    self.broken = f"door {door} left zone {number} and saw nothing fail there"
                elif other.state is ZoneState.LEFT or self.now - other.last_success_at > MAX_SUCCESS_AGE_US:
                    self.broken = f"door {door} left zone {number} with no other that answers"
            self.saw.discard((door, number))
            self.fresh.discard((door, number))

    # What must hold of every state

    def check(self) -> str:
        if self.broken:
            return self.broken
        for door, belief in enumerate(self.doors):
            shares = [belief.load_share(zone, self.now) for zone in range(2)]
            if not any(shares):
                return f"door {door} has no zone"
            for number, zone in belief.zones.items():
                warm = START + (1.0 - START) * min(1.0, (self.now - zone.state_since) / WARM)
                if zone.state is ZoneState.RETURNING and shares[number] > PART * FALL * warm + 1e-9 < 1.0:
                    return f"door {door} sends too much to zone {number}"
        if self.losses == LOSSES:
            for n in range(2):
                word = ZoneCounterCall(n, self.now // EPOCH_US, 0)
                told = self.counts.get(word.counter_name, 0) + sum(
                    int(w.amount)
                    for words in self.words
                    for w in words
                    if w.counter_name == word.counter_name
                )
                counted = sum(b.zones[n].counted_epoch == word.epoch for b in self.doors)
                if (
                    told + TRIAL_SUCCESS_AMOUNT // 2
                ) % TRIAL_SUCCESS_AMOUNT - TRIAL_SUCCESS_AMOUNT // 2 != counted:
                    return f"zone {n}: {told} are told where {counted} count"
        return ""


def begin(where: str = "calm") -> World:
    """One of the states that the search sets out from."""
    doors = []
    for _ in range(DOORS):
        made = ZoneFailover(DOORS, FALL, START, WARM, True, Even())
        made.update_backend_counts({0: BACKENDS, 1: BACKENDS})
        for zone in range(2):
            made.record_success(zone, b"0", BEGIN - TICK, BEGIN)
        doors.append(made)
    world = World(doors)
    if where == "calm":
        return world
    steps = ["lost", *("door 0 fails at zone 0",) * 3, *("door 1 fails at zone 0",) * 2]
    if where == "stale":  # no other zone has answered for long
        steps += ["tick"] * 6
    elif where == "two":  # two have left, one suspects it
        steps += [f"door {door} fails at zone 0" for door in (0, 0, 1, 1, 1, 2, 2)]
        steps += [f"door {door}'s word is answered" for door in range(2)]
    elif where != "lost":
        steps += [f"door {door} fails at zone 0" for door in (0, 0, 1, 1, 1, 2, 2, 2, 2, 2)]
        steps += [f"door {door}'s word is answered" for door in range(DOORS)]
    if where == "returning":
        steps += ["back", *("tick",) * 5, "door 1 is answered by zone 1", "door 0 is answered by zone 0"]
    for step in steps:
        world = next(made for made in world.next() if made.trace[-1] == step)
    world.faults = max(1, world.faults)
    return world


STARTS = ("calm", "lost", "stale", "two", "left", "returning")


def search(depth: int, most: int = 10**9, where: str = "calm") -> tuple[list[int], World | None]:
    """New states by depth, up to `most` of them in all; the first that breaks a rule."""
    layer = [begin(where)]
    seen = {hash(layer[0].key())}
    found = [1]
    for _ in range(depth):
        following = []
        for world in layer:
            for made in world.next():
                key = hash(made.key())
                if key in seen:
                    continue
                if made.check():
                    return found, made
                seen.add(key)
                following.append(made)
                if len(seen) >= most:
                    return [*found, len(following)], None
        layer = following
        found.append(len(layer))
    return found, None


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument("--most", type=int, default=2_000_000, help="states at most, from each start")
    parser.add_argument("--from", dest="starts", choices=STARTS, action="append")
    given = parser.parse_args()
    for where in given.starts or STARTS:
        began = time.monotonic()
        found, broken = search(given.depth, given.most, where)
        print(
            f"{where}: {sum(found)} states in {time.monotonic() - began:.0f} s, by depth"
            f" {', '.join(map(str, found))}",
            flush=True,
        )
        if broken is not None:
            print(f"broken: {broken.check()}\n  " + "\n  ".join(broken.trace))


if __name__ == "__main__":
    main()
