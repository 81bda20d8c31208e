"""Answers the proxies' long polls: configuration, backends, core machines and the age of the registry's state.

A proxy sends the versions that it has. It is answered immediately if there is something newer, otherwise after at
most `MAX_POLL_S`. The age in the answer is that at the arrival of the request, at least 0: the proxy adds the time
since it sent the request, which includes the time for which the poll was pending. A pending poll therefore makes
the state appear older than it is by at most `MAX_POLL_S`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from irisdeal.config_store.storage.chunks import SyncState, VersionChunk
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.messages import NO_CONTACT_AGE_MS, OLDER_CHANGE, WatchReply, WatchRequest
from irisdeal.registry.store_client import StoreClient

MAX_POLL_S = 1.0  # a proxy's poll is pending for at most this long while nothing changes


class WatchService:
    """Answers the long polls of one registry's proxies."""

    def __init__(
        self,
        store_client: StoreClient,
        backends: BackendTable,
        incarnation: int,
        zones: dict[str, str],
        is_synchronized: Callable[[], bool],
    ) -> None:
        """Create the service.

        `incarnation`: of this registry process; `zones`: zones of the registries by IP; `is_synchronized`: whether
        this registry has fetched the backends of the other registries.
        """
        self.store_client, self.backends = store_client, backends
        self.incarnation, self.zones = incarnation, zones
        self.is_synchronized = is_synchronized
        self.loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()

    def notify_proxies(self) -> None:
        """Answer all pending polls, after a change or when contact was lost or regained."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def poll(self, request: WatchRequest) -> WatchReply:
        """Answer one long poll."""
        received_at = self.loop.time()
        is_known = request.registry_incarnation == self.incarnation
        table_version = request.table_version if is_known else 0
        if is_known and not self._is_newer(request):
            try:
                async with asyncio.timeout(MAX_POLL_S):
                    await self.changed.wait()
            except TimeoutError:
                pass
        store_client = self.store_client
        chunk = self._chunk(request.sync_state)
        version_id = store_client.version_id
        is_newest = chunk is None or chunk.version_id == version_id
        return WatchReply(
            chunk.encode() if chunk is not None else None,
            self.incarnation,
            self.backends.version,
            [entry.status() for entry in self.backends.changed_since(table_version)],
            {ip: self.zones.get(ip, "") for ip in sorted(store_client.core_ips())},
            self._age_ms(received_at),
            store_client.change if is_newest else OLDER_CHANGE,
        )

    def _chunk(self, sync_state: SyncState) -> VersionChunk | None:
        version_id = self.store_client.version_id
        if version_id.number <= sync_state.version_id.number:
            return None
        return self.store_client.version_store.next_chunk(sync_state, version_id, by_snapshot=True)

    def _age_ms(self, received_at: float) -> int:
        age_s = self.store_client.state_age_s()
        if age_s is None or not self.is_synchronized():
            return NO_CONTACT_AGE_MS
        return max(0, math.ceil((age_s - (self.loop.time() - received_at)) * 1000))

    def _is_newer(self, request: WatchRequest) -> bool:
        """Return whether this registry has anything newer than the proxy; the proxy may also be ahead."""
        return (
            self.store_client.version_id.number > request.sync_state.version_id.number
            or self.backends.version > request.table_version
            or self.store_client.change > request.change
        )
