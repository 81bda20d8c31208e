"""What the operators' listener and the handover need of the front door's process."""

from __future__ import annotations

from typing import Protocol

from irisdeal.front_door.operator.bans import Bans
from irisdeal.front_door.server.backends import BackendPool
from irisdeal.front_door.server.clients import HttpServer
from irisdeal.front_door.server.config import Config
from irisdeal.front_door.server.discovery_client import DiscoveryClient
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.loop import DecisionLoop


class OperatorView(Protocol):
    """What a handover needs of the operators' listener."""

    @property
    def bans(self) -> Bans:
        """Identifiers that an operator has banned."""


class ProcessView(Protocol):
    """The parts of the process, and what may be asked of it as a whole."""

    config: Config
    host: Host
    pool: BackendPool
    decision_loop: DecisionLoop
    clients: HttpServer
    discovery: DiscoveryClient
    is_stopping: bool

    @property
    def operator(self) -> OperatorView | None:
        """The operators' listener, where the configuration has one."""

    def resize(self, sockets: int) -> None:
        """Use at most `sockets` descriptors from now on."""

    def descriptors_in_use(self) -> int:
        """Upper bound of the descriptors that are in use."""

    def is_ready(self) -> tuple[bool, str]:
        """Whether this process can serve; if not, why."""
