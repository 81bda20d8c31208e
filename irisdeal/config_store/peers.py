"""The other machines of the core, as a member calls them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

from returns.result import Result, Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.storage.version_store import ChunkAssembler, SyncState
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

PARCEL = 2.0  # s for one parcel: 64 KB on a link of 2 Mbit/s take 0.3, and the other's disk may be in trouble
MOST_PARCELS = 400  # of one body: over 20 MB of pieces
MOST_ARRIVING = 6  # bodies that are brought at once: of up to 16 MB each


class Peers:
    """Links to all machines of the core, and bodies to and from them."""

    def __init__(self, settings: Settings, acceptor: Acceptor, tasks: Tasks) -> None:
        self.settings, self.acceptor, self.tasks = settings, acceptor, tasks
        self.links: dict[str, RpcClient] = {}
        self.newest: dict[str, VersionId] = {}  # machine -> the newest body that it said to hold
        self.arriving: dict[tuple[str, bytes], ChunkAssembler] = {}  # (caller, digest) -> what came so far

    def link(self, ip: str) -> RpcClient:
        if ip not in self.links:
            self.links[ip] = RpcClient(
                ports.at(self.settings, ip, ports.CONFIG_STORE), f"almanac {self.settings.ip}"
            )
        return self.links[ip]

    async def call(self, ip: str, kind: str, body: Any, within: float) -> Result[Any, OperationError]:
        return await self.link(ip).call(kind, body, within)

    def notify(self, ip: str, kind: str, body: Any) -> None:
        """One way: who misses it hears of it in the next round."""
        link = self.link(ip)
        if not link.notify(kind, body):
            self.tasks.start(link.call(kind, body, PARCEL))

    # Bodies

    def base(self) -> VersionId:
        """The newest body that is here: what a difference may be told against."""
        newest = self.acceptor.version_store.newest
        return newest.version_id if newest is not None else NO_VERSION

    async def bring(self, ip: str, version: ConfigVersion, sync_state: SyncState) -> bool:
        """Whether this body is there now, synced, in as many chunks as it takes. `sync_state`: its last."""
        for _ in range(MOST_PARCELS):
            chunk = self._parcel(sync_state, version)
            if chunk is None:
                return False
            answer = await self.call(ip, "bring", chunk, PARCEL)
            if not isinstance(answer, Success):
                return False
            whole, told = answer.unwrap()
            if whole:
                return True
            before, sync_state = sync_state, SyncState.decode(told)
            if sync_state == before:
                return False
        return False

    def offer(self, version: ConfigVersion, ips: Iterable[str]) -> None:
        """Bring this body to all of them, without waiting for it."""
        for ip in sorted(set(ips) - {self.settings.ip}):
            self.tasks.start(self.bring(ip, version, SyncState(self.newest.get(ip, NO_VERSION))))

    async def brought(self, peer: str, chunk: list[Any]) -> list[Any]:
        """The other side: `[whole, what we have]`."""
        key = peer, bytes(chunk[1])
        assembler = self.arriving.pop(key, None) or ChunkAssembler(self.acceptor.version_store)
        version = assembler.take(chunk)
        if version is None:
            self.arriving[key] = assembler
            while len(self.arriving) > MOST_ARRIVING:
                del self.arriving[next(iter(self.arriving))]
        whole = version is not None and await self.acceptor.hold(version)
        return [whole, assembler.sync_state(self.base()).encode()]

    async def fetch(self, ip: str, version_id: VersionId) -> ConfigVersion | None:
        """This body from there, synced here; None where it is not there or our disk refuses."""
        assembler = ChunkAssembler(self.acceptor.version_store)
        for _ in range(MOST_PARCELS):
            sync_state = assembler.sync_state(self.base())
            answer = await self.call(
                ip, "fetch", [sync_state.encode(), version_id.number, version_id.digest], PARCEL
            )
            if not isinstance(answer, Success) or answer.unwrap() is None:
                return None
            version = assembler.take(answer.unwrap())
            if version is not None and version.version_id == version_id:
                return version if await self.acceptor.hold(version) else None
            if version is None and assembler.sync_state(self.base()) == sync_state:
                return None
        return None

    def fetched(self, sync_state: list[Any], number: int, digest: bytes) -> list[Any] | None:
        """The other side: the next parcel."""
        version_id = VersionId(number, digest)
        version = self.acceptor.version(version_id)
        if version is None:
            return None
        return self._parcel(SyncState.decode(sync_state), version)

    def _parcel(self, sync_state: SyncState, version: ConfigVersion) -> list[Any] | None:
        """The next parcel; None where the body is over the bound of a frame."""
        version_store = self.acceptor.version_store
        if not version_store.has(version.version_id.digest):
            version_store.hold(version)  # ones that are needed may have been put off the shelf
        return version_store.chunk(sync_state, version.version_id)

    async def body(self, version_id: VersionId, ips: list[str]) -> ConfigVersion | None:
        """This body: from here, or from the first of these machines that has it."""
        if self.acceptor.holds(version_id):
            return self.acceptor.version(version_id)
        if (version := self.acceptor.version(version_id)) is not None and await self.acceptor.hold(version):
            return version
        for ip in ips:
            if ip != self.settings.ip and (version := await self.fetch(ip, version_id)) is not None:
                return version
        return None

    def close(self) -> None:
        for link in self.links.values():
            link.close()


def now() -> float:
    """s of the steady clock."""
    return asyncio.get_running_loop().time()
