"""A registry's client of the configuration store, which keeps a copy of its state and the age of that copy.

The client follows one replica, preferably the one on its own machine. Invariants:
1. State is dated on the local monotonic clock: the time at which the request was sent, minus the age of the
   replica's contact with a quorum, which the reply contains. A reply of a replica that was cut off, suspended or
   slow is therefore dated as old.
2. State counts only once the body of the decided version is completely received.
3. State only moves forward: by `change`, or by a higher version number if a new core was bootstrapped.
4. A replica that does not answer, or reports no contact, is immediately replaced by another that has contact. The
   local replica is still probed, and followed again as soon as it has contact.
5. A put or a read goes to a replica that has contact, and to the next one if that replica fails early. A put may be
   sent twice, because its number and digest identify it. Without contact to any replica, it fails immediately.
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
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks, run_periodically

MAX_POLL_S = 1.0  # a replica keeps a long poll pending for at most this long while nothing changes
CALL_TIMEOUT_S = 0.4  # of a short call to a replica
PROBE_INTERVAL_S = 0.2  # short, because probes normally stay on this machine and use no bandwidth
# Older state counts as lost contact, whatever the replica reports.
MAX_STATE_AGE_S = CONTACT_LEASE_S + PROBE_INTERVAL_S + CALL_TIMEOUT_S
FAILOVER_GRACE_S = 0.15  # time for finding another replica before proxies are notified of the lost contact
# Between searches for a replica with contact, times 0.75 to 1.25, so that registries do not search simultaneously
SEARCH_INTERVAL_S = 0.5
OWN_PROBE_INTERVAL_S = 0.1  # between probes of the local replica during a search
PUT_TIMEOUT_S = 0.95  # of a put or a read; callers go to another registry after 1 s without an answer
MIN_ATTEMPT_S = 0.1  # with less of the timeout left, no further replica is called
RETRY_AFTER_S = 0.5  # sent as Retry-After: the time of one search and its answers
IDLE_POLL_PAUSE_S = 0.05  # pause before the next poll if the last one returned immediately without news
NO_WAIT_CHANGE = -2  # sent as `change` of a watch: it matches no replica's change, so the reply is immediate


class ProbeResult(Enum):
    """The result of polling a replica."""

    GOOD = 0
    NO_CONTACT = 1
    UNREACHABLE = 2


class StoreClient:
    """A copy of the configuration store's state at a registry. Times are s on the loop's clock."""

    def __init__(
        self,
        settings: Settings,
        version_store: VersionStore,
        on_version: Callable[[ConfigVersion], None],
        on_change: Callable[[], None],
    ) -> None:
        """Create a client that follows the store once `start` is called.

        `on_version`: called with each newer version; `on_change`: called when the version, the list of members or
        the presence of contact has changed.
        """
        self.settings, self.ip, self.version_store = settings, settings.ip, version_store
        self.on_version, self.on_change = on_version, on_change
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(settings.ip)
        self.assembler = ChunkAssembler(version_store)
        # Change -1 means that no value has been received yet.
        self.value = Value(-1, NO_VERSION, Members.initial(ports.seeds(settings)))
        self.version: ConfigVersion | None = None
        self.change = -1  # change number of the newest value whose body is completely received
        self.learners: frozenset[str] = frozenset()
        self.source = self.ip  # IP of the replica that is followed
        self.as_of = float("-inf")  # the state includes everything that was decided before this time
        self.has_contact = False  # as last reported to proxies
        self.stale_replicas: set[str] = set()  # replicas for which `STORE_STATE_STALE` was logged
        self.rpc_clients: dict[str, RpcClient] = {}
        self.search: asyncio.Task[None] | None = None
        self.tasks = Tasks()

    def start(self) -> None:
        """Follow the store in the background."""
        self.tasks.keep_running(self._follow)
        self.tasks.start(run_periodically(PROBE_INTERVAL_S, self._probe_source))

    def stop(self) -> None:
        """Stop following the store and close the connections."""
        self.tasks.cancel()
        for client in self.rpc_clients.values():
            client.close()

    def reload(self, settings: Settings) -> None:
        """Apply reloaded settings."""
        self.settings = settings

    # The state

    @property
    def version_id(self) -> VersionId:
        """The id of the newest version received."""
        return self.version.version_id if self.version is not None else NO_VERSION

    @property
    def members(self) -> Members:
        """The store's members in the newest value received."""
        return self.value.members

    def core_ips(self) -> frozenset[str]:
        """Return the IPs of the core: members, learners, this machine and, until a list is received, the seeds."""
        seeds = ports.seeds(self.settings) if self.value.change < 0 else ()
        return self.members.ips() | self.learners | {self.ip, *seeds}

    def is_majority(self, ips: Iterable[str]) -> bool:
        """Return whether these are a majority of the members and, during a change, of the former members."""
        ips = set(ips)
        lists = (frozenset(map(ip_of, seats)) for seats in (self.members.seats, self.members.former) if seats)
        return all(len(ips & machines) >= majority(machines) for machines in lists)

    def state_age_s(self) -> float | None:
        """Return the age of the state in s; None without contact."""
        age_s = self.loop.time() - self.as_of
        return age_s if self.has_contact and age_s <= MAX_STATE_AGE_S else None

    # Following a replica

    def _link(self, ip: str) -> RpcClient:
        if ip not in self.rpc_clients:
            # The name `gauge` is fixed, because replicas of the previous version parse it.
            address = ports.address_of(self.settings, ip, ports.CONFIG_STORE)
            self.rpc_clients[ip] = RpcClient(address, f"gauge {self.ip}")
        return self.rpc_clients[ip]

    def _others(self) -> list[str]:
        return sorted(self.core_ips() - {self.ip})

    async def _follow(self) -> None:
        """Long-poll the followed replica for changes."""
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
        """Probe the followed replica, to refresh the age of the state, and the local one, to follow it again."""
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
        """Search for a replica that has contact. Concurrent callers wait for the same search."""
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
                next_at = self.loop.time() + SEARCH_INTERVAL_S * (0.75 + 0.5 * self.random.random())
                # If all machines start at the same time, the local replica is ready first.
                while self.loop.time() < next_at:
                    await asyncio.sleep(OWN_PROBE_INTERVAL_S)
                    if await self._poll(self.ip, False) is ProbeResult.GOOD:
                        return self._follow_replica(self.ip)
        finally:
            grace.cancel()
            self.search = None

    async def _probe(self, ip: str) -> tuple[str, ProbeResult]:
        return ip, await self._poll(ip, False)

    def _follow_replica(self, ip: str) -> None:
        """Follow this replica, which has contact."""
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
        """Poll a replica; `is_long`: the replica may wait for a change before it answers."""
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
        """Apply the reply to a request that was sent at `sent_at` with `sync_state`."""
        value, has_contact = reply.value, reply.contact_age_ms >= 0
        as_of = sent_at - reply.contact_age_ms / 1000
        if value.change < 0:  # the replica started with an empty disk and has no state yet
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
        """Log once for each replica that reports contact but has older state than was decided."""
        if ip not in self.stale_replicas:
            self.stale_replicas.add(ip)
            log_event(Event.STORE_STATE_STALE, store=ip, change=value.change, known=self.value.change)

    def _apply_members(self, value: Value, learners: frozenset[str]) -> bool:
        """Apply the value and the learners; return whether the list of members has changed."""
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
        """Apply a chunk unless another reply already provided it; return whether a newer version is complete."""
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
        """Put a version. Returns UNDECIDED immediately if no replica has contact."""
        answer = await self._call_store(
            messages.PUT, PutRequest(version).encode(), lambda outcome: outcome != PutOutcome.UNDECIDED
        )
        try:
            outcome = answer.value_or(PutOutcome.UNDECIDED)
            return PutOutcome(outcome) if isinstance(outcome, int) else PutOutcome.UNDECIDED
        except ValueError:
            return PutOutcome.UNDECIDED

    async def read(self) -> tuple[bool, bytes | None]:
        """Return whether a quorum was read, and the body of the newest version, None if nothing was ever put."""
        answer = await self._call_store(messages.READ, None, lambda reply: ReadReply.decode(reply).is_known)
        if isinstance(answer, Failure):
            return False, None
        reply = ReadReply.decode(answer.unwrap())
        return reply.is_known, reply.body

    async def _call_store(
        self, kind: str, body: list[object] | None, is_final: Callable[[object], bool]
    ) -> Result[object, OperationError]:
        """Call the replicas in turn; return the first final answer, or the last answer if none is final."""
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
