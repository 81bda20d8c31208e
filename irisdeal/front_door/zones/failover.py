"""Zone failover: when one front door stops sending to a zone of backends, and when it returns. No I/O.

| from | to | when |
| --- | --- | --- |
| serving, returning | left | its own evidence alarms; or a failure is unanswered and enough others suspect it |
| left | returning | an own trial is answered; or, if left with the fleet, two trials of other front doors were |
| returning | serving | its ramp is over |

A zone is never left where no other zone is in use, or where none has answered this front door lately: then the
front door's own link or core has more likely failed, or all zones are slow. A zone that was left receives
trials only: all front doors together send one every two seconds to each of its backends. When a front door
returns, it sends the share of the zone's usual load that cold backends can bear, because the server list may not
show that they are cold. All front doors do so; their sum is that share of the zone's usual load.

Front doors exchange one number through the counter service, under a counter name for each zone and epoch: how
many of them suspect the zone or have left it. A front door that begins to suspect it (two failures more than
successes) adds one, and subtracts it once the zone answers; while it suspects the zone, it reads the counter a
few times more. One with a single failure, after which nothing that was sent later has been answered, reads the
counter once. One that has left the zone reads it periodically, all of them together
`LEFT_ZONE_CHECKS_PER_S` times a second, and adds one to the counter of the next epoch. An answered trial adds
`TRIAL_SUCCESS_AMOUNT`. If calls are lost or late, each front door relies on its own attempts.

At any time a front door suspects a healthy zone with a probability of at most `FALSE_SUSPICION_RATIO`, whatever
its request rate, since a suspicion lasts until the zone answers. Of n front doors `required_suspects` do so by
chance at most once in `FLEET_ERROR_ODDS` moments: exp(-n D(required_suspects / n, FALSE_SUSPICION_RATIO)), where
D is the relative entropy (Chernoff). That is six of 12 front doors, 9 of 30, 26 of 200 and 83 of 1,000. Fewer
can't make another one leave a zone, and none leaves without a failure of its own.

Times are µs of a clock that all front doors share.
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
FALSE_SUSPICION_RATIO = 0.05  # bound on the probability that a front door suspects a healthy zone
FLEET_ERROR_ODDS = 1e4  # against enough false suspicions at one time to make a fleet leave a healthy zone
MIN_REQUIRED_SUSPECTS = 3  # fewer front doors are not a fleet
TRIAL_SUCCESS_AMOUNT = 1000  # added for an answered trial: below it up to 999 front doors are counted
REQUIRED_TRIAL_SUCCESSES = 2  # of others, before a front door returns: a single one may be chance
EPOCH_US = 8 * SECOND_US  # of a counter name: longer than all front doors need to leave a zone
# Between the counter reads of a front door that suspects a zone.
CHECK_DELAYS_US = (
    300_000,
    600_000,
    1_200_000,
)
# Counter reads for a left zone by all front doors together: 2% of the 2,000 calls that a counter service serves.
LEFT_ZONE_CHECKS_PER_S = 40.0
TRIALS_PER_S_PER_BACKEND = 0.5  # to a left zone, by all front doors together
# Of a front door that left a zone alone, without the fleet: few others are in its place and send trials.
MAX_LONE_TRIAL_INTERVAL_S = 4.0
MAX_TRIAL_OVERDUE_US = 5 * SECOND_US  # after which the zone is probed with a share of the load instead
# Another zone that answered since proves that the front door's own link works.
MAX_SUCCESS_AGE_US = 2 * SECOND_US
# Of another zone to which the load may move: at worst one of its eight backends is bad.
MAX_ALTERNATIVE_FAILURE_RATIO = 0.25
# Time in which a left zone stays left whatever trials show: doubled after each failed return, up to the maximum.
MIN_WAIT_US = 1 * SECOND_US
MAX_WAIT_US = 16 * SECOND_US
FAILED_RETURN_MEMORY_US = 30 * SECOND_US  # of serving, after which failed returns no longer count
COLD_LOAD_RATIO = 0.6  # of the load at which a cold backend collapses, as in the budget of cold backends
ZONE_COUNTER_BIT = 1 << 101  # keeps these counter names apart from those of accounts, which are shorter
COUNTER_LIFETIME_US = 3 * EPOCH_US
MAX_HISTORY = 32  # state changes kept for reports


class ZoneState(Enum):
    """How this front door uses a zone; see the module's table."""

    SERVING = "serving"
    LEFT = "left"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneCounterCall:
    """A call to the counter service: add `amount` to `counter_name` and return the total; 0 only reads it."""

    zone: int
    epoch: int
    amount: float
    lifetime_us: int = COUNTER_LIFETIME_US

    @property
    def counter_name(self) -> int:
        """The counter of this zone and epoch."""
        return ZONE_COUNTER_BIT | (self.zone << 36) | (self.epoch % 2**36)


@dataclass(slots=True)
class Zone:
    """State of one zone."""

    number: int
    evidence: Evidence = field(default_factory=Evidence)
    state: ZoneState = ZoneState.SERVING
    state_since: int = 0
    with_fleet: bool = False  # enough other front doors suspect it or have left it
    counted_epoch: int = -1  # in whose counter this front door is counted; -1: in none
    successes_at_leave: int = 0  # answered trials in that counter when this front door left
    checked_epoch: int = -1  # in which the previous epoch's counter was read a last time
    next_check_at: int = 0  # next read of the counter; 0: none is due
    check_count: int = 0  # reads since the suspicion began
    next_trial_at: int = 0
    failed_returns: int = 0
    last_success_at: int = -MAX_SUCCESS_AGE_US
    last_success_sent_at: int = -1  # when the latest answered attempt had been sent
    last_failure_sent_at: int = -1  # when the latest failed attempt had been sent
    backend_count: int = 0


def _describe_evidence(zone: Zone) -> str:
    """Return the figures behind a state change, for logs and reports."""
    evidence = zone.evidence
    return (
        f"{len(evidence.failed_backends)} of {zone.backend_count} backends failed, sum {evidence.score:.1f} of"
        f" {ALARM_SCORE:.1f}, {100 * evidence.failure_ratio:.0f}% of the last attempts"
    )


def required_suspects(front_doors: int) -> int:
    """Return how many front doors must suspect a zone before others leave it.

    In a fleet too small for a reliable decision, the result is not reached before all of them do.
    """
    for count in range(math.ceil(front_doors * FALSE_SUSPICION_RATIO) + 1, front_doors):
        ratio = count / front_doors
        entropy = ratio * math.log(ratio / FALSE_SUSPICION_RATIO) + (1.0 - ratio) * math.log(
            (1.0 - ratio) / (1.0 - FALSE_SUSPICION_RATIO)
        )
        if front_doors * entropy >= math.log(FLEET_ERROR_ODDS):
            return max(MIN_REQUIRED_SUSPECTS, count)
    return max(MIN_REQUIRED_SUSPECTS, front_doors)


class ZoneFailover:
    """The states of all zones, as one front door uses them.

    Methods that return a list of `ZoneCounterCall` return calls that the caller is to make.
    """

    def __init__(
        self,
        front_doors: int,
        collapse_load_ratio: float,
        start_capacity_ratio: float,
        warm_up_us: int,
        can_send_trials: bool,
        random_source: random.Random,
    ) -> None:
        """Set the fleet's size and how backends warm up.

        `collapse_load_ratio`: of a backend's capacity at the time, beyond which it collapses.
        `start_capacity_ratio`: capacity of a cold backend, relative to a warm one.
        `can_send_trials`: a request may have a second attempt at the same time; otherwise a left zone returns
        after a time.
        """
        self.front_doors, self.can_send_trials, self.random = front_doors, can_send_trials, random_source
        self.collapse_load_ratio, self.start_capacity_ratio, self.warm_up_us = (
            collapse_load_ratio,
            start_capacity_ratio,
            warm_up_us,
        )
        self.required_suspects = required_suspects(front_doors)
        self.zones: dict[int, Zone] = {}
        self.has_unhealthy_zone = False  # some zone is not serving, or has evidence against it
        self.history: deque[tuple[int, int, str]] = deque(maxlen=MAX_HISTORY)  # time, zone, description
        self.changed: set[int] = set()  # zones whose state changed since the last `finish_ramps`

    def update_backend_counts(self, backend_counts: dict[int, int], now: int = 0) -> list[ZoneCounterCall]:
        """Set how many backends of each zone could serve.

        A left zone that had none and now has some returns: its backends are new.
        """
        calls: list[ZoneCounterCall] = []
        for number in backend_counts:
            self.zones.setdefault(number, Zone(number))
        for number, zone in self.zones.items():
            previous_count, zone.backend_count = zone.backend_count, backend_counts.get(number, 0)
            if zone.state is ZoneState.LEFT and zone.backend_count and not previous_count:
                calls += self._start_return(zone, now, 0)
        return calls

    def load_share(self, number: int, now: int) -> float:
        """Return the share of its usual load to send to a zone, 0 to 1."""
        zone = self.zones.get(number)
        if zone is None or zone.state is ZoneState.SERVING:
            return 1.0
        if zone.state is ZoneState.LEFT:
            return 0.0
        progress = min(1.0, (now - zone.state_since) / max(1, self.warm_up_us))
        capacity_ratio = self.start_capacity_ratio + (1.0 - self.start_capacity_ratio) * progress
        return (
            1.0 if progress == 1.0 else min(1.0, COLD_LOAD_RATIO * self.collapse_load_ratio * capacity_ratio)
        )

    def describe(self, number: int) -> str:
        """Return one line for logs: the zone's state and its reason."""
        zone = self.zones[number]
        reasons = {
            ZoneState.LEFT: "with the fleet" if zone.with_fleet else "by this front door's own attempts",
            ZoneState.RETURNING: f"{zone.backend_count} backends",
            ZoneState.SERVING: f"{zone.failed_returns} failed returns",
        }
        return f"zone {number} {zone.state.value}: {reasons[zone.state]}"

    def report(self, now: int) -> dict[str, Any]:
        """Return all zones and the last state changes, the latest first, as plain values; ages are in s."""

        def age_s(at: int) -> float:
            return round((now - at) / SECOND_US, 3)

        return {
            "doors": self.front_doors,
            "suspects_wanted": self.required_suspects,
            "zones": [
                {
                    "zone": number,
                    "stand": zone.state.value,
                    "for_s": age_s(zone.state_since) if zone.state_since else None,
                    "share": round(self.load_share(number, now), 3),
                    "sum": round(zone.evidence.score, 2),
                    "failing": round(zone.evidence.failure_ratio, 3),
                    "backends": zone.backend_count,
                    "failed": len(zone.evidence.failed_backends),
                    "counted": zone.counted_epoch >= 0,
                    "with_fleet": zone.with_fleet and zone.state is ZoneState.LEFT,
                    "setbacks": zone.failed_returns,
                    "answered_s": age_s(zone.last_success_at) if zone.last_success_sent_at >= 0 else None,
                }
                for number, zone in sorted(self.zones.items())
            ],
            "changes": [
                {"ago_s": age_s(at), "zone": number, "text": text}
                for at, number, text in reversed(self.history)
            ],
        }

    # Results of this front door's own attempts

    def record_failure(self, number: int, backend: bytes, sent_at: int, now: int) -> list[ZoneCounterCall]:
        """Record that an attempt sent at `sent_at` failed, or has been pending for far too long."""
        zone = self.zones.get(number)
        if zone is None or zone.state is ZoneState.LEFT:
            return []
        if not zone.evidence.record_failure(backend, zone.backend_count, self._failure_ratio_elsewhere(zone)):
            return []
        self.has_unhealthy_zone, zone.last_failure_sent_at = True, max(zone.last_failure_sent_at, sent_at)
        if zone.evidence.is_alarm:
            self._leave(zone, now, False)
        if zone.evidence.is_suspect or not self.load_share(number, now):
            return self._count_suspicion(zone, now)
        zone.next_check_at = zone.next_check_at or now + CHECK_DELAYS_US[0]
        return []

    def record_success(self, number: int, backend: bytes, sent_at: int, now: int) -> list[ZoneCounterCall]:
        """Record that an attempt sent at `sent_at` was answered."""
        zone = self.zones.get(number)
        if zone is None:
            return []
        zone.last_success_at, zone.last_success_sent_at = now, max(zone.last_success_sent_at, sent_at)
        zone.evidence.record_success(
            backend, self._failure_ratio_elsewhere(zone) if zone.evidence.score else 0.0
        )
        if zone.state is ZoneState.LEFT:
            return self._start_return(zone, now, TRIAL_SUCCESS_AMOUNT) if sent_at > zone.state_since else []
        return [] if zone.evidence.is_suspect else self._withdraw_suspicion(zone, now, 0)

    def _count_suspicion(self, zone: Zone, now: int) -> list[ZoneCounterCall]:
        """Count this front door among those that suspect the zone or have left it, once in each epoch."""
        if zone.counted_epoch == now // EPOCH_US:
            # After another failure, read how many there are by now.
            zone.next_check_at = zone.next_check_at or now + CHECK_DELAYS_US[0]
            return []
        zone.counted_epoch, zone.successes_at_leave, zone.check_count = now // EPOCH_US, 0, 0
        return [ZoneCounterCall(zone.number, zone.counted_epoch, 1)]

    def _withdraw_suspicion(self, zone: Zone, now: int, extra_amount: int) -> list[ZoneCounterCall]:
        """Stop counting this front door; add `extra_amount` in the same call.

        Without it, no call is made for an epoch that is over: its counter is no longer read.
        """
        epoch, zone.counted_epoch, zone.next_check_at = zone.counted_epoch, -1, 0
        return (
            [ZoneCounterCall(zone.number, epoch, extra_amount - 1)]
            if epoch == now // EPOCH_US or (extra_amount and epoch >= 0)
            else []
        )

    # Counts of the other front doors

    def receive_count(self, call: ZoneCounterCall, total: float, now: int) -> list[ZoneCounterCall]:
        """Process the total that the counter service returned for a call; a late one is ignored."""
        zone = self.zones[call.zone]
        if call.epoch != (now // EPOCH_US if zone.counted_epoch < 0 else zone.counted_epoch):
            return []
        trial_successes = math.floor(total / TRIAL_SUCCESS_AMOUNT + 0.5)
        enough_suspect = total - trial_successes * TRIAL_SUCCESS_AMOUNT >= self.required_suspects
        if zone.state is not ZoneState.LEFT:
            if enough_suspect and self._has_unanswered_failure(zone):
                zone.successes_at_leave = trial_successes
                self._leave(zone, now, True)
                return self._count_suspicion(zone, now)
            if (
                call.amount > 0
                and 2 * (total - trial_successes * TRIAL_SUCCESS_AMOUNT) >= self.required_suspects
            ):
                zone.next_check_at = now + CHECK_DELAYS_US[0]
        elif enough_suspect and not zone.with_fleet:
            zone.with_fleet, zone.successes_at_leave = True, trial_successes
        elif (
            zone.with_fleet
            and trial_successes - zone.successes_at_leave >= REQUIRED_TRIAL_SUCCESSES
            and self._is_wait_over(zone, now)
        ):
            return self._start_return(zone, now, 0)
        return []

    def _has_unanswered_failure(self, zone: Zone) -> bool:
        """Return whether an attempt failed and nothing that was sent later has been answered."""
        return zone.evidence.score > 0.0 and zone.last_success_sent_at < zone.last_failure_sent_at

    def due_calls(self, now: int) -> list[ZoneCounterCall]:
        """Return the counter calls that are due."""
        calls: list[ZoneCounterCall] = []
        for zone in self.zones.values():
            if not zone.next_check_at or now < zone.next_check_at:
                continue
            zone.next_check_at = 0
            if zone.state is not ZoneState.LEFT:
                if zone.counted_epoch >= 0:
                    calls.append(ZoneCounterCall(zone.number, zone.counted_epoch, 0))
                    zone.check_count += 1
                    zone.next_check_at = (
                        now + CHECK_DELAYS_US[zone.check_count]
                        if zone.check_count < len(CHECK_DELAYS_US)
                        else 0
                    )
                elif self._has_unanswered_failure(zone):
                    calls.append(ZoneCounterCall(zone.number, now // EPOCH_US, 0))
                continue
            zone.next_check_at = now + self._jittered_us(self.front_doors / LEFT_ZONE_CHECKS_PER_S)
            # No trial can be sent: the only requests are quota claims, or the zone's backends are cold and
            # have no budget for this front door.
            is_untried = not self.can_send_trials or now - zone.next_trial_at > MAX_TRIAL_OVERDUE_US
            if is_untried and self._is_wait_over(zone, now):
                calls += self._start_return(zone, now, 0)
            elif zone.counted_epoch in (-1, now // EPOCH_US) or zone.checked_epoch == now // EPOCH_US:
                calls += self._count_suspicion(zone, now) or [
                    ZoneCounterCall(zone.number, zone.counted_epoch, 0)
                ]
            else:  # the previous epoch's counter may show that the zone is back
                zone.checked_epoch, zone.next_check_at = now // EPOCH_US, now + CHECK_DELAYS_US[0]
                calls.append(ZoneCounterCall(zone.number, zone.counted_epoch, 0))
        return calls

    def _jittered_us(self, seconds: float) -> int:
        return int(max(1.0, seconds) * (0.5 + self.random.random()) * SECOND_US)

    # State changes

    def _failure_ratio_elsewhere(self, zone: Zone) -> float:
        """Return the mean failure ratio of the other zones in use, and half as much again for its noise."""
        found = [
            other.evidence.failure_ratio
            for other in self.zones.values()
            if other is not zone and other.state is not ZoneState.LEFT and other.backend_count
        ]
        return 1.5 * sum(found) / len(found) if found else 0.0

    def _has_healthy_alternative(self, zone: Zone, now: int) -> bool:
        """Return whether another zone is in use, has answered lately, and answers most attempts."""
        return any(
            other is not zone
            and other.state is not ZoneState.LEFT
            and other.backend_count > 0
            and now - other.last_success_at <= MAX_SUCCESS_AGE_US
            and other.evidence.failure_ratio <= MAX_ALTERNATIVE_FAILURE_RATIO
            for other in self.zones.values()
        )

    def _leave(self, zone: Zone, now: int, with_fleet: bool) -> None:
        if not self._has_healthy_alternative(zone, now):
            return
        if zone.state is ZoneState.RETURNING:
            zone.failed_returns += 1
        elif now - zone.state_since > FAILED_RETURN_MEMORY_US:
            zone.failed_returns = 0
        zone.with_fleet, zone.next_check_at = (
            with_fleet,
            now + self._jittered_us(self.front_doors / LEFT_ZONE_CHECKS_PER_S),
        )
        self._set_state(zone, ZoneState.LEFT, now)
        zone.next_trial_at = now + int(self._trial_interval_s(zone) * self.random.random() * SECOND_US)

    def _is_wait_over(self, zone: Zone, now: int) -> bool:
        """Return whether the zone has been left for as long as its failed returns require."""
        return now - zone.state_since >= min(MAX_WAIT_US, MIN_WAIT_US << min(zone.failed_returns, 8))

    def _start_return(self, zone: Zone, now: int, extra_amount: int) -> list[ZoneCounterCall]:
        calls = self._withdraw_suspicion(zone, now, extra_amount)
        self._set_state(zone, ZoneState.RETURNING, now)
        return calls

    def _set_state(self, zone: Zone, state: ZoneState, now: int) -> None:
        zone.state, zone.state_since = state, now
        self.history.append((now, zone.number, f"{self.describe(zone.number)}; {_describe_evidence(zone)}"))
        zone.evidence.reset()
        self.changed.add(zone.number)
        self.has_unhealthy_zone = True

    def _trial_interval_s(self, zone: Zone) -> float:
        """Return the time between two trials of this front door, in s.

        It is bounded where the front door left alone: then few others send trials.
        """
        interval_s = max(1.0, self.front_doors / (TRIALS_PER_S_PER_BACKEND * max(1, zone.backend_count)))
        return interval_s if zone.with_fleet else min(MAX_LONE_TRIAL_INTERVAL_S, interval_s)

    def due_trial(self, now: int) -> int | None:
        """Return a left zone to which a second attempt of some request is to be sent now, if there is one."""
        for zone in self.zones.values():
            if (
                zone.state is ZoneState.LEFT
                and now >= zone.next_trial_at
                and zone.backend_count
                and self._is_wait_over(zone, now)
            ):
                return zone.number
        return None

    def record_trial(self, number: int, now: int) -> None:
        """Record that a trial was sent to a zone."""
        zone = self.zones[number]
        zone.next_trial_at = now + self._jittered_us(self._trial_interval_s(zone))

    def finish_ramps(self, now: int) -> set[int]:
        """Move zones whose ramp is over to serving; return the zones whose state changed since the last call."""
        self.has_unhealthy_zone = False
        for zone in self.zones.values():
            if zone.state is ZoneState.RETURNING and self.load_share(zone.number, now) >= 1.0:
                self._set_state(zone, ZoneState.SERVING, now)
            self.has_unhealthy_zone = (
                self.has_unhealthy_zone or zone.state is not ZoneState.SERVING or zone.evidence.score > 0.0
            )
        changed, self.changed = self.changed, set()
        return changed
