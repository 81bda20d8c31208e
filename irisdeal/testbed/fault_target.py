"""Interfaces of the platform and its front doors that the faults of a timeline use."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from irisdeal.testbed.backend import BackendServer
from irisdeal.testbed.counter_service import CounterServer
from irisdeal.testbed.discovery_service import DiscoveryServer, Endpoint
from irisdeal.testbed.fault_proxy import Address, Condition
from irisdeal.testbed.remote_services import RemoteBackend, RemoteCounter


class FrontDoors(Protocol):
    """Operations of the timeline on front doors."""

    async def kill(self, front_door: int, down: float) -> None:
        """Send SIGKILL, and restart after `down` s."""

    async def restart(self, front_door: int) -> None:
        """Send SIGTERM, and restart once the process has ended."""

    async def stall(self, front_door: int, seconds: float) -> None:
        """Send SIGSTOP, and SIGCONT after `seconds`; the pause is recorded in `RequestLog.pauses` by then."""

    async def reload(self, front_door: int) -> None:
        """Rewrite the configuration file and send SIGHUP."""


class Links(Protocol):
    """Network links with faults between names: see `fault_proxy.Relay`."""

    async def add(self, source: str, target: str, to: Address) -> Address:
        """Open a link; returns the address to use in place of the target's."""

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """Set the condition of the links of these names, or only of those to `target`."""

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """Reset the connections of these links."""

    def close(self) -> None:
        """Close all links."""


class FaultTarget(Protocol):
    """Operations of the faults on the platform."""

    front_doors: range
    counter: CounterServer | RemoteCounter
    discovery: DiscoveryServer
    relay: Links

    def record_fault(self, text: str) -> None:
        """Record a line about faults, with the time."""

    def pick_backends(self, count: int) -> list[BackendServer | RemoteBackend]:
        """Draw backends that are up and in no other fault, and reserve them."""

    def release_backends(self, backends: list[BackendServer | RemoteBackend]) -> None:
        """Make backends available to other faults."""

    def endpoint_of(self, backend: BackendServer | RemoteBackend, phase: str) -> Endpoint:
        """Return the entry of a backend in the list of endpoints."""

    async def new_backend(
        self, warming_up: bool, replaced: BackendServer | RemoteBackend | None = None
    ) -> BackendServer | RemoteBackend:
        """Start another machine. It takes over addresses, zone and cell of `replaced`, if given."""
