"""Searches all states of the zone failover of three front doors and two zones within a number of steps for
violated invariants.

    python -m benchmarks.zones_states --depth 7 --from calm --from left

A breadth-first search over the real code (`irisdeal.front_door.zones.failover.ZoneFailover`), not a model of
it. A step is one of: an attempt of a front door at a zone succeeds or fails, depending on the zone; it fails
although the zone is healthy (at most `MAX_STRAY_FAILURES` times); the oldest counter call of a front door is
answered, or lost (at most `MAX_LOST_CALLS` times); `TICK_US` passes; zone 0 is lost or returns (at most
`MAX_ZONE_CHANGES` times). States are equal if they differ only in values that are not read again, or by a
permutation of the front doors. The search starts where all zones are healthy, where zone 0 is lost and the
front doors have seen a few failures, where all have left it, and where one is returning; steps of the real
code lead to each start.

Invariants: each front door has a zone to send to; a front door leaves a zone only if one of its attempts
there failed since its last state change, and only while another zone has answered recently; a returning zone
gets no more load than cold backends can carry; the counter, including pending calls, equals the number of
front doors that count themselves.
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

FRONT_DOOR_COUNT = 3
BACKENDS_PER_ZONE = 2
MAX_ZONE_CHANGES = 2
MAX_STRAY_FAILURES = 2
MAX_LOST_CALLS = 1
MAX_COLD_LOAD_RATIO = 0.6  # of the load that makes a cold backend collapse, for all front doors together
TICK_US = 400_000  # longer than the delay of the first check, shorter than the wait for a trial
COLLAPSE_LOAD_RATIO = 4.0
START_CAPACITY_RATIO = 0.18
WARM_UP_US = 17 * SECOND_US
START_US = 100 * EPOCH_US + SECOND_US


class ConstantRandom(random.Random):
    """A constant random source, so that each step has exactly one outcome."""

    def random(self) -> float:
        return 0.5

    def __deepcopy__(self, memo: dict[int, Any]) -> ConstantRandom:
        return self


@dataclass(slots=True)
class SearchState:
    """One state of the search."""

    front_doors: list[ZoneFailover]
    now: int = START_US
    is_zone_lost: bool = False
    zone_changes_left: int = MAX_ZONE_CHANGES
    stray_failures_left: int = MAX_STRAY_FAILURES
    lost_calls_left: int = MAX_LOST_CALLS
    counts: dict[int, int] = field(default_factory=dict)
    pending_calls: list[list[ZoneCounterCall]] = field(default_factory=lambda: [[], [], []])
    # Front door and zone with a failed attempt since the front door's last state change there.
    failed_since_change: set[tuple[int, int]] = field(default_factory=set)
    failed_without_success: set[tuple[int, int]] = field(default_factory=set)  # and no success since
    trace: tuple[str, ...] = ()
    violation: str = ""

    def key(self) -> tuple[Any, ...]:
        def age(at: int) -> int:
            return min(20 * SECOND_US, self.now - at) if at >= 0 else -1

        epoch = self.now // EPOCH_US
        doors = tuple(
            (
                zone.state.value,
                round(zone.evidence.score, 3),
                sorted(zone.evidence.failed_backends),
                round(zone.evidence.failure_ratio, 4),
                age(zone.state_since),
                zone.with_fleet,
                zone.counted_epoch - epoch if zone.counted_epoch >= 0 else None,
                zone.successes_at_leave,
                zone.checked_epoch - epoch,
                max(-1, zone.next_check_at - self.now) if zone.next_check_at else None,
                zone.check_count,
                max(0, zone.next_trial_at - self.now),
                zone.failed_returns,
                age(zone.last_success_at),
                age(zone.last_success_sent_at),
                age(zone.last_failure_sent_at),
            )
            for door in self.front_doors
            for zone in door.zones.values()
        )
        each = tuple(
            sorted(
                (
                    repr(doors[2 * door : 2 * door + 2]),
                    repr(self.pending_calls[door]),
                    repr(
                        [
                            (
                                (door, number) in self.failed_since_change,
                                (door, number) in self.failed_without_success,
                            )
                            for number in range(2)
                        ]
                    ),
                )
                for door in range(FRONT_DOOR_COUNT)
            )
        )
        return (
            each,
            self.now % EPOCH_US,
            self.is_zone_lost,
            self.zone_changes_left,
            self.stray_failures_left,
            self.lost_calls_left,
            tuple(sorted(self.counts.items())),
        )

    def after_step(self, what: str) -> SearchState:
        """A copy of this state whose trace ends with `what`."""
        successor = copy.copy(self)
        successor.front_doors, successor.counts = copy.deepcopy(self.front_doors), dict(self.counts)
        successor.pending_calls, successor.trace = (
            [list(calls) for calls in self.pending_calls],
            (*self.trace, what),
        )
        successor.failed_since_change, successor.failed_without_success = (
            set(self.failed_since_change),
            set(self.failed_without_success),
        )
        return successor

    # Steps

    def successors(self) -> Iterator[SearchState]:
        for door in range(FRONT_DOOR_COUNT):
            for zone in range(2):
                yield from self._attempt_steps(door, zone)
            if self.pending_calls[door]:
                yield self._deliver_call(door, True)
                if self.lost_calls_left:
                    yield self._deliver_call(door, False)
        successor = self.after_step("tick")
        successor.now += TICK_US
        for door, failover in enumerate(successor.front_doors):
            successor._apply(door, lambda failover=failover: failover.due_calls(successor.now))
            failover.finish_ramps(successor.now)
        yield successor
        if self.zone_changes_left:
            successor = self.after_step("back" if self.is_zone_lost else "lost")
            successor.is_zone_lost, successor.zone_changes_left = (
                not self.is_zone_lost,
                self.zone_changes_left - 1,
            )
            yield successor

    def _attempt_steps(self, door: int, zone: int) -> Iterator[SearchState]:
        failover, sent_at = self.front_doors[door], self.now - TICK_US // 2
        backend = b"1" if b"0" in failover.zones[zone].evidence.failed_backends else b"0"
        if not failover.load_share(zone, self.now) and failover.due_trial(self.now) != zone:
            return
        is_failing = self.is_zone_lost and zone == 0
        if is_failing or self.stray_failures_left:
            successor = self.after_step(f"door {door} fails at zone {zone}")
            successor.stray_failures_left -= not is_failing
            successor.failed_since_change.add((door, zone))
            successor.failed_without_success.add((door, zone))
            if not failover.load_share(zone, self.now):
                successor.front_doors[door].record_trial(zone, successor.now)
            successor._apply(
                door,
                lambda: successor.front_doors[door].record_failure(zone, backend, sent_at, successor.now),
            )
            yield successor
        if not is_failing:
            successor = self.after_step(f"door {door} is answered by zone {zone}")
            if not failover.load_share(zone, self.now):
                successor.front_doors[door].record_trial(zone, successor.now)
            successor.failed_without_success.discard((door, zone))
            successor._apply(
                door,
                lambda: successor.front_doors[door].record_success(zone, backend, sent_at, successor.now),
            )
            yield successor

    def _deliver_call(self, door: int, answered: bool) -> SearchState:
        successor = self.after_step(f"door {door}'s call is {'answered' if answered else 'lost'}")
        call = successor.pending_calls[door].pop(0)
        successor.lost_calls_left -= not answered
        if answered:
            successor.counts[call.counter_name] = successor.counts.get(call.counter_name, 0) + int(
                call.amount
            )
            was_in_use = successor.front_doors[door].zones[call.zone].state is not ZoneState.LEFT
            successor._apply(
                door,
                lambda: successor.front_doors[door].receive_count(
                    call, successor.counts[call.counter_name], successor.now
                ),
            )
            if was_in_use and successor.front_doors[door].zones[call.zone].state is ZoneState.LEFT:
                if (count := successor.counts[call.counter_name] % TRIAL_SUCCESS_AMOUNT) < required_suspects(
                    FRONT_DOOR_COUNT
                ):
                    successor.violation = f"door {door} left zone {call.zone} since {count} did"
                elif (door, call.zone) not in self.failed_without_success:
                    successor.violation = f"door {door} left zone {call.zone} on others' word alone"
        return successor

    def _apply(self, door: int, operation: Any) -> None:
        """Run an operation of a front door, and check the state changes that it causes."""
        before = [zone.state for zone in self.front_doors[door].zones.values()]
        self.pending_calls[door] += operation()
        for number, zone in self.front_doors[door].zones.items():
            if zone.state is before[number]:
                continue
            if zone.state is ZoneState.LEFT:
                other = self.front_doors[door].zones[1 - number]
                if (door, number) not in self.failed_since_change:
                    self.violation = f"door {door} left zone {number} and saw nothing fail there"
                elif other.state is ZoneState.LEFT or self.now - other.last_success_at > MAX_SUCCESS_AGE_US:
                    self.violation = f"door {door} left zone {number} with no other that answers"
            self.failed_since_change.discard((door, number))
            self.failed_without_success.discard((door, number))

    # Invariants of every state

    def check(self) -> str:
        """The violated invariant; empty if there is none."""
        if self.violation:
            return self.violation
        for door, failover in enumerate(self.front_doors):
            shares = [failover.load_share(zone, self.now) for zone in range(2)]
            if not any(shares):
                return f"door {door} has no zone"
            for number, zone in failover.zones.items():
                capacity_ratio = START_CAPACITY_RATIO + (1.0 - START_CAPACITY_RATIO) * min(
                    1.0, (self.now - zone.state_since) / WARM_UP_US
                )
                if (
                    zone.state is ZoneState.RETURNING
                    and shares[number]
                    > MAX_COLD_LOAD_RATIO * COLLAPSE_LOAD_RATIO * capacity_ratio + 1e-9
                    < 1.0
                ):
                    return f"door {door} sends too much to zone {number}"
        if self.lost_calls_left == MAX_LOST_CALLS:
            for number in range(2):
                call = ZoneCounterCall(number, self.now // EPOCH_US, 0)
                reported = self.counts.get(call.counter_name, 0) + sum(
                    int(pending.amount)
                    for calls in self.pending_calls
                    for pending in calls
                    if pending.counter_name == call.counter_name
                )
                counting = sum(
                    failover.zones[number].counted_epoch == call.epoch for failover in self.front_doors
                )
                if (
                    reported + TRIAL_SUCCESS_AMOUNT // 2
                ) % TRIAL_SUCCESS_AMOUNT - TRIAL_SUCCESS_AMOUNT // 2 != counting:
                    return f"zone {number}: {reported} are told where {counting} count"
        return ""


def initial_state(where: str = "calm") -> SearchState:
    """One of the initial states of the search (`STARTS`)."""
    front_doors = []
    for _ in range(FRONT_DOOR_COUNT):
        failover = ZoneFailover(
            FRONT_DOOR_COUNT, COLLAPSE_LOAD_RATIO, START_CAPACITY_RATIO, WARM_UP_US, True, ConstantRandom()
        )
        failover.update_backend_counts({0: BACKENDS_PER_ZONE, 1: BACKENDS_PER_ZONE})
        for zone in range(2):
            failover.record_success(zone, b"0", START_US - TICK_US, START_US)
        front_doors.append(failover)
    world = SearchState(front_doors)
    if where == "calm":
        return world
    steps = ["lost", *("door 0 fails at zone 0",) * 3, *("door 1 fails at zone 0",) * 2]
    if where == "stale":  # no other zone has answered recently
        steps += ["tick"] * 6
    elif where == "two":  # two have left, one suspects the zone
        steps += [f"door {door} fails at zone 0" for door in (0, 0, 1, 1, 1, 2, 2)]
        steps += [f"door {door}'s call is answered" for door in range(2)]
    elif where != "lost":
        steps += [f"door {door} fails at zone 0" for door in (0, 0, 1, 1, 1, 2, 2, 2, 2, 2)]
        steps += [f"door {door}'s call is answered" for door in range(FRONT_DOOR_COUNT)]
    if where == "returning":
        steps += ["back", *("tick",) * 5, "door 1 is answered by zone 1", "door 0 is answered by zone 0"]
    for step in steps:
        world = next(successor for successor in world.successors() if successor.trace[-1] == step)
    world.zone_changes_left = max(1, world.zone_changes_left)
    return world


STARTS = ("calm", "lost", "stale", "two", "left", "returning")


def search(depth: int, most: int = 10**9, where: str = "calm") -> tuple[list[int], SearchState | None]:
    """The number of new states by depth, up to `most` in total, and the first state that violates an invariant."""
    layer = [initial_state(where)]
    seen = {hash(layer[0].key())}
    new_states = [1]
    for _ in range(depth):
        next_layer = []
        for world in layer:
            for successor in world.successors():
                key = hash(successor.key())
                if key in seen:
                    continue
                if successor.check():
                    return new_states, successor
                seen.add(key)
                next_layer.append(successor)
                if len(seen) >= most:
                    return [*new_states, len(next_layer)], None
        layer = next_layer
        new_states.append(len(layer))
    return new_states, None


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--depth", type=int, default=5)
    parser.add_argument(
        "--most", type=int, default=2_000_000, help="maximum number of states from each start"
    )
    parser.add_argument("--from", dest="starts", choices=STARTS, action="append")
    args = parser.parse_args()
    for where in args.starts or STARTS:
        started_at = time.monotonic()
        new_states, violating_state = search(args.depth, args.most, where)
        print(
            f"{where}: {sum(new_states)} states in {time.monotonic() - started_at:.0f} s, by depth"
            f" {', '.join(map(str, new_states))}",
            flush=True,
        )
        if violating_state is not None:
            print(f"broken: {violating_state.check()}\n  " + "\n  ".join(violating_state.trace))


if __name__ == "__main__":
    main()
