"""What a registry knows of the configuration store, and how old that is.

It follows one replica, its own if it can. Rules that must hold here:
1. State is as of a moment of our steady clock: when our request was sent, less the age of the replica's contact
   with a quorum that it reports. So a reply of a replica that was cut off, suspended or late is old by itself.
2. It counts only once the body of the decided version is here, complete.
3. It only moves forward: by `change`, or by a higher number where a core began anew.
4. A replica that does not answer, or reports that it has no contact, is left at once for another that has; our own
   is probed on and followed again as soon as it has contact.
5. A put or a read goes to a replica that has contact, and to the next where that one gives up at once: a put may be
   sent twice, since its number and digest name it. Without any, the answer is that there is none, at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from enum import Enum

from returns.result import Failure, Result

from irisdeal.config_store import messages
from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.register import PutOutcome, Value
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.membership.members import Members, ip_of, majority
from irisdeal.config_store.messages import PutRequest, ReadReply, WatchReply, WatchRequest
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks, run_periodically
from irisdeal.runtime.settings import Settings

MAX_POLL_S = 1.0  # that a replica may keep a long poll pending while nothing changes
CALL_TIMEOUT_S = 0.4  # time-out of a short call to a replica
PROBE_INTERVAL_S = (
    0.2  # between two probes of the state's age; on the same machine, so they cost no bytes on a link
)
MAX_STATE_AGE_S = (
    CONTACT_LEASE_S + PROBE_INTERVAL_S + CALL_TIMEOUT_S
)  # age from which state is no contact, whatever was reported
FAILOVER_GRACE_S = (
    0.15  # that another replica is searched for before proxies are notified of the lost contact
)
# Between two searches for a replica that has contact, times 0.75 to 1.25: registries do not search at once.
SEARCH_INTERVAL_S = 0.5
OWN_PROBE_INTERVAL_S = 0.1  # between two probes of the own replica meanwhile
PUT_TIMEOUT_S = 0.95  # of a put or a read: the caller goes elsewhere after a second without an answer
MIN_ATTEMPT_S = 0.1  # of the time-out, below which no further replica is asked
RETRY_AFTER_S = 0.5  # after which a put may find a replica: a search and its answers; sent as Retry-After
IDLE_POLL_PAUSE_S = 0.05  # before the next poll, where one was answered at once and brought nothing
NO_WAIT_CHANGE = -2  # as `change` of a watch: no replica has it, so it answers at once


class ProbeResult(Enum):
    """What a probe showed of a replica."""

    GOOD = 0
    NO_CONTACT = 1
    UNREACHABLE = 2


class StoreClient:
    """The configuration store as this registry knows it. Times are s of the loop's clock."""

    def __init__(
        self,
        settings: Settings,
        version_store: VersionStore,
        on_version: Callable[[ConfigVersion], None],
        on_change: Callable[[], None],
    ) -> None:
        """Follow the store once `start` is called.

        `on_version`: called with a newer version; `on_change`: called when the version, the list of members or
        whether there is contact has changed.
        """
        self.settings, self.ip, self.version_store = settings, settings.ip, version_store
        self.on_version, self.on_change = on_version, on_change
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(settings.ip)
        self.assembler = ChunkAssembler(version_store)
        self.value = Value(-1, NO_VERSION, Members.initial(ports.seeds(settings)))  # -1: none was received
        self.version: ConfigVersion | None = None
        self.change = -1  # of the newest value whose body is here
        self.learners: frozenset[str] = frozenset()
        self.source = self.ip  # whose replica is followed
        self.as_of = float("-inf")  # everything is known here that was decided by then
        self.has_contact = False  # as proxies were last notified
        self.stale_replicas: set[str] = set()  # for which `STORE_STATE_STALE` was logged
        self.rpc_clients: dict[str, RpcClient] = {}
        self.search: asyncio.Task[None] | None = None
        self.tasks = Tasks()

    def start(self) -> None:
        """Follow the store in the background."""
        self.tasks.start(self._follow())
        self.tasks.start(run_periodically(PROBE_INTERVAL_S, self._probe_source))

    def stop(self) -> None:
        """Follow the store no more."""
        self.tasks.cancel()
        for link in self.rpc_clients.values():
            link.close()

    def reload(self, settings: Settings) -> None:
        """Take the deployment's settings anew."""
        self.settings = settings

    # What is known

    @property
    def version_id(self) -> VersionId:
        """Of the newest version that is here."""
        return self.version.version_id if self.version is not None else NO_VERSION

    @property
    def members(self) -> Members:
        """The store's members, as decided last."""
        return self.value.members

    def core_ips(self) -> frozenset[str]:
        """Return the core machines: members, learners and this one; the seeds until a list was received."""
        seeds = ports.seeds(self.settings) if self.value.change < 0 else ()
        return self.members.ips() | self.learners | {self.ip, *seeds}

    def is_majority(self, ips: Iterable[str]) -> bool:
        """Whether these machines are a majority of the members, and of the former ones during a change."""
        ips = set(ips)
        lists = (frozenset(map(ip_of, seats)) for seats in (self.members.seats, self.members.former) if seats)
        return all(len(ips & machines) >= majority(machines) for machines in lists)

    def state_age_s(self) -> float | None:
        """Return the s since everything decided was known here; None where there is no contact."""
        age_s = self.loop.time() - self.as_of
        return age_s if self.has_contact and age_s <= MAX_STATE_AGE_S else None

    # Following a replica

    def _link(self, ip: str) -> RpcClient:
        if ip not in self.rpc_clients:
            # The name is fixed: replicas of the version before read it.
            address = ports.address_of(self.settings, ip, ports.CONFIG_STORE)
            self.rpc_clients[ip] = RpcClient(address, f"gauge {self.ip}")
        return self.rpc_clients[ip]

    def _others(self) -> list[str]:
        return sorted(self.core_ips() - {self.ip})

    async def _follow(self) -> None:
        """Poll the source for changes."""
        while True:
            source, before, sent_at = self.source, self._progress(), self.loop.time()
            result = await self._poll(source, True)
            if source != self.source:
                continue  # another replica is followed by now
            if result is ProbeResult.GOOD:
                self._follow_replica(source)
                if before == self._progress() and self.loop.time() - sent_at < IDLE_POLL_PAUSE_S:
                    await asyncio.sleep(IDLE_POLL_PAUSE_S)
            else:
                await self._fail_over()

    def _progress(self) -> tuple[int, SyncState]:
        return self.value.change, self.assembler.sync_state(self.version_id)

    async def _probe_source(self) -> None:
        """Probe how old our state is, and whether our own replica can be followed again."""
        if self.search is not None:
            return
        source = self.source
        if source != self.ip and await self._poll(self.ip, False) is ProbeResult.GOOD:
            return self._follow_replica(self.ip)
        result = await self._poll(source, False)
        if source != self.source:
            return
        if result is ProbeResult.GOOD:
            self._follow_replica(source)
        else:
            await self._fail_over()

    async def _fail_over(self) -> None:
        """Find a replica that has contact; all who need one wait for the same search."""
        if self.search is None:
            self.search = self.tasks.start(self._search())
        await asyncio.shield(self.search)

    async def _search(self) -> None:
        grace = self.loop.call_later(FAILOVER_GRACE_S, self._lose_contact)
        try:
            while True:
                probes = [self.tasks.start(self._probe(ip)) for ip in (self.ip, *self._others())]
                for probe in asyncio.as_completed(probes):
                    ip, result = await probe
                    if result is ProbeResult.GOOD:
                        return self._follow_replica(ip)
                self._lose_contact()
                next_at = self.loop.time() + SEARCH_INTERVAL_S * (0.75 + 0.5 * self.chance.random())
                while self.loop.time() < next_at:  # at a start of all machines the own replica is there first
                    await asyncio.sleep(OWN_PROBE_INTERVAL_S)
                    if await self._poll(self.ip, False) is ProbeResult.GOOD:
                        return self._follow_replica(self.ip)
        finally:
            grace.cancel()
            self.search = None

    async def _probe(self, ip: str) -> tuple[str, ProbeResult]:
        return ip, await self._poll(ip, False)

    def _follow_replica(self, ip: str) -> None:
        """Follow this replica: it has contact."""
        if ip != self.source:
            log_event(Event.LOCAL_STORE_FOLLOWED if ip == self.ip else Event.REMOTE_STORE_FOLLOWED, store=ip)
            self.source = ip
        self._set_contact(self.loop.time() - self.as_of <= MAX_STATE_AGE_S)

    def _lose_contact(self) -> None:
        self._set_contact(False)

    def _set_contact(self, has_contact: bool) -> None:
        if has_contact != self.has_contact:
            self.has_contact = has_contact
            log_event(
                Event.STORE_CONTACT_REGAINED if has_contact else Event.STORE_CONTACT_LOST,
                store=self.source,
                age=round(self.loop.time() - self.as_of, 2),
            )
            self.on_change()

    # Polls

    async def _poll(self, ip: str, is_long: bool) -> ProbeResult:
        """Poll a replica; `is_long`: it may wait for a change before it answers."""
        sync_state, sent_at = self.assembler.sync_state(self.version_id), self.loop.time()
        request = WatchRequest(sync_state, self.value.change if is_long else NO_WAIT_CHANGE)
        timeout_s = MAX_POLL_S + CALL_TIMEOUT_S if is_long else CALL_TIMEOUT_S
        answer = await self._link(ip).call(messages.WATCH, request.encode(), timeout_s)
        if isinstance(answer, Failure):
            return ProbeResult.UNREACHABLE
        try:
            return self._apply(ip, sync_state, sent_at, WatchReply.decode(answer.unwrap()))
        except (ValueError, TypeError, IndexError) as error:
            log_event(Event.FRAME_INVALID, peer=ip, error=error)
            return ProbeResult.UNREACHABLE

    def _apply(self, ip: str, sync_state: SyncState, sent_at: float, reply: WatchReply) -> ProbeResult:
        """Apply a reply to a request that was sent at `sent_at` with `sync_state`."""
        value, has_contact = reply.value, reply.contact_age_ms >= 0
        as_of = sent_at - reply.contact_age_ms / 1000
        if value.change < 0:  # its disk came empty: it knows nothing yet
            return ProbeResult.NO_CONTACT
        if value.change < self.value.change and value.version_id.number <= self.value.version_id.number:
            if has_contact and as_of > self.as_of:
                self._log_stale(ip, value)
            return ProbeResult.NO_CONTACT
        self.stale_replicas.discard(ip)
        learners = frozenset(reply.learners)
        has_changed = self._apply_members(value, learners if has_contact else self.learners | learners)
        has_changed |= self._apply_chunk(sync_state, reply.encoded_chunk)
        if self.version_id == self.value.version_id:
            has_changed |= self.change != self.value.change
            self.change = self.value.change
            if has_contact:
                self.as_of = max(self.as_of, as_of)
        if has_changed:
            self.on_change()
        return ProbeResult.GOOD if has_contact else ProbeResult.NO_CONTACT

    def _log_stale(self, ip: str, value: Value) -> None:
        """Log once that a replica reports contact with state older than what was decided."""
        if ip not in self.stale_replicas:
            self.stale_replicas.add(ip)
            log_event(Event.STORE_STATE_STALE, store=ip, change=value.change, known=self.value.change)

    def _apply_members(self, value: Value, learners: frozenset[str]) -> bool:
        """Take the value and the learners; return whether the list of members has changed."""
        before, number = self.core_ips(), self.members.number
        self.value, self.learners = value, learners
        gone = before - self.core_ips()
        for ip in gone:
            if ip in self.rpc_clients:
                self.rpc_clients.pop(ip).close()
        if value.members.number != number or gone:
            log_event(
                Event.CORE_MEMBERSHIP_CHANGED,
                list=value.members.number,
                members=len(value.members.ips()),
                left=",".join(sorted(gone)),
            )
        return value.members.number != number

    def _apply_chunk(self, sync_state: SyncState, encoded_chunk: object) -> bool:
        """Take a chunk, unless another answer has brought it meanwhile; return whether a newer version is here."""
        if encoded_chunk is None or sync_state != self.assembler.sync_state(self.version_id):
            return False
        version = self.assembler.add_chunk(encoded_chunk)
        if version is None or version.version_id.number <= self.version_id.number:
            return False
        self.version = version
        self.on_version(version)
        return True

    # Puts and reads

    async def put(self, version: ConfigVersion) -> PutOutcome:
        """Have a version decided. UNDECIDED at once where no replica has contact."""
        answer = await self._call_store(
            messages.PUT, PutRequest(version).encode(), lambda outcome: outcome != PutOutcome.UNDECIDED
        )
        try:
            outcome = answer.value_or(PutOutcome.UNDECIDED)
            return PutOutcome(outcome) if isinstance(outcome, int) else PutOutcome.UNDECIDED
        except ValueError:
            return PutOutcome.UNDECIDED

    async def read(self) -> tuple[bool, bytes | None]:
        """Return whether it is known what is decided, and its body; None where nothing was ever put."""
        answer = await self._call_store(messages.READ, None, lambda reply: ReadReply.decode(reply).is_known)
        if isinstance(answer, Failure):
            return False, None
        reply = ReadReply.decode(answer.unwrap())
        return reply.is_known, reply.body

    async def _call_store(
        self, kind: str, body: list[object] | None, is_final: Callable[[object], bool]
    ) -> Result[object, OperationError]:
        """Call one replica after the other; return the first answer that is final, the last one where none is."""
        answer: Result[object, OperationError] = Failure(
            OperationError(kind, "store", "no contact", never_sent=True)
        )
        deadline = self.loop.time() + PUT_TIMEOUT_S
        for ip in dict.fromkeys((self.source, self.ip, *self._others())):
            left_s = deadline - self.loop.time()
            if self.state_age_s() is None or left_s < MIN_ATTEMPT_S:
                break
            answer = await self._link(ip).call(kind, body, left_s)
            if not isinstance(answer, Failure) and is_final(answer.unwrap()):
                break
        return answer
