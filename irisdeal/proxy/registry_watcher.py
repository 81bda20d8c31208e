"""Watches the registries for configurations and backends: two at once, by long polls.

Rules that must hold here:

1. What a registry answers covers all that was decided by the moment at which our request was sent, less the age
   that it states (`as_of`, on our steady clock). It counts once the configuration has arrived completely.
2. A registry that has no contact with the core, or whose knowledge is older than `MAX_AGE_S`, is left at once for
   one that has; where there is none it is polled on, and the present state stays in use. `age` says how old that
   may be.
3. Configurations only move forward by number, and incarnations of backends never go back, within one process.
4. The membership of the core is what the registries in use report; the seeds are polled only where none of these
   is left.
5. No proxy polls more than `WATCHED_REGISTRIES` at once, and each turns to another after a pause of random length.

Times are s on the loop's clock.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.membership.contact import CONTACT_LEASE_S
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.proxy.backend_view import BackendView
from irisdeal.proxy.config_receiver import ConfigReceiver
from irisdeal.proxy.registry_selector import RegistrySelector
from irisdeal.registry import call_kinds
from irisdeal.registry.incarnation import BackendIncarnation
from irisdeal.registry.messages import WatchReply, WatchRequest
from irisdeal.rpc.client import RpcClient
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

WATCHED_REGISTRIES = 2  # at once: one may lag or die without a loss of time
LONG_POLL_S = 1.0  # that a registry holds a request while it has nothing new
WATCH_TIMEOUT_S = LONG_POLL_S + 0.5  # for the answer to a watch request
MAX_AGE_S = (
    CONTACT_LEASE_S + LONG_POLL_S
)  # older knowledge is no contact; healthy registries state 1.1 at most
CONTACT_LOST_AGE_S = (
    MAX_AGE_S + WATCH_TIMEOUT_S
)  # of our own knowledge: then the next answer has not come either
MIN_PAUSE_S, MAX_PAUSE_S = 0.05, 0.15  # before the next registry is tried: drawn between these
AVOIDED_PAUSE_FACTOR = 3  # times as long where all registries were of no use a moment ago
STARTUP_S = (
    2.0  # after its start that a proxy stays with its first registries though they have no contact yet
)
UNHELD_S = (
    0.02  # an answer that comes sooner with nothing new was not held: the next request waits `MAX_PAUSE_S`
)


class RegistryWatcher:
    """What this proxy knows of configurations and backends, merged from all registries' answers."""

    def __init__(
        self,
        settings: Settings,
        on_version: Callable[[ConfigVersion], None],
        on_incarnation: Callable[[BackendIncarnation, bool], None],
    ) -> None:
        """`on_version`: called with each newer configuration.

        `on_incarnation`: called with each reported state of a backend, and whether its heartbeats are overdue at
        all registries in use.
        """
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(settings.ip)
        self.selector = RegistrySelector(settings, self.loop, self.rng)
        self.configuration = ConfigReceiver(on_version)
        self.backends = BackendView(self.loop, on_incarnation)
        self.started_at = self.loop.time()
        self.has_contact: bool | None = None  # as was logged last; None before any
        self.greeted: dict[
            str, int
        ] = {}  # registry -> its incarnation that was sent all backends that we know
        self.on_departed: Callable[[set[str]], None] = lambda departed: None  # machines that left the core
        self.responsive_registries: set[str] = (
            set()
        )  # registries that answer, in contact with the core or not
        self.has_answered = asyncio.Event()  # set once a first registry has answered
        self.tasks = Tasks()

    def start(self) -> None:
        """Begin to watch."""
        for _ in range(WATCHED_REGISTRIES):
            self.tasks.start(self._follow())

    def stop(self) -> None:
        """End all requests."""
        self.tasks.cancel()

    def reload(self, settings: Settings) -> None:
        """Take over changed settings."""
        self.settings = self.selector.settings = settings

    # How old our knowledge may be

    def age(self, now: float) -> float:
        """Return the s since the moment by which we know all that was decided.

        Infinite where no registry in contact has answered yet.
        """
        return now - self.configuration.as_of

    def _log_contact(self) -> None:
        """Log when contact with the core was won or lost."""
        now = self.loop.time()
        has_contact = self.age(now) <= CONTACT_LOST_AGE_S
        if has_contact == self.has_contact:
            return
        if not has_contact and now - self.started_at <= CONTACT_LOST_AGE_S:
            return
        sources = ",".join(self.selector.using)
        if not has_contact:
            log_event(Event.CONTACT_LOST, age=round(self.age(now), 2), sources=sources)
        elif self.has_contact is not None:
            log_event(Event.CONTACT_REGAINED, sources=sources)
        self.has_contact = has_contact

    def _is_starting(self) -> bool:
        """Return whether we have just started and no registry had contact yet: all may be starting."""
        is_unknown = self.configuration.as_of == float("-inf")
        return is_unknown and self.loop.time() - self.started_at < STARTUP_S

    # Which registries

    async def _follow(self) -> None:
        """Watch one registry after the other."""
        while True:
            registry = next(iter(self.selector.candidates()), None)
            was_avoided = registry is None or self.selector.is_avoided(registry, self.loop.time())
            if registry is not None:
                self.selector.using.append(registry)
                address = ports.address_of(self.settings, registry, ports.REGISTRY)
                link = RpcClient(address, f"proxy {self.settings.ip}")
                try:
                    await self._watch(registry, link)
                finally:
                    self._leave(registry)
                    link.close()
            factor = AVOIDED_PAUSE_FACTOR if was_avoided else 1
            await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S) * factor)
            self._log_contact()

    def _leave(self, registry: str) -> None:
        self.selector.using.remove(registry)
        self.responsive_registries.discard(registry)
        self.configuration.leave(registry)
        self.backends.leave(registry)

    def _should_switch(self, registry: str, is_good: bool) -> bool:
        """Return whether to turn from this registry to another."""
        if not is_good:
            return self.selector.has_alternative() and not self._is_starting()
        return self.selector.is_nearer_available(registry)

    # Answers

    async def _watch(self, registry: str, link: RpcClient) -> None:
        """Poll one registry until it does not answer, has no contact, or another one is better."""
        incarnation = table_version = 0
        while True:
            sync_state, sent_at = self.configuration.sync_state(registry), self.loop.time()
            request = WatchRequest(sync_state, incarnation, table_version, self.configuration.change)
            answer = await link.call(call_kinds.WATCH, request.encode(), WATCH_TIMEOUT_S)
            if isinstance(answer, Failure):
                log_event(Event.SOURCE_UNRESPONSIVE, source=registry, trouble=answer.failure())
                return self.selector.avoid(registry)
            reply = WatchReply.decode(answer.unwrap(), self.loop.time())
            self.responsive_registries.add(registry)
            self.has_answered.set()
            is_first, table_version = reply.registry_incarnation != incarnation, reply.table_version
            if is_first:
                incarnation = reply.registry_incarnation
                self._greet(registry, incarnation, link)
            before = self._config_state(registry)
            self.configuration.receive(registry, sync_state, reply.chunk, reply.change)
            self.backends.receive(registry, reply.backends)
            is_good = self._receive_age(registry, sent_at, reply.age_ms, reply.change)
            self._receive_zones(registry, reply.zones, is_good)
            self._log_contact()
            self._avoid_without_contact(registry, is_good, reply.age_ms)
            if self._should_switch(registry, is_good):
                return None
            has_update = is_first or bool(reply.backends) or before != self._config_state(registry)
            if not has_update and self.loop.time() - sent_at < UNHELD_S:
                await asyncio.sleep(MAX_PAUSE_S)

    def _config_state(self, registry: str) -> tuple[int, SyncState]:
        return self.configuration.change, self.configuration.sync_state(registry)

    def _avoid_without_contact(self, registry: str, is_good: bool, age_ms: int) -> None:
        if is_good or self.selector.is_avoided(registry, self.loop.time()) or self._is_starting():
            return
        log_event(Event.SOURCE_WITHOUT_CONTACT, source=registry, age=age_ms)
        self.selector.avoid(registry)

    def _receive_age(self, registry: str, sent_at: float, age_ms: int, change: int) -> bool:
        """Take in how old an answer's knowledge is; return whether the registry has contact.

        `age_ms`: below 0 where it has none; `change`: number of the registry's newest change, below 0 where the
        answer brought an older one.
        """
        if age_ms < 0:
            return False
        as_of = sent_at - age_ms / 1000
        self.selector.known_as_of[registry] = as_of
        self.configuration.confirm(change, as_of)
        is_good = self.loop.time() - as_of <= MAX_AGE_S
        if is_good:
            self.selector.avoided.pop(registry, None)
        return is_good

    def _receive_zones(self, registry: str, zones: dict[str, str], is_good: bool) -> None:
        """Take in the machines of the core and their zones."""
        departed = self.selector.update_zones(registry, zones, is_good)
        for other in departed:
            self.greeted.pop(other, None)
        if departed:
            self.on_departed(departed)

    def _greet(self, registry: str, incarnation: int, link: RpcClient) -> None:
        """Send a registry that is new, or has started again, all backends that we know: it may have forgotten."""
        if self.greeted.get(registry) != incarnation:
            self.greeted[registry] = incarnation
            self.tasks.start(self._send_backends(link))

    async def _send_backends(self, link: RpcClient) -> None:
        report = self.backends.report()
        await link.call(call_kinds.REPEAT_INCARNATIONS, report.encode(self.loop.time()), WATCH_TIMEOUT_S)
