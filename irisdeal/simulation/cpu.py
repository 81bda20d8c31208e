"""CPU time of simulated machines: a cost model, and cores that machines share."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from irisdeal.simulation.world import World


@dataclass(frozen=True, slots=True)
class Costs:
    """CPU time of each operation in µs. With the default of 0 a machine is never late, as test services need it."""

    turn: int = 0  # each iteration of the event loop
    call: int = 0  # each callback and each timer
    read: int = 0  # each read
    write: int = 0  # each write
    connection: int = 0  # each connection that is opened or accepted


class Runnable(Protocol):
    """A machine, as its core uses it."""

    world: World

    def turn(self) -> None:
        """Run one iteration of its event loop."""


@dataclass(slots=True)
class Core:
    """One core. Machines that share it take turns, in the order in which they started to wait for it."""

    free_at: int = 0  # µs
    waiting: deque[Runnable] = field(default_factory=deque)

    def wait(self, machine: Runnable) -> None:
        """Run a turn of this machine once the core is free."""
        if machine not in self.waiting:
            self.waiting.append(machine)
            if len(self.waiting) == 1:
                machine.world.at(self.free_at, "a core", self._run_next)

    def _run_next(self) -> None:
        world = self.waiting[0].world
        if self.free_at <= world.now:
            self.waiting.popleft().turn()
        if self.waiting:
            world.at(max(self.free_at, world.now), "a core", self._run_next)
