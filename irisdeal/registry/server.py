"""The registry's process: outside calls, the other registries, the doors that ask for news."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import Any

from returns.result import Failure, Success

from irisdeal.config_store.configuration.cached_reading import read
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.consensus.register import PutOutcome
from irisdeal.config_store.storage.folder import DiskFolder, Folder
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.http1.messages import Answer, Request
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.http1.server import HttpServer
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.messages import LendRequest
from irisdeal.placement.load_reports import TELL
from irisdeal.ratelimit.messages import encode_usages
from irisdeal.registry.admission import AdmissionService
from irisdeal.registry.authority_watch import AuthorityWatch
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.commands import (
    Command,
    Deregister,
    Heartbeat,
    ListBackends,
    PutConfiguration,
    ReadConfiguration,
    decode,
)
from irisdeal.registry.ended_record import FOLDER, EndedRecord
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.list_record import ListRecord
from irisdeal.registry.messages import (
    BackendUpdate,
    IncarnationReport,
    IntervalReport,
    IntervalSum,
    WatchRequest,
)
from irisdeal.registry.metrics import RegistryMetrics
from irisdeal.registry.peers import RegistryPeers
from irisdeal.registry.quota_service import LEND_S
from irisdeal.registry.store_client import AGAIN, StoreClient
from irisdeal.registry.watch import WatchService
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks, run_periodically
from irisdeal.runtime.settings import Settings, parse_address

FLUSH = 0.2  # s between two tellings of beats and sums to the other registries
LOOK = 0.25  # s between two looks at who is silent
OWN_PAUSE = 1.0  # s between two looks: so late, we were not there to hear beats
QUIET_S = 0.1  # s that a registry which ends goes on accepting: callers go to another once it does not
END_S = 0.4  # s of the grace that are kept for the process's own end
TAKEN_LEAVING = frozenset(
    {"told", "all", "all_lives", "ended"}
)  # calls answered to the end: others rely on them
JSON = [(b"Content-Type", b"application/json")]


class RegistryServer:
    """One registry."""

    def __init__(self, settings: Settings, folder: Folder | None = None) -> None:
        """`folder`: for what has ended, in place of the one that the settings name."""
        self.settings, self.ip = settings, settings.ip
        self.loop = asyncio.get_running_loop()
        self.incarnation = secrets.randbits(48)
        self.backends = BackendTable(settings.beat_interval_ms / 1000)
        self.store_client = StoreClient(settings, VersionStore(), self._on_version, self._changed)
        self.had_contact = False
        self.tasks, self.metrics = Tasks(), RegistryMetrics()
        disk = folder or (DiskFolder(f"{settings.data_path}/{FOLDER}") if settings.data_path else None)
        ended = EndedRecord(disk) if disk is not None else None
        self.peers = RegistryPeers(
            settings,
            self.store_client,
            self.backends,
            ended,
            self.metrics,
            self.tasks,
            lambda: self.watch.wake(),
        )
        self.watch = WatchService(
            self.store_client,
            self.backends,
            self.incarnation,
            self.peers.zones,
            lambda: self.peers.is_synchronized,
        )
        self.admission = AdmissionService(
            settings, self.backends, self.loop, self.incarnation, self.store_client.age, self._lend_from
        )
        record = ListRecord(settings.data_path) if settings.data_path else None
        self.authority_watch = AuthorityWatch(
            self.admission.authority, record, self.store_client.age, self.tasks
        )
        self.looked = self.loop.time()
        self.server = RpcServer(self.handle, self.admission.quick, self.admission.places.lost)
        self.http = HttpServer(self.outside, self.loop)
        self.metrics_server = MetricsServer(settings, self.metrics, self.loop)

    # What a process does

    async def start(self) -> None:
        await self.peers.restore()
        await self.server.listen((self.ip, ports.port(self.settings, ports.REGISTRY)))
        self.store_client.start()
        self.tasks.start(self.peers.synchronize())
        self.tasks.start(run_periodically(FLUSH, self.peers.flush))
        self.tasks.start(run_periodically(LOOK, self._look))
        self.tasks.start(run_periodically(TELL, self._tell_loads))
        self.tasks.start(self.admission.quotas.intervals(self._tell_sum))
        self.tasks.start(self.authority_watch.recall())
        await self.http.listen(parse_address(self.settings.bind.control))
        await self.metrics_server.start()

    async def stop(self) -> None:
        """End in order: proxies go to other registries at once, what was read from outside is answered."""
        now = self.loop.time()
        ends_at = now + self.settings.bound("grace_s", 6.0) - END_S
        self.server.begin_drain(TAKEN_LEAVING)
        unanswered = await self.http.drain(now + QUIET_S, ends_at)
        cut = await self.server.drain(ends_at)
        if unanswered.requests or unanswered.unsent_bytes or cut:
            self.metrics.cut_calls.add(amount=len(unanswered.requests))
            log_event(
                Event.REGISTRY_CALLS_UNANSWERED,
                calls=len(unanswered.requests),
                unsent_bytes=unanswered.unsent_bytes,
                internal=cut,
            )
        self.store_client.stop()
        self.tasks.cancel()
        self.metrics_server.close()

    def reload(self, settings: Settings) -> None:
        self.settings = settings
        self.store_client.reload(settings)

    # The store

    def _on_version(self, version: ConfigVersion) -> None:
        checked = read(version.body)
        if isinstance(checked, Success):
            self.admission.quotas.configure(checked.unwrap())

    def _changed(self) -> None:
        """The word, the list of the core, or whether there is contact is another."""
        if self.store_client.value.change >= 0:
            members = self.store_client.members
            self.admission.authority.observe_list(IssuerList(members.number, members.ips()), self.loop.time())
        core = self.store_client.everyone()
        self.peers.retain_only(core)
        has_contact = self.store_client.has_contact
        if has_contact and not self.had_contact and self.peers.is_synchronized:
            self.tasks.start(
                self.peers.synchronize()
            )  # we were cut off: others may have been told what we were not
        self.had_contact = has_contact
        self.watch.wake()

    # The other registries

    async def _lend_from(self, ip: str, request: LendRequest) -> int:
        return int((await self.peers.link(ip).call("lend", request.encode(), LEND_S)).value_or(0))

    def _tell_sum(self, told: IntervalSum) -> None:
        self.peers.notify("sums", told.encode())

    def _tell_loads(self) -> None:
        """What our doors have out at each backend, to the other registries."""
        sums = self.admission.places.sums()
        if sums is not None:
            self.peers.notify("loads", [self.ip, sums])

    def _look(self) -> None:
        now = self.loop.time()
        if now - self.looked > OWN_PAUSE:
            self.backends.forgive_missed_heartbeats(now)
            self.tasks.start(self.peers.synchronize())
        self.looked = now
        if self.backends.expire(now):
            self.watch.wake()
        self.admission.places.look()
        self.authority_watch.look()

    # Calls of our own processes

    async def handle(self, peer: str, kind: str, body: Any) -> Any:
        match kind:
            case "news":
                return (await self.watch.poll(WatchRequest.decode(body))).encode(self.loop.time())
            case "count":
                return self.admission.quotas.report(peer, IntervalReport.decode(body)).encode()
            case "lend":
                return self.admission.quotas.lend(LendRequest.decode(body))
            case "sums":
                return self.admission.quotas.hear_sum(IntervalSum.decode(body))
            case "told":
                return await self.peers.apply_update(BackendUpdate.decode(body, self.loop.time()))
            case "place":
                return await self.admission.place(peer, body)
            case "wait":
                return await self.admission.wait(peer, body)
            case "loads":
                self.admission.places.hear_loads(body[0], body[1])
                return None
            case "lives":  # a door tells what it knows to one that may have forgotten
                return self.peers.merge(IncarnationReport.decode(body, self.loop.time()).observed)
            case "all_lives":
                return self.peers.snapshot().encode(self.loop.time())
            case "all":  # of a registry of the version before: it does not ask who remembers
                return IncarnationReport(self.peers.snapshot().observed).encode(self.loop.time())
        raise ValueError(f"no call {kind!r}")

    # Calls from outside

    async def outside(self, request: Request) -> Answer:
        decoded = decode(request.method, request.target, request.body)
        if isinstance(decoded, Failure):
            refusal = decoded.failure()
            if request.method == b"POST" and request.target.startswith(b"/config"):
                log_event(Event.VERSION_REJECTED, trouble=refusal.trouble)
            return Answer(refusal.status, json.dumps({"error": str(refusal.trouble)}).encode(), JSON)
        return await self.run(decoded.unwrap())

    async def run(self, command: Command) -> Answer:
        """Carry out a command."""
        match command:
            case Heartbeat():
                return await self._heartbeat(command)
            case Deregister():
                return await self._deregister(command)
            case PutConfiguration():  # goes to its end, whoever waits: what became of an order is known then
                return await asyncio.shield(self.tasks.start(self._put(command)))
            case ReadConfiguration():
                known, body = await self.store_client.read()
                if not known:
                    return self._later(
                        "no store has contact with a majority of the core, or none answered in time"
                    )
                return Answer(200, body, JSON) if body is not None else Answer(404, b"{}", JSON)
            case ListBackends():
                return Answer(200, json.dumps(self._status()).encode(), JSON)

    def _later(self, why: str) -> Answer:
        """To be asked again, here or elsewhere: nothing is refused for good."""
        body = json.dumps({"error": why, "retry_after_s": AGAIN}).encode()
        return Answer(503, body, [*JSON, (b"Retry-After", b"%.1f" % AGAIN)])

    def _status(self) -> dict[str, Any]:
        now = self.loop.time()
        quotas, authority = self.admission.quotas, self.admission.authority
        total = quotas.counter.total
        return {
            "generation": f"r{self.store_client.version_id.number}" if self.store_client.version else None,
            "change": self.store_client.change,
            "contact_age_s": self.store_client.age(),
            "store": self.store_client.source,
            "members": list(self.store_client.members.seats),
            "learners": sorted(self.store_client.learners),
            "doors": total.proxies,
            "interval": total.number,
            "tenants": encode_usages(total.usages),
            "issuing": authority.may_issue(self.store_client.age(), now),
            "issuers": authority.issuers(now),
            "permits": {
                tenant: {"ready": round(count, 1), "held_ahead": quotas.issuer.outstanding.total(tenant)}
                for tenant, count in quotas.issuer.partly_used(now).items()
            },
            "backends": [
                {
                    "id": e.incarnation.id,
                    "service": e.incarnation.service,
                    "zone": e.incarnation.zone,
                    "state": e.incarnation.state.name.lower(),
                    "silent": e.is_unresponsive,
                    "heard_s": round(now - e.heartbeat_at, 2),
                }
                for e in self.backends.entries.values()
            ],
        }

    async def _put(self, command: PutConfiguration) -> Answer:
        answer = await self._ordered(command)
        self.metrics.orders.add(str(answer.status))
        return answer

    async def _ordered(self, command: PutConfiguration) -> Answer:
        match await self.store_client.put(command.version):
            case PutOutcome.DECIDED:
                return Answer(200, b"{}", JSON)
            case PutOutcome.CONFLICT:
                held = f"r{self.store_client.version_id.number}"
                return Answer(
                    409, json.dumps({"error": "another body holds this number", "held": held}).encode(), JSON
                )
        return self._later("not decided by a majority of the core in time")

    async def _heartbeat(self, heartbeat: Heartbeat) -> Answer:
        now = self.loop.time()
        state = BackendState.DRAINING if heartbeat.state == "draining" else BackendState.READY
        incarnation = BackendIncarnation(
            heartbeat.id,
            heartbeat.service,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.capacity,
            state,
            heartbeat.call_count,
            now + heartbeat.warmup_left_ms / 1000,
        )
        if self.backends.observe(incarnation, now):
            self.watch.wake()
        self.peers.unsent[incarnation.id] = self.backends.entries[incarnation.id].incarnation
        if state is BackendState.DRAINING and not await self.peers.replicate_end(incarnation.id):
            return self._later("too few of the core were told")
        near = [
            control
            for ip, control in self.peers.controls.items()
            if self.peers.zones.get(ip) == heartbeat.zone
        ]
        target = {"beat_target": near[0]} if near and heartbeat.zone != self.settings.zone else {}
        return Answer(200, json.dumps(target).encode(), JSON)

    async def _deregister(self, leave: Deregister) -> Answer:
        """Also of a life that we do not know: others may, and what is acknowledged holds for all."""
        now = self.loop.time()
        if self.backends.deregister(leave.id, now) is None:
            self.backends.observe(BackendIncarnation(leave.id, "", "", "", 0, BackendState.GONE, 0, now), now)
        self.watch.wake()
        if not await self.peers.replicate_end(leave.id):
            return self._later("too few of the core were told")
        return Answer(200, b"{}", JSON)
