"""What doors are told: the word, the lives, the list of the core, and how old the registry's knowledge is.

A door says what it has and is answered at once where there is more, else within `HOLD` s. The age that it is told
is that of the moment at which its ask came, at least 0: it adds the time since it sent its ask, which holds the
time that the ask was held. So a held ask makes knowledge look no older than it is by more than the hold.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.registry.backend_table import BackendTable, encode_incarnation
from irisdeal.registry.store_client import StoreClient

HOLD = 1.0  # s that a door's ask may be held without news


class WatchService:
    """Answers doors' asks for news."""

    def __init__(
        self,
        store_client: StoreClient,
        registry: BackendTable,
        incarnation: int,
        zones: dict[str, str],
        is_full: Callable[[], bool],
    ) -> None:
        """`incarnation`: of this registry; `is_full`: whether it has learned which backends there are."""
        self.store_client, self.registry, self.incarnation, self.zones, self.is_full = (
            store_client,
            registry,
            incarnation,
            zones,
            is_full,
        )
        self.loop = asyncio.get_running_loop()
        self.waking = asyncio.Event()

    def wake(self) -> None:
        """There is news, or contact was won or lost: all asks that are held are answered."""
        self.waking.set()
        self.waking = asyncio.Event()

    async def answer(self, sync_state: list[Any], incarnation: int, changes: int, change: int) -> list[Any]:
        """[parcel or None, our life, our number, changed lives, {ip: zone}, age in ms, change].

        `age`: -1 where no store has contact, or we have just started and do not know the backends. `change`: of our
        newest word; -1 where the parcel is of an older one, which the door was in the middle of.
        """
        came, has = self.loop.time(), SyncState.decode(sync_state)
        known = changes if incarnation == self.incarnation else 0
        if incarnation == self.incarnation and not self._has_news(has, known, change):
            try:
                async with asyncio.timeout(HOLD):
                    await self.waking.wait()
            except TimeoutError:
                pass
        now, store_client = self.loop.time(), self.store_client
        version_id = store_client.version_id
        chunk = (
            store_client.version_store.next_chunk(has, version_id, by_snapshot=True)
            if version_id.number > has.version_id.number
            else None
        )
        is_newest = chunk is None or chunk.version_id == version_id
        return [
            chunk.encode() if chunk is not None else None,
            self.incarnation,
            self.registry.number,
            [
                [encode_incarnation(entry.incarnation, now), entry.silent]
                for entry in self.registry.since(known)
            ],
            {ip: self.zones.get(ip, "") for ip in sorted(store_client.everyone())},
            self._age(came),
            store_client.change if is_newest else -1,
        ]

    def _age(self, came: float) -> int:
        age = self.store_client.age()
        if age is None or not self.is_full():
            return -1
        return max(0, math.ceil((age - (self.loop.time() - came)) * 1000))

    def _has_news(self, has: SyncState, known: int, change: int) -> bool:
        """A door that knows more than we do has no news from us."""
        return (
            self.store_client.version_id.number > has.version_id.number
            or self.registry.number > known
            or self.store_client.change > change
        )
