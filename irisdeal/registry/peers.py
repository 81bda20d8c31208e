"""What registries tell each other of backends, and when enough of them know it.

A beat is told to the others in batches, and nobody waits for it. A drain or an end is told at once, and is
acknowledged once a majority of the core has it on its disk (`ended_record.py`).

A registry remembers while its process runs and, with its disk, beyond. One that starts without its record may have
forgotten what it said it had: it learns from the others first, and is not counted by others that learn.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from returns.result import Success

from irisdeal.registry.backend_table import (
    MAX_INCARNATIONS,
    BackendIncarnation,
    BackendState,
    BackendTable,
    decode_incarnation,
    encode_incarnation,
)
from irisdeal.registry.ended_record import EndedRecord
from irisdeal.registry.messages import BackendSnapshot, BackendUpdate
from irisdeal.registry.metrics import RegistryMetrics
from irisdeal.registry.store_client import StoreClient
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

ANSWER_S = 0.4  # for a short answer of another registry
LEARN_S = 2.5  # that a registry which starts or was away asks the others for lives before it goes on without
RECALL_S = 1.0  # that a start waits for its disk
LEARN_PAUSE_S = 0.25  # between two such asks


class RegistryPeers:
    """The other registries of the core, as one registry sees them."""

    def __init__(
        self,
        settings: Settings,
        store_client: StoreClient,
        registry: BackendTable,
        record: EndedRecord | None,
        metrics: RegistryMetrics,
        tasks: Tasks,
        on_news: Callable[[], None],
    ) -> None:
        """`record`: None on a machine without a disk; `on_news`: called when backends are news to proxies."""
        self.settings, self.ip = settings, settings.ip
        self.store_client, self.registry, self.record = store_client, registry, record
        self.metrics, self.tasks, self.on_news = metrics, tasks, on_news
        self.loop = asyncio.get_running_loop()
        self.zones: dict[str, str] = {self.ip: settings.zone}
        self.controls: dict[str, str] = {self.ip: settings.bind.control}  # where each registry takes beats
        self.links: dict[str, RpcClient] = {}
        self.unsent: dict[str, BackendIncarnation] = {}  # lives heard here that the others have not been told
        self.sure: set[tuple[str, BackendState]] = (
            set()
        )  # ends of lives that a majority of the core was told by us
        self.remembers = (
            settings.bootstrap
        )  # whether all is here that an earlier process of ours has said it had
        self.has_learned, self.is_learning = False, False

    # Links

    def others(self) -> list[str]:
        """The machines of the core but ours."""
        return sorted(self.store_client.everyone() - {self.ip})

    def link(self, ip: str) -> RpcClient:
        """The registry of this machine."""
        if ip not in self.links:
            self.links[ip] = RpcClient(ports.at(self.settings, ip, ports.REGISTRY), f"gauge {self.ip}")
        return self.links[ip]

    def forget_all_but(self, core: frozenset[str]) -> None:
        """These machines are the core now."""
        for ip in self.links.keys() - core:
            self.links.pop(ip).close()
        for ip in self.zones.keys() - core:
            del self.zones[ip], self.controls[ip]

    def notify(self, kind: str, body: list[Any]) -> None:
        """To all other registries; who misses it hears the next."""
        for ip in self.others():
            link = self.link(ip)
            if not link.notify(kind, body):
                self.tasks.start(link.call(kind, body, ANSWER_S))

    # What the others know

    async def recall(self) -> None:
        """Read what an earlier process of ours has recorded; a disk that hangs is waited for beside all else."""
        if self.record is not None:
            await asyncio.wait({self.tasks.start(self._recall(self.record))}, timeout=RECALL_S)

    async def _recall(self, record: EndedRecord) -> None:
        recorded = await record.open()
        for incarnation in recorded or ():
            self.registry.hear(incarnation, self.loop.time())
        self.remembers = self.remembers or recorded is not None
        if recorded is None and self.remembers:
            await record.begin(self._known())

    async def learn(self) -> None:
        """All that enough of the others know; we are no full source before, or before `LEARN_S` are over.

        An end is acknowledged once a majority has it. Enough were heard when those that were not, with those that
        do not remember, are no majority: each majority that was told an end has then somebody among those heard.
        """
        if self.is_learning:
            return
        self.is_learning, self.has_learned = True, False
        heard: set[str] = set()
        until = self.loop.time() + LEARN_S
        while True:
            await asyncio.gather(*(self._learn_from(ip, heard) for ip in self.others()))
            missing = self.store_client.members.ips() - heard - ({self.ip} if self.remembers else set())
            is_enough = not self.store_client.is_majority(missing) or not self.others()
            if is_enough or self.loop.time() > until:
                break
            await asyncio.sleep(LEARN_PAUSE_S)
        log_event(
            Event.BACKENDS_LEARNED if is_enough else Event.BACKENDS_LEARNED_PARTIALLY,
            heard=len(heard),
            incarnations=len(self.registry.entries),
        )
        await self._remember()
        self.is_learning, self.has_learned = False, True
        self.on_news()

    async def _learn_from(self, ip: str, heard: set[str]) -> None:
        answer = await self.link(ip).call("all_lives", None, ANSWER_S)
        if isinstance(answer, Success):
            told = BackendSnapshot.decode(answer.unwrap())
            if told.remembers:
                heard.add(ip)
            self.hear(told.incarnations)

    async def _remember(self) -> None:
        """What was to be learned is here: from now on it is kept."""
        if not self.remembers:
            if self.record is not None:
                await self.record.begin(self._known())
            self.remembers = True

    def hear(self, incarnations: Iterable[tuple[list[Any], int]]) -> None:
        """Lives and how many ms ago each was heard, as another process tells them."""
        now, news = self.loop.time(), False
        for incarnation, age in incarnations:
            news |= self.registry.hear(decode_incarnation(incarnation, now), now, age / 1000)
        if news:
            self.on_news()

    def _known(self) -> Iterator[BackendIncarnation]:
        return (entry.incarnation for entry in self.registry.entries.values())

    # Calls of other registries

    async def told(self, message: BackendUpdate) -> None:
        """Another registry tells lives. OSError where an end is not on our disk: it is not to be counted then."""
        self.zones[message.ip] = message.zone
        self.controls[message.ip] = message.control
        self.hear(message.incarnations)
        ids = [str(incarnation[0]) for incarnation, _ in message.incarnations]
        if not await self._keep(
            entry.incarnation for id_ in ids if (entry := self.registry.entries.get(id_))
        ):
            raise OSError("an end is not on the disk")

    def all(self) -> BackendSnapshot:
        """All that we know, for one that learns."""
        return BackendSnapshot(self.remembers, self.registry.all(self.loop.time()))

    async def _keep(self, incarnations: Iterable[BackendIncarnation]) -> bool:
        """Whether those of these that end are on our disk, synced."""
        return self.record is None or await self.record.keep(incarnations, self._known())

    # What we tell them

    async def flush(self) -> None:
        """Tell the others what was heard here since the last time."""
        now = self.loop.time()
        incarnations = [(encode_incarnation(incarnation, now), 0) for incarnation in self.unsent.values()]
        self.unsent = {}
        if incarnations or self.store_client.everyone() - self.zones.keys():
            for ip in self.others():
                self.tasks.start(self.link(ip).call("told", self._message(incarnations).encode(), ANSWER_S))

    def _message(self, incarnations: list[tuple[list[Any], int]]) -> BackendUpdate:
        return BackendUpdate(self.ip, self.settings.zone, self.settings.bind.control, incarnations)

    async def make_sure(self, id_: str) -> bool:
        """Whether a majority has this life's end on its disk: only then may it be acknowledged."""
        incarnation = self.registry.entries[id_].incarnation
        if (id_, incarnation.state) in self.sure:
            return True
        if not await self._tell_now(incarnation):
            return False
        if len(self.sure) >= MAX_INCARNATIONS:
            self.sure.clear()  # to be told once more is all that it costs
        self.sure.add((id_, incarnation.state))
        return True

    async def _tell_now(self, incarnation: BackendIncarnation) -> bool:
        """Whether a majority of the core has this end, this machine counted as any other."""
        known: set[str] = set()
        enough = asyncio.Event()
        body = self._message([(encode_incarnation(incarnation, self.loop.time()), 0)]).encode()

        def note(ip: str) -> None:
            known.add(ip)
            if self.store_client.is_majority(known):
                enough.set()

        async def keep_here() -> None:
            if await self._keep([incarnation]):
                note(self.ip)

        async def tell_one(ip: str) -> None:
            if isinstance(await self.link(ip).call("told", body, 2 * ANSWER_S), Success):
                note(ip)

        self.tasks.start(keep_here())
        for ip in self.others():
            self.tasks.start(tell_one(ip))
        try:
            async with asyncio.timeout(2 * ANSWER_S):
                await enough.wait()
        except TimeoutError:
            log_event(
                Event.DRAIN_NOT_ACKNOWLEDGED,
                id=incarnation.id,
                known=len(known),
                members=len(self.store_client.members.ips()),
            )
            self.metrics.refused_ends.add()
            return False
        self.metrics.acknowledged_ends.add(str(len(known)))
        return True
