"""RPC calls to the other replicas, and the transfer of configuration versions to and from them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from returns.result import Result, Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.messages import FETCH, PUSH_CHUNK, FetchRequest, PushReply, WireBody
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState, VersionChunk
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

CHUNK_TIMEOUT_S = 2.0  # 64 KB take 0.3 s on a link of 2 Mbit/s, and the peer's disk may be slow
MAX_CHUNKS_PER_TRANSFER = 400  # over 20 MB
MAX_INCOMING_TRANSFERS = 6  # concurrent pushes to this replica, of up to 16 MB each
# Client name on a connection, followed by the address of the replica. Fixed, as peers of other releases parse it.
HELLO_NAME = "almanac"


class Peers:
    """Connections to all replicas, and transfers of configuration versions."""

    def __init__(self, settings: Settings, acceptor: Acceptor, tasks: Tasks) -> None:
        """`acceptor`: stores the versions; `tasks`: starts background tasks."""
        self.settings, self.acceptor, self.tasks = settings, acceptor, tasks
        self.links: dict[str, RpcClient] = {}
        self.newest: dict[str, VersionId] = {}  # address -> newest version it reported
        self.incoming: dict[tuple[str, bytes], ChunkAssembler] = {}  # by caller and digest

    def link(self, ip: str) -> RpcClient:
        """Return the connection to this replica, created on first use."""
        if ip not in self.links:
            address = ports.address_of(self.settings, ip, ports.CONFIG_STORE)
            self.links[ip] = RpcClient(address, f"{HELLO_NAME} {self.settings.ip}")
        return self.links[ip]

    async def call(
        self, ip: str, kind: str, body: object, timeout_s: float
    ) -> Result[WireBody, OperationError]:
        """Call this replica; return its reply as decoded from CBOR, or the error."""
        return await self.link(ip).call(kind, body, timeout_s)

    def notify(self, ip: str, kind: str, body: object) -> None:
        """Send a message without a reply; a replica that misses it gets the value in the next status round."""
        link = self.link(ip)
        if not link.notify(kind, body):
            self.tasks.start(link.call(kind, body, CHUNK_TIMEOUT_S))

    # Transfer of versions

    def newest_id(self) -> VersionId:
        """Return the newest version stored here, against which peers can send a delta."""
        newest = self.acceptor.version_store.newest
        return newest.version_id if newest is not None else NO_VERSION

    async def push_version(self, ip: str, version: ConfigVersion, sync_state: SyncState) -> bool:
        """Push this version chunk by chunk; return whether the replica then has it synced.

        `sync_state`: the last reported state of the replica.
        """
        for _ in range(MAX_CHUNKS_PER_TRANSFER):
            chunk = self._next_chunk(sync_state, version)
            if chunk is None:
                return False
            result = await self.call(ip, PUSH_CHUNK, chunk.encode(), CHUNK_TIMEOUT_S)
            if not isinstance(result, Success):
                return False
            reply = PushReply.decode(result.unwrap())
            if reply.is_complete:
                return True
            if reply.sync_state == sync_state:
                return False  # the chunk had no effect
            sync_state = reply.sync_state
        return False

    def push_to_all(self, version: ConfigVersion, ips: Iterable[str]) -> None:
        """Push this version to all these replicas in the background."""
        for ip in sorted(set(ips) - {self.settings.ip}):
            sync_state = SyncState(self.newest.get(ip, NO_VERSION))
            self.tasks.start(self.push_version(ip, version, sync_state))

    async def on_push(self, peer: str, encoded_chunk: WireBody) -> PushReply:
        """Handle a pushed chunk. `peer`: the caller's name, which distinguishes concurrent transfers."""
        _, digest_field, *_ = encoded_chunk  # the assembler of this digest counts a malformed chunk
        digest = bytes(digest_field)
        assembler = self.incoming.pop((peer, digest), None) or ChunkAssembler(self.acceptor.version_store)
        version = assembler.add_chunk(encoded_chunk)
        if version is None:
            self.incoming[peer, digest] = assembler
            while len(self.incoming) > MAX_INCOMING_TRANSFERS:
                del self.incoming[next(iter(self.incoming))]
        is_complete = version is not None and await self.acceptor.save_version(version)
        return PushReply(is_complete, assembler.sync_state(self.newest_id()))

    async def fetch(self, ip: str, version_id: VersionId) -> ConfigVersion | None:
        """Fetch this version and sync it; None if the replica does not have it or the local disk fails."""
        assembler = ChunkAssembler(self.acceptor.version_store)
        for _ in range(MAX_CHUNKS_PER_TRANSFER):
            sync_state = assembler.sync_state(self.newest_id())
            request = FetchRequest(sync_state, version_id)
            result = await self.call(ip, FETCH, request.encode(), CHUNK_TIMEOUT_S)
            if not isinstance(result, Success) or result.unwrap() is None:
                return None
            version = assembler.add_chunk(result.unwrap())
            if version is not None and version.version_id == version_id:
                return version if await self.acceptor.save_version(version) else None
            if version is None and assembler.sync_state(self.newest_id()) == sync_state:
                return None  # the chunk had no effect
        return None

    def chunk_for(self, sync_state: SyncState, version_id: VersionId) -> VersionChunk | None:
        """Return the next chunk for a peer with this sync state; None if the version is not available here."""
        version = self.acceptor.get_version(version_id)
        if version is None:
            return None
        return self._next_chunk(sync_state, version)

    def _next_chunk(self, sync_state: SyncState, version: ConfigVersion) -> VersionChunk | None:
        """Return the next chunk; None if the body is too long for a frame."""
        version_store = self.acceptor.version_store
        if not version_store.has(version.version_id.digest):
            version_store.add(version)  # retained by the acceptor after the store dropped it
        return version_store.next_chunk(sync_state, version.version_id)

    async def obtain_version(self, version_id: VersionId, ips: list[str]) -> ConfigVersion | None:
        """Return this version, synced; if it is missing here, fetch it from the first replica that has it."""
        if self.acceptor.has_version(version_id):
            return self.acceptor.get_version(version_id)
        unsynced = self.acceptor.get_version(version_id)
        if unsynced is not None and await self.acceptor.save_version(unsynced):
            return unsynced
        for ip in ips:
            if ip != self.settings.ip and (version := await self.fetch(ip, version_id)) is not None:
                return version
        return None

    def close(self) -> None:
        """Close all connections."""
        for link in self.links.values():
            link.close()


def now() -> float:
    """Return the time of the event loop's monotonic clock in seconds."""
    return asyncio.get_running_loop().time()
