"""The state of a front door as a few coarse features, by which a search measures coverage.

A state has one value of each feature. A schedule is kept if it reaches a pair of values of two features that no
earlier day reached (pairwise coverage, as in combinatorial testing: Kuhn, Wallace and Gallo, IEEE TSE 2004), since
there are too many complete states to be useful.
"""

from __future__ import annotations

import itertools
import zlib
from typing import TYPE_CHECKING

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import ServerState
from irisdeal.front_door.server.program import Program
from irisdeal.simulation.search.front_door_day import SimulatedFrontDoors

if TYPE_CHECKING:
    from irisdeal.simulation.world import World

SAMPLE_INTERVAL_US = 40_000  # shorter than the notice of a drain, and much shorter than a restart
State = tuple[str, ...]


def _bucket(count: float, *steps: float) -> str:
    """Return the number of thresholds that a count has reached."""
    return str(sum(count >= step for step in steps))


def state_of(program: Program) -> State:
    """Return one value of each feature, in a fixed order."""
    decision_loop, pool, clients = program.decision_loop, program.pool, program.clients
    found = [
        f"drain:{program.is_stopping:d}",
        f"clients:{_bucket(len(clients.slots), 1, 10, 40)}{clients.is_near_capacity():d}",
        f"queue held:{clients.listener.is_paused:d}",
        f"open:{_bucket(len(decision_loop.requests), 1, 4, 16)}",
        f"pool:{_bucket(len(pool.connections), 1, 8, 24)}",
        f"idle:{_bucket(sum(map(len, pool.idle.values())), 1, 8)}",
        f"rest:{pool.idle_limit_s < 0.9 * pool.max_idle_limit_s:d}",
        f"retired:{any(c.retired for c in pool.connections):d}",
        f"list:{program.discovery.schedule.version < 0:d}{program.discovery.connection is not None:d}",
    ]
    if (counter := decision_loop.counter) is not None:
        connections = counter.connections
        found += [
            f"lines:{sum(connection.transport is not None for connection in connections)}",
            f"failing:{any(connection.is_failing for connection in connections):d}",
            f"owed:{_bucket(max(len(connection.calls) for connection in connections), 1, 4, 16)}",
        ]
    if isinstance(gateway := decision_loop.decider, Gateway):
        servers = gateway.servers.values()
        attempt_count = max((len(r.attempts) for r in gateway.requests.values()), default=0)
        may_have_run = any(
            len(r.attempts) > 1 and any(t.may_have_run for t in r.attempts) for r in gateway.requests.values()
        )
        found += [
            f"waiting:{_bucket(gateway.queue.entries, 1, 5, 20)}",
            f"bound:{any(c.blocked_flows for c in gateway.tenants.values()):d}",
            f"window:{_bucket(gateway.window / gateway.usual_window, 0.3, 0.9, 2.0)}",
            f"ready:{_bucket(len(gateway.ready_servers), 1, 3)}",
            f"draining:{any(s.entry.state is ServerState.DRAINING for s in servers):d}",
            f"cold:{any(gateway._capacity_ratio(s) < 1.0 for s in gateway.ready_servers):d}",
            f"bad:{any(s.failure_rates[None] > 0.3 for s in servers):d}",
            f"strain:{_bucket(gateway.counter_backoff_factor, 1.01, 4.0)}",
            f"tries:{min(attempt_count, 3)}{may_have_run:d}",
            f"again:{_bucket(gateway.retry_budget, 1.0, 8.0)}",
        ]
    return tuple(found)


class StateSampler:
    """Samples the states of all front doors of a simulated day."""

    def __init__(self) -> None:
        self.states: set[State] = set()

    def watch(self, world: World, doors: SimulatedFrontDoors) -> None:
        """Sample the states after each `SAMPLE_INTERVAL_US`."""
        world.at(world.now + SAMPLE_INTERVAL_US, "a look", self._sample, world, doors)

    def _sample(self, world: World, doors: SimulatedFrontDoors) -> None:
        self.states.update(state_of(program) for program in doors.programs)
        self.watch(world, doors)

    def pair_ids(self) -> set[int]:
        """Return checksums of all pairs of values seen together; they are equal in all processes."""
        return {
            zlib.crc32(f"{one}|{other}".encode())
            for state in self.states
            for one, other in itertools.combinations(state, 2)
        }

    def state_ids(self) -> set[int]:
        """Return checksums of the complete states."""
        return {zlib.crc32("|".join(state).encode()) for state in self.states}
