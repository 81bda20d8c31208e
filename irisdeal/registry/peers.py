"""Replication of backends between the registries of the core.

Heartbeats are replicated asynchronously in batches. A drain or an end is replicated immediately, and acknowledged
once a majority of the core has it on disk (`tombstone_record.py`).

A registry's table stays complete while its process runs and, with its disk, across restarts. A registry that starts
without its record may have lost what it acknowledged: it first synchronizes with the others, and until then it does
not count as a complete source for others that synchronize.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from returns.result import Success

from irisdeal.registry import call_kinds
from irisdeal.registry.backend_table import MAX_INCARNATIONS, BackendTable
from irisdeal.registry.incarnation import BackendIncarnation, BackendState, ObservedIncarnation
from irisdeal.registry.messages import BackendSnapshot, BackendUpdate
from irisdeal.registry.metrics import RegistryMetrics
from irisdeal.registry.store_client import StoreClient
from irisdeal.registry.tombstone_record import TombstoneRecord
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

CALL_TIMEOUT_S = 0.4  # of a short call to another registry
REPLICATION_TIMEOUT_S = 2 * CALL_TIMEOUT_S  # longer, because the receiver writes to disk before it answers
SYNC_TIMEOUT_S = 2.5  # after which a registry that starts or was cut off continues with the backends it has
SYNC_RETRY_INTERVAL_S = 0.25
RESTORE_TIMEOUT_S = 1.0  # a start waits no longer for the disk

# The name that a registry sends on a connection. It keeps the former name of the program, because peers of earlier
# versions parse it.
HELLO_NAME = "gauge {ip}"


class RegistryPeers:
    """The other registries of the core, as one registry sees them."""

    def __init__(
        self,
        settings: Settings,
        store_client: StoreClient,
        backends: BackendTable,
        record: TombstoneRecord | None,
        metrics: RegistryMetrics,
        tasks: Tasks,
        on_change: Callable[[], None],
    ) -> None:
        """`record`: None on a machine without a disk; `on_change`: called when proxies must be notified."""
        self.settings, self.ip = settings, settings.ip
        self.store_client, self.backends, self.record = store_client, backends, record
        self.metrics, self.tasks, self.on_change = metrics, tasks, on_change
        self.loop = asyncio.get_running_loop()
        self.zones: dict[str, str] = {self.ip: settings.zone}
        # Address at which each registry receives heartbeats
        self.control_addresses: dict[str, str] = {self.ip: settings.bind.control}
        self.rpc_clients: dict[str, RpcClient] = {}
        self.unreplicated: dict[str, BackendIncarnation] = {}  # received but not yet replicated, by id
        self.replicated_ends: set[tuple[str, BackendState]] = set()  # recorded by a majority of the core
        # Whether the table has everything that this machine has acknowledged
        self.is_complete = settings.bootstrap
        self.is_synchronized, self.is_synchronizing = False, False

    # Connections

    def other_ips(self) -> list[str]:
        """Return the IPs of all core machines except this one."""
        return sorted(self.store_client.core_ips() - {self.ip})

    def rpc_client(self, ip: str) -> RpcClient:
        """Return the client of the registry on this machine."""
        if ip not in self.rpc_clients:
            address = ports.address_of(self.settings, ip, ports.REGISTRY)
            self.rpc_clients[ip] = RpcClient(address, HELLO_NAME.format(ip=self.ip))
        return self.rpc_clients[ip]

    def retain_only(self, core: frozenset[str]) -> None:
        """Discard the state of machines that are no longer in the core."""
        for ip in self.rpc_clients.keys() - core:
            self.rpc_clients.pop(ip).close()
        for ip in self.zones.keys() - core:
            del self.zones[ip], self.control_addresses[ip]

    def notify(self, kind: str, body: list[Any]) -> None:
        """Send a notification to all other registries. A lost one is not repeated: the next one replaces it."""
        for ip in self.other_ips():
            client = self.rpc_client(ip)
            if not client.notify(kind, body):
                self.tasks.start(client.call(kind, body, CALL_TIMEOUT_S))

    # Synchronizing with the others

    async def restore(self) -> None:
        """Load what an earlier process on this machine recorded; a slow disk is read in the background."""
        if self.record is not None:
            await asyncio.wait({self.tasks.start(self._restore(self.record))}, timeout=RESTORE_TIMEOUT_S)

    async def _restore(self, record: TombstoneRecord) -> None:
        recorded = await record.load()
        for incarnation in recorded or ():
            self.backends.observe(incarnation, self.loop.time())
        self.is_complete = self.is_complete or recorded is not None
        if recorded is None and self.is_complete:
            await record.initialize(self._incarnations)

    async def synchronize(self) -> None:
        """Fetch all backends from enough of the other registries.

        Until then, or for at most `SYNC_TIMEOUT_S`, this registry does not count as a complete source. An end is
        acknowledged once a majority has it. Enough registries have answered when those that did not answer or are
        incomplete do not form a majority: every majority that has an end then includes one that answered.
        """
        if self.is_synchronizing:
            return
        self.is_synchronizing, self.is_synchronized = True, False
        try:
            await self._fetch_from_enough()
            await self._mark_complete()
            self.is_synchronized = True
        finally:
            self.is_synchronizing = False
        self.on_change()

    async def _fetch_from_enough(self) -> None:
        answered: set[str] = set()
        deadline = self.loop.time() + SYNC_TIMEOUT_S
        while True:
            await asyncio.gather(*(self._fetch_from(ip, answered) for ip in self.other_ips()))
            is_enough = self._has_enough_answers(answered)
            if is_enough or self.loop.time() > deadline:
                break
            await asyncio.sleep(SYNC_RETRY_INTERVAL_S)
        log_event(
            Event.BACKENDS_LEARNED if is_enough else Event.BACKENDS_LEARNED_PARTIALLY,
            heard=len(answered),
            incarnations=len(self.backends.entries),
        )

    def _has_enough_answers(self, answered: set[str]) -> bool:
        missing = self.store_client.members.ips() - answered - ({self.ip} if self.is_complete else set())
        return not self.store_client.is_majority(missing) or not self.other_ips()

    async def _fetch_from(self, ip: str, answered: set[str]) -> None:
        answer = await self.rpc_client(ip).call(call_kinds.FETCH_BACKENDS, None, CALL_TIMEOUT_S)
        if isinstance(answer, Success):
            snapshot = BackendSnapshot.decode(answer.unwrap(), self.loop.time())
            if snapshot.is_complete:
                answered.add(ip)
            self.merge(snapshot.observed)

    async def _mark_complete(self) -> None:
        """Mark the table as complete, and start recording to disk."""
        if not self.is_complete:
            if self.record is not None:
                await self.record.initialize(self._incarnations)
            self.is_complete = True

    def merge(self, observed: Iterable[ObservedIncarnation]) -> None:
        """Merge incarnations reported by another process."""
        now, has_changed = self.loop.time(), False
        for incarnation, age_ms in observed:
            has_changed |= self.backends.observe(incarnation, now, age_ms / 1000)
        if has_changed:
            self.on_change()

    def _incarnations(self) -> Iterator[BackendIncarnation]:
        return (entry.incarnation for entry in self.backends.entries.values())

    # Calls of other registries

    async def apply_update(self, update: BackendUpdate) -> None:
        """Merge another registry's update.

        Raises OSError if an end in it could not be recorded on disk: the sender must not count this registry.
        """
        self.zones[update.ip] = update.zone
        self.control_addresses[update.ip] = update.control
        self.merge(update.observed)
        entries = [self.backends.entries.get(each.incarnation.id) for each in update.observed]
        if not await self._record(entry.incarnation for entry in entries if entry is not None):
            raise OSError("an end is not on the disk")

    def snapshot(self) -> BackendSnapshot:
        """Return all incarnations, for a registry that synchronizes."""
        return BackendSnapshot(self.is_complete, self.backends.observed(self.loop.time()))

    async def _record(self, incarnations: Iterable[BackendIncarnation]) -> bool:
        """Return whether the draining and gone ones of these incarnations are synced to this machine's disk."""
        return self.record is None or await self.record.save(incarnations, self._incarnations)

    # Replicating to the others

    async def flush(self) -> None:
        """Replicate the heartbeats received since the last flush."""
        now = self.loop.time()
        observed = [ObservedIncarnation(incarnation, 0) for incarnation in self.unreplicated.values()]
        self.unreplicated = {}
        if observed or self.store_client.core_ips() - self.zones.keys():
            for ip in self.other_ips():
                body = self._update(observed).encode(now)
                self.tasks.start(self.rpc_client(ip).call(call_kinds.UPDATE_BACKENDS, body, CALL_TIMEOUT_S))

    def _update(self, observed: list[ObservedIncarnation]) -> BackendUpdate:
        return BackendUpdate(self.ip, self.settings.zone, self.settings.bind.control, observed)

    async def replicate_end(self, id_: str) -> bool:
        """Replicate a drain or an end; return whether a majority has it on disk, so that it may be acknowledged."""
        incarnation = self.backends.entries[id_].incarnation
        if (id_, incarnation.state) in self.replicated_ends:
            return True
        if not await self._replicate_to_majority(incarnation):
            return False
        if len(self.replicated_ends) >= MAX_INCARNATIONS:
            self.replicated_ends.clear()  # the only cost is to replicate a repeated end again
        self.replicated_ends.add((id_, incarnation.state))
        return True

    async def _replicate_to_majority(self, incarnation: BackendIncarnation) -> bool:
        """Return whether a majority of the core, including this machine, recorded the end within the timeout.

        If not, E304 is logged, and the caller must answer 503.
        """
        recorded: set[str] = set()
        enough = asyncio.Event()
        body = self._update([ObservedIncarnation(incarnation, 0)]).encode(self.loop.time())

        def add(ip: str) -> None:
            """Count a machine that has recorded the end."""
            recorded.add(ip)
            if self.store_client.is_majority(recorded):
                enough.set()

        async def record_here() -> None:
            """Record the end on this machine's disk."""
            if await self._record([incarnation]):
                add(self.ip)

        async def replicate_to(ip: str) -> None:
            """Replicate the end to another machine."""
            answer = await self.rpc_client(ip).call(call_kinds.UPDATE_BACKENDS, body, REPLICATION_TIMEOUT_S)
            if isinstance(answer, Success):
                add(ip)

        self.tasks.start(record_here())
        for ip in self.other_ips():
            self.tasks.start(replicate_to(ip))
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_S):
                await enough.wait()
        except TimeoutError:
            self._report_unacknowledged(incarnation, len(recorded))
            return False
        self.metrics.acknowledged_ends.add(str(len(recorded)))
        return True

    def _report_unacknowledged(self, incarnation: BackendIncarnation, recorded: int) -> None:
        log_event(
            Event.DRAIN_NOT_ACKNOWLEDGED,
            id=incarnation.id,
            known=recorded,
            members=len(self.store_client.members.ips()),
        )
        self.metrics.unacknowledged_ends.add()
