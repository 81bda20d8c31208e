"""The registry process: assembles its services, and dispatches the calls of proxies and other registries."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Success

from irisdeal.config_store.configuration.cached_reading import parse_cached
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.storage.folder import DiskFolder, Folder
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.http1.server import HttpServer
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.messages import LendRequest
from irisdeal.placement.load_reports import REPORT_INTERVAL_S
from irisdeal.registry import call_kinds, limit_record
from irisdeal.registry.admission_service import AdmissionService
from irisdeal.registry.authority_monitor import AuthorityMonitor
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.checked_file import CheckedFile
from irisdeal.registry.control_api import ControlApi
from irisdeal.registry.issuer_list_record import IssuerListRecord
from irisdeal.registry.limit_record import LimitRecorder
from irisdeal.registry.messages import (
    BackendUpdate,
    IncarnationReport,
    IntervalReport,
    IntervalSum,
    LoadReport,
    PlacementRequest,
    WatchRequest,
)
from irisdeal.registry.metrics import RegistryMetrics
from irisdeal.registry.peers import RegistryPeers
from irisdeal.registry.quota_service import LEND_TIMEOUT_S
from irisdeal.registry.store_client import StoreClient
from irisdeal.registry.tombstone_record import FOLDER_NAME, TombstoneRecord
from irisdeal.registry.watch import WatchService
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.listening import listen_when_available, max_listen_wait_s
from irisdeal.runtime.memory_budget import MemoryBudget
from irisdeal.runtime.settings import Address, Settings, parse_address
from irisdeal.runtime.tasks import Tasks, run_periodically

FLUSH_INTERVAL_S = 0.2  # between batches of heartbeats sent to the other registries
CHECK_INTERVAL_S = 0.25  # between checks for overdue heartbeats and expired reservations
SUSPENSION_THRESHOLD_S = 1.0  # a longer time between checks means that this process was suspended
DEFAULT_GRACE_S = 6.0  # default of `grace_s` in `bounds`: from the stop request to the exit of the process
MIN_ACCEPT_S = 0.1  # a stopping registry accepts HTTP requests for this long; after that, clients use another
EXIT_RESERVE_S = 0.4  # part of the grace period kept for the exit of the process

# Calls answered until a draining process exits, because their callers depend on the answers
SERVED_WHILE_DRAINING = frozenset(
    {
        call_kinds.UPDATE_BACKENDS,
        call_kinds.FETCH_BACKENDS_OLD,
        call_kinds.FETCH_BACKENDS,
        call_kinds.END_RESERVATION,
    }
)


class RegistryServer:
    """One registry process."""

    def __init__(self, settings: Settings, folder: Folder | None = None) -> None:
        """`folder`: folder of the tombstone record; by default the one named in the settings."""
        self.settings, self.ip = settings, settings.ip
        self.loop = asyncio.get_running_loop()
        self.incarnation = secrets.randbits(48)
        self.backends = BackendTable(settings.beat_interval_ms / 1000)
        self.store_client = StoreClient(settings, VersionStore(), self._on_version, self._on_store_change)
        self.had_contact = False
        self.tasks, self.metrics = Tasks(), RegistryMetrics()
        self.peers = self._new_peers(folder)
        self.watch = WatchService(
            self.store_client,
            self.backends,
            self.incarnation,
            self.peers.zones,
            lambda: self.peers.is_synchronized,
        )
        self.admission = AdmissionService(
            settings,
            self.backends,
            self.loop,
            self.incarnation,
            self.store_client.state_age_s,
            self._borrow_from,
        )
        self.authority_monitor = AuthorityMonitor(
            self.admission.authority,
            IssuerListRecord(settings.data_path) if settings.data_path else None,
            self.store_client.state_age_s,
            self.tasks,
        )
        limits_file = CheckedFile(settings.data_path, limit_record.FILE_NAME) if settings.data_path else None
        self.limit_recorder = LimitRecorder(self.admission.quotas.issuer, limits_file, self.tasks)
        self.control = self._new_control_api()
        self.checked_at = self.loop.time()
        self.handlers = self._handlers()
        self.server = RpcServer(
            self.handle, self.admission.answer_at_once, self.admission.placements.disconnect
        )
        budget = MemoryBudget.of_limit(settings.limits.memory_mb)
        self.http = HttpServer(self.control.handle, self.loop, budget=budget)
        self.metrics_server = MetricsServer(settings, self.metrics, self.loop)

    def _new_peers(self, folder: Folder | None) -> RegistryPeers:
        return RegistryPeers(
            self.settings,
            self.store_client,
            self.backends,
            _tombstone_record(self.settings, folder),
            self.metrics,
            self.tasks,
            lambda: self.watch.notify_proxies(),
        )

    def _new_control_api(self) -> ControlApi:
        return ControlApi(
            self.settings,
            self.store_client,
            self.backends,
            self.peers,
            self.admission,
            self.metrics,
            self.tasks,
            self.watch.notify_proxies,
        )

    # Start and shutdown

    async def start(self) -> None:
        """Listen, and start the background tasks. Raises AddressUnavailableError, or OSError."""
        await self.peers.restore()
        address, max_wait_s = self._rpc_address(), max_listen_wait_s(self.settings)
        await listen_when_available(lambda: self.server.listen(address), address, max_wait_s)
        self.store_client.start()
        self.tasks.keep_running(self.peers.synchronize)
        self.tasks.start(run_periodically(FLUSH_INTERVAL_S, self.peers.flush))
        self.tasks.start(run_periodically(CHECK_INTERVAL_S, self._check))
        self.tasks.start(run_periodically(REPORT_INTERVAL_S, self._share_loads))
        self.tasks.keep_running(lambda: self.admission.quotas.run_intervals(self._share_sum))
        self.tasks.start(self._restore_permits())
        control = parse_address(self.settings.bind.control)
        await listen_when_available(lambda: self.http.listen(control), control, max_wait_s)
        self.metrics_server.start()

    async def _restore_permits(self) -> None:
        """Load what an earlier process recorded: first its limits, as the list may let this one issue at once."""
        await self.limit_recorder.restore()
        await self.authority_monitor.restore()

    def _rpc_address(self) -> Address:
        return self.ip, ports.port(self.settings, ports.REGISTRY)

    async def stop(self) -> None:
        """Shut down gracefully.

        Proxies switch to other registries immediately; HTTP requests that were already received are answered.
        """
        now = self.loop.time()
        ends_at = now + self.settings.bound("grace_s", DEFAULT_GRACE_S) - EXIT_RESERVE_S
        self.server.begin_drain(SERVED_WHILE_DRAINING)
        unanswered = await self.http.drain(now + MIN_ACCEPT_S, ends_at)
        internal = await self.server.drain(ends_at)
        if unanswered.requests or unanswered.unsent_bytes or internal:
            self.metrics.unanswered_calls.add(amount=len(unanswered.requests))
            log_event(
                Event.REGISTRY_CALLS_UNANSWERED,
                calls=len(unanswered.requests),
                unsent_bytes=unanswered.unsent_bytes,
                internal=internal,
            )
        self.store_client.stop()
        self.tasks.cancel()
        self.metrics_server.close()

    def reload(self, settings: Settings) -> None:
        """Apply reloaded settings."""
        self.settings = self.control.settings = settings
        self.store_client.reload(settings)

    # Changes in the store

    def _on_version(self, version: ConfigVersion) -> None:
        checked = parse_cached(version.body)
        if isinstance(checked, Success):
            is_changed = self.admission.quotas.configure(checked.unwrap())
            if is_changed:
                self.limit_recorder.on_limits_changed()

    def _on_store_change(self) -> None:
        """Handle a newer configuration, a changed list of members, or contact with the store lost or regained."""
        if self.store_client.value.change >= 0:
            members = self.store_client.members
            self.admission.authority.observe_list(IssuerList(members.number, members.ips()), self.loop.time())
        self.peers.retain_only(self.store_client.core_ips())
        has_contact = self.store_client.has_contact
        if has_contact and not self.had_contact and self.peers.is_synchronized:
            # Other registries may have received drains or ends while this one was cut off.
            self.tasks.keep_running(self.peers.synchronize)
        self.had_contact = has_contact
        self.watch.notify_proxies()

    # Calls to other registries

    async def _borrow_from(self, ip: str, request: LendRequest) -> int:
        client = self.peers.rpc_client(ip)
        answer = await client.call(call_kinds.LEND_PERMITS, request.encode(), LEND_TIMEOUT_S)
        return int(answer.value_or(0))

    def _share_sum(self, interval_sum: IntervalSum) -> None:
        self.peers.notify(call_kinds.SHARE_INTERVAL_SUM, interval_sum.encode())

    def _share_loads(self) -> None:
        report = self.admission.placements.load_report(self.ip)
        if report is not None:
            self.peers.notify(call_kinds.SHARE_LOADS, report.encode())

    def _check(self) -> None:
        """Expire heartbeats and reservations, and check the authority to issue permits."""
        now = self.loop.time()
        if now - self.checked_at > SUSPENSION_THRESHOLD_S:
            self.backends.extend_heartbeat_deadlines(now)
            self.tasks.keep_running(self.peers.synchronize)
        self.checked_at = now
        if self.backends.expire(now):
            self.watch.notify_proxies()
        self.admission.placements.refresh()
        self.authority_monitor.check()
        self.limit_recorder.check()

    # Calls from proxies and other registries

    def _handlers(self) -> dict[str, Callable[[str, Any], Awaitable[object]]]:
        """Return the handler of each kind of call; its arguments are the caller's name and the body."""
        return {
            call_kinds.WATCH: self._watch,
            call_kinds.REPEAT_INCARNATIONS: self._repeat_incarnations,
            call_kinds.REPORT_USAGE: self._report_usage,
            call_kinds.RESERVE: self._reserve,
            call_kinds.RESERVE_WHEN_FREE: self._reserve_when_free,
            call_kinds.UPDATE_BACKENDS: self._update_backends,
            call_kinds.FETCH_BACKENDS: self._fetch_backends,
            call_kinds.FETCH_BACKENDS_OLD: self._fetch_backends_old,
            call_kinds.SHARE_INTERVAL_SUM: self._receive_sum,
            call_kinds.SHARE_LOADS: self._receive_loads,
            call_kinds.LEND_PERMITS: self._lend_permits,
        }

    async def handle(self, caller: str, kind: str, body: object) -> object:
        """Answer a call that the immediate handler deferred."""
        handler = self.handlers.get(kind)
        if handler is None:
            raise ValueError(f"no call {kind!r}")
        return await handler(caller, body)

    async def _watch(self, caller: str, body: object) -> object:
        reply = await self.watch.poll(WatchRequest.decode(body))
        return reply.encode(self.loop.time())

    async def _repeat_incarnations(self, caller: str, body: object) -> None:
        self.peers.merge(IncarnationReport.decode(body, self.loop.time()).observed)

    async def _report_usage(self, caller: str, body: object) -> object:
        return self.admission.quotas.report(caller, IntervalReport.decode(body)).encode()

    async def _reserve(self, caller: str, body: object) -> object:
        return (await self.admission.borrow_and_admit(caller, PlacementRequest.decode(body))).encode()

    async def _reserve_when_free(self, caller: str, body: object) -> object:
        request = PlacementRequest.decode(body)
        return (await self.admission.placements.reserve_when_free(caller, request)).encode()

    async def _update_backends(self, caller: str, body: object) -> None:
        await self.peers.apply_update(BackendUpdate.decode(body, self.loop.time()))

    async def _fetch_backends(self, caller: str, body: object) -> object:
        return self.peers.snapshot().encode(self.loop.time())

    async def _fetch_backends_old(self, caller: str, body: object) -> object:
        """Answer a registry of the previous version, whose call does not return whether the table is complete."""
        return IncarnationReport(self.peers.snapshot().observed).encode(self.loop.time())

    async def _receive_sum(self, caller: str, body: object) -> None:
        self.admission.quotas.receive_sum(IntervalSum.decode(body))

    async def _receive_loads(self, caller: str, body: object) -> None:
        self.admission.placements.record_loads(LoadReport.decode(body))

    async def _lend_permits(self, caller: str, body: object) -> object:
        return self.admission.quotas.lend(LendRequest.decode(body))


def _tombstone_record(settings: Settings, folder: Folder | None) -> TombstoneRecord | None:
    if folder is None and settings.data_path:
        folder = DiskFolder(f"{settings.data_path}/{FOLDER_NAME}")
    return TombstoneRecord(folder) if folder is not None else None
