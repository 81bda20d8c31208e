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

    def tell(self, ip: str, kind: str, body: Any) -> None:
        """One way: who misses it hears of it in the next round."""
        link = self.link(ip)
        if not link.tell(kind, body):
            self.tasks.start(link.call(kind, body, PARCEL))

    # Bodies

    def base(self) -> VersionId:
        """The newest body that is here: what a difference may be told against."""
        newest = self.acceptor.shelf.newest
        return newest.stamp if newest is not None else NO_VERSION

    async def bring(self, ip: str, word: ConfigVersion, have: SyncState) -> bool:
        """Whether this body is there now, synced, in as many parcels as it takes. `have`: what it said last."""
        for _ in range(MOST_PARCELS):
            parcel = self._parcel(have, word)
            if parcel is None:
                return False
            answer = await self.call(ip, "bring", parcel, PARCEL)
            if not isinstance(answer, Success):
                return False
            whole, told = answer.unwrap()
            if whole:
                return True
            before, have = have, SyncState.hear(told)
            if have == before:
                return False
        return False

    def offer(self, word: ConfigVersion, ips: Iterable[str]) -> None:
        """Bring this body to all of them, without waiting for it."""
        for ip in sorted(set(ips) - {self.settings.ip}):
            self.tasks.start(self.bring(ip, word, SyncState(self.newest.get(ip, NO_VERSION))))

    async def brought(self, peer: str, parcel: list[Any]) -> list[Any]:
        """The other side: `[whole, what we have]`."""
        key = peer, bytes(parcel[1])
        arrivals = self.arriving.pop(key, None) or ChunkAssembler(self.acceptor.shelf)
        word = arrivals.take(parcel)
        if word is None:
            self.arriving[key] = arrivals
            while len(self.arriving) > MOST_ARRIVING:
                del self.arriving[next(iter(self.arriving))]
        whole = word is not None and await self.acceptor.hold(word)
        return [whole, arrivals.have(self.base()).tell()]

    async def fetch(self, ip: str, stamp: VersionId) -> ConfigVersion | None:
        """This body from there, synced here; None where it is not there or our disk refuses."""
        arrivals = ChunkAssembler(self.acceptor.shelf)
        for _ in range(MOST_PARCELS):
            have = arrivals.have(self.base())
            answer = await self.call(ip, "fetch", [have.tell(), stamp.number, stamp.digest], PARCEL)
            if not isinstance(answer, Success) or answer.unwrap() is None:
                return None
            word = arrivals.take(answer.unwrap())
            if word is not None and word.stamp == stamp:
                return word if await self.acceptor.hold(word) else None
            if word is None and arrivals.have(self.base()) == have:
                return None
        return None

    def fetched(self, have: list[Any], number: int, digest: bytes) -> list[Any] | None:
        """The other side: the next parcel."""
        stamp = VersionId(number, digest)
        word = self.acceptor.word(stamp)
        if word is None:
            return None
        return self._parcel(SyncState.hear(have), word)

    def _parcel(self, have: SyncState, word: ConfigVersion) -> list[Any] | None:
        """The next parcel; None where the body is over the bound of a frame."""
        shelf = self.acceptor.shelf
        if not shelf.has(word.stamp.digest):
            shelf.hold(word)  # ones that are needed may have been put off the shelf
        return shelf.parcel(have, word.stamp)

    async def body(self, stamp: VersionId, ips: list[str]) -> ConfigVersion | None:
        """This body: from here, or from the first of these machines that has it."""
        if self.acceptor.holds(stamp):
            return self.acceptor.word(stamp)
        if (word := self.acceptor.word(stamp)) is not None and await self.acceptor.hold(word):
            return word
        for ip in ips:
            if ip != self.settings.ip and (word := await self.fetch(ip, stamp)) is not None:
                return word
        return None

    def close(self) -> None:
        for link in self.links.values():
            link.close()


def now() -> float:
    """s of the steady clock."""
    return asyncio.get_running_loop().time()
