"""What a door is in, in a few coarse words for each of its parts: what a search takes as new ground.

The list of features is stated here and nowhere else. A state is one value for each; what a schedule is kept
for is a pair of values of two features that no day before it has shown (all pairs, as in combinatorial
testing: Kuhn, Wallace and Gallo, IEEE TSE 2004), since whole states are too many to tell anything.
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

EVERY = 40_000  # µs between two looks: a drain's notice is out for longer, a restart for much longer
State = tuple[str, ...]


def _size(count: float, *steps: float) -> str:
    """Which of the steps a count has reached."""
    return str(sum(count >= step for step in steps))


def state_of(program: Program) -> State:
    """One value for each feature, in a fixed order."""
    door, pool, clients = program.decision_loop, program.pool, program.clients
    found = [
        f"drain:{program.is_stopping:d}",
        f"clients:{_size(len(clients.slots), 1, 10, 40)}{clients.is_near_capacity():d}",
        f"queue held:{clients.listener.is_paused:d}",
        f"open:{_size(len(door.requests), 1, 4, 16)}",
        f"pool:{_size(len(pool.connections), 1, 8, 24)}",
        f"idle:{_size(sum(map(len, pool.idle.values())), 1, 8)}",
        f"rest:{pool.idle_limit_s < 0.9 * pool.max_idle_limit_s:d}",
        f"retired:{any(c.retired for c in pool.connections):d}",
        f"list:{program.discovery.schedule.version < 0:d}{program.discovery.connection is not None:d}",
    ]
    if (counter := door.counter) is not None:
        lines = counter.connections
        found += [
            f"lines:{sum(line.transport is not None for line in lines)}",
            f"failing:{any(line.is_failing for line in lines):d}",
            f"owed:{_size(max(len(line.calls) for line in lines), 1, 4, 16)}",
        ]
    if isinstance(module := door.decider, Gateway):
        servers = module.servers.values()
        tries = max((len(r.attempts) for r in module.requests.values()), default=0)
        late = any(
            len(r.attempts) > 1 and any(t.may_have_run for t in r.attempts) for r in module.requests.values()
        )
        found += [
            f"waiting:{_size(module.queue.entries, 1, 5, 20)}",
            f"bound:{any(c.blocked_flows for c in module.tenants.values()):d}",
            f"window:{_size(module.window / module.usual_window, 0.3, 0.9, 2.0)}",
            f"ready:{_size(len(module.ready_servers), 1, 3)}",
            f"draining:{any(s.entry.state is ServerState.DRAINING for s in servers):d}",
            f"cold:{any(module._capacity_ratio(s) < 1.0 for s in module.ready_servers):d}",
            f"bad:{any(s.failure_rates[None] > 0.3 for s in servers):d}",
            f"strain:{_size(module.counter_backoff_factor, 1.01, 4.0)}",
            f"tries:{min(tries, 3)}{late:d}",
            f"again:{_size(module.retry_budget, 1.0, 8.0)}",
        ]
    return tuple(found)


class Probe:
    """Looks at all doors of a day now and then."""

    def __init__(self) -> None:
        self.states: set[State] = set()

    def watch(self, world: World, doors: SimulatedFrontDoors) -> None:
        world.at(world.now + EVERY, "a look", self._look, world, doors)

    def _look(self, world: World, doors: SimulatedFrontDoors) -> None:
        self.states.update(state_of(program) for program in doors.programs)
        self.watch(world, doors)

    def pairs(self) -> set[int]:
        """Numbers of all pairs of values that were seen together; the same in every process."""
        return {
            zlib.crc32(f"{one}|{other}".encode())
            for state in self.states
            for one, other in itertools.combinations(state, 2)
        }

    def numbers(self) -> set[int]:
        """Numbers of the whole states."""
        return {zlib.crc32("|".join(state).encode()) for state in self.states}
