"""Replication of backends between the registries of the core.

Heartbeats are replicated in batches, and nobody waits for it. A drain or an end is replicated at once, and is
acknowledged once a majority of the core has it on its disk (`tombstone_record.py`).

A registry's table is complete while its process runs and, with its disk, beyond. One that starts without its
record may have forgotten what it acknowledged: it synchronizes with the others first, and is not counted by
others that synchronize.
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
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

CALL_TIMEOUT_S = 0.4  # time-out of a short call to another registry
REPLICATION_S = (
    2 * CALL_TIMEOUT_S
)  # time-out of replicating an end: others write it to disk before they answer
SYNC_TIMEOUT_S = (
    2.5  # that a registry which starts or was away asks the others for backends before it goes on without
)
SYNC_PAUSE_S = 0.25  # between two such rounds
RESTORE_S = 1.0  # that a start waits for its disk

# The name that a registry gives of itself on a connection: the former name of the program, which peers of earlier
# versions parse.
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
        """`record`: None on a machine without a disk; `on_change`: called when proxies are to be notified."""
        self.settings, self.ip = settings, settings.ip
        self.store_client, self.backends, self.record = store_client, backends, record
        self.metrics, self.tasks, self.on_change = metrics, tasks, on_change
        self.loop = asyncio.get_running_loop()
        self.zones: dict[str, str] = {self.ip: settings.zone}
        self.controls: dict[str, str] = {
            self.ip: settings.bind.control
        }  # where each registry takes heartbeats
        self.rpc_clients: dict[str, RpcClient] = {}
        self.unsent: dict[str, BackendIncarnation] = {}  # received here and not yet replicated, by id
        self.replicated_ends: set[tuple[str, BackendState]] = set()  # that a majority of the core has
        self.is_complete = settings.bootstrap  # whether all is here that this machine has acknowledged
        self.is_synchronized, self.is_synchronizing = False, False

    # Links

    def others(self) -> list[str]:
        """Return the IPs of the core machines but this one."""
        return sorted(self.store_client.core_ips() - {self.ip})

    def rpc_client(self, ip: str) -> RpcClient:
        """Return the client of the registry on this machine."""
        if ip not in self.rpc_clients:
            address = ports.address_of(self.settings, ip, ports.REGISTRY)
            self.rpc_clients[ip] = RpcClient(address, HELLO_NAME.format(ip=self.ip))
        return self.rpc_clients[ip]

    def retain_only(self, core: frozenset[str]) -> None:
        """Drop what is kept of machines that are not in the core any more."""
        for ip in self.rpc_clients.keys() - core:
            self.rpc_clients.pop(ip).close()
        for ip in self.zones.keys() - core:
            del self.zones[ip], self.controls[ip]

    def notify(self, kind: str, body: list[Any]) -> None:
        """Send to all other registries; one that misses it gets the next."""
        for ip in self.others():
            link = self.rpc_client(ip)
            if not link.notify(kind, body):
                self.tasks.start(link.call(kind, body, CALL_TIMEOUT_S))

    # Synchronizing with the others

    async def restore(self) -> None:
        """Read what an earlier process of this machine recorded; a disk that hangs is waited for in background."""
        if self.record is not None:
            await asyncio.wait({self.tasks.start(self._restore(self.record))}, timeout=RESTORE_S)

    async def _restore(self, record: TombstoneRecord) -> None:
        recorded = await record.load()
        for incarnation in recorded or ():
            self.backends.observe(incarnation, self.loop.time())
        self.is_complete = self.is_complete or recorded is not None
        if recorded is None and self.is_complete:
            await record.initialize(self._known())

    async def synchronize(self) -> None:
        """Fetch all backends from enough of the others.

        Until then, or until `SYNC_TIMEOUT_S` have passed, this registry does not count as a complete source. An end
        is acknowledged once a majority has it. Enough have answered when those that did not, with those that are
        not complete, are no majority: each majority that has an end then has a member among those that answered.
        """
        if self.is_synchronizing:
            return
        self.is_synchronizing, self.is_synchronized = True, False
        answered: set[str] = set()
        deadline = self.loop.time() + SYNC_TIMEOUT_S
        while True:
            await asyncio.gather(*(self._fetch_from(ip, answered) for ip in self.others()))
            is_enough = self._is_enough(answered)
            if is_enough or self.loop.time() > deadline:
                break
            await asyncio.sleep(SYNC_PAUSE_S)
        log_event(
            Event.BACKENDS_LEARNED if is_enough else Event.BACKENDS_LEARNED_PARTIALLY,
            heard=len(answered),
            incarnations=len(self.backends.entries),
        )
        await self._complete()
        self.is_synchronizing, self.is_synchronized = False, True
        self.on_change()

    def _is_enough(self, answered: set[str]) -> bool:
        missing = self.store_client.members.ips() - answered - ({self.ip} if self.is_complete else set())
        return not self.store_client.is_majority(missing) or not self.others()

    async def _fetch_from(self, ip: str, answered: set[str]) -> None:
        answer = await self.rpc_client(ip).call(call_kinds.FETCH_BACKENDS, None, CALL_TIMEOUT_S)
        if isinstance(answer, Success):
            snapshot = BackendSnapshot.decode(answer.unwrap(), self.loop.time())
            if snapshot.is_complete:
                answered.add(ip)
            self.merge(snapshot.observed)

    async def _complete(self) -> None:
        """Begin to record: what was to be fetched is here."""
        if not self.is_complete:
            if self.record is not None:
                await self.record.initialize(self._known())
            self.is_complete = True

    def merge(self, observed: Iterable[ObservedIncarnation]) -> None:
        """Merge incarnations that another process reports."""
        now, has_changed = self.loop.time(), False
        for incarnation, age_ms in observed:
            has_changed |= self.backends.observe(incarnation, now, age_ms / 1000)
        if has_changed:
            self.on_change()

    def _known(self) -> Iterator[BackendIncarnation]:
        return (entry.incarnation for entry in self.backends.entries.values())

    # Calls of other registries

    async def apply_update(self, update: BackendUpdate) -> None:
        """Merge another registry's update.

        Raises OSError where an end in it could not be recorded on disk: the other registry must not count this one.
        """
        self.zones[update.ip] = update.zone
        self.controls[update.ip] = update.control
        self.merge(update.observed)
        entries = [self.backends.entries.get(each.incarnation.id) for each in update.observed]
        if not await self._record(entry.incarnation for entry in entries if entry is not None):
            raise OSError("an end is not on the disk")

    def snapshot(self) -> BackendSnapshot:
        """All incarnations, for a registry that synchronizes."""
        return BackendSnapshot(self.is_complete, self.backends.observed(self.loop.time()))

    async def _record(self, incarnations: Iterable[BackendIncarnation]) -> bool:
        """Whether those of these that drain or are gone are on this machine's disk, synced."""
        return self.record is None or await self.record.save(incarnations, self._known())

    # Replicating to the others

    async def flush(self) -> None:
        """Replicate the heartbeats that were received here since the last flush."""
        now = self.loop.time()
        observed = [ObservedIncarnation(incarnation, 0) for incarnation in self.unsent.values()]
        self.unsent = {}
        if observed or self.store_client.core_ips() - self.zones.keys():
            for ip in self.others():
                body = self._update(observed).encode(now)
                self.tasks.start(self.rpc_client(ip).call(call_kinds.UPDATE_BACKENDS, body, CALL_TIMEOUT_S))

    def _update(self, observed: list[ObservedIncarnation]) -> BackendUpdate:
        return BackendUpdate(self.ip, self.settings.zone, self.settings.bind.control, observed)

    async def replicate_end(self, id_: str) -> bool:
        """Whether a majority has this drain or end on its disk: only then may it be acknowledged."""
        incarnation = self.backends.entries[id_].incarnation
        if (id_, incarnation.state) in self.replicated_ends:
            return True
        if not await self._replicate_to_majority(incarnation):
            return False
        if len(self.replicated_ends) >= MAX_INCARNATIONS:
            self.replicated_ends.clear()  # costs no more than to replicate once more
        self.replicated_ends.add((id_, incarnation.state))
        return True

    async def _replicate_to_majority(self, incarnation: BackendIncarnation) -> bool:
        """Whether a majority of the core, this machine included, has recorded this end within `REPLICATION_S`.

        If not, the caller answers 503, and E304 is logged.
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
            answer = await self.rpc_client(ip).call(call_kinds.UPDATE_BACKENDS, body, REPLICATION_S)
            if isinstance(answer, Success):
                add(ip)

        self.tasks.start(record_here())
        for ip in self.others():
            self.tasks.start(replicate_to(ip))
        try:
            async with asyncio.timeout(REPLICATION_S):
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
        self.metrics.refused_ends.add()
