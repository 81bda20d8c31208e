"""HTTP API of a registry for backends and operators: heartbeats, deregistration, configuration, status."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from returns.result import Failure

from irisdeal.config_store.consensus.register import PutOutcome
from irisdeal.http1.messages import Request, Response
from irisdeal.registry.admission_service import AdmissionService
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.commands import (
    Command,
    Deregister,
    Heartbeat,
    ListBackends,
    PutConfiguration,
    ReadConfiguration,
    RejectedCall,
    decode,
)
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.metrics import RegistryMetrics
from irisdeal.registry.peers import RegistryPeers
from irisdeal.registry.status import registry_status
from irisdeal.registry.store_client import RETRY_AFTER_S, StoreClient
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

JSON_HEADERS = [(b"Content-Type", b"application/json")]
# Reasons in the bodies of 503 answers, as operators and backends see them
NOT_REPLICATED = "too few of the core were told"
NO_STORE = "no store has contact with a majority of the core, or none answered in time"
NOT_DECIDED = "not decided by a majority of the core in time"


class ControlApi:
    """Executes the requests of backends and operators at one registry."""

    def __init__(
        self,
        settings: Settings,
        store_client: StoreClient,
        backends: BackendTable,
        peers: RegistryPeers,
        admission: AdmissionService,
        metrics: RegistryMetrics,
        tasks: Tasks,
        on_change: Callable[[], None],
    ) -> None:
        """`on_change`: called when proxies must be notified."""
        self.settings, self.store_client, self.backends = settings, store_client, backends
        self.peers, self.admission, self.metrics, self.tasks = peers, admission, metrics, tasks
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()

    async def handle(self, request: Request) -> Response:
        """Answer an HTTP request."""
        decoded = decode(request.method, request.target, request.body)
        if isinstance(decoded, Failure):
            return self._reject(request, decoded.failure())
        return await self.run(decoded.unwrap())

    @staticmethod
    def _reject(request: Request, rejected: RejectedCall) -> Response:
        if request.method == b"POST" and request.target.startswith(b"/config"):
            log_event(Event.VERSION_REJECTED, trouble=rejected.error)
        return Response(rejected.status, json.dumps({"error": str(rejected.error)}).encode(), JSON_HEADERS)

    async def run(self, command: Command) -> Response:
        """Execute a command."""
        match command:
            case Heartbeat():
                return await self._heartbeat(command)
            case Deregister():
                return await self._deregister(command)
            case PutConfiguration():  # continues if the client disconnects: its result is counted
                return await asyncio.shield(self.tasks.start(self._put(command)))
            case ReadConfiguration():
                return await self._read()
            case ListBackends():
                state = registry_status(self.store_client, self.backends, self.admission, self.loop.time())
                return Response(200, json.dumps(state).encode(), JSON_HEADERS)

    @staticmethod
    def _unavailable(reason: str) -> Response:
        """Return a 503 with Retry-After: the client may retry here or at another registry."""
        body = json.dumps({"error": reason, "retry_after_s": RETRY_AFTER_S}).encode()
        return Response(503, body, [*JSON_HEADERS, (b"Retry-After", b"%.1f" % RETRY_AFTER_S)])

    # Configuration

    async def _read(self) -> Response:
        is_known, body = await self.store_client.read()
        if not is_known:
            return self._unavailable(NO_STORE)
        return Response(200, body, JSON_HEADERS) if body is not None else Response(404, b"{}", JSON_HEADERS)

    async def _put(self, command: PutConfiguration) -> Response:
        answer = await self._put_to_store(command)
        self.metrics.config_calls.add(str(answer.status))
        return answer

    async def _put_to_store(self, command: PutConfiguration) -> Response:
        match await self.store_client.put(command.version):
            case PutOutcome.DECIDED:
                return Response(200, b"{}", JSON_HEADERS)
            case PutOutcome.CONFLICT:
                known = f"r{self.store_client.version_id.number}"
                body = {"error": "another body holds this number", "held": known}
                return Response(409, json.dumps(body).encode(), JSON_HEADERS)
        return self._unavailable(NOT_DECIDED)

    # Backends

    async def _heartbeat(self, heartbeat: Heartbeat) -> Response:
        now = self.loop.time()
        incarnation = _incarnation(heartbeat, now)
        if self.backends.observe(incarnation, now):
            self.on_change()
        self.peers.unreplicated[incarnation.id] = self.backends.entries[incarnation.id].incarnation
        is_draining = incarnation.state is BackendState.DRAINING
        if is_draining and not await self.peers.replicate_end(incarnation.id):
            return self._unavailable(NOT_REPLICATED)
        target = self._registry_in_zone(heartbeat.zone)
        body = {"beat_target": target} if target is not None else {}
        return Response(200, json.dumps(body).encode(), JSON_HEADERS)

    def _registry_in_zone(self, zone: str) -> str | None:
        """Return the control address of a registry in the backend's zone; None if this one is in that zone."""
        if zone == self.settings.zone:
            return None
        peers = self.peers
        return next(
            (control for ip, control in peers.control_addresses.items() if peers.zones.get(ip) == zone), None
        )

    async def _deregister(self, command: Deregister) -> Response:
        """Record the end of an incarnation, even of one missing here.

        Other registries may have it, and an acknowledged end is valid at all registries.
        """
        now = self.loop.time()
        if self.backends.deregister(command.id, now) is None:
            tombstone = BackendIncarnation(command.id, "", "", "", 0, BackendState.GONE, 0, now)
            self.backends.observe(tombstone, now)
        self.on_change()
        if not await self.peers.replicate_end(command.id):
            return self._unavailable(NOT_REPLICATED)
        return Response(200, b"{}", JSON_HEADERS)


def _incarnation(heartbeat: Heartbeat, now: float) -> BackendIncarnation:
    return BackendIncarnation(
        heartbeat.id,
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.capacity,
        BackendState.DRAINING if heartbeat.state == "draining" else BackendState.READY,
        heartbeat.call_count,
        now + heartbeat.warmup_left_ms / 1000,
    )
