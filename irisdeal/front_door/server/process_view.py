"""The interface of the front door process for the operators' listener and the handover."""

from __future__ import annotations

from typing import Protocol

from irisdeal.front_door.operator.bans import BackendBans
from irisdeal.front_door.server.backends import BackendPool
from irisdeal.front_door.server.clients import HttpServer
from irisdeal.front_door.server.config import Config
from irisdeal.front_door.server.discovery_client import DiscoveryClient
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.loop import DecisionLoop


class OperatorView(Protocol):
    """The operators' listener as the handover uses it."""

    @property
    def bans(self) -> BackendBans:
        """Identifiers that an operator has banned."""


class ProcessView(Protocol):
    """The components of the process, and operations on all of it."""

    config: Config
    host: Host
    pool: BackendPool
    decision_loop: DecisionLoop
    clients: HttpServer
    discovery: DiscoveryClient
    is_stopping: bool

    @property
    def operator(self) -> OperatorView | None:
        """The operators' listener, if it is configured."""

    def resize(self, sockets: int) -> None:
        """Use at most `sockets` descriptors from now on."""

    def descriptors_in_use(self) -> int:
        """Upper bound of the descriptors that are in use."""

    def is_ready(self) -> tuple[bool, str]:
        """Whether this process can serve; if not, why."""
