"""Watches two registries at once, by long polls, for configurations and backends.

Invariants:

1. A registry's reply covers all decisions made before `as_of`, on this proxy's monotonic clock: the time at which
   the request was sent, less the age that the reply states. It counts once the configuration has arrived
   completely.
2. A registry without contact to the core, or whose state is older than `MAX_AGE_S`, is replaced immediately by
   one with contact. If there is none, it is still polled and the current state stays in use; `age` returns the
   maximum age of that state.
3. Within one process, configurations only advance by number, and incarnations never return to an earlier state.
4. The membership of the core is taken from the reports of the watched registries; seeds are polled only if none
   of the reported members is left.
5. A proxy polls at most `WATCHED_COUNT` registries at once, and pauses for a random time before switching to
   another.

Times are in s on the loop's clock.
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
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

WATCHED_COUNT = 2  # registries watched at once, so that the failure of one causes no delay
LONG_POLL_S = 1.0  # for which a registry holds a request while it has no update
REPLY_MARGIN_S = 0.5
WATCH_TIMEOUT_S = LONG_POLL_S + REPLY_MARGIN_S
# Age of a registry's state from which it counts as without contact; healthy registries state at most 1.1 s.
MAX_AGE_S = CONTACT_LEASE_S + LONG_POLL_S
# Age of this proxy's state from which contact is lost: the reply after the last one is overdue, too.
CONTACT_LOST_AGE_S = MAX_AGE_S + WATCH_TIMEOUT_S
# Bounds of the random pause before the next registry is tried
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.15
AVOIDED_PAUSE_FACTOR = 3  # longer pause if all registries are in their backoff
STARTUP_S = 2.0  # after its start, for which a proxy keeps polling registries without contact
# A reply without an update that arrives sooner was not held; the next request then waits for `MAX_PAUSE_S`.
MIN_POLL_S = 0.02


class RegistryWatcher:
    """This proxy's view of configurations and backends, merged from all registries' replies."""

    def __init__(
        self,
        settings: Settings,
        on_version: Callable[[ConfigVersion], None],
        on_incarnation: Callable[[BackendIncarnation, bool], None],
    ) -> None:
        """`on_version`: called with each newer configuration.

        `on_incarnation`: called with each reported state of a backend, and whether its heartbeats are overdue
        at all watched registries.
        """
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(settings.ip)
        self.selector = RegistrySelector(settings, self.loop, self.rng)
        self.configuration = ConfigReceiver(on_version)
        self.backends = BackendView(self.loop, on_incarnation)
        self.started_at = self.loop.time()
        self.logged_contact: bool | None = None  # as logged last; None before
        # registry -> its incarnation to which all known backends were sent
        self.synced_incarnations: dict[str, int] = {}
        # called with the machines that left the core
        self.on_departed: Callable[[set[str]], None] = lambda departed: None
        # watched registries that reply, with or without contact to the core
        self.responsive_registries: set[str] = set()
        self.has_answered = asyncio.Event()  # set after the first reply of any registry
        self.tasks = Tasks()

    def start(self) -> None:
        """Start watching."""
        for _ in range(WATCHED_COUNT):
            self.tasks.keep_running(self._watch_registries)

    def stop(self) -> None:
        """Cancel all requests."""
        self.tasks.cancel()

    def reload(self, settings: Settings) -> None:
        """Apply changed settings."""
        self.settings = self.selector.settings = settings

    # Age of the state and contact

    def age(self, now: float) -> float:
        """Return the s since the time up to which all decisions are known.

        Infinite if no registry with contact has replied yet.
        """
        return now - self.configuration.as_of

    def _log_contact(self) -> None:
        """Log when contact with the core is gained or lost."""
        now = self.loop.time()
        has_contact = self.age(now) <= CONTACT_LOST_AGE_S
        if has_contact == self.logged_contact:
            return
        if not has_contact and now - self.started_at <= CONTACT_LOST_AGE_S:
            return
        sources = ",".join(self.selector.watched)
        if not has_contact:
            log_event(Event.CONTACT_LOST, age=round(self.age(now), 2), sources=sources)
        elif self.logged_contact is not None:
            log_event(Event.CONTACT_REGAINED, sources=sources)
        self.logged_contact = has_contact

    def _is_starting(self) -> bool:
        """Return whether this proxy just started and no registry had contact yet; the core may be starting, too."""
        is_unknown = self.configuration.as_of == float("-inf")
        return is_unknown and self.loop.time() - self.started_at < STARTUP_S

    # Selection of registries

    async def _watch_registries(self) -> None:
        """Watch one registry at a time, and switch to another when `_watch` returns."""
        while True:
            registry = next(iter(self.selector.candidates()), None)
            was_avoided = registry is None or self.selector.is_avoided(registry, self.loop.time())
            if registry is not None:
                self.selector.watched.append(registry)
                address = ports.address_of(self.settings, registry, ports.REGISTRY)
                client = RpcClient(address, f"proxy {self.settings.ip}")
                try:
                    await self._watch(registry, client)
                finally:
                    self._stop_watching(registry)
                    client.close()
            factor = AVOIDED_PAUSE_FACTOR if was_avoided else 1
            await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S) * factor)
            self._log_contact()

    def _stop_watching(self, registry: str) -> None:
        self.selector.watched.remove(registry)
        self.responsive_registries.discard(registry)
        self.configuration.forget_registry(registry)
        self.backends.forget_registry(registry)

    def _should_switch(self, registry: str, has_contact: bool) -> bool:
        """Return whether to switch from this registry to another."""
        if not has_contact:
            return self.selector.has_alternative() and not self._is_starting()
        return self.selector.is_nearer_available(registry)

    # Replies

    async def _watch(self, registry: str, client: RpcClient) -> None:
        """Poll one registry until it does not reply, has no contact, or another one is preferable."""
        incarnation = table_version = 0
        while True:
            sync_state, sent_at = self.configuration.sync_state(registry), self.loop.time()
            request = WatchRequest(sync_state, incarnation, table_version, self.configuration.change)
            result = await client.call(call_kinds.WATCH, request.encode(), WATCH_TIMEOUT_S)
            if isinstance(result, Failure):
                log_event(Event.SOURCE_UNRESPONSIVE, source=registry, trouble=result.failure())
                return self.selector.avoid(registry)
            reply = WatchReply.decode(result.unwrap(), self.loop.time())
            self.responsive_registries.add(registry)
            self.has_answered.set()
            is_first, table_version = reply.registry_incarnation != incarnation, reply.table_version
            if is_first:
                incarnation = reply.registry_incarnation
                self._sync_backends(registry, incarnation, client)
            previous_state = self._config_state(registry)
            self.configuration.receive(registry, sync_state, reply.chunk, reply.change)
            self.backends.receive(registry, reply.backends)
            has_contact = self._receive_age(registry, sent_at, reply.age_ms, reply.change)
            self._receive_zones(registry, reply.zones, has_contact)
            self._log_contact()
            self._avoid_without_contact(registry, has_contact, reply.age_ms)
            if self._should_switch(registry, has_contact):
                return None
            has_update = is_first or bool(reply.backends) or previous_state != self._config_state(registry)
            if not has_update and self.loop.time() - sent_at < MIN_POLL_S:
                await asyncio.sleep(MAX_PAUSE_S)

    def _config_state(self, registry: str) -> tuple[int, SyncState]:
        return self.configuration.change, self.configuration.sync_state(registry)

    def _avoid_without_contact(self, registry: str, has_contact: bool, age_ms: int) -> None:
        if has_contact or self.selector.is_avoided(registry, self.loop.time()) or self._is_starting():
            return
        log_event(Event.SOURCE_WITHOUT_CONTACT, source=registry, age=age_ms)
        self.selector.avoid(registry)

    def _receive_age(self, registry: str, sent_at: float, age_ms: int, change: int) -> bool:
        """Apply the age that a reply states; return whether the registry has contact.

        `age_ms`: negative if it has no contact; `change`: number of the registry's newest change, negative if
        the reply contained an older one.
        """
        if age_ms < 0:
            return False
        as_of = sent_at - age_ms / 1000
        self.selector.known_as_of[registry] = as_of
        self.configuration.confirm(change, as_of)
        has_contact = self.loop.time() - as_of <= MAX_AGE_S
        if has_contact:
            self.selector.avoided.pop(registry, None)
        return has_contact

    def _receive_zones(self, registry: str, zones: dict[str, str], has_contact: bool) -> None:
        """Apply a registry's report of the core's machines and their zones."""
        departed = self.selector.update_zones(registry, zones, has_contact)
        for other in departed:
            self.synced_incarnations.pop(other, None)
        if departed:
            self.on_departed(departed)

    def _sync_backends(self, registry: str, incarnation: int, client: RpcClient) -> None:
        """Send all known backends to a registry that is new or has restarted, as it may have lost its state."""
        if self.synced_incarnations.get(registry) != incarnation:
            self.synced_incarnations[registry] = incarnation
            self.tasks.start(self._send_backends(client))

    async def _send_backends(self, client: RpcClient) -> None:
        report = self.backends.report()
        await client.call(call_kinds.REPEAT_INCARNATIONS, report.encode(self.loop.time()), WATCH_TIMEOUT_S)
