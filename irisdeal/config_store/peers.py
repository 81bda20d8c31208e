"""Calls to the other replicas, and the transfer of configuration versions to and from them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from returns.result import Result, Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.messages import FETCH, PUSH_STATE, FetchRequest, PushReply, WireBody
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState, VersionChunk
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

CHUNK_TIMEOUT_S = (
    2.0  # for one chunk: 64 KB on a link of 2 Mbit/s take 0.3 s, and the peer's disk may be slow
)
MAX_CHUNKS = 400  # of one version: over 20 MB
MAX_ARRIVING = 6  # versions pushed to us at once: of up to 16 MB each
# The name that a replica gives of itself on a connection, followed by its address: the former name of the program,
# which peers of other releases parse.
HELLO_NAME = "almanac"


class Peers:
    """Links to all replicas, and configuration versions to and from them."""

    def __init__(self, settings: Settings, acceptor: Acceptor, tasks: Tasks) -> None:
        """`acceptor`: where versions are kept; `tasks`: where work in the background is started."""
        self.settings, self.acceptor, self.tasks = settings, acceptor, tasks
        self.links: dict[str, RpcClient] = {}
        self.newest: dict[str, VersionId] = {}  # address -> the newest version that it reported to have
        self.arriving: dict[tuple[str, bytes], ChunkAssembler] = {}  # (caller, digest) -> its chunks so far

    def link(self, ip: str) -> RpcClient:
        """Return the link to this replica, made with the first call to it."""
        if ip not in self.links:
            address = ports.address_of(self.settings, ip, ports.CONFIG_STORE)
            self.links[ip] = RpcClient(address, f"{HELLO_NAME} {self.settings.ip}")
        return self.links[ip]

    async def call(
        self, ip: str, kind: str, body: object, timeout_s: float
    ) -> Result[WireBody, OperationError]:
        """Call this replica and return its answer, as decoded from CBOR, or the error."""
        return await self.link(ip).call(kind, body, timeout_s)

    def notify(self, ip: str, kind: str, body: object) -> None:
        """Send a message without an answer; a replica that misses it learns of it in the next status round."""
        link = self.link(ip)
        if not link.notify(kind, body):
            self.tasks.start(link.call(kind, body, CHUNK_TIMEOUT_S))

    # Transfer of versions

    def newest_id(self) -> VersionId:
        """Return the newest version that is here: what a difference can be sent against."""
        newest = self.acceptor.version_store.newest
        return newest.version_id if newest is not None else NO_VERSION

    async def push_state(self, ip: str, version: ConfigVersion, sync_state: SyncState) -> bool:
        """Push this version chunk by chunk; return whether the replica has it then, synced.

        `sync_state`: what the replica reported last.
        """
        for _ in range(MAX_CHUNKS):
            chunk = self._next_chunk(sync_state, version)
            if chunk is None:
                return False
            answer = await self.call(ip, PUSH_STATE, chunk.encode(), CHUNK_TIMEOUT_S)
            if not isinstance(answer, Success):
                return False
            reply = PushReply.decode(answer.unwrap())
            if reply.is_complete:
                return True
            if reply.sync_state == sync_state:
                return False  # the chunk was of no use
            sync_state = reply.sync_state
        return False

    def push_to_all(self, version: ConfigVersion, ips: Iterable[str]) -> None:
        """Push this version to all these replicas in the background."""
        for ip in sorted(set(ips) - {self.settings.ip}):
            sync_state = SyncState(self.newest.get(ip, NO_VERSION))
            self.tasks.start(self.push_state(ip, version, sync_state))

    async def on_push(self, peer: str, encoded_chunk: WireBody) -> PushReply:
        """Answer a pushed chunk. `peer`: the caller's name, which tells transfers apart."""
        _, digest_field, *_ = encoded_chunk  # a malformed chunk is counted by the assembler of this key
        digest = bytes(digest_field)
        assembler = self.arriving.pop((peer, digest), None) or ChunkAssembler(self.acceptor.version_store)
        version = assembler.add_chunk(encoded_chunk)
        if version is None:
            self.arriving[peer, digest] = assembler
            while len(self.arriving) > MAX_ARRIVING:
                del self.arriving[next(iter(self.arriving))]
        is_complete = version is not None and await self.acceptor.save_version(version)
        return PushReply(is_complete, assembler.sync_state(self.newest_id()))

    async def fetch(self, ip: str, version_id: VersionId) -> ConfigVersion | None:
        """Fetch this version and sync it; None where it is not there or our disk refuses."""
        assembler = ChunkAssembler(self.acceptor.version_store)
        for _ in range(MAX_CHUNKS):
            sync_state = assembler.sync_state(self.newest_id())
            request = FetchRequest(sync_state, version_id)
            answer = await self.call(ip, FETCH, request.encode(), CHUNK_TIMEOUT_S)
            if not isinstance(answer, Success) or answer.unwrap() is None:
                return None
            version = assembler.add_chunk(answer.unwrap())
            if version is not None and version.version_id == version_id:
                return version if await self.acceptor.save_version(version) else None
            if version is None and assembler.sync_state(self.newest_id()) == sync_state:
                return None  # the chunk was of no use
        return None

    def chunk_for(self, sync_state: SyncState, version_id: VersionId) -> VersionChunk | None:
        """Return the next chunk for a peer that has this; None where the version is not here."""
        version = self.acceptor.version(version_id)
        if version is None:
            return None
        return self._next_chunk(sync_state, version)

    def _next_chunk(self, sync_state: SyncState, version: ConfigVersion) -> VersionChunk | None:
        """Return the next chunk; None where the body is too long for a frame."""
        version_store = self.acceptor.version_store
        if not version_store.has(version.version_id.digest):
            version_store.add(version)  # the acceptor needs it, and the store may have dropped it
        return version_store.next_chunk(sync_state, version.version_id)

    async def version(self, version_id: VersionId, ips: list[str]) -> ConfigVersion | None:
        """Return this version, synced: from here, or from the first of these replicas that has it."""
        if self.acceptor.has_version(version_id):
            return self.acceptor.version(version_id)
        unsynced = self.acceptor.version(version_id)
        if unsynced is not None and await self.acceptor.save_version(unsynced):
            return unsynced
        for ip in ips:
            if ip != self.settings.ip and (version := await self.fetch(ip, version_id)) is not None:
                return version
        return None

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()


def now() -> float:
    """Return s of the loop's monotonic clock."""
    return asyncio.get_running_loop().time()
