"""Simulated proxies and backends that use the real protocol but have no clients, many in one process.

A simulated proxy is the proxy's own `RegistryWatcher` (the same requests, in the same order, at the same times),
except that all proxies of a process share one copy of the backends and configurations, and a loop that reports each
interval. A simulated backend only sends heartbeats.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from functools import partial
from typing import Any

from benchmarks.capacity.size import HEARTBEAT_INTERVAL_S
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.permits.prefetched import PrefetchedPermits
from irisdeal.proxy.backend_view import BackendView
from irisdeal.proxy.config_receiver import ConfigReceiver
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.ratelimit.interval_clock import INTERVAL_S, SharedIntervalClock
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.incarnation import BackendIncarnation, IncarnationStatus, ObservedIncarnation
from irisdeal.registry.messages import (
    IncarnationReport,
    IntervalReport,
    PlacementRequest,
    PlacementResult,
    ReservationEnd,
)
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

CONNECTIONS_PER_REGISTRY = 8  # of one process of simulated backends
HEARTBEAT_TIMEOUT_S = 1.0  # as the deployments set it


class SharedState:
    """State that the simulated proxies of one process share."""

    def __init__(self) -> None:
        self.incarnations: dict[str, BackendIncarnation] = {}
        self.ids: dict[str, list[str]] = {}  # by service
        self.versions: dict[bytes, ConfigVersion] = {}
        self.update_count = 0  # reports of incarnations received, repeated ones included


class SharedBackendView(BackendView):
    """The backends of all simulated proxies of a process, stored once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, shared: SharedState) -> None:
        super().__init__(loop, lambda incarnation, is_unresponsive: None)
        self.shared = shared

    def receive(self, registry: str, reported: Sequence[IncarnationStatus]) -> None:
        """Count the reports, and store the incarnations with a newer state."""
        shared = self.shared
        shared.update_count += len(reported)
        for incarnation, _ in reported:
            known = shared.incarnations.get(incarnation.id)
            if known is None or known.state < incarnation.state:
                shared.incarnations[incarnation.id] = incarnation

    def report(self) -> IncarnationReport:
        """Return the incarnations known to all simulated proxies."""
        known = self.shared.incarnations.values()
        return IncarnationReport([ObservedIncarnation(incarnation, 0) for incarnation in known])


class SharedConfigReceiver(ConfigReceiver):
    """Receives a configuration whose body all simulated proxies of a process share."""

    def __init__(self, shared: SharedState) -> None:
        super().__init__(lambda version: None)
        self.shared = shared

    def receive(self, registry: str, sync_state: SyncState, chunk: object, change: int) -> None:
        """Process an answer; the version is replaced by an equal one of another proxy."""
        super().receive(registry, sync_state, chunk, change)
        if self.version is not None:
            digest = self.version.version_id.digest
            self.version = self.shared.versions.setdefault(digest, self.version)


class SimulatedWatcher(RegistryWatcher):
    """A proxy's watcher that shares its state with the others of its process."""

    def __init__(self, settings: Settings, shared: SharedState) -> None:
        super().__init__(settings, lambda version: None, lambda incarnation, is_unresponsive: None)
        self.configuration = SharedConfigReceiver(shared)
        self.backends = SharedBackendView(self.loop, shared)


class SimulatedProxy:
    """One proxy: it watches the registries and reports each interval."""

    def __init__(self, settings: Settings, shared: SharedState, active: int, tenants: int) -> None:
        """`active`: how many of the `tenants` send requests here in an interval."""
        self.watcher, self.rng = SimulatedWatcher(settings, shared), random.Random(settings.ip)
        self.client = RegistryClient(settings, self.watcher)
        self.permits = PrefetchedPermits(self.rng.getrandbits(48))
        self.active, self.tenants = active, tenants
        self.interval_clock = SharedIntervalClock(self.watcher.loop.time())
        self.request_count = self.placed_count = self.failed_count = self.report_count = 0

    def start(self) -> None:
        self.watcher.start()
        self.watcher.tasks.start(self._report_intervals())

    @property
    def is_settled(self) -> bool:
        """Whether it has answers of two registries, as many as a proxy watches, and a configuration."""
        return len(self.watcher.responsive_registries) >= 2 and self.watcher.configuration.version is not None

    async def _report_intervals(self) -> None:
        spread = INTERVAL_S * (0.04 + 0.24 * self.rng.random())
        while True:
            now = self.watcher.loop.time()
            await asyncio.sleep(
                self.interval_clock.seconds_until(self.interval_clock.number(now) + 1, now) + spread
            )
            now = self.watcher.loop.time()
            request_counts = {
                f"tenant{self.rng.randrange(self.tenants):05d}": self.rng.randrange(1, 3)
                for _ in range(min(self.active, self.tenants))
            }
            for tenant in request_counts.keys() | self.permits.demand.keys():
                self.permits.record_demand(tenant, request_counts.get(tenant, 0), INTERVAL_S)
            reported = await self.client.report(partial(self._report, request_counts))
            if reported is not None:
                self.report_count += 1
                now = self.watcher.loop.time()
                self.interval_clock.observe_position(reported.reply.position, now)
                self.permits.receive_reply(reported.registry, reported.reply.reserve, reported.sent_at, now)

    def _report(self, request_counts: dict[str, int], registry: str) -> IntervalReport:
        now = self.watcher.loop.time()
        usages = {
            tenant: Usage(float(count), round(self.rng.random(), 3))
            for tenant, count in request_counts.items()
        }
        return IntervalReport(
            round(self.interval_clock.position(now), 4),
            self.interval_clock.number(now) - 1,
            usages,
            self.permits.build_report(registry, now),
        )

    async def request_placements(self, per_s: float, seconds: float, service: str, hold_s: float) -> None:
        """Request `per_s` placements a second for `seconds`; each is ended `hold_s` after it was granted."""
        loop = self.watcher.loop
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            self.watcher.tasks.start(self._request_placement(service, hold_s))
            await asyncio.sleep(self.rng.expovariate(per_s))

    async def _request_placement(self, service: str, hold_s: float) -> None:
        self.request_count += 1
        tenant = f"tenant{self.rng.randrange(self.tenants):05d}"
        connected = [self.rng.getrandbits(24) for _ in range(6)]  # incarnations with an idle connection
        request = PlacementRequest(
            self.watcher.settings.zone, service, 0.19, [], 1002, 0.0, 1.0, tenant, connected=connected
        )
        placement = await self.client.request_placement(request, 0.3)
        if placement.reply.result is PlacementResult.NO_REGISTRY:
            self.failed_count += 1
        elif placement.reply.result is PlacementResult.PLACED:
            self.placed_count += 1
            await asyncio.sleep(hold_s)
            self.client.end_reservation(
                placement.registry, ReservationEnd(placement.reply.reservation, 0, 1.02)
            )


class SimulatedBackends:
    """Sends due heartbeats of many backends, over a few connections to each registry, one call at a time."""

    def __init__(self, first: int, count: int, controls: list[str], services: int, zones: list[str]) -> None:
        self.controls, self.services, self.zones = controls, services, zones
        self.rng, self.tasks = random.Random(first), Tasks()
        self.incarnations = [self._make_incarnation(first + n, 0) for n in range(count)]
        self.restart_count = self.sent_count = self.bytes_out = self.bytes_in = self.acknowledged_count = (
            self.failed_connection_count
        ) = 0
        self.queues: list[asyncio.Queue[bytes]] = [asyncio.Queue() for _ in controls]

    def _make_incarnation(self, number: int, restart_number: int) -> dict[str, Any]:
        return {
            "id": f"i-{number:06x}{restart_number:04x}",
            "service": f"svc{number % self.services:03d}",
            "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
            "zone": self.zones[number % len(self.zones)],
            "number": number,
            "calls": 0,
            "state": "ready",
        }

    def start(self) -> None:
        for index in range(len(self.controls)):
            for _ in range(CONNECTIONS_PER_REGISTRY):
                self.tasks.start(self._run_connection(index))
        self.tasks.start(self._send_heartbeats())

    async def _run_connection(self, index: int) -> None:
        """Keep one connection to a registry; a call without a timely answer closes it, as a backend does."""
        host, _, port = self.controls[index].rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                while True:
                    await self._call(reader, writer, await self.queues[index].get())
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                self.failed_connection_count += 1
                await asyncio.sleep(0.05)

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(data)
        self.sent_count += 1
        self.bytes_out += len(data)
        async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)
        self.bytes_in += len(head) + length
        self.acknowledged_count += head.startswith(b"HTTP/1.1 200")
        if b"connection: close" in head.lower():
            raise OSError("closed")

    async def _send_heartbeats(self) -> None:
        loop, index, due = asyncio.get_running_loop(), 0, asyncio.get_running_loop().time()
        while True:
            due += HEARTBEAT_INTERVAL_S / max(1, len(self.incarnations))
            if due - loop.time() > 0.002:
                await asyncio.sleep(due - loop.time())
            self.heartbeat(self.incarnations[index % len(self.incarnations)])
            index += 1

    def heartbeat(self, incarnation: dict[str, Any]) -> None:
        """Send one heartbeat to the registry of this backend."""
        incarnation["calls"] += 1
        self._send(
            incarnation,
            "heartbeat",
            json.dumps(
                {
                    "service": incarnation["service"],
                    "address": incarnation["address"],
                    "zone": incarnation["zone"],
                    "generation": "v1",
                    "capacity": 2,
                    "state": incarnation["state"],
                    "warmup_left_ms": 0,
                    "call_count": incarnation["calls"],
                }
            ).encode(),
        )

    def _send(self, incarnation: dict[str, Any], call: str, body: bytes) -> None:
        self.queues[incarnation["number"] % len(self.queues)].put_nowait(
            (
                f"POST /backends/{incarnation['id']}/{call} HTTP/1.1\r\nHost: core\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )

    async def restart(self, count: int, seconds: float) -> None:
        """Drain, deregister and restart `count` backends evenly over `seconds`: three updates each."""
        for _ in range(count):
            index = self.rng.randrange(len(self.incarnations))
            old = self.incarnations[index]
            old["state"] = "draining"
            self.heartbeat(old)
            self._send(old, "deregister", b"")
            self.restart_count += 1
            self.incarnations[index] = self._make_incarnation(old["number"], self.restart_count)
            self.heartbeat(self.incarnations[index])
            await asyncio.sleep(seconds / count)
