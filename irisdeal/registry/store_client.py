"""What a registry knows of the store, and how old that is: one member's store is followed, its own where it can.

Rules that must hold here:
1. Knowledge is as of a moment of our steady clock: when our ask was sent, less the age that the store told of
   its contact with a quorum. So what is told by whoever was cut off, stood still or answers late is old by itself.
2. It counts only once the body of what is decided is here, whole.
3. It only moves forward: by `change`, or by a higher number where a core began anew.
4. A store that is silent, or says that it has no contact, is left at once for another that has; our own is asked
   on and followed again as soon as it can be.
5. An order or a read goes to a store that has contact, and to the next where that one gives up at once: an order
   may be sent twice, since its number and digest name it. Without any, the answer is that there is none, at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

from returns.result import Failure, Result

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import PutOutcome, Value
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.membership.members import Members, ip_of, majority
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks, run_periodically
from irisdeal.runtime.settings import Settings

HOLD = 1.0  # s that a store may hold a watch without news
ANSWER = 0.4  # s for a short answer of a store
PULSE = 0.2  # s between two asks for the age of what we know; on the same machine, so they cost no bytes on a link
STALE = CONTACT_LEASE_S + PULSE + ANSWER  # s: knowledge that is older is no contact, whatever was said
GRACE = 0.15  # s that another store is looked for before doors are told that there is no contact
SEEK = (
    0.5  # s between two looks for a store that has contact, times 0.75 to 1.25: registries do not ask as one
)
OWN = 0.1  # s between two looks at the own store meanwhile
PUT = 0.95  # s for an order or a read: the caller goes elsewhere after a second of silence
LEAST = 0.1  # s under which no further store is tried
AGAIN = 0.5  # s after which an order may find a store: a round and its answers; told as Retry-After
PAUSE = 0.05  # s before the next watch, where one was answered at once and nothing came of it
AT_ONCE = -2  # as `change` of a watch: no store has it, so it answers at once


class ProbeResult(Enum):
    """What an ask showed of a store."""

    GOOD = 0
    NO_CONTACT = 1
    SILENT = 2


class StoreClient:
    """The store as this registry knows it. Times are s of the loop's clock."""

    def __init__(
        self,
        settings: Settings,
        version_store: VersionStore,
        on_version: Callable[[ConfigVersion], None],
        changed: Callable[[], None],
    ) -> None:
        """`on_version`: a newer word is here; `changed`: it, the list, or whether there is contact is another."""
        self.settings, self.ip, self.version_store = settings, settings.ip, version_store
        self.on_version, self.changed = on_version, changed
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(settings.ip)
        self.assembler = ChunkAssembler(version_store)
        self.value = Value(-1, NO_VERSION, Members.first(ports.seeds(settings)))  # -1: none was told
        self.version: ConfigVersion | None = None
        self.change = -1  # of the newest value whose body is here
        self.learners: frozenset[str] = frozenset()
        self.source = self.ip  # whose store is followed
        self.as_of = float("-inf")  # we know all that was decided by then
        self.has_contact = False  # as doors were told last
        self.older: set[str] = set()  # stores of which event 314 was told
        self.links: dict[str, RpcClient] = {}
        self.seeking: asyncio.Task[None] | None = None
        self.tasks = Tasks()

    def start(self) -> None:
        self.tasks.start(self._watch())
        self.tasks.start(run_periodically(PULSE, self._pulse))

    def stop(self) -> None:
        self.tasks.cancel()
        for link in self.links.values():
            link.close()

    def reload(self, settings: Settings) -> None:
        self.settings = settings

    # What is known

    @property
    def version_id(self) -> VersionId:
        """Of the newest word that is here."""
        return self.version.version_id if self.version is not None else NO_VERSION

    @property
    def members(self) -> Members:
        return self.value.members

    def everyone(self) -> frozenset[str]:
        """The machines whose registries are to be asked, told and shared with, this one among them."""
        seeds = ports.seeds(self.settings) if self.value.change < 0 else ()
        return self.members.ips() | self.learners | {self.ip, *seeds}

    def is_majority(self, ips: Iterable[str]) -> bool:
        """Whether these machines are a majority of the list, and of the one before while a change is under way."""
        ips = set(ips)
        lists = (frozenset(map(ip_of, seats)) for seats in (self.members.seats, self.members.former) if seats)
        return all(len(ips & machines) >= majority(machines) for machines in lists)

    def age(self) -> float | None:
        """s since the moment by which we know all that was decided; None where there is no contact."""
        age = self.loop.time() - self.as_of
        return age if self.has_contact and age <= STALE else None

    # Following

    def _link(self, ip: str) -> RpcClient:
        if ip not in self.links:
            self.links[ip] = RpcClient(
                ports.address_of(self.settings, ip, ports.CONFIG_STORE), f"gauge {self.ip}"
            )
        return self.links[ip]

    def _others(self) -> list[str]:
        return sorted(self.everyone() - {self.ip})

    async def _watch(self) -> None:
        """Ask for news, held while there is none."""
        while True:
            source, before, sent = self.source, self._progress(), self.loop.time()
            probe_result = await self._ask(source, True)
            if source != self.source:
                continue  # another one is followed by now
            if probe_result is ProbeResult.GOOD:
                self._found(source)
                if before == self._progress() and self.loop.time() - sent < PAUSE:
                    await asyncio.sleep(PAUSE)
            else:
                await self._seek()

    def _progress(self) -> tuple[int, SyncState]:
        return self.value.change, self.assembler.sync_state(self.version_id)

    async def _pulse(self) -> None:
        """Ask how old our knowledge is, and whether our own store can be followed again."""
        if self.seeking is not None:
            return
        source = self.source
        if source != self.ip and await self._ask(self.ip, False) is ProbeResult.GOOD:
            return self._found(self.ip)
        probe_result = await self._ask(source, False)
        if source == self.source:
            await self._seek() if probe_result is not ProbeResult.GOOD else self._found(source)

    async def _seek(self) -> None:
        """Find a store that has contact; both loops wait for the same search."""
        if self.seeking is None:
            self.seeking = self.tasks.start(self._search())
        await asyncio.shield(self.seeking)

    async def _search(self) -> None:
        lost = self.loop.call_later(GRACE, self._lost)
        try:
            while True:
                others = self._others()
                asks = [self.tasks.start(self._ask_other(ip)) for ip in (self.ip, *others)]
                for done in asyncio.as_completed(asks):
                    ip, probe_result = await done
                    if probe_result is ProbeResult.GOOD:
                        return self._found(ip)
                self._lost()
                again = self.loop.time() + SEEK * (0.75 + 0.5 * self.chance.random())
                while self.loop.time() < again:  # at a start of all machines the own store is there first
                    await asyncio.sleep(OWN)
                    if await self._ask(self.ip, False) is ProbeResult.GOOD:
                        return self._found(self.ip)
        finally:
            lost.cancel()
            self.seeking = None

    async def _ask_other(self, ip: str) -> tuple[str, ProbeResult]:
        return ip, await self._ask(ip, False)

    def _found(self, ip: str) -> None:
        """This store has contact: it is followed."""
        if ip != self.source:
            log_event(Event.LOCAL_STORE_FOLLOWED if ip == self.ip else Event.REMOTE_STORE_FOLLOWED, store=ip)
            self.source = ip
        self._have_contact(self.loop.time() - self.as_of <= STALE)

    def _lost(self) -> None:
        self._have_contact(False)

    def _have_contact(self, has_contact: bool) -> None:
        if has_contact != self.has_contact:
            self.has_contact = has_contact
            log_event(
                Event.STORE_CONTACT_REGAINED if has_contact else Event.STORE_CONTACT_LOST,
                store=self.source,
                age=round(self.loop.time() - self.as_of, 2),
            )
            self.changed()

    async def _ask(self, ip: str, held: bool) -> ProbeResult:
        """One watch; `held`: until there is news."""
        sync_state, sent = self.assembler.sync_state(self.version_id), self.loop.time()
        body = [sync_state.encode(), self.value.change if held else AT_ONCE]
        answer = await self._link(ip).call("watch", body, HOLD + ANSWER if held else ANSWER)
        if isinstance(answer, Failure):
            return ProbeResult.SILENT
        try:
            chunk, told, learners, age = answer.unwrap()
            return self._hear(
                ip, sync_state, sent, chunk, Value.decode(told), frozenset(map(str, learners)), int(age)
            )
        except (ValueError, TypeError, IndexError) as error:
            log_event(Event.FRAME_INVALID, peer=ip, error=error)
            return ProbeResult.SILENT

    def _hear(
        self,
        ip: str,
        sync_state: SyncState,
        sent: float,
        chunk: list[Any] | None,
        value: Value,
        learners: frozenset[str],
        age: int,
    ) -> ProbeResult:
        """`age`: ms, below 0 where the store has no contact."""
        if value.change < 0:  # its disk came empty: it knows nothing yet
            return ProbeResult.NO_CONTACT
        if value.change < self.value.change and value.version_id.number <= self.value.version_id.number:
            if age >= 0 and sent - age / 1000 > self.as_of and ip not in self.older:
                self.older.add(ip)
                log_event(Event.STORE_STATE_STALE, store=ip, change=value.change, known=self.value.change)
            return ProbeResult.NO_CONTACT
        self.older.discard(ip)
        news = self._take_list(value, learners if age >= 0 else self.learners | learners)
        news |= self._take_version(sync_state, chunk)
        if self.version_id == self.value.version_id:
            news |= self.change != self.value.change
            self.change = self.value.change
            if age >= 0:
                self.as_of = max(self.as_of, sent - age / 1000)
        if news:
            self.changed()
        return ProbeResult.GOOD if age >= 0 else ProbeResult.NO_CONTACT

    def _take_list(self, value: Value, learners: frozenset[str]) -> bool:
        """Whether the list of the core is another."""
        before, number = self.everyone(), self.members.number
        self.value, self.learners = value, learners
        gone = before - self.everyone()
        for ip in gone:
            if ip in self.links:
                self.links.pop(ip).close()
        if value.members.number != number or gone:
            log_event(
                Event.CORE_MEMBERSHIP_CHANGED,
                list=value.members.number,
                members=len(value.members.ips()),
                left=",".join(sorted(gone)),
            )
        return value.members.number != number

    def _take_version(self, sync_state: SyncState, chunk: list[Any] | None) -> bool:
        """Whether a newer word is here; another answer may have brought the same parcel meanwhile."""
        if chunk is None or sync_state != self.assembler.sync_state(self.version_id):
            return False
        version = self.assembler.take(chunk)
        if version is None or version.version_id.number <= self.version_id.number:
            return False
        self.version = version
        self.on_version(version)
        return True

    # Orders

    async def put(self, version: ConfigVersion) -> PutOutcome:
        """Have it decided. UNDECIDED at once where no store has contact."""
        body = [version.version_id.number, version.version_id.digest, version.body]
        answer = await self._order("put", body, lambda told: told != PutOutcome.UNDECIDED)
        try:
            return PutOutcome(answer.value_or(PutOutcome.UNDECIDED))
        except ValueError:
            return PutOutcome.UNDECIDED

    async def read(self) -> tuple[bool, bytes | None]:
        """Whether it is known what holds, and its body; None where nothing was ever put."""
        answer = await self._order("read", None, lambda told: bool(told[0]))
        known, body = answer.value_or([False, None])
        return bool(known), bytes(body) if known and body is not None else None

    async def _order(
        self, kind: str, body: Any, is_done: Callable[[Any], bool]
    ) -> Result[Any, OperationError]:
        """The first answer that is one; the last one where none is."""
        answer: Result[Any, OperationError] = Failure(
            OperationError(kind, "store", "no contact", never_sent=True)
        )
        until = self.loop.time() + PUT
        for ip in dict.fromkeys((self.source, self.ip, *self._others())):
            left = until - self.loop.time()
            if self.age() is None or left < LEAST:
                break
            answer = await self._link(ip).call(kind, body, left)
            if not isinstance(answer, Failure) and is_done(answer.unwrap()):
                break
        return answer
