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

from irisdeal.front_door.zones.evidence import ALARM_SCORE, Evidence

SECOND_US = 1_000_000
FALSE_SUSPICION_RATIO, FLEET_ERROR_ODDS = (
    0.05,
    1e4,
)  # that a door suspects what is well; against a fleet that errs
LEAST = 3  # doors that make a fleet
TRIAL_SUCCESS_AMOUNT = 1000  # what an answered trial adds: up to 999 doors count below it
BACKS = 2  # answered trials of others that bring a door back: one may have been chance
EPOCH_US = 8 * SECOND_US  # of a name: longer than a zone takes to be left by all
CHECK_DELAYS_US = (300_000, 600_000, 1_200_000)  # µs from one look of a door that suspects to the next
READS = 40.0  # times a second that all doors of a left zone look: 2% of what a keeper of 2,000 calls takes
TRIALS = 0.5  # trials a second at each backend of a left zone, by all doors together
MAX_LONE_TRIAL_INTERVAL_S = (
    4.0  # s between trials, at most, of a door that left alone: of fewer than `suspects` doors
)
UNTRIED = 5 * SECOND_US  # that a trial was due: the zone is then tried with a part of the load
MAX_SUCCESS_AGE_US = 2 * SECOND_US  # a zone that answered so lately shows that this door's own way is whole
FINE = 0.25  # share of the attempts that may fail there: one backend of eight is bad at worst
MIN_WAIT_US, MAX_WAIT_US = (
    1 * SECOND_US,
    16 * SECOND_US,
)  # before a trial counts again: after a setback, doubled each time
CALM = 30 * SECOND_US  # of serving, after which setbacks are forgotten
COLD_LOAD_RATIO = 0.6  # of what makes a cold backend fall, as in the turns at cold backends
ZONE_COUNTER_BIT = 1 << 101  # names of zones beside those of accounts, whose keys are shorter
LIFE = 3 * EPOCH_US
MAX_HISTORY = 32  # changes that a door remembers, to tell them


class ZoneState(Enum):
    SERVING = "serving"
    LEFT = "left"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneCounterCall:
    """A call to the keeper: add `amount` to `name`, and hear the total."""

    zone: int
    epoch: int
    amount: float
    lifetime_us: int = LIFE

    @property
    def counter_name(self) -> int:
        return ZONE_COUNTER_BIT | (self.zone << 36) | (self.epoch % 2**36)


@dataclass(slots=True)
class Zone:
    """One zone."""

    number: int
    evidence: Evidence = field(default_factory=Evidence)
    state: ZoneState = ZoneState.SERVING
    state_since: int = 0  # when its stand last changed
    with_fleet: bool = False  # so many others suspect it or have left it too
    counted_epoch: int = -1  # of the name in which this door counts; -1: in none
    successes_at_leave: int = 0  # answered trials that had been told there when it left
    checked_epoch: int = -1  # the epoch in which it has looked at the name of the one before
    next_check_at: int = 0  # when it looks there again; 0: not
    check_count: int = 0  # it has looked since it suspects
    next_trial_at: int = 0
    failed_returns: int = 0
    last_success_at: int = -MAX_SUCCESS_AGE_US
    last_success_sent_at: int = -1  # when the latest attempt that was answered had been sent
    last_failure_sent_at: int = -1  # the same of the latest that failed
    backend_count: int = 0


def _seen(zone: Zone) -> str:
    """What speaks against it, in words."""
    evidence = zone.evidence
    return (
        f"{len(evidence.failed_backends)} of {zone.backend_count} backends failed, sum {evidence.score:.1f} of"
        f" {ALARM_SCORE:.1f}, {100 * evidence.failure_ratio:.0f}% of the last attempts"
    )


def required_suspects(front_doors: int) -> int:
    """How many of the doors it takes; more than there are where so few cannot tell."""
    for count in range(math.ceil(front_doors * FALSE_SUSPICION_RATIO) + 1, front_doors):
        part = count / front_doors
        entropy = part * math.log(part / FALSE_SUSPICION_RATIO) + (1.0 - part) * math.log(
            (1.0 - part) / (1.0 - FALSE_SUSPICION_RATIO)
        )
        if front_doors * entropy >= math.log(FLEET_ERROR_ODDS):
            return max(LEAST, count)
    return max(LEAST, front_doors)


class ZoneFailover:
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
        self.doors, self.can_send_trials, self.chance = doors, trials, chance
        self.fall_multiple, self.start_capacity, self.warm_up = fall_multiple, start_capacity, warm_up
        self.required_suspects = required_suspects(doors)
        self.zones: dict[int, Zone] = {}
        self.has_unhealthy_zone = False  # some zone is not serving, or is suspected
        self.history: deque[tuple[int, int, str]] = deque(
            maxlen=MAX_HISTORY
        )  # when, which zone, and in words
        self.changed: set[int] = set()  # zones whose stand changed since `settle` last told

    def update_backend_counts(self, backends: dict[int, int], now: int = 0) -> list[ZoneCounterCall]:
        """How many backends each zone has that could serve; one that had none begins anew with new ones."""
        words: list[ZoneCounterCall] = []
        for number in backends:
            self.zones.setdefault(number, Zone(number))
        for number, zone in self.zones.items():
            before, zone.backend_count = zone.backend_count, backends.get(number, 0)
            if zone.state is ZoneState.LEFT and zone.backend_count and not before:
                words += self._return(zone, now, 0)
        return words

    def load_share(self, number: int, now: int) -> float:
        """What part of its usual load a zone is sent, 0 to 1."""
        zone = self.zones.get(number)
        if zone is None or zone.state is ZoneState.SERVING:
            return 1.0
        if zone.state is ZoneState.LEFT:
            return 0.0
        warm = min(1.0, (now - zone.state_since) / max(1, self.warm_up))
        warmth = self.start_capacity + (1.0 - self.start_capacity) * warm
        return 1.0 if warm == 1.0 else min(1.0, COLD_LOAD_RATIO * self.fall_multiple * warmth)

    def describe(self, number: int) -> str:
        """One line for a log: where the zone stands, and by what."""
        zone = self.zones[number]
        why = {
            ZoneState.LEFT: "as so many do" if zone.with_fleet else "by what this door saw alone",
            ZoneState.RETURNING: f"{zone.backend_count} backends",
            ZoneState.SERVING: f"{zone.failed_returns} setbacks",
        }
        return f"zone {number} {zone.state.value}: {why[zone.state]}"

    def report(self, now: int) -> dict[str, Any]:
        """All zones as plain values, times in s before now, and the last changes, the latest first."""

        def age(at: int) -> float:
            return round((now - at) / SECOND_US, 3)

        return {
            "doors": self.doors,
            "suspects_wanted": self.required_suspects,
            "zones": [
                {
                    "zone": number,
                    "stand": zone.state.value,
                    "for_s": age(zone.state_since) if zone.state_since else None,
                    "share": round(self.load_share(number, now), 3),
                    "sum": round(zone.evidence.score, 2),
                    "failing": round(zone.evidence.failure_ratio, 3),
                    "backends": zone.backend_count,
                    "failed": len(zone.evidence.failed_backends),
                    "counted": zone.counted_epoch >= 0,
                    "with_fleet": zone.with_fleet and zone.state is ZoneState.LEFT,
                    "setbacks": zone.failed_returns,
                    "answered_s": age(zone.last_success_at) if zone.last_success_sent_at >= 0 else None,
                }
                for number, zone in sorted(self.zones.items())
            ],
            "changes": [
                {"ago_s": age(at), "zone": number, "text": text}
                for at, number, text in reversed(self.history)
            ],
        }

    # What attempts show

    def record_failure(self, number: int, backend: bytes, sent: int, now: int) -> list[ZoneCounterCall]:
        """An attempt there, which went out at `sent`, failed, or is out for far too long."""
        zone = self.zones.get(number)
        if zone is None or zone.state is ZoneState.LEFT:
            return []
        if not zone.evidence.record_failure(backend, zone.backend_count, self._elsewhere(zone)):
            return []
        self.has_unhealthy_zone, zone.last_failure_sent_at = True, max(zone.last_failure_sent_at, sent)
        if zone.evidence.is_alarm:
            self._leave(zone, now, False)
        if zone.evidence.is_suspect or not self.load_share(number, now):
            return self._count_suspicion(zone, now)
        zone.next_check_at = zone.next_check_at or now + CHECK_DELAYS_US[0]
        return []

    def record_success(self, number: int, backend: bytes, sent: int, now: int) -> list[ZoneCounterCall]:
        """An attempt there, which went out at `sent`, was answered."""
        zone = self.zones.get(number)
        if zone is None:
            return []
        zone.last_success_at, zone.last_success_sent_at = now, max(zone.last_success_sent_at, sent)
        zone.evidence.record_success(backend, self._elsewhere(zone) if zone.evidence.score else 0.0)
        if zone.state is ZoneState.LEFT:
            return self._return(zone, now, TRIAL_SUCCESS_AMOUNT) if sent > zone.state_since else []
        return [] if zone.evidence.is_suspect else self._withdraw_suspicion(zone, now, 0)

    def _count_suspicion(self, zone: Zone, now: int) -> list[ZoneCounterCall]:
        """That this door suspects the zone or has left it, once in each epoch."""
        if zone.counted_epoch == now // EPOCH_US:
            zone.next_check_at = (
                zone.next_check_at or now + CHECK_DELAYS_US[0]
            )  # another failure: how many are they by now?
            return []
        zone.counted_epoch, zone.successes_at_leave, zone.check_count = now // EPOCH_US, 0, 0
        return [ZoneCounterCall(zone.number, zone.counted_epoch, 1)]

    def _withdraw_suspicion(self, zone: Zone, now: int, more: int) -> list[ZoneCounterCall]:
        """It no longer does; in an epoch that is over nobody counts any more."""
        epoch, zone.counted_epoch, zone.next_check_at = zone.counted_epoch, -1, 0
        return (
            [ZoneCounterCall(zone.number, epoch, more - 1)]
            if epoch == now // EPOCH_US or (more and epoch >= 0)
            else []
        )

    # What the others tell

    def receive_count(self, word: ZoneCounterCall, total: float, now: int) -> list[ZoneCounterCall]:
        """The keeper's total of a name."""
        zone = self.zones[word.zone]
        if word.epoch != (now // EPOCH_US if zone.counted_epoch < 0 else zone.counted_epoch):
            return []
        backs = math.floor(total / TRIAL_SUCCESS_AMOUNT + 0.5)
        many = total - backs * TRIAL_SUCCESS_AMOUNT >= self.required_suspects
        if zone.state is not ZoneState.LEFT:
            if many and self._has_unanswered_failure(zone):
                zone.successes_at_leave = backs
                self._leave(zone, now, True)
                return self._count_suspicion(zone, now)
            if word.amount > 0 and 2 * (total - backs * TRIAL_SUCCESS_AMOUNT) >= self.required_suspects:
                zone.next_check_at = now + CHECK_DELAYS_US[0]
        elif many and not zone.with_fleet:
            zone.with_fleet, zone.successes_at_leave = True, backs
        elif zone.with_fleet and backs - zone.successes_at_leave >= BACKS and self.waited(zone, now):
            return self._return(zone, now, 0)
        return []

    def _has_unanswered_failure(self, zone: Zone) -> bool:
        """Something failed there, and nothing that was sent later has been answered."""
        return zone.evidence.score > 0.0 and zone.last_success_sent_at < zone.last_failure_sent_at

    def due_calls(self, now: int) -> list[ZoneCounterCall]:
        """What is to be asked by now."""
        words: list[ZoneCounterCall] = []
        for zone in self.zones.values():
            if not zone.next_check_at or now < zone.next_check_at:
                continue
            zone.next_check_at = 0
            if zone.state is not ZoneState.LEFT:
                if zone.counted_epoch >= 0:
                    words.append(ZoneCounterCall(zone.number, zone.counted_epoch, 0))
                    zone.check_count += 1
                    zone.next_check_at = (
                        now + CHECK_DELAYS_US[zone.check_count]
                        if zone.check_count < len(CHECK_DELAYS_US)
                        else 0
                    )
                elif self._has_unanswered_failure(zone):
                    words.append(ZoneCounterCall(zone.number, now // EPOCH_US, 0))
                continue
            zone.next_check_at = now + self._spread(self.doors / READS)
            # Nothing could carry a trial: only claims come, or its backends are cold and have no turn for us.
            untried = not self.can_send_trials or now - zone.next_trial_at > UNTRIED
            if untried and self.waited(zone, now):
                words += self._return(zone, now, 0)
            elif zone.counted_epoch in (-1, now // EPOCH_US) or zone.checked_epoch == now // EPOCH_US:
                words += self._count_suspicion(zone, now) or [
                    ZoneCounterCall(zone.number, zone.counted_epoch, 0)
                ]
            else:  # the old name may tell that it is back
                zone.checked_epoch, zone.next_check_at = now // EPOCH_US, now + CHECK_DELAYS_US[0]
                words.append(ZoneCounterCall(zone.number, zone.counted_epoch, 0))
        return words

    def _spread(self, seconds: float) -> int:
        return int(max(1.0, seconds) * (0.5 + self.chance.random()) * SECOND_US)

    # Stands

    def _elsewhere(self, zone: Zone) -> float:
        """The share of attempts that fail in the other zones that stand, and half as much for its noise."""
        found = [
            other.evidence.failure_ratio
            for other in self.zones.values()
            if other is not zone and other.state is not ZoneState.LEFT and other.backend_count
        ]
        return 1.5 * sum(found) / len(found) if found else 0.0

    def _has_healthy_alternative(self, zone: Zone, now: int) -> bool:
        """Another zone stands, has answered lately, and mostly does."""
        return any(
            other is not zone
            and other.state is not ZoneState.LEFT
            and other.backend_count > 0
            and now - other.last_success_at <= MAX_SUCCESS_AGE_US
            and other.evidence.failure_ratio <= FINE
            for other in self.zones.values()
        )

    def _leave(self, zone: Zone, now: int, with_fleet: bool) -> None:
        if not self._has_healthy_alternative(zone, now):
            return
        if zone.state is ZoneState.RETURNING:
            zone.failed_returns += 1
        elif now - zone.state_since > CALM:
            zone.failed_returns = 0
        zone.with_fleet, zone.next_check_at = with_fleet, now + self._spread(self.doors / READS)
        self._change(zone, ZoneState.LEFT, now)
        zone.next_trial_at = now + int(self._each(zone) * self.chance.random() * SECOND_US)

    def waited(self, zone: Zone, now: int) -> bool:
        """Whether it has been left for as long as its setbacks ask."""
        return now - zone.state_since >= min(MAX_WAIT_US, MIN_WAIT_US << min(zone.failed_returns, 8))

    def _return(self, zone: Zone, now: int, more: int) -> list[ZoneCounterCall]:
        words = self._withdraw_suspicion(zone, now, more)
        self._change(zone, ZoneState.RETURNING, now)
        return words

    def _change(self, zone: Zone, stand: ZoneState, now: int) -> None:
        zone.state, zone.state_since = stand, now
        self.history.append((now, zone.number, f"{self.describe(zone.number)}; {_seen(zone)}"))
        zone.evidence.reset()
        self.changed.add(zone.number)
        self.has_unhealthy_zone = True

    def _each(self, zone: Zone) -> float:
        """Seconds between two trials of this door; where it left alone, few doors are like it."""
        each = max(1.0, self.doors / (TRIALS * max(1, zone.backend_count)))
        return each if zone.with_fleet else min(MAX_LONE_TRIAL_INTERVAL_S, each)

    def due_trial(self, now: int) -> int | None:
        """A left zone that a request is to be sent to beside its own attempt, if there is one by now."""
        for zone in self.zones.values():
            if (
                zone.state is ZoneState.LEFT
                and now >= zone.next_trial_at
                and zone.backend_count
                and self.waited(zone, now)
            ):
                return zone.number
        return None

    def record_trial(self, number: int, now: int) -> None:
        """A trial of that zone has gone out."""
        zone = self.zones[number]
        zone.next_trial_at = now + self._spread(self._each(zone))

    def finish_ramps(self, now: int) -> set[int]:
        """Ramps that are over are; the zones whose stand has changed since this was last asked."""
        self.has_unhealthy_zone = False
        for zone in self.zones.values():
            if zone.state is ZoneState.RETURNING and self.load_share(zone.number, now) >= 1.0:
                self._change(zone, ZoneState.SERVING, now)
            self.has_unhealthy_zone = (
                self.has_unhealthy_zone or zone.state is not ZoneState.SERVING or zone.evidence.score > 0.0
            )
        changed, self.changed = self.changed, set()
        return changed
