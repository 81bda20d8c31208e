"""One machine of the store: it accepts and proposes, follows what is decided, and answers its callers.

Every machine is alike.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Any

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.proposer import Proposer
from irisdeal.config_store.consensus.register import UNKNOWN, Ballot, PutOutcome, Value
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.membership.decided_value import value_for_read
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.reconfiguration import may_leave
from irisdeal.config_store.membership.status_rounds import StatusRounds
from irisdeal.config_store.messages import FetchRequest
from irisdeal.config_store.metrics import StoreMetrics
from irisdeal.config_store.peers import Peers, now
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.config_store.storage.folder import Folder
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

PUT = 0.85  # s for an order: the operator goes elsewhere after a second of silence
READ = 0.85  # s, likewise
HOLD = 1.0  # s that a watch may be held without news
PARTING = 0.15  # s in which all hear that we leave
END_S = 0.4  # s of the grace that are kept for the process's own end
HANDOVER = 1.5  # s at most that we wait until others hold what we hold, well inside any time to end


class StoreReplica:
    """The store's process."""

    def __init__(self, settings: Settings, folder: Folder | None = None) -> None:
        """`folder`: in place of the one that the settings name."""
        self.settings, self.ip = settings, settings.ip
        self.tasks = Tasks()
        self.acceptor = Acceptor(self.ip, settings.data_path or "almanac-data", folder, self.tasks)
        self.peers = Peers(settings, self.acceptor, self.tasks)
        self.proposer = Proposer(
            self.acceptor, self.peers, self.tasks, self.announce, settings.config_source != "highest"
        )
        self.rounds = StatusRounds(settings, self.acceptor, self.peers, self.proposer, self.tasks, self.learn)
        self.force = UNKNOWN  # the newest decided value whose body is here
        self.taking: asyncio.Task[None] | None = None
        self.news = asyncio.Event()
        self.server = RpcServer(self.handle)
        self.metrics = StoreMetrics()
        self.proposer.on_decided = lambda seats: self.metrics.decisions.add(str(seats))
        self.metrics_server = MetricsServer(settings, self.metrics, asyncio.get_running_loop())

    # What a process does

    async def start(self) -> None:
        first = Value.first(Members.first(ports.seeds(self.settings)))
        await self.acceptor.open(first if self.settings.bootstrap else None)
        if self.acceptor.decided == UNKNOWN:
            log_event(Event.STARTED_AS_LEARNER, seat=self.acceptor.seat)
        self._enforce()
        await self.server.listen((self.ip, ports.port(self.settings, ports.CONFIG_STORE)))
        self.tasks.start(self.rounds.run())
        await self.metrics_server.start()

    async def stop(self) -> None:
        """End in order: hand over what is held, answer what is at work."""
        begun = now()
        self.rounds.announce_leaving()
        await asyncio.sleep(PARTING)
        while not self._may_go() and now() < begun + HANDOVER:
            await asyncio.sleep(PARTING)
        log_event(
            Event.MEMBER_HANDED_OVER if self._may_go() else Event.MEMBER_LEFT_EARLY, seat=self.acceptor.seat
        )
        cut = await self.server.drain(begun + self.settings.bound("grace_s", 6.0) - END_S)
        if cut:
            self.metrics.cut_calls.add(amount=cut)
            log_event(Event.STORE_CALLS_UNANSWERED, calls=cut)
        self.tasks.cancel()
        self.metrics_server.close()
        self.peers.close()

    def _may_go(self) -> bool:
        monitor = self.rounds.monitor
        return not self.proposer.turn.locked() and may_leave(
            self.acceptor.decided, monitor.statuses, self.acceptor.seat, now(), monitor.listening_since
        )

    def reload(self, settings: Settings) -> None:
        self.settings = self.rounds.settings = settings

    # What is decided

    def learn(self, value: Value, ips: list[str]) -> None:
        """This value is decided; its body is at these machines."""
        before = self.rounds.members
        if not self.acceptor.learn(value):
            return
        members = value.members
        log_event(
            Event.VALUE_DECIDED,
            change=value.change,
            generation=f"r{value.version_id.number}",
            list=members.number,
        )
        if members != before:
            log_event(
                Event.MEMBERSHIP_JOINT if members.former else Event.MEMBERSHIP_CHANGE_COMPLETED,
                list=members.number,
                seats=" ".join(members.seats),
            )
            self.tasks.start(self._save())  # who goes by this list is needed by the one before it
        self.proposer.decided()
        self._enforce()
        if self.force != value and (self.taking is None or self.taking.done()):
            self.taking = self.tasks.start(self._take_over(ips))

    async def _save(self) -> None:
        """Where the disk refuses the next round tries again; it is told as event 203."""
        with contextlib.suppress(OSError):
            await self.acceptor.save()

    def announce(self, ballot: Ballot, value: Value) -> None:
        """We decided this: all hear of it."""
        self.learn(value, [])
        for ip in self.rounds.other_ips():
            self.peers.notify(ip, "decided", [ballot.encode(), value.encode()])

    async def _take_over(self, ips: list[str]) -> None:
        """The body of what is decided, of the newest where there are several by then."""
        while self.force.change < self.acceptor.decided.change:
            value = self.acceptor.decided
            peers = sorted(self.rounds.monitor.statuses.values(), key=lambda peer: peer.at, reverse=True)
            held = [
                peer.status.ip
                for peer in peers  # those first that answered last
                if peer.status.has_body and peer.status.decided.version_id == value.version_id
            ]
            if await self.peers.version(
                value.version_id, [*dict.fromkeys([*ips, *held, *sorted(value.members.ips())])]
            ):
                self._enforce()
            else:
                await asyncio.sleep(PARTING)

    def _enforce(self) -> None:
        """What is decided is in force here once its body is here."""
        decided = self.acceptor.decided
        if decided.change > self.force.change and self.acceptor.holds(decided.version_id):
            self.force = decided
            log_event(Event.DECIDED_VERSION_STORED, change=decided.change)
            self.news.set()
            self.news = asyncio.Event()

    # Calls

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "state":
                if body is not None:  # else it is asked by somebody who is no part of the core
                    self.rounds.record_status(ReplicaStatus.decode(body))
                return self.rounds.own_status().encode()
            case "prepare" | "accept":
                return await self._vote(*body)
            case "bring":
                return (await self.peers.on_push(peer, body)).encode()
            case "fetch":
                request = FetchRequest.decode(body)
                chunk = self.peers.chunk_for(request.sync_state, request.version_id)
                return chunk.encode() if chunk is not None else None
            case "decided":
                self.proposer.meet(Ballot.decode(body[0]))
                return self.learn(Value.decode(body[1]), [peer.rpartition(" ")[2]])
            case "put":
                return int(await self.put(ConfigVersion(VersionId(body[0], bytes(body[1])), bytes(body[2]))))
            case "read":
                return await self.read()
            case "watch":
                return await self.watch(SyncState.decode(body[0]), int(body[1]))
        raise ValueError(f"no call {kind!r}")

    async def _vote(self, seat: str, ballot: list[Any], value: list[Any] | None = None) -> Any:
        """A promise, or with a value an accept. None where this is not that seat's disk, or the disk refuses."""
        if seat != self.acceptor.seat:
            return None
        try:
            if value is None:
                good, kept = await self.acceptor.prepare(Ballot.decode(ballot))
                return [good, kept.encode()]
            given = await self.acceptor.accept(Ballot.decode(ballot), Value.decode(value))
        except OSError:
            return None
        return [given[0], given[1].encode()] if given else [None, SyncState(self.peers.newest_id()).encode()]

    def has_contact(self) -> bool:
        return self.rounds.has_contact()

    async def put(self, version: ConfigVersion) -> PutOutcome:
        """What became of an order. It may come to be decided after a LATER."""
        if not self.has_contact():
            log_event(Event.REQUEST_WITHOUT_CONTACT, call="put", generation=f"r{version.version_id.number}")
            return PutOutcome.LATER
        return await self.proposer.put(version, PUT)

    async def read(self) -> list[Any]:
        """`[known, body]`: what is decided now, body None where nothing is; not known without a quorum."""
        if not self.has_contact():
            log_event(Event.REQUEST_WITHOUT_CONTACT, call="read")
            return [False, None]
        until = now() + READ
        value = await self._heard_value() or await self.proposer.safe(until - now())
        if value is None:
            return [False, None]
        self.learn(value, [])
        if value.version_id == NO_VERSION:
            return [True, None]
        version = await self.peers.version(value.version_id, sorted(value.members.ips()))
        return [version is not None, version.body if version is not None else None]

    async def _heard_value(self) -> Value | None:
        """What a quorum shows to be decided, asked now; None where a ballot is needed."""
        known, own = self.rounds.members, self.rounds.own_status()
        waiting = {self.tasks.start(self.rounds.request_status(ip)) for ip in sorted(known.ips() - {self.ip})}
        reports = [own]
        while (value := value_for_read(reports, known)) is None and waiting:
            answered, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            reports += [report for task in answered if (report := task.result()) is not None]
        return value

    async def watch(self, sync_state: SyncState, change: int) -> list[Any]:
        """`[parcel or None, value in force, learners, age in ms of our contact or -1]`, soon or in HOLD s.

        A caller that knows more than we do has no news from us.
        """
        if self.force.change < change or (sync_state.version_id, change) == (
            self.force.version_id,
            self.force.change,
        ):
            try:
                async with asyncio.timeout(HOLD):
                    await self.news.wait()
            except TimeoutError:
                pass
        force, chunk = self.force, None
        if force.change >= change and force.version_id not in (sync_state.version_id, NO_VERSION):
            chunk = self.peers.chunk_for(sync_state, force.version_id)
        age = self.rounds.known_age(force.change)
        age_ms = math.ceil(age * 1000) if age <= CONTACT_LEASE_S else -1
        encoded = chunk.encode() if chunk is not None else None
        return [encoded, force.encode(), self.rounds.learners(), age_ms]
