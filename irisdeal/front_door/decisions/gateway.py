"""Decisions of one gateway. Its settings, events and actions are defined in `interface.py`; read that first.

Splits shared quotas by demand, as the port allocator of Padala et al. does; see
docs/design/front-door-decisions.md.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from irisdeal.front_door.decisions.interface import (
    Action,
    AddToCounter,
    AttemptEnded,
    CancelAttempt,
    CeilingShareChanged,
    ClassesChanged,
    CounterAnswered,
    DedupScope,
    Event,
    FailRequest,
    Idempotency,
    LogMessage,
    Plan,
    RejectRequest,
    RequestArrived,
    RequestBodyReceived,
    RequestClassChanged,
    RequestEnded,
    Result,
    ServerAdminStateChanged,
    ServerList,
    ServerListKind,
    ServerState,
    SetTimer,
    Settings,
    StartAttempt,
    StreamStarted,
    WatchServerList,
)
from irisdeal.front_door.decisions.records import Attempt, Request, Server
from irisdeal.front_door.decisions.tenant import (
    MAX_ESTIMATING_GATEWAYS,
    NEAR_CAPACITY_RATIO,
    US_PER_S,
    Tenant,
)
from irisdeal.front_door.queueing.fair_queue import FairQueue
from irisdeal.front_door.quota.counter_calls import CounterCall
from irisdeal.front_door.quota.counter_overload import AdmissionPath, CounterOverload
from irisdeal.front_door.quota.quota_account import QuotaAccount
from irisdeal.front_door.zones.failover import ZoneCounterCall, ZoneFailover

# Targets of admission by probability, as ratios of a plan's rate, its slots and what is left of its burst.
TARGET_RATE_RATIO = 0.90
TARGET_SLOTS_RATIO = 0.7
TARGET_BURST_RATIO = 0.5
REPORTS_PER_DECAY = 25  # counter calls by all gateways of a tenant in one time constant of its demand
MAX_TOTAL_AGE_US = 20_000_000  # after which a total is obsolete
MAX_TENANTS_CHECKED = 4  # for each request received, to discard idle ones
# Once most counter calls fail, fewer are made: a factor grows with each failure, falls with each success.
MAX_COUNTER_BACKOFF = 20.0
COUNTER_BACKOFF_INCREASE = 1.15
COUNTER_BACKOFF_DECREASE = 0.80
# Of the latency target: a class's duration before any response. High, which is safe for cold servers.
INITIAL_DURATION_RATIO = 1 / 6
MAX_WAIT_COUNTER_TIMEOUTS = 4  # a late answer to a claim is still valid: the front door waits where it can
COUNTER_NAME_GRACE_S = 5  # for which a counter is kept after its name's period
STALL_US = 100_000  # a timer this late means that the process was not running
DISPATCH_RETRY_US = 20_000  # after which waiting requests are tried again
SLOW_DURATION_RATIO = 2.0  # of the mean duration, counts against a zone; one attempt in ten exceeds it
ZONE_CHECK_INTERVAL_US = 50_000  # while a zone is suspected, left or returning
# Weights of a new sample in moving means. Failures have to show fast.
MEAN_WEIGHT = 0.1
FAILURE_WEIGHT = 0.25
SLOW_MEAN_WEIGHT = 0.01  # of minimum durations and service times, which rise slowly
OVERDUE_DURATION_RATIO = 4.0  # of the mean duration: a longer attempt counts against its server
MAX_SAMPLE_RATIO = 5  # of the mean duration: longer samples are clipped
# The window limits this gateway's attempts in flight. A response within this ratio of the latency target
# widens it, a later one narrows it.
FAST_LATENCY_RATIO = 0.35
WINDOW_PER_SERVER = 2.0  # attempts of all gateways, while half the responses are fast
MAX_WINDOW_RATIO = 4.0  # of that window
MIN_WINDOW_DEVIATIONS = 2.0  # square roots of the window, added in a large fleet: load varies as much
FIRST_USE_SPREAD_US = 3_000_000  # of the first uses of an enabled server by a large fleet
MAX_SERVERS_COMPARED = 16  # for a request, drawn at random: all gateways would overload the same best server
PENALTY_DECAY_PER_S = 0.1  # of an unused server's penalties, so that it is tried again
COST_JITTER_RATIO = 0.05  # so that gateways do not all select the same server
# Bands of value per time, of ratio 2**(1/4): a band's window is wider by its weight, and bands share the
# servers by weight. From half to double, so that plans of low value are not starved.
BAND_WEIGHTS = tuple(2.0 ** (n / 4 - 1.0) for n in range(9))
# Bounds of the queue: a front door of 32 MB has about 16 MB for it.
MAX_QUEUED_REQUESTS = 4096
MAX_QUEUED_BYTES = 8 << 20
MAX_FLOWS = 8192
MIN_COLD_WORK_US = 20_000.0  # least estimate of one request's work at a cold server
COLD_BUDGET_RATIO = 0.6  # of the work that makes a cold server collapse: work sizes vary
TURN_SPACING = 1.5  # a turn stays open for half a collapse window, so turns are as much fewer
CROSS_ZONE_COST_FACTOR = 1.5  # a server in another zone has to be so much faster, where crossing zones costs
# Retry budget: tokens per first attempt, and most tokens saved. Keeps retries from amplifying an overload.
RETRY_BUDGET_RATIO = 0.1
MAX_RETRY_BUDGET = 10.0
# Waits: for its tenant's limits a request may wait for a ratio of the spare time in its latency target, and
# for a ratio of its own time left.
TENANT_WAIT_TARGET_RATIO = 0.6
TENANT_WAIT_TIME_RATIO = 0.4
FLEET_WAIT_TARGET_RATIO = 0.2  # for a server: a standing queue delays all requests (RFC 8289, section 3.2)
MAX_REFILL_WAIT_US = 1e9
NOT_EXECUTED_RESULTS = (Result.REJECTED, Result.NOT_CONNECTED, Result.NOT_SENT)


class Gateway:
    """The decision module of one front door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[bytes, Server] = {}
        self.ready_servers: list[Server] = []
        self.disabled_servers: dict[bytes, int] = {}  # by an operator, and since when
        # Of this process, where another one of the same front door runs.
        self.ceiling_share = 1.0
        self.may_use_cold_servers = True
        self.last_timer_sequence = 0
        self.timer_at = 0
        self.resumed_at = -1  # when the process last ran again after a stall
        self.now = -1
        self.started_at = -1
        self.in_flight = 0
        self.last_sent_at = -US_PER_S
        self.window = MAX_WINDOW_RATIO
        self.usual_window = 1.0  # while half the responses are fast
        self.next_zone_check_at = 0
        # Attempts not yet reported as slow, in the order of sending.
        self.unreported_attempts: deque[tuple[Request, Attempt]] = deque()
        self.next_dispatch_at = 0
        self.queue: FairQueue[Request] = FairQueue(
            BAND_WEIGHTS, MAX_QUEUED_REQUESTS, MAX_QUEUED_BYTES, MAX_FLOWS
        )
        self.tenants: dict[tuple[int, int], Tenant] = {}
        self.requests: dict[int, Request] = {}
        self.demand_calls: dict[int, deque[tuple[Request, float, int]]] = {}
        self.quota_calls: dict[int, deque[tuple[Tenant, CounterCall, Request | None]]] = {}
        self.counter_overload = CounterOverload()
        self.zone_calls: dict[int, deque[ZoneCounterCall]] = {}
        self.zones = ZoneFailover(
            settings.gateway_count,
            settings.collapse_load_ratio,
            settings.start_capacity_ratio,
            settings.warm_up_us,
            settings.may_hedge and settings.max_attempts > 1,
            random.Random(seed + 1),
        )
        # By class; 0 for a minimum not yet known.
        self.mean_duration_us = [c.latency_target_us * INITIAL_DURATION_RATIO for c in settings.classes]
        self.min_duration_us = [0.0 for _ in settings.classes]
        # Gateways of a large fleet take turns at every cold server.
        self.is_large_fleet = settings.gateway_count > MAX_ESTIMATING_GATEWAYS
        self.service_time_us = 0.0  # as reported by servers, without queueing; 0: unknown
        self.retry_budget = MAX_RETRY_BUDGET
        self.counter_backoff_factor = 1.0
        self.initial_work_us = max(self.mean_duration_us)
        self.mean_value_per_us = (
            sum(c.value / c.latency_target_us for c in settings.classes)
            / len(self.mean_duration_us)
            / INITIAL_DURATION_RATIO
        )
        self.timers: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            ServerList: self._update_servers,
            RequestArrived: self._request_arrived,
            AttemptEnded: self._attempt_ended,
            StreamStarted: self._stream_started,
            RequestEnded: self._end_request,
            CounterAnswered: self._counter_answered,
            ClassesChanged: self._classes_changed,
            RequestClassChanged: self._request_class_changed,
            ServerAdminStateChanged: self._server_admin_state_changed,
            CeilingShareChanged: self._ceiling_share_changed,
            RequestBodyReceived: self._request_body_received,
        }

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Process the events up to `now`; return the actions to take, in order."""
        self.resumed_at = now if self.timers and now > self.timer_at + STALL_US else self.resumed_at
        self.now, self.actions = now, []
        if self.started_at < 0:
            self.started_at = now
            self.actions += [] if self.settings.server_list_is_pushed else [WatchServerList()]
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        self._report_slow_attempts()
        if self.zones.has_unhealthy_zone:
            self._update_zones()
        self._dispatch()  # before timeouts: a request that can be sent now is not rejected
        while self.timers and self.timers[0][0] <= now:
            _, _, action, subject = heapq.heappop(self.timers)
            action(subject)
        self._dispatch()
        if self.timers and not now < self.timer_at <= self.timers[0][0]:
            self.timer_at = self.timers[0][0]
            self.actions.append(SetTimer(self.timer_at - now))
        return self.actions

    def _schedule(self, when: int, action: Callable[[Any], None], subject: Any) -> None:
        self.last_timer_sequence += 1  # orders equal times
        heapq.heappush(self.timers, (when, self.last_timer_sequence, action, subject))

    def _classes_changed(self, event: ClassesChanged) -> None:
        old_classes, classes = self.settings.classes, event.classes
        if len(classes) < len(old_classes):
            raise ValueError(f"{len(classes)} classes: wanted at least the {len(old_classes)} known ones")
        # Classes that changed lose their statistics.
        kept = [
            self.mean_duration_us[n] if n < len(old_classes) and old_classes[n] == request_class else None
            for n, request_class in enumerate(classes)
        ]
        self.mean_duration_us = [
            classes[n].latency_target_us * INITIAL_DURATION_RATIO if mean_us is None else mean_us
            for n, mean_us in enumerate(kept)
        ]
        self.min_duration_us = [
            0.0 if mean_us is None else self.min_duration_us[n] for n, mean_us in enumerate(kept)
        ]
        self.settings = replace(self.settings, classes=classes)

    def _request_class_changed(self, event: RequestClassChanged) -> None:
        if request := self.requests.get(event.request_id):
            old, new = (self.settings.classes[n] for n in (request.class_index, event.class_index))
            if (order := list(Idempotency)).index(new.idempotency) < order.index(old.idempotency):
                raise ValueError(
                    f"request {event.request_id} would become {new.idempotency.value}: wanted no weaker rule"
                )
            request.class_index = event.class_index

    def _update_servers(self, event: ServerList) -> None:
        if event.kind is ServerListKind.FAILED:
            return self._schedule(self.now + US_PER_S, lambda _: self.actions.append(WatchServerList()), None)
        if event.kind is not ServerListKind.CHANGES:  # servers missing from a complete list are gone
            named = {entry.server_id for entry in event.entries}
            self.servers = {key: server for key, server in self.servers.items() if key in named}
        for entry in event.entries:
            server = self.servers.get(entry.server_id)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.server_id, None)
            elif server is None or server.listed_started_at != entry.started_at:  # new, or restarted
                self.servers[entry.server_id] = Server(entry)
            else:
                server.entry = replace(entry, started_at=server.entry.started_at)
        self._update_ready_servers()

    def _update_ready_servers(self) -> None:
        self.ready_servers = [
            s
            for key, s in self.servers.items()
            if s.entry.state is ServerState.READY and key not in self.disabled_servers
        ]
        if self.is_large_fleet and (zones := Counter(s.entry.zone for s in self.ready_servers)).keys() - {
            self.settings.zone
        }:
            self._call_zone_counters(self.zones.update_backend_counts(zones, self.now))
            self.ready_servers = [
                s for s in self.ready_servers if self.zones.load_share(s.entry.zone, self.now)
            ]
        usual_window = WINDOW_PER_SERVER * max(1, len(self.ready_servers)) / self.settings.gateway_count
        self.window, self.usual_window = self.window * usual_window / self.usual_window, usual_window

    def _report_slow_attempts(self) -> None:
        """Report attempts as slow to their zones; called at each event, so that it needs no timer."""
        while self.unreported_attempts:
            request, attempt = self.unreported_attempts[0]
            if (
                attempt.is_in_flight
                and self.now - attempt.started_at
                < SLOW_DURATION_RATIO * self.mean_duration_us[request.class_index]
            ):
                return
            self.unreported_attempts.popleft()
            is_cold = self._capacity_ratio(attempt.server) < 1.0  # a slow attempt is expected there
            if (
                attempt.is_in_flight
                and attempt.started_at >= self.resumed_at
                and not (request.is_uploading or attempt.is_streaming or is_cold)
            ):
                entry = attempt.server.entry
                self._call_zone_counters(
                    self.zones.record_failure(entry.zone, entry.server_id, attempt.started_at, self.now)
                )

    def _update_zones(self) -> None:
        """Update the zones that are suspected, left or returning."""
        self._call_zone_counters(self.zones.due_calls(self.now))
        if changed := self.zones.finish_ramps(self.now):
            self._update_ready_servers()
            self.actions += [LogMessage(self.zones.describe(zone)) for zone in changed]
            for server in self.servers.values():  # their failures were the zone's
                if server.entry.zone in changed:
                    server.failure_rates.clear()
            for request in list(self.requests.values()):  # retry those in flight in a zone that was just left
                is_done = request.is_ended or request.is_uploading
                pending = [
                    attempt
                    for attempt in request.attempts
                    if attempt.is_in_flight and not (attempt.is_streaming or is_done)
                ]
                if pending and not any(
                    self.zones.load_share(attempt.server.entry.zone, self.now) for attempt in pending
                ):
                    self._hedge(request, pending[-1])
        if self.zones.has_unhealthy_zone and self.next_zone_check_at <= self.now:
            self.next_zone_check_at = self.now + ZONE_CHECK_INTERVAL_US
            self._schedule(self.next_zone_check_at, lambda _: None, None)

    def _call_zone_counters(self, calls: list[ZoneCounterCall]) -> None:
        for call in calls if self.settings.has_counter else []:
            self.zone_calls.setdefault(call.counter_name, deque()).append(call)
            self.actions.append(
                AddToCounter(
                    call.counter_name,
                    call.amount,
                    call.lifetime_us,
                    MAX_WAIT_COUNTER_TIMEOUTS * self.settings.counter_timeout_us,
                )
            )

    def _send_zone_trial(self, request: Request) -> None:
        """Send a duplicate of a safely repeatable request to a zone that was left, as a trial.

        Not under a limit on requests in flight, as the duplicate would count.
        """
        is_safe = self.settings.classes[request.class_index].idempotency is Idempotency.SAFE and not (
            request.is_uploading or request.tenant.plan.max_in_flight
        )
        if is_safe and self.zones.can_send_trials and (zone := self.zones.due_trial(self.now)) is not None:
            candidates = [
                s
                for key, s in self.servers.items()
                if s.entry.zone == zone
                and key not in self.disabled_servers
                and s.entry.state is ServerState.READY
            ]
            candidates = [
                s
                for s in candidates
                if (ratio := self._capacity_ratio(s)) == 1.0
                or (self.may_use_cold_servers and self._has_cold_budget(s, ratio))
            ]
            if candidates:
                self.zones.record_trial(zone, self.now)
                self._start_attempt(request, self.random.choice(candidates))

    def _server_admin_state_changed(self, event: ServerAdminStateChanged) -> None:
        if event.is_disabled:
            self.disabled_servers.setdefault(event.server_id, self.now)
        elif (since := self.disabled_servers.pop(event.server_id, None)) is not None and (
            server := self.servers.get(event.server_id)
        ):
            # It may have been restarted while disabled: cold from now on, until the list has its new start.
            entry, listed_started_at = server.entry, server.listed_started_at
            server = Server(replace(entry, started_at=self.now) if entry.started_at <= since else entry)
            server.listed_started_at, self.servers[event.server_id] = listed_started_at, server
            server.first_use_at = self.now + int(
                self.is_large_fleet * FIRST_USE_SPREAD_US * self.random.random()
            )
        self._update_ready_servers()

    def _ceiling_share_changed(self, event: CeilingShareChanged) -> None:
        factor, self.ceiling_share, self.may_use_cold_servers = (
            event.ceiling_share / self.ceiling_share,
            event.ceiling_share,
            event.may_use_cold_servers,
        )
        for tenant in self.tenants.values():
            tenant.scale_ceiling(factor, self.now)

    def _request_body_received(self, event: RequestBodyReceived) -> None:
        """Start the time of a request, and that of attempts sent while its body was incomplete."""
        if (request := self.requests.get(event.request_id)) and not request.is_ended and request.is_uploading:
            self._end_upload(request)
            request.arrived_at, request.deadline_at = self.now, self.now + event.time_left_us
            request.answer_by = max(self.now, request.deadline_at - 2 * self.settings.tick_us)
            self._schedule(request.answer_by, self._request_timed_out, request)
            for attempt in [t for t in request.attempts if t.is_in_flight]:
                attempt.started_at, overdue_us = (
                    self.now,
                    int(OVERDUE_DURATION_RATIO * self.mean_duration_us[request.class_index]),
                )
                self._schedule(self.now + overdue_us, self._attempt_overdue, (request, attempt))

    def _end_upload(self, request: Request) -> None:
        """Restore the ceiling's capacity, which `_start_attempt` reduced by an incomplete request's units."""
        if request.attempts and request.tenant.plan.ceiling_rate_per_s:
            request.tenant.refill(self.now)  # up to the reduced capacity
            request.tenant.ceiling_capacity += request.units
        request.is_uploading = False

    def _capacity_ratio(self, server: Server) -> float:
        """Return the least share of its capacity that a server has by now, as it warms up."""
        warm_up_ratio = max(0, self.now - server.entry.started_at) / max(1, self.settings.warm_up_us)
        return min(
            1.0,
            self.settings.start_capacity_ratio + (1.0 - self.settings.start_capacity_ratio) * warm_up_ratio,
        )

    def _cold_work_us(self) -> float:
        """Return the estimated work of a request at a cold server.

        As measured, since the high initial estimate would leave cold servers idle.
        """
        return (
            min(self.initial_work_us, max(MIN_COLD_WORK_US, self.service_time_us))
            if self.service_time_us
            else self.initial_work_us
        )

    def _has_cold_budget(self, server: Server, capacity_ratio: float) -> bool:
        """Return whether this gateway may send a request to a cold server, assumed to have one core.

        It may use an even share of the server's budget or, where that is less than one request, take turns.
        """
        settings, work, rate = (
            self.settings,
            self._cold_work_us(),
            COLD_BUDGET_RATIO * self.settings.collapse_load_ratio,
        )
        if (budget := rate * capacity_ratio * settings.collapse_window_us / settings.gateway_count) >= work:
            return (
                work
                + sum(
                    sent
                    for sent_at, sent in server.cold_work_sent
                    if sent_at > self.now - settings.collapse_window_us
                )
                <= budget
            )
        # All gateways number the turns alike; a turn stays open for half a collapse window.
        turn = int(
            rate
            / TURN_SPACING
            * (settings.start_capacity_ratio + capacity_ratio)
            / 2
            * (self.now - server.entry.started_at)
            / work
        )
        turns_since = (turn - settings.rank - int.from_bytes(server.entry.server_id)) % settings.gateway_count
        turn_age_us = turns_since * work * TURN_SPACING / (rate * capacity_ratio)
        if 0 <= server.first_use_at <= self.now:  # does not wait for a turn, which may be far off
            return True
        server.open_turn = turn - turns_since
        is_taken = (
            server.open_turn <= server.last_turn_used
            if self.is_large_fleet
            else server.last_sent_at >= self.now - turn_age_us
        )
        return turn_age_us <= settings.collapse_window_us / 2 and not is_taken

    def _request_value(self, request: Request) -> float:
        return (
            self.settings.classes[request.class_index].value
            * request.tenant.plan.value_factor
            * request.units
        )

    def _value_band(self, request: Request) -> int:
        """Return the band of a request's value per time, relative to the mean of all."""
        relative_value = (
            self._request_value(request) / self.mean_duration_us[request.class_index] / self.mean_value_per_us
        )
        return min(len(BAND_WEIGHTS) - 1, max(0, round(4.0 * math.log2(max(1e-9, relative_value)) + 4.0)))

    def _window_has_room(self, request: Request, band: int) -> bool:
        """Return whether the window of a band has room; one below 1 spaces attempts out in time."""
        window: float = self.window * BAND_WEIGHTS[band]
        return self.in_flight < window and (
            window >= 1.0
            or self.now - self.last_sent_at >= self.mean_duration_us[request.class_index] / window
        )

    def _select_server(self, request: Request) -> Server | None:
        """Return the server that should finish a request first; a failure costs one latency target."""
        request_class, expected_us = (
            self.settings.classes[request.class_index],
            self.mean_duration_us[request.class_index],
        )
        ready, first_entry = (
            self.ready_servers,
            next((t.server.entry for t in request.attempts if t.may_have_run), None),
        )
        if (
            first_entry
            and request_class.idempotency is Idempotency.KEYED
            and request_class.dedup_scope is not DedupScope.ALL
        ):  # only servers that recognize the key
            is_by_zone = request_class.dedup_scope is DedupScope.ZONE
            ready = [
                s
                for s in ready
                if (s.entry.zone == first_entry.zone if is_by_zone else s.entry.cell == first_entry.cell)
            ]
        # All cold servers are compared, as a turn at one is rare and short.
        cold = [
            s
            for s in ready
            if s.first_use_at >= 0
            or (self.is_large_fleet and s.entry.started_at and self._capacity_ratio(s) < 1.0)
        ]
        ready = self.random.sample(ready, min(MAX_SERVERS_COMPARED, len(ready))) + cold
        tried, best, min_cost = [t.server for t in request.attempts], None, math.inf
        for server in (s for s in ready if s not in tried):
            if self.zones.has_unhealthy_zone and self.random.random() >= self.zones.load_share(
                server.entry.zone, self.now
            ):
                continue
            capacity_ratio = self._capacity_ratio(server)
            if capacity_ratio < 1.0 and not (
                self.may_use_cold_servers and self._has_cold_budget(server, capacity_ratio)
            ):
                continue
            others = server.others_in_flight * max(0.0, 1.0 - (self.now - server.load_reported_at) / US_PER_S)
            penalty_ratio = (1.0 - PENALTY_DECAY_PER_S) ** ((self.now - server.last_sent_at) / US_PER_S)
            cost = (
                expected_us
                * (1.0 + (server.relative_duration - 1.0) * penalty_ratio)
                * (1.0 + server.in_flight + others)
                / capacity_ratio
            )
            cost += (
                (server.failure_rates[None] + server.failure_rates[request.tenant.plan])
                * penalty_ratio
                * request_class.latency_target_us
            )
            # Turns are rare, and find the cold server nearly idle.
            service_us = self.service_time_us or expected_us
            cost *= (
                capacity_ratio / 2
                if capacity_ratio < 1.0 and service_us < capacity_ratio * request_class.latency_target_us / 2
                else 1.0
            )
            cost *= 0.0 if 0 <= server.first_use_at <= self.now else 1.0  # its first use is due
            if self.settings.cross_zone_cost and server.entry.zone != self.settings.zone:
                cost *= CROSS_ZONE_COST_FACTOR
            cost *= 1.0 + COST_JITTER_RATIO * self.random.random()
            if cost < min_cost:
                best, min_cost = server, cost
        return best

    def _request_arrived(self, event: RequestArrived) -> None:
        self.settings.validate_request(event)
        # With the plan: a client that sends another plan must not change this tenant's.
        key = (event.account_id, event.plan_index)
        if not (tenant := self.tenants.pop(key, None)):
            tenant = Tenant(event, self.settings, self.now, self.started_at, self.ceiling_share)
            tenant.admission_credit = self.random.random()
        self.tenants[key] = tenant  # ordered by their last requests
        request = self.requests[event.request_id] = Request(event, tenant, self.now, self.settings.tick_us)
        request_class, expected_us = (
            self.settings.classes[request.class_index],
            self.mean_duration_us[request.class_index],
        )
        max_wait_us = max(
            0,
            int(
                min(
                    (request_class.latency_target_us - expected_us) * TENANT_WAIT_TARGET_RATIO,
                    event.time_left_us * TENANT_WAIT_TIME_RATIO,
                )
            ),
        )
        request.queue_until = min(request.answer_by, self.now + max_wait_us)
        self._schedule(
            min(
                request.answer_by,
                self.now + int(max_wait_us * FLEET_WAIT_TARGET_RATIO / TENANT_WAIT_TARGET_RATIO),
            ),
            self._request_timed_out,
            request,
        )
        if event.time_left_us < self.min_duration_us[request.class_index] or (
            self.disabled_servers and not self.ready_servers
        ):  # no server can answer in time, or all are disabled
            return self._reject_or_fail(request)
        self.mean_value_per_us += (
            MEAN_WEIGHT / 10 * (self._request_value(request) / expected_us - self.mean_value_per_us)
        )
        demand, capacity = self._demand_and_capacity(request)
        tenant.record_demand(demand, self.now)
        self._discard_idle_tenants()
        if tenant.quota_account:
            return self._decide_by_quota_account(request, tenant.quota_account, event.is_retry)
        age_us = self.now - tenant.total_known_at if tenant.total_known_at >= 0 else MAX_TOTAL_AGE_US
        min_age_us = (
            tenant.decay_us * min(1.0, tenant.gateway_count / REPORTS_PER_DECAY) * self.counter_backoff_factor
        )
        if age_us >= MAX_TOTAL_AGE_US:
            makes_call = self.random.random() * self.counter_backoff_factor < 1.0
            # A call reports the expected demand of the requests that make none; these do not report theirs.
            tenant.unreported_demand += (
                demand * (self.counter_backoff_factor - 1.0) if makes_call else -demand
            )
        else:
            is_near = (
                NEAR_CAPACITY_RATIO * capacity < tenant.estimated_total(demand) * self.counter_backoff_factor
                and tenant.estimated_total(demand) < capacity
            )
            makes_call = age_us > (min_age_us / 4 if is_near else min_age_us)
        (
            self._report_demand
            if makes_call and self.settings.has_counter and capacity
            else self._admit_by_estimate
        )(request)

    def _decide_by_quota_account(self, request: Request, account: QuotaAccount, is_retry: bool) -> None:
        """Decide by the quota account: without a call, by a claim or, with an overloaded counter, locally."""
        account.record_demand(request.units, self.now)
        if account.rejects_without_call(self.now, self.random.random()):
            return self._reject_or_fail(request)
        path = self.counter_overload.admission_path(is_retry, self.random.random())
        if path is AdmissionPath.CLAIM:
            claim = account.claim(request.units, self.now, self.random.random())
            self._make_quota_calls(request.tenant, [claim], request)
        else:
            (self._admit_locally if path is AdmissionPath.LOCAL else self._reject_or_fail)(request)

    def _admit_locally(self, request: Request) -> None:
        is_admitted = request.tenant.quota_account and request.tenant.quota_account.admit_locally(
            request.units, self.now
        )
        (self._enqueue if is_admitted else self._reject_or_fail)(request)

    def _make_quota_calls(
        self, tenant: Tenant, calls: list[CounterCall], request: Request | None = None
    ) -> None:
        for call in calls:
            self.quota_calls.setdefault(call.name, deque()).append((tenant, call, request))
            self.actions.append(
                AddToCounter(
                    call.name,
                    call.amount,
                    call.lifetime_us,
                    MAX_WAIT_COUNTER_TIMEOUTS * self.settings.counter_timeout_us,
                )
            )

    def _discard_idle_tenants(self) -> None:
        for _ in range(MAX_TENANTS_CHECKED):
            oldest = self.tenants[key := next(iter(self.tenants))]
            if (
                self.now - oldest.last_request_at <= MAX_TOTAL_AGE_US
                or oldest.in_flight
                or oldest.queued
                or oldest.refill(self.now) < oldest.ceiling_capacity
            ):  # a new record would have a refilled ceiling
                return
            del self.tenants[key]

    def _demand_and_capacity(self, request: Request) -> tuple[float, float]:
        """Return a request's demand and the capacity of one decay time: in units, or in slot-seconds."""
        plan, duration_s = request.tenant.plan, self.mean_duration_us[request.class_index] / US_PER_S
        decay_s = request.tenant.decay_us / US_PER_S
        if plan.rate_per_s:  # the rate that the limit on requests in flight permits is by Little's law
            return request.units, decay_s * min(
                TARGET_RATE_RATIO * plan.rate_per_s,
                plan.max_in_flight * request.units / duration_s or math.inf,
            )
        return duration_s, (
            TARGET_SLOTS_RATIO if request.tenant.has_more_gateways_than_slots else 1.0
        ) * plan.max_in_flight * decay_s

    def _admit_by_estimate(self, request: Request) -> None:
        """Admit a request with the probability that keeps the estimated total demand within the capacity."""
        plan = (tenant := request.tenant).plan
        demand, capacity = self._demand_and_capacity(request)
        total = tenant.estimated_total(demand) if capacity else 0.0
        tenant.refill(self.now)
        capacity = (
            max(0.0, capacity + TARGET_BURST_RATIO * tenant.burst_left) if plan.rate_per_s else capacity
        )
        if total > 0 and plan.max_in_flight and tenant.total_known_at >= 0:
            slots = self.mean_duration_us[request.class_index] / demand  # Little's law
            tenant.set_local_max_in_flight(
                slots * tenant.local_demand / tenant.local_decay_us, slots * total / tenant.decay_us
            )
            self._unblock(tenant)  # the limit may have risen
        rejection_probability = (
            max(0.0, 1.0 - capacity / total)
            if total > 0 and (plan.rate_per_s or tenant.has_more_gateways_than_slots)
            else 0.0
        )
        # Rejections are spread evenly, not drawn at random.
        admitted, tenant.admission_credit = divmod(tenant.admission_credit + 1.0 - rejection_probability, 1.0)
        (self._enqueue if admitted >= 1.0 else self._reject_or_fail)(request)

    def _enqueue(self, request: Request) -> None:
        tenant = request.tenant
        if tenant.quota_account and tenant.plan.max_in_flight and tenant.quota_account.total_known_at >= 0:
            # Little's law
            slots = self.mean_duration_us[request.class_index] / US_PER_S / request.units
            tenant.set_local_max_in_flight(
                slots * tenant.quota_account.local_rate_per_s(self.now),
                slots * tenant.quota_account.total_rate_per_s(self.now),
            )
            self._unblock(tenant)  # the limit may have risen
        request.queue_entry.cost = self.mean_duration_us[request.class_index]
        tenant.queued += 1
        for dropped in self.queue.push(
            self._value_band(request),
            tenant.key % len(self.settings.plans),
            tenant.key,
            request.queue_entry,
            tenant.plan.rate_per_s or tenant.plan.max_in_flight or 1.0,
            self.now,
        ):
            dropped.tenant.queued -= 1
            self._reject_or_fail(dropped)

    def _dispatch(self) -> None:
        """Send waiting requests in queue order, within the limits, ceilings and capacity of servers."""
        queue, first_band = self.queue, 0
        while queue.entries:
            entry = queue.head(max(first_band, bisect_right(BAND_WEIGHTS, self.in_flight / self.window)))
            if entry is None or entry.flow is None:  # until an attempt ends or a ceiling is refilled
                return self._schedule_dispatch() if first_band else None
            request, flow, tenant = entry.item, entry.flow, entry.item.tenant
            missing_units = request.units - tenant.refill(self.now) if tenant.plan.ceiling_rate_per_s else 0.0
            refilled_at = self.now + int(
                min(MAX_REFILL_WAIT_US, max(0.0, missing_units) / max(1e-9, tenant.ceiling_rate_per_us))
            )
            if missing_units > 0 and refilled_at > request.queue_until:  # too late
                self._reject_or_fail(request)
                continue
            if missing_units > 0 or (
                tenant.local_max_in_flight and tenant.in_flight >= tenant.local_max_in_flight
            ):
                queue.block(flow)
                tenant.blocked_flows.append(flow)
                if missing_units > 0 and tenant.next_unblock_at <= self.now:
                    tenant.next_unblock_at = refilled_at + DISPATCH_RETRY_US
                    self._schedule(tenant.next_unblock_at, self._unblock, tenant)
                continue
            # The band in which it was queued: its value may have changed since, and by a lower band it would
            # hold up the requests behind it.
            if not self._window_has_room(request, flow.band):
                first_band = flow.band + 1  # attempts of higher bands are spaced out less
                continue
            if (server := self._select_server(request)) is None:
                return self._schedule_dispatch()
            queue.serve(entry)
            tenant.queued -= 1
            tenant.charge_attempt(request.units, self._demand_and_capacity(request)[0])
            self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_RATIO)
            self._start_attempt(request, server)
            if self.zones.has_unhealthy_zone:
                self._send_zone_trial(request)
        queue.end_busy_period()

    def _schedule_dispatch(self) -> None:
        if self.next_dispatch_at <= self.now:
            self.next_dispatch_at = self.now + DISPATCH_RETRY_US
            self._schedule(self.next_dispatch_at, lambda _: None, None)

    def _unblock(self, tenant: Tenant) -> None:
        """Check a tenant's blocked flows again, as its limit or ceiling may have room."""
        while tenant.blocked_flows:
            self.queue.unblock(tenant.blocked_flows.pop())

    def _start_attempt(self, request: Request, server: Server) -> None:
        request.tenant.in_flight += 1
        if request.is_uploading and not request.attempts and request.tenant.plan.ceiling_rate_per_s:
            request.tenant.ceiling_capacity -= request.units  # see `_end_upload`
        request.attempts.append(attempt := Attempt(server, self.now))
        if self.zones.zones:
            self.unreported_attempts.append((request, attempt))
        server.in_flight, server.last_sent_at, server.first_use_at = server.in_flight + 1, self.now, -1
        self.in_flight, self.last_sent_at = self.in_flight + 1, self.now
        expected_us = self.mean_duration_us[request.class_index]
        if self._capacity_ratio(server) < 1.0:
            server.cold_work_sent.append((self.now, self._cold_work_us()))
            server.last_turn_used = server.open_turn
        self.actions.append(StartAttempt(request.id, server.entry.server_id))
        self._schedule(
            self.now + int(OVERDUE_DURATION_RATIO * expected_us), self._attempt_overdue, (request, attempt)
        )

    def _select_retry_server(self, request: Request) -> Server | None:
        """Return the server for a further attempt, or None where the request may not or need not be repeated.

        An attempt that may have been executed is repeated only if the class is safe, or keyed and within its
        deduplication window.
        """
        request_class = self.settings.classes[request.class_index]
        is_late = self.now + self.mean_duration_us[request.class_index] > min(
            request.deadline_at, request.arrived_at + request_class.latency_target_us
        )
        may_have_run = [t for t in request.attempts if t.may_have_run]
        if (
            request.is_ended
            or is_late
            or len(request.attempts) >= self.settings.max_attempts
            or self.retry_budget < 1.0
        ):
            return None
        if may_have_run and (
            request_class.idempotency is Idempotency.UNSAFE
            or (
                request_class.idempotency is Idempotency.KEYED
                and self.now - may_have_run[0].started_at >= request_class.dedup_window_us
            )
        ):
            return None
        return (
            self._select_server(request)
            if self._window_has_room(request, self._value_band(request))
            else None
        )

    def _retry(self, request: Request) -> bool:
        if server := self._select_retry_server(request):
            self.retry_budget -= 1.0
            self._start_attempt(request, server)
        return server is not None

    def _record_outcome(
        self, attempt: Attempt, succeeded: bool, relative_duration: float | None, *plans: Plan | None
    ) -> None:
        if attempt.started_at >= self.resumed_at:  # others were delayed by a stall of this process
            server, entry = attempt.server, attempt.server.entry
            if (
                None in plans
                and not succeeded
                and (relative_duration is None or self._capacity_ratio(server) >= 1.0)
            ):
                self._call_zone_counters(
                    self.zones.record_failure(entry.zone, entry.server_id, attempt.started_at, self.now)
                )
            for plan in plans:  # None: the server as a whole
                server.failure_rates[plan] += FAILURE_WEIGHT * (
                    (0.0 if succeeded else 1.0) - server.failure_rates[plan]
                )
            server.relative_duration += (
                MEAN_WEIGHT * (min(relative_duration, OVERDUE_DURATION_RATIO) - server.relative_duration)
                if relative_duration is not None
                else 0.0
            )

    def _attempt_overdue(self, subject: tuple[Request, Attempt]) -> None:
        """Count an attempt that lasts too long against its server, long before its timeout."""
        request, attempt = subject
        if attempt.is_in_flight and not (request.is_uploading or attempt.is_streaming):
            # A failure only where the server has answered no other attempt since.
            has_succeeded_since = attempt.server.last_success_at > attempt.started_at
            self._record_outcome(attempt, has_succeeded_since, OVERDUE_DURATION_RATIO, None)
            self._hedge(request, attempt)

    def _hedge(self, request: Request, attempt: Attempt) -> None:
        """Start another attempt beside one that may be lost, or cancel that one to retry at its end."""
        if self.settings.may_hedge:
            self._retry(request)
        elif self.settings.may_cancel and self._select_retry_server(request):
            self.actions.append(CancelAttempt(request.id, request.attempts.index(attempt)))

    def _record_success(self, request: Request, attempt: Attempt, duration_us: int) -> None:
        """Update server, zone, window and class from a successful response or its first bytes."""
        server, expected_us = attempt.server, self.mean_duration_us[request.class_index]
        server.last_success_at = self.now
        self._call_zone_counters(
            self.zones.record_success(server.entry.zone, server.entry.server_id, attempt.started_at, self.now)
        )
        is_late = (
            duration_us > FAST_LATENCY_RATIO * self.settings.classes[request.class_index].latency_target_us
        )
        # The window settles where this is the square root of the ratio of fast to late responses.
        relative_window = self.window / self.usual_window
        step = -min(self.window, relative_window) if is_late else min(self.window, 1.0 / relative_window)
        # Long durations at a cold server do not indicate a queue.
        step = 0.0 if self.is_large_fleet and self._capacity_ratio(server) < 1.0 else step
        # One of many gateways must not narrow far for a few late responses, which it has not caused itself.
        min_window = (
            self.usual_window + MIN_WINDOW_DEVIATIONS * math.sqrt(self.usual_window)
            if self.is_large_fleet
            else MEAN_WEIGHT
        )
        self.window = max(
            min_window, min(max(2.0, MAX_WINDOW_RATIO * self.usual_window), self.window + MEAN_WEIGHT * step)
        )
        self._record_outcome(attempt, True, duration_us / expected_us, None, request.tenant.plan)
        self.mean_duration_us[request.class_index] = expected_us + MEAN_WEIGHT * (
            min(duration_us, MAX_SAMPLE_RATIO * expected_us) - expected_us
        )
        min_us = self.min_duration_us[request.class_index] or duration_us
        self.min_duration_us[request.class_index] = min(
            float(duration_us), min_us + SLOW_MEAN_WEIGHT * (expected_us - min_us)
        )

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if (
            request is None
            or event.attempt_index >= len(request.attempts)
            or not request.attempts[event.attempt_index].is_in_flight
        ):
            return
        tenant, attempt = request.tenant, request.attempts[event.attempt_index]
        server, expected_us = attempt.server, self.mean_duration_us[request.class_index]
        tenant.in_flight -= 1
        attempt.is_in_flight, attempt.may_have_run = False, event.result not in NOT_EXECUTED_RESULTS
        if not attempt.is_streaming:
            server.in_flight, self.in_flight = server.in_flight - 1, self.in_flight - 1
        if event.result is Result.OK and not attempt.is_streaming:
            self._record_success(request, attempt, event.duration_us)
        elif event.result not in (Result.OK, Result.CANCELLED, Result.NOT_SENT) and (
            event.result is not Result.TIMED_OUT or event.duration_us >= OVERDUE_DURATION_RATIO * expected_us
        ):  # an earlier timeout was the request's own deadline
            self._record_outcome(
                attempt, False, None, tenant.plan if event.result is Result.REJECTED else None
            )
        if load := event.load_report:
            reported = (
                load.in_flight if load.in_flight is not None else (load.queued or 0.0) + (load.busy or 0.0)
            )
            server.others_in_flight, server.load_reported_at = max(0.0, reported - server.in_flight), self.now
            if load.service_ms and self._capacity_ratio(server) >= 1.0:
                service_us = load.service_ms * 1000.0
                # Loaded servers take longer for the same work, so the estimate rises slowly.
                step = MEAN_WEIGHT if service_us < self.service_time_us else SLOW_MEAN_WEIGHT
                self.service_time_us += (
                    step * (service_us - self.service_time_us) if self.service_time_us else service_us
                )
        if event.request_ended or request.is_ended:
            self._end_request(request)
        elif not (any(t.is_in_flight for t in request.attempts) or self._retry(request)):
            self._reject_or_fail(request)
        self._unblock(tenant)

    def _reject_or_fail(self, request: Request) -> None:
        """Answer finally: a rejection if the client may safely retry, else an error."""
        request_class = self.settings.classes[request.class_index]
        is_repeatable = request_class.idempotency is Idempotency.SAFE or (
            request_class.idempotency is Idempotency.KEYED and request_class.dedup_scope is DedupScope.ALL
        )
        may_retry = is_repeatable or not any(t.may_have_run for t in request.attempts)
        self.actions.append(RejectRequest(request.id) if may_retry else FailRequest(request.id))
        self._end_request(request)

    def _stream_started(self, event: StreamStarted) -> None:
        """Count a streaming attempt as in flight for its tenant only; its server has done its work."""
        if (
            (request := self.requests.get(event.request_id))
            and event.attempt_index < len(request.attempts)
            and (attempt := request.attempts[event.attempt_index]).is_in_flight
        ):
            attempt.is_streaming, attempt.server.in_flight, self.in_flight = (
                True,
                attempt.server.in_flight - 1,
                self.in_flight - 1,
            )
            self._record_success(request, attempt, event.duration_us)
            self._end_request(request)

    def _end_request(self, event: Request | RequestEnded) -> None:
        """End a request that is answered or abandoned; keep it while attempts are in flight."""
        request = event if isinstance(event, Request) else self.requests.get(event.request_id)
        if request is None:
            return
        request.is_ended = True
        if request.is_uploading:
            self._end_upload(request)
        if not request.attempts and request.claim and (account := request.tenant.quota_account):
            self._make_quota_calls(request.tenant, account.return_claim(request.claim, self.now))
            request.claim = None
        if request.queue_entry.flow:
            self.queue.remove(request.queue_entry)
            request.tenant.queued -= 1
        if not any(t.is_in_flight for t in request.attempts):
            self.requests.pop(request.id, None)

    def _request_timed_out(self, request: Request) -> None:
        if request.is_ended or (request.is_uploading and request.attempts):
            return
        flow = request.queue_entry.flow
        if self.now >= request.answer_by or (
            flow and (not flow.is_blocked or self.now >= request.queue_until)
        ):
            self._reject_or_fail(request)
        else:  # in flight, or waiting for the counter or for its tenant's limits
            self._schedule(
                request.queue_until if self.now < request.queue_until else request.answer_by,
                self._request_timed_out,
                request,
            )

    def _report_demand(self, request: Request) -> None:
        """Add the unreported demand to the tenant's counter; the request waits for the total."""
        tenant = request.tenant
        index, elapsed_us = divmod(self.now - tenant.phase_us, tenant.name_period_us)
        name = (tenant.key << 24) | (index % 2**24)
        self.demand_calls.setdefault(name, deque()).append((request, tenant.unreported_demand, index))
        amount = tenant.unreported_demand * math.exp(elapsed_us / tenant.decay_us)
        self.actions.append(
            AddToCounter(name, amount, tenant.name_period_us + COUNTER_NAME_GRACE_S * US_PER_S)
        )
        tenant.unreported_demand = 0.0

    def _quota_call_answered(self, event: CounterAnswered) -> None:
        """Process the answer to a call of a quota account."""
        calls = self.quota_calls[event.counter_name]
        tenant, call, request = calls.popleft()
        if not calls:
            del self.quota_calls[event.counter_name]
        account, waiting_request = tenant.quota_account, request if request and not request.is_ended else None
        assert account is not None
        if event.result is Result.OK:
            self.counter_overload.answered()
            is_first = account.total_known_at < 0
            holds, next_calls = account.counter_answered(call, event.total, self.now)
            self._make_quota_calls(tenant, next_calls, request if holds is None else None)
            if is_first and (ceiling_rate_per_s := tenant.plan.ceiling_rate_per_s):
                # As in `Tenant.record_total`.
                share = 0.5 - account.total_rate_per_s(self.now) / ceiling_rate_per_s
                tenant.ceiling_tokens = max(tenant.ceiling_tokens, tenant.ceiling_capacity * share)
            if waiting_request and holds:
                waiting_request.claim = call
                self._enqueue(waiting_request)
            elif waiting_request and holds is False:
                self._reject_or_fail(waiting_request)
            elif request and holds:
                self._make_quota_calls(tenant, account.return_claim(call, self.now))
        elif event.result is Result.REJECTED:
            self.counter_overload.rejected()
            if waiting_request:  # its client retries, which is better than a repeated call here
                self._reject_or_fail(waiting_request)
        else:
            self.counter_overload.unanswered()
            if waiting_request:
                self._admit_locally(waiting_request)

    def _counter_answered(self, event: CounterAnswered) -> None:
        if event.counter_name in self.quota_calls:
            return self._quota_call_answered(event)
        if zone_calls := self.zone_calls.get(event.counter_name):
            zone_call = zone_calls.popleft()
            if not zone_calls:
                del self.zone_calls[event.counter_name]
            if event.result is Result.OK:
                self._call_zone_counters(self.zones.receive_count(zone_call, event.total, self.now))
            return
        if not (calls := self.demand_calls.pop(event.counter_name, None)):
            return
        request, amount, index = calls.popleft()
        self.demand_calls |= {event.counter_name: calls} if calls else {}
        is_answered, tenant = event.result is Result.OK, request.tenant
        self.counter_backoff_factor = min(
            MAX_COUNTER_BACKOFF,
            max(
                1.0,
                self.counter_backoff_factor
                * (COUNTER_BACKOFF_DECREASE if is_answered else COUNTER_BACKOFF_INCREASE),
            ),
        )
        if is_answered:
            tenant.record_total(event.total, index, self._demand_and_capacity(request)[1], self.now)
        elif event.result is not Result.TIMED_OUT:
            tenant.unreported_demand += amount
        if not request.is_ended:
            self._admit_by_estimate(request)
