"""Zones as one door of a fleet sees them: which are left, which come back, what it asks of others. Pure.

| from | to | by |
| --- | --- | --- |
| serving, returning | left | this door's own sum alarms; or it has a doubt, and so many others suspect it |
| left | returning | a trial of its own is answered; or, left with the fleet, two others' trials were |
| returning | serving | its ramp is over |

A zone is never left where no other one stands, or where none has answered this door well lately: then its
own link or core is more likely at fault, or all are slow. Once left it is sent trials alone, by all doors
together one in two seconds for each of its backends. On its return a door sends there the part that cold
backends bear, since the list may not know that they are: all doors do, so the sum is that part of the
zone's usual load.

Doors tell each other by one count at the keeper, in a name for each zone and epoch: how many suspect the
zone or have left it. Who begins to suspect it (two failures more than answers) adds one, and takes it back
once the zone answers; while it suspects it looks there a few times more. Who has a doubt (one failure, and
nothing answered that was sent later) looks once. Who has left looks now and then, the fleet `READS` times a
second in all, and adds one to the next epoch's name. A trial that was answered adds `BACK`. What is lost or
late leaves each door to what it sees itself.

Of a zone that is well a door suspects at any one time with a chance of at most `CHANCE`, whatever it sends,
as suspicion lasts till answers come. Of n doors `suspects` do so by chance at one of `ODDS` moments at most:
exp(-n D(suspects / n, CHANCE)), D the relative entropy (Chernoff). That is six of 12 doors, 9 of 30, 26 of
200 and 83 of 1,000. Fewer cannot make another door leave, and none leaves that saw nothing fail.

Times are µs of a clock that all doors share.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from irisdeal.front_door.zones.evidence import ALARM, Evidence

SECOND = 1_000_000
CHANCE, ODDS = 0.05, 1e4  # that a door suspects what is well; against a fleet that errs
LEAST = 3  # doors that make a fleet
BACK = 1000  # what an answered trial adds: up to 999 doors count below it
BACKS = 2  # answered trials of others that bring a door back: one may have been chance
EPOCH = 8 * SECOND  # of a name: longer than a zone takes to be left by all
LOOKS = (300_000, 600_000, 1_200_000)  # µs from one look of a door that suspects to the next
READS = 40.0  # times a second that all doors of a left zone look: 2% of what a keeper of 2,000 calls takes
TRIALS = 0.5  # trials a second at each backend of a left zone, by all doors together
ALONE = 4.0  # s between trials, at most, of a door that left alone: of fewer than `suspects` doors
UNTRIED = 5 * SECOND  # that a trial was due: the zone is then tried with a part of the load
LIVELY = 2 * SECOND  # a zone that answered so lately shows that this door's own way is whole
FINE = 0.25  # share of the attempts that may fail there: one backend of eight is bad at worst
WAIT, MOST_WAIT = 1 * SECOND, 16 * SECOND  # before a trial counts again: after a setback, doubled each time
CALM = 30 * SECOND  # of serving, after which setbacks are forgotten
COLD_PART = 0.6  # of what makes a cold backend fall, as in the turns at cold backends
SPACE = 1 << 101  # names of zones beside those of accounts, whose keys are shorter
LIFE = 3 * EPOCH
KEPT = 32  # changes that a door remembers, to tell them


class Stand(Enum):
    SERVING = "serving"
    LEFT = "left"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class Word:
    """A call to the keeper: add `amount` to `name`, and hear the total."""

    zone: int
    epoch: int
    amount: float
    life: int = LIFE

    @property
    def name(self) -> int:
        return SPACE | (self.zone << 36) | (self.epoch % 2**36)


@dataclass(slots=True)
class Zone:
    """One zone."""

    number: int
    evidence: Evidence = field(default_factory=Evidence)
    stand: Stand = Stand.SERVING
    since: int = 0  # when its stand last changed
    with_fleet: bool = False  # so many others suspect it or have left it too
    epoch: int = -1  # of the name in which this door counts; -1: in none
    backs: int = 0  # answered trials that had been told there when it left
    asked: int = -1  # the epoch in which it has looked at the name of the one before
    look_at: int = 0  # when it looks there again; 0: not
    looks: int = 0  # it has looked since it suspects
    trial_at: int = 0
    setbacks: int = 0
    answered_at: int = -LIVELY
    shown: int = -1  # when the latest attempt that was answered had been sent
    lost: int = -1  # the same of the latest that failed
    backends: int = 0


def _seen(zone: Zone) -> str:
    """What speaks against it, in words."""
    evidence = zone.evidence
    return (
        f"{len(evidence.failed)} of {zone.backends} backends failed, sum {evidence.score:.1f} of"
        f" {ALARM:.1f}, {100 * evidence.failing:.0f}% of the last attempts"
    )


def suspects(doors: int) -> int:
    """How many of the doors it takes; more than there are where so few cannot tell."""
    for count in range(math.ceil(doors * CHANCE) + 1, doors):
        part = count / doors
        entropy = part * math.log(part / CHANCE) + (1.0 - part) * math.log((1.0 - part) / (1.0 - CHANCE))
        if doors * entropy >= math.log(ODDS):
            return max(LEAST, count)
    return max(LEAST, doors)


class Zones:
    """All zones of a door. What `told` and the like return are the calls to make."""

    def __init__(
        self,
        doors: int,
        fall_multiple: float,
        start_capacity: float,
        warm_up: int,
        trials: bool,
        chance: random.Random,
    ) -> None:
        """`trials`: a request may have a second attempt at once. Without, a left zone returns by time."""
        self.doors, self.trials, self.chance = doors, trials, chance
        self.fall_multiple, self.start_capacity, self.warm_up = fall_multiple, start_capacity, warm_up
        self.suspects = suspects(doors)
        self.zones: dict[int, Zone] = {}
        self.troubled = False  # some zone is not serving, or is suspected
        self.history: deque[tuple[int, int, str]] = deque(maxlen=KEPT)  # when, which zone, and in words
        self.changed: set[int] = set()  # zones whose stand changed since `settle` last told

    def listed(self, backends: dict[int, int], now: int = 0) -> list[Word]:
        """How many backends each zone has that could serve; one that had none begins anew with new ones."""
        words: list[Word] = []
        for number in backends:
            self.zones.setdefault(number, Zone(number))
        for number, zone in self.zones.items():
            before, zone.backends = zone.backends, backends.get(number, 0)
            if zone.stand is Stand.LEFT and zone.backends and not before:
                words += self._return(zone, now, 0)
        return words

    def share(self, number: int, now: int) -> float:
        """What part of its usual load a zone is sent, 0 to 1."""
        zone = self.zones.get(number)
        if zone is None or zone.stand is Stand.SERVING:
            return 1.0
        if zone.stand is Stand.LEFT:
            return 0.0
        warm = min(1.0, (now - zone.since) / max(1, self.warm_up))
        warmth = self.start_capacity + (1.0 - self.start_capacity) * warm
        return 1.0 if warm == 1.0 else min(1.0, COLD_PART * self.fall_multiple * warmth)

    def text(self, number: int) -> str:
        """One line for a log: where the zone stands, and by what."""
        zone = self.zones[number]
        why = {
            Stand.LEFT: "as so many do" if zone.with_fleet else "by what this door saw alone",
            Stand.RETURNING: f"{zone.backends} backends",
            Stand.SERVING: f"{zone.setbacks} setbacks",
        }
        return f"zone {number} {zone.stand.value}: {why[zone.stand]}"

    def told(self, now: int) -> dict[str, Any]:
        """All zones as plain values, times in s before now, and the last changes, the latest first."""

        def age(at: int) -> float:
            return round((now - at) / SECOND, 3)

        return {
            "doors": self.doors,
            "suspects_wanted": self.suspects,
            "zones": [
                {
                    "zone": number,
                    "stand": zone.stand.value,
                    "for_s": age(zone.since) if zone.since else None,
                    "share": round(self.share(number, now), 3),
                    "sum": round(zone.evidence.score, 2),
                    "failing": round(zone.evidence.failing, 3),
                    "backends": zone.backends,
                    "failed": len(zone.evidence.failed),
                    "counted": zone.epoch >= 0,
                    "with_fleet": zone.with_fleet and zone.stand is Stand.LEFT,
                    "setbacks": zone.setbacks,
                    "answered_s": age(zone.answered_at) if zone.shown >= 0 else None,
                }
                for number, zone in sorted(self.zones.items())
            ],
            "changes": [
                {"ago_s": age(at), "zone": number, "text": text}
                for at, number, text in reversed(self.history)
            ],
        }

    # What attempts show

    def fails(self, number: int, backend: bytes, sent: int, now: int) -> list[Word]:
        """An attempt there, which went out at `sent`, failed, or is out for far too long."""
        zone = self.zones.get(number)
        if zone is None or zone.stand is Stand.LEFT:
            return []
        if not zone.evidence.fails(backend, zone.backends, self._elsewhere(zone)):
            return []
        self.troubled, zone.lost = True, max(zone.lost, sent)
        if zone.evidence.alarms:
            self._leave(zone, now, False)
        if zone.evidence.suspects or not self.share(number, now):
            return self._tell(zone, now)
        zone.look_at = zone.look_at or now + LOOKS[0]
        return []

    def answers(self, number: int, backend: bytes, sent: int, now: int) -> list[Word]:
        """An attempt there, which went out at `sent`, was answered."""
        zone = self.zones.get(number)
        if zone is None:
            return []
        zone.answered_at, zone.shown = now, max(zone.shown, sent)
        zone.evidence.answers(backend, self._elsewhere(zone) if zone.evidence.score else 0.0)
        if zone.stand is Stand.LEFT:
            return self._return(zone, now, BACK) if sent > zone.since else []
        return [] if zone.evidence.suspects else self._withdraw(zone, now, 0)

    def _tell(self, zone: Zone, now: int) -> list[Word]:
        """That this door suspects the zone or has left it, once in each epoch."""
        if zone.epoch == now // EPOCH:
            zone.look_at = zone.look_at or now + LOOKS[0]  # another failure: how many are they by now?
            return []
        zone.epoch, zone.backs, zone.looks = now // EPOCH, 0, 0
        return [Word(zone.number, zone.epoch, 1)]

    def _withdraw(self, zone: Zone, now: int, more: int) -> list[Word]:
        """It no longer does; in an epoch that is over nobody counts any more."""
        epoch, zone.epoch, zone.look_at = zone.epoch, -1, 0
        return [Word(zone.number, epoch, more - 1)] if epoch == now // EPOCH or (more and epoch >= 0) else []

    # What the others tell

    def hear(self, word: Word, total: float, now: int) -> list[Word]:
        """The keeper's total of a name."""
        zone = self.zones[word.zone]
        if word.epoch != (now // EPOCH if zone.epoch < 0 else zone.epoch):
            return []
        backs = math.floor(total / BACK + 0.5)
        many = total - backs * BACK >= self.suspects
        if zone.stand is not Stand.LEFT:
            if many and self._doubts(zone):
                zone.backs = backs
                self._leave(zone, now, True)
                return self._tell(zone, now)
            if word.amount > 0 and 2 * (total - backs * BACK) >= self.suspects:
                zone.look_at = now + LOOKS[0]
        elif many and not zone.with_fleet:
            zone.with_fleet, zone.backs = True, backs
        elif zone.with_fleet and backs - zone.backs >= BACKS and self.waited(zone, now):
            return self._return(zone, now, 0)
        return []

    def _doubts(self, zone: Zone) -> bool:
        """Something failed there, and nothing that was sent later has been answered."""
        return zone.evidence.score > 0.0 and zone.shown < zone.lost

    def due(self, now: int) -> list[Word]:
        """What is to be asked by now."""
        words: list[Word] = []
        for zone in self.zones.values():
            if not zone.look_at or now < zone.look_at:
                continue
            zone.look_at = 0
            if zone.stand is not Stand.LEFT:
                if zone.epoch >= 0:
                    words.append(Word(zone.number, zone.epoch, 0))
                    zone.looks += 1
                    zone.look_at = now + LOOKS[zone.looks] if zone.looks < len(LOOKS) else 0
                elif self._doubts(zone):
                    words.append(Word(zone.number, now // EPOCH, 0))
                continue
            zone.look_at = now + self._spread(self.doors / READS)
            # Nothing could carry a trial: only claims come, or its backends are cold and have no turn for us.
            untried = not self.trials or now - zone.trial_at > UNTRIED
            if untried and self.waited(zone, now):
                words += self._return(zone, now, 0)
            elif zone.epoch in (-1, now // EPOCH) or zone.asked == now // EPOCH:
                words += self._tell(zone, now) or [Word(zone.number, zone.epoch, 0)]
            else:  # the old name may tell that it is back
                zone.asked, zone.look_at = now // EPOCH, now + LOOKS[0]
                words.append(Word(zone.number, zone.epoch, 0))
        return words

    def _spread(self, seconds: float) -> int:
        return int(max(1.0, seconds) * (0.5 + self.chance.random()) * SECOND)

    # Stands

    def _elsewhere(self, zone: Zone) -> float:
        """The share of attempts that fail in the other zones that stand, and half as much for its noise."""
        found = [
            other.evidence.failing
            for other in self.zones.values()
            if other is not zone and other.stand is not Stand.LEFT and other.backends
        ]
        return 1.5 * sum(found) / len(found) if found else 0.0

    def _others(self, zone: Zone, now: int) -> bool:
        """Another zone stands, has answered lately, and mostly does."""
        return any(
            other is not zone
            and other.stand is not Stand.LEFT
            and other.backends > 0
            and now - other.answered_at <= LIVELY
            and other.evidence.failing <= FINE
            for other in self.zones.values()
        )

    def _leave(self, zone: Zone, now: int, with_fleet: bool) -> None:
        if not self._others(zone, now):
            return
        if zone.stand is Stand.RETURNING:
            zone.setbacks += 1
        elif now - zone.since > CALM:
            zone.setbacks = 0
        zone.with_fleet, zone.look_at = with_fleet, now + self._spread(self.doors / READS)
        self._change(zone, Stand.LEFT, now)
        zone.trial_at = now + int(self._each(zone) * self.chance.random() * SECOND)

    def waited(self, zone: Zone, now: int) -> bool:
        """Whether it has been left for as long as its setbacks ask."""
        return now - zone.since >= min(MOST_WAIT, WAIT << min(zone.setbacks, 8))

    def _return(self, zone: Zone, now: int, more: int) -> list[Word]:
        words = self._withdraw(zone, now, more)
        self._change(zone, Stand.RETURNING, now)
        return words

    def _change(self, zone: Zone, stand: Stand, now: int) -> None:
        zone.stand, zone.since = stand, now
        self.history.append((now, zone.number, f"{self.text(zone.number)}; {_seen(zone)}"))
        zone.evidence.clear()
        self.changed.add(zone.number)
        self.troubled = True

    def _each(self, zone: Zone) -> float:
        """Seconds between two trials of this door; where it left alone, few doors are like it."""
        each = max(1.0, self.doors / (TRIALS * max(1, zone.backends)))
        return each if zone.with_fleet else min(ALONE, each)

    def trial(self, now: int) -> int | None:
        """A left zone that a request is to be sent to beside its own attempt, if there is one by now."""
        for zone in self.zones.values():
            if zone.stand is Stand.LEFT and now >= zone.trial_at and zone.backends and self.waited(zone, now):
                return zone.number
        return None

    def tried(self, number: int, now: int) -> None:
        """A trial of that zone has gone out."""
        zone = self.zones[number]
        zone.trial_at = now + self._spread(self._each(zone))

    def settle(self, now: int) -> set[int]:
        """Ramps that are over are; the zones whose stand has changed since this was last asked."""
        self.troubled = False
        for zone in self.zones.values():
            if zone.stand is Stand.RETURNING and self.share(zone.number, now) >= 1.0:
                self._change(zone, Stand.SERVING, now)
            self.troubled = self.troubled or zone.stand is not Stand.SERVING or zone.evidence.score > 0.0
        changed, self.changed = self.changed, set()
        return changed
