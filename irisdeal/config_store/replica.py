"""One replica of the configuration store: acceptor, proposer and learner, and the server for its callers.

All replicas have the same role; there is no leader.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.proposer import Proposer
from irisdeal.config_store.consensus.register import UNKNOWN_VALUE, Ballot, PutOutcome, Value
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.membership.decided_value import value_for_read
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.reconfiguration import may_leave
from irisdeal.config_store.membership.status_rounds import StatusRounds
from irisdeal.config_store.messages import (
    ACCEPT,
    DECIDED,
    FETCH,
    NO_CONTACT_AGE_MS,
    PREPARE,
    PUSH_CHUNK,
    PUT,
    READ,
    STATE,
    WATCH,
    AcceptReply,
    AcceptRequest,
    DecidedNotice,
    FetchRequest,
    PrepareReply,
    PrepareRequest,
    PutRequest,
    ReadReply,
    VersionMissingReply,
    WatchReply,
    WatchRequest,
    WireBody,
)
from irisdeal.config_store.metrics import StoreMetrics
from irisdeal.config_store.peers import Peers, now
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.folder import Folder
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.listening import listen_when_available, max_listen_wait_s
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

DEFAULT_DATA_PATH = "almanac-data"  # fixed: the folder name of earlier releases
PUT_TIMEOUT_S = 0.85  # operator tools switch to another machine after 1 s without a reply
READ_TIMEOUT_S = 0.85  # for the same reason
WATCH_TIMEOUT_S = 1.0  # how long a watch waits for a newer value
# Time for the shutdown notice to reach all peers; also the polling interval of the handover and of fetches.
LEAVE_NOTICE_S = 0.15
EXIT_RESERVE_S = 0.4  # part of the grace period reserved for the exit of the process
HANDOVER_TIMEOUT_S = 1.5  # wait for peers to catch up before exiting, well within any grace period
DEFAULT_GRACE_S = 6.0  # if the settings have no `grace_s`

# Takes the caller's name and a message, returns the reply.
Handler = Callable[[str, WireBody], Awaitable[object]]


class StoreReplica:
    """A replica process."""

    def __init__(self, settings: Settings, folder: Folder | None = None) -> None:
        """`folder`: used instead of the data path in the settings."""
        self.settings, self.ip = settings, settings.ip
        self.tasks = Tasks()
        self.acceptor = Acceptor(self.ip, settings.data_path or DEFAULT_DATA_PATH, folder, self.tasks)
        self.peers = Peers(settings, self.acceptor, self.tasks)
        reports_conflicts = settings.config_source != "highest"
        self.proposer = Proposer(
            self.acceptor, self.peers, self.tasks, self.announce_decision, reports_conflicts
        )
        self.rounds = StatusRounds(settings, self.acceptor, self.peers, self.proposer, self.tasks, self.learn)
        self.applied = UNKNOWN_VALUE  # the newest decided value whose configuration version is stored here
        self.fetch_task: asyncio.Task[None] | None = None
        self.applied_event = asyncio.Event()  # set, then replaced, when `applied` changes
        self.handlers: dict[str, Handler] = {
            STATE: self._on_state,
            PREPARE: self._on_prepare,
            ACCEPT: self._on_accept,
            DECIDED: self._on_decided,
            PUSH_CHUNK: self._on_push_chunk,
            FETCH: self._on_fetch,
            PUT: self._on_put,
            READ: self._on_read,
            WATCH: self._on_watch,
        }
        self.server = RpcServer(self.handle)
        self.metrics = StoreMetrics()
        self.proposer.on_ballot_decided = lambda seats: self.metrics.decisions.add(str(seats))
        self.metrics_server = MetricsServer(settings, self.metrics, asyncio.get_running_loop())

    # Lifecycle

    async def start(self) -> None:
        """Open the disk and start serving. Raises OSError if the disk fails, and AddressUnavailableError."""
        initial_value = Value.initial(Members.initial(ports.seeds(self.settings)))
        await self.acceptor.open(initial_value if self.settings.bootstrap else None)
        if self.acceptor.decided == UNKNOWN_VALUE:
            log_event(Event.STARTED_AS_LEARNER, seat=self.acceptor.seat)
        self._apply_decided()
        address = self.ip, ports.port(self.settings, ports.CONFIG_STORE)
        await listen_when_available(
            lambda: self.server.listen(address), address, max_listen_wait_s(self.settings)
        )
        self.tasks.keep_running(self.rounds.run)
        self.metrics_server.start()

    async def stop(self) -> None:
        """Shut down gracefully: wait until peers have caught up, and answer the calls in progress."""
        started_at = now()
        self.rounds.announce_leaving()
        await asyncio.sleep(LEAVE_NOTICE_S)
        is_handed_over = await self._wait_for_handover(started_at + HANDOVER_TIMEOUT_S)
        event = Event.MEMBER_HANDED_OVER if is_handed_over else Event.MEMBER_LEFT_EARLY
        log_event(event, seat=self.acceptor.seat)
        grace_s = self.settings.bound("grace_s", DEFAULT_GRACE_S)
        unanswered = await self.server.drain(started_at + grace_s - EXIT_RESERVE_S)
        if unanswered:
            self.metrics.unanswered_calls.add(amount=unanswered)
            log_event(Event.STORE_CALLS_UNANSWERED, calls=unanswered)
        self.tasks.cancel()
        self.metrics_server.close()
        self.peers.close()

    async def _wait_for_handover(self, deadline: float) -> bool:
        """Wait until this replica may leave; polled, since that depends on elapsed time as well as on statuses."""
        while now() < deadline:
            if self._may_leave():
                return True
            await asyncio.sleep(LEAVE_NOTICE_S)
        return self._may_leave()

    def _may_leave(self) -> bool:
        monitor = self.rounds.monitor
        return not self.proposer.ballot_lock.locked() and may_leave(
            self.acceptor.decided, monitor.statuses, self.acceptor.seat, now(), monitor.listening_since
        )

    def reload(self, settings: Settings) -> None:
        """Replace the settings."""
        self.settings = self.rounds.settings = settings

    # Decided values

    def learn(self, value: Value, ips: list[str]) -> None:
        """Process a decided value. `ips`: addresses of replicas that have its configuration version."""
        members_before = self.rounds.members
        if not self.acceptor.learn(value):
            return
        self._log_decided(value, members_before)
        if value.members != members_before:
            # Saved at once: replicas that still have the former list learn the new one from those that act on it.
            self.tasks.start(self._save_decided())
        self.proposer.on_decision()
        self._apply_decided()
        if self.applied != value and (self.fetch_task is None or self.fetch_task.done()):
            self.fetch_task = self.tasks.start(self._fetch_decided(ips))

    @staticmethod
    def _log_decided(value: Value, members_before: Members) -> None:
        members = value.members
        generation = f"r{value.version_id.number}"
        log_event(Event.VALUE_DECIDED, change=value.change, generation=generation, list=members.number)
        if members != members_before:
            event = Event.MEMBERSHIP_JOINT if members.former else Event.MEMBERSHIP_CHANGE_COMPLETED
            log_event(event, list=members.number, seats=" ".join(members.seats))

    async def _save_decided(self) -> None:
        """Write the decided value; the acceptor logs a disk error, and the next status round retries."""
        with contextlib.suppress(OSError):
            await self.acceptor.save_decided()

    def announce_decision(self, ballot: Ballot, value: Value) -> None:
        """Process the decision of a ballot of this replica, and notify all other replicas."""
        self.learn(value, [])
        for ip in self.rounds.other_ips():
            self.peers.notify(ip, DECIDED, DecidedNotice(ballot, value).encode())

    async def _fetch_decided(self, ips: list[str]) -> None:
        """Fetch the configuration version of the newest decided value, retrying until it is stored here."""
        while self.applied.change < self.acceptor.decided.change:
            value = self.acceptor.decided
            sources = [*ips, *self._sources(value), *sorted(value.members.ips())]
            if await self.peers.obtain_version(value.version_id, list(dict.fromkeys(sources))):
                self._apply_decided()
            else:
                await asyncio.sleep(LEAVE_NOTICE_S)

    def _sources(self, value: Value) -> list[str]:
        """Return the replicas that reported to have the version of this value, most recent report first."""
        peers = sorted(self.rounds.monitor.statuses.values(), key=lambda peer: peer.received_at, reverse=True)
        return [
            peer.status.ip
            for peer in peers
            if peer.status.has_body and peer.status.decided.version_id == value.version_id
        ]

    def _apply_decided(self) -> None:
        """Apply the decided value once its configuration version is stored here, and complete pending watches."""
        decided = self.acceptor.decided
        if decided.change > self.applied.change and self.acceptor.has_version(decided.version_id):
            self.applied = decided
            log_event(Event.DECIDED_VERSION_STORED, change=decided.change)
            self.applied_event.set()
            self.applied_event = asyncio.Event()

    # RPC dispatch: each handler decodes the request and encodes the reply of its method

    async def handle(self, peer: str, kind: str, body: WireBody) -> object:
        """Handle one call. Raises ValueError if the call is unknown or the message malformed."""
        handler = self.handlers.get(kind)
        if handler is None:
            raise ValueError(f"no call {kind!r}")
        return await handler(peer, body)

    async def _on_state(self, peer: str, body: WireBody) -> object:
        if body is not None:  # None: the caller is not a replica
            self.rounds.record_status(ReplicaStatus.decode(body))
        return self.rounds.own_status().encode()

    async def _on_prepare(self, peer: str, body: WireBody) -> object:
        reply = await self.prepare(PrepareRequest.decode(body))
        return reply.encode() if reply is not None else None

    async def _on_accept(self, peer: str, body: WireBody) -> object:
        reply = await self.accept(AcceptRequest.decode(body))
        return reply.encode() if reply is not None else None

    async def _on_decided(self, peer: str, body: WireBody) -> None:
        notice = DecidedNotice.decode(body)
        self.proposer.observe_ballot(notice.ballot)
        peer_ip = peer.rpartition(" ")[2]
        self.learn(notice.value, [peer_ip])

    async def _on_push_chunk(self, peer: str, body: WireBody) -> object:
        reply = await self.peers.on_push(peer, body)
        return reply.encode()

    async def _on_fetch(self, peer: str, body: WireBody) -> object:
        request = FetchRequest.decode(body)
        chunk = self.peers.chunk_for(request.sync_state, request.version_id)
        return chunk.encode() if chunk is not None else None

    async def _on_put(self, peer: str, body: WireBody) -> object:
        return int(await self.put(PutRequest.decode(body).version))

    async def _on_read(self, peer: str, body: WireBody) -> object:
        reply = await self.read()
        return reply.encode()

    async def _on_watch(self, peer: str, body: WireBody) -> object:
        reply = await self.watch(WatchRequest.decode(body))
        return reply.encode()

    # Calls from proposers

    async def prepare(self, request: PrepareRequest) -> PrepareReply | None:
        """Promise a ballot. None if the seat has another disk than this replica, or the disk fails."""
        if request.seat != self.acceptor.seat:
            return None
        try:
            return PrepareReply(*await self.acceptor.prepare(request.ballot))
        except OSError:
            return None

    async def accept(self, request: AcceptRequest) -> AcceptReply | VersionMissingReply | None:
        """Accept a value. None if the seat has another disk than this replica, or the disk fails."""
        if request.seat != self.acceptor.seat:
            return None
        try:
            result = await self.acceptor.accept(request.ballot, request.value)
        except OSError:
            return None
        if result is None:
            return VersionMissingReply(SyncState(self.peers.newest_id()))
        return AcceptReply(*result)

    # Calls from registries

    def has_contact(self) -> bool:
        """Whether this replica has quorum contact."""
        return self.rounds.has_contact()

    async def put(self, version: ConfigVersion) -> PutOutcome:
        """Have this version decided. After `PutOutcome.UNDECIDED` it may still be decided later."""
        if not self.has_contact():
            generation = f"r{version.version_id.number}"
            log_event(Event.REQUEST_WITHOUT_CONTACT, call=PUT, generation=generation)
            return PutOutcome.UNDECIDED
        return await self.proposer.put(version, PUT_TIMEOUT_S)

    async def read(self) -> ReadReply:
        """Return the decided configuration (a linearizable read); unknown without a quorum."""
        if not self.has_contact():
            log_event(Event.REQUEST_WITHOUT_CONTACT, call=READ)
            return ReadReply(False, None)
        deadline = now() + READ_TIMEOUT_S
        value = await self._value_from_statuses() or await self.proposer.read(deadline - now())
        if value is None:
            return ReadReply(False, None)
        self.learn(value, [])
        if value.version_id == NO_VERSION:
            return ReadReply(True, None)
        version = await self.peers.obtain_version(value.version_id, sorted(value.members.ips()))
        return ReadReply(version is not None, version.body if version is not None else None)

    async def _value_from_statuses(self) -> Value | None:
        """Return the decided value shown by a quorum of fresh statuses; None if a ballot is needed."""
        known, own_status = self.rounds.members, self.rounds.own_status()
        pending = {self.tasks.start(self.rounds.request_status(ip)) for ip in sorted(known.ips() - {self.ip})}
        statuses = [own_status]
        while (value := value_for_read(statuses, known)) is None and pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            statuses += [status for task in done if (status := task.result()) is not None]
        return value

    async def watch(self, request: WatchRequest) -> WatchReply:
        """Return the applied value and the next chunk of its version: at once if it is newer, otherwise within 1 s.

        A caller with a newer change than this replica gets no chunk.
        """
        has_applied = (request.sync_state.version_id, request.change) == (
            self.applied.version_id,
            self.applied.change,
        )
        if has_applied or self.applied.change < request.change:
            await self._wait_for_applied()
        applied = self.applied
        age_s = self.rounds.knowledge_age_s(applied.change)
        return WatchReply(
            self._encoded_chunk(request, applied),
            applied,
            tuple(self.rounds.learners()),
            math.ceil(age_s * 1000) if age_s <= CONTACT_LEASE_S else NO_CONTACT_AGE_MS,
        )

    async def _wait_for_applied(self) -> None:
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                await self.applied_event.wait()
        except TimeoutError:
            pass

    def _encoded_chunk(self, request: WatchRequest, applied: Value) -> list[object] | None:
        """Return the next chunk for a watch; None if the caller has this version or a newer change."""
        if applied.change < request.change:
            return None
        if applied.version_id in (request.sync_state.version_id, NO_VERSION):
            return None
        chunk = self.peers.chunk_for(request.sync_state, applied.version_id)
        return chunk.encode() if chunk is not None else None
