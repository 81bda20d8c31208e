"""The proxy's process: its components, start, graceful shutdown and handling of updates."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.http1.messages import Request, Response
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.http1.server import HttpServer, Unanswered
from irisdeal.load_balancing.backend_choice import BackendChoice
from irisdeal.proxy.attempt import AttemptServices
from irisdeal.proxy.attempt_placer import AttemptPlacer
from irisdeal.proxy.backend_directory import BackendDirectory
from irisdeal.proxy.config_applier import ConfigApplier
from irisdeal.proxy.connection_pool import ConnectionPool
from irisdeal.proxy.drain_plan import DrainPlan, DrainState
from irisdeal.proxy.metrics import ProxyMetrics
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.registry_watcher import RegistryWatcher
from irisdeal.proxy.request_handler import RequestHandler
from irisdeal.proxy.route_table import RouteTable
from irisdeal.proxy.tenant_admission import TenantAdmission
from irisdeal.ratelimit.retry_budget import PROXY_SLACK_SHARE, RetryBudgets
from irisdeal.registry.incarnation import BackendIncarnation
from irisdeal.runtime.early_listen import ListeningSockets
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.listening import listen_when_available, max_listen_wait_s
from irisdeal.runtime.memory_budget import MemoryBudget
from irisdeal.runtime.settings import Settings, parse_address
from irisdeal.runtime.tasks import Tasks

RESERVED_DESCRIPTORS = 200  # file descriptors for other uses than connections of clients and backends
MIN_CONNECTION_DESCRIPTORS = 64  # for connections, even if the limit leaves fewer


class Proxy:
    """The proxy's process. `listening`: sockets that this process already listens on, by their names in `bind`."""

    def __init__(self, settings: Settings, listening: ListeningSockets | None = None) -> None:
        self.settings, self.listening = settings, listening or {}
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random()
        self.tasks = Tasks()
        self.applier = ConfigApplier(self._on_table, self.tasks)
        self.watcher = RegistryWatcher(settings, self._on_version, self._on_incarnation)
        self.choice = BackendChoice(self.rng)
        self.directory = BackendDirectory(settings, self._on_retired, self._on_backend_added)
        self.registries = RegistryClient(settings, self.watcher)
        self.admission = TenantAdmission(self.registries, self.loop, self.rng, self.directory.slots)
        self.retry_budgets = RetryBudgets(
            settings.bound("retry_ratio", 0.2),
            settings.bound("retry_window_s", 10.0),
            PROXY_SLACK_SHARE * settings.bound("retry_slack", 50.0),
            self.loop.time(),
        )
        descriptors = max(MIN_CONNECTION_DESCRIPTORS, settings.limits.max_fds - RESERVED_DESCRIPTORS)
        self.pool = ConnectionPool(self.loop, descriptors // 2)
        self.drain = DrainState()
        self.metrics = ProxyMetrics()
        self.handler = RequestHandler(self._attempt_services(), self.admission, self.rng)
        budget = MemoryBudget.of_limit(settings.limits.memory_mb)
        self.http_server = HttpServer(self.handler.serve, self.loop, cancels_on_eof=True, budget=budget)
        self.readiness = HttpServer(self._serve_readiness, self.loop)
        self.metrics_server = MetricsServer(settings, self.metrics, self.loop)
        self.http_server.on_client_disconnected = lambda request: self.metrics.departures.add(
            request.phase.value
        )

    def _attempt_services(self) -> AttemptServices:
        placer = AttemptPlacer(
            self.settings.zone,
            self.directory.services,
            self.pool,
            self.choice,
            self.registries,
            self.admission,
            self.retry_budgets,
        )
        return AttemptServices(
            self.loop,
            self.tasks,
            self.pool,
            self.choice,
            placer,
            self.registries,
            self.metrics,
            self.watcher.backends.set_gone,
            self.drain,
        )

    # Start and shutdown

    async def start(self) -> None:
        """Start watching the registries and serving clients. Raises AddressUnavailableError, or OSError."""
        self.watcher.start()
        self.tasks.keep_running(self.admission.report_intervals)
        await self._listen(self.http_server, "front", self.settings.bind.front)
        await self._listen(self.readiness, "readiness", self.settings.bind.readiness)
        self.metrics_server.start()

    async def _listen(self, server: HttpServer, name: str, text: str) -> None:
        """Serve at an address of the settings. Raises AddressUnavailableError, or OSError."""
        address, sock = parse_address(text), self.listening.pop(name, None)
        if (
            sock is not None and sock.getsockname() != address
        ):  # opened from a file that was just being written
            sock.close()
            sock = None
        await listen_when_available(
            lambda: server.listen(address, sock=sock), address, max_listen_wait_s(self.settings)
        )

    async def stop(self) -> None:
        """Shut down gracefully: finish or reject all requests, and return when the last bytes are sent."""
        self.drain.plan = plan = DrainPlan(self.loop.time(), self.settings.bound("grace_s", 6.0))
        self.loop.call_at(plan.rejection_at, self._reject_unexecuted)
        unanswered = await self.http_server.drain(plan.serving_until, plan.ends_at)
        self._log_drain(unanswered)
        self.watcher.stop()
        self.tasks.cancel()
        self.readiness.close()
        self.metrics_server.close()

    def _reject_unexecuted(self) -> None:
        """Reject all requests that were not executed yet, as the process is about to terminate."""
        self.drain.is_rejecting = True
        for task, request in list(self.http_server.serving.items()):
            attempts = self.handler.attempts.get(request)
            if attempts is None or attempts.reject():
                task.cancel()

    def _log_drain(self, unanswered: Unanswered) -> None:
        """Log the shutdown's counts, and the requests and bytes that were not answered or sent completely."""
        requests, unsent = unanswered.requests, unanswered.unsent_bytes
        for request in requests:
            self.metrics.unanswered.add(request.phase.value)
        self.metrics.unsent.add(amount=unsent)
        drained = self.metrics.drained.values
        counts = {outcome: int(drained.get(outcome, 0)) for outcome in ("taken", "finished", "promised")}
        log_event(Event.DRAIN_SUMMARY, **counts)
        if requests or unsent:
            phases = Counter(request.phase.value for request in requests)
            log_event(Event.RESPONSES_UNFINISHED, requests=len(requests), unsent_bytes=unsent, **phases)

    def reload(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = self.directory.settings = settings
        self.watcher.reload(settings)

    async def _serve_readiness(self, request: Request) -> Response:
        is_ready = self.handler.table is not None and self.admission.has_reported and self.drain.plan is None
        return Response(200 if is_ready else 503, b"ready\n" if is_ready else b"not ready\n")

    # Updates

    def _on_version(self, version: ConfigVersion) -> None:
        self.applier.apply(version)

    def _on_table(self, table: RouteTable) -> None:
        """Put a new route table into force."""
        self.handler.set_table(table)
        self.admission.configure(self.handler.limit_of)
        client_limits, limits = self.http_server.limits, table.limits
        client_limits.max_head_bytes = limits.max_header_bytes
        client_limits.max_body_bytes = limits.max_body_bytes
        client_limits.head_timeout_s = limits.header_timeout_ms / 1000
        client_limits.idle_timeout_s = limits.idle_timeout_ms / 1000
        log_event(Event.CONFIGURATION_APPLIED, generation=table.generation)

    def _on_incarnation(self, incarnation: BackendIncarnation, is_unresponsive: bool) -> None:
        self.directory.update(incarnation, is_unresponsive)

    def _on_retired(self, id_: str) -> None:
        self.pool.retire(id_)

    def _on_backend_added(self) -> None:
        """Raise the initial concurrency limit, as a proxy without totals yet must not reject requests."""
        if not self.admission.has_reported:
            self.admission.concurrency.slots = self.directory.slots()
