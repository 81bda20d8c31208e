"""What the faults of a timeline need of the platform that they are played on, and of its front doors."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from irisdeal.testbed.backend import BackendServer
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.fault_proxy import Address, Condition
from irisdeal.testbed.remote_services import RemoteBackend, RemoteCounter


class FrontDoors(Protocol):
    """What the timeline does to front doors."""

    async def kill(self, front_door: int, down: float) -> None:
        """SIGKILL, and start again after `down` s."""

    async def restart(self, front_door: int) -> None:
        """SIGTERM, and start again once it has ended."""

    async def stall(self, front_door: int, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after `seconds`; it is in ``RequestLog.pauses`` by then."""

    async def reload(self, front_door: int) -> None:
        """Send SIGHUP; the configuration file is written already."""


class Links(Protocol):
    """Network links with faults between names: see `fault_proxy.Relay`."""

    async def add(self, source: str, target: str, to: Address) -> Address:
        """Open a link; the address to use in place of the target's."""

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """Set the condition of the links of these names, or of those to a target."""

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """Reset the connections of these links."""

    def close(self) -> None:
        """Close all links."""


class FaultTarget(Protocol):
    """The platform as the faults see it."""

    front_doors: range
    counter: CounterServer | RemoteCounter
    discovery: DiscoveryServer
    relay: Links

    def record_fault(self, text: str) -> None:
        """Log a line on the faults, with the time."""

    def pick_backends(self, count: int) -> list[BackendServer | RemoteBackend]:
        """Draw backends that are up and in no other fault."""

    def release_backends(self, backends: list[BackendServer | RemoteBackend]) -> None:
        """End a fault of these backends."""

    def endpoint_of(self, backend: BackendServer | RemoteBackend, phase: str) -> Endpoint:
        """Return the entry of a backend in the list of endpoints."""

    async def new_backend(
        self, warming_up: bool, instead: BackendServer | RemoteBackend | None = None
    ) -> BackendServer | RemoteBackend:
        """Start another machine; `instead` of one whose addresses, zone and cell it takes."""
