"""The decisions of one gateway. Settings, events and actions are in `interface.py`; read it first.

The ordinary path is the demand split of Padala et al. (port allocator); see
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
from irisdeal.front_door.decisions.tenant import MAX_ESTIMATING_GATEWAYS, NEAR, SECOND, Tenant
from irisdeal.front_door.queueing.fair_queue import FairQueue
from irisdeal.front_door.quota.counter_calls import CounterCall
from irisdeal.front_door.quota.counter_overload import AdmissionPath, CounterOverload
from irisdeal.front_door.quota.quota_account import QuotaAccount
from irisdeal.front_door.zones.belief import Word, Zones

ROOM, FILL, LEFT = 0.90, 0.7, 0.5  # parts that the chance aims at: of rate, cap, what is left of a burst
TELLERS = 25  # gateways that tell in one interval
KNOWN_FOR, FORGOTTEN = 20_000_000, 4  # a total so old says little; customers forgotten at most for an arrival
STRAIN_MOST, STRAIN_UP, STRAIN_DOWN = 20.0, 1.15, 0.80  # failed calls, once most fail, spare further ones
FIRST_WORK_SHARE = 1 / 6  # a class's service time before any answer, as a share of its aim: high on purpose
CALL_PATIENCE = 4  # counter time-outs that a claim is waited for, where a front door can: late, it counts
STALL, NO_SERVER_PAUSE = 100_000, 20_000  # woken so late, we stood still; held requests look again after this
SLOW = 2.0  # usual times after which an attempt speaks against its zone: one in ten takes so long
ZONES_EVERY = 50_000  # how often it is looked after zones in trouble
LEARN, LEARN_BAD = 0.1, 0.25  # weight of a new sample: in averages; in failures, which must show fast
CREEP = 0.01  # part of the way to the usual time that the least one creeps up with each good answer
PATIENCE = 4.0  # an attempt out for so many usual times counts against its server
GOOD_SHARE = 0.35  # an answer in this share of its aim widens the window of attempts, a later one narrows it
WINDOW, WIDEST = 2.0, 4.0  # attempts of all for each server while half the answers are good; most times that
FIRST_USE = 3_000_000  # doors of many draw when, in this time, each first uses one that is back by hand
SPARE = 2.0  # square roots of its usual window that a gateway of many keeps beside it, for its own chance
LOOK = 16  # servers compared for a request, drawn at random: many gateways with one favourite would drown it
FADE = 0.1  # share of a server's bad name forgotten each second unused, so that it is tried again
# Bands of worth for the time: the window is so many times as wide for each, and they share it by this weight,
# half to double, as cheap plans must not starve.
BANDS = tuple(2.0 ** (n / 4 - 1.0) for n in range(9))
MOST_WAITING, MOST_BYTES, MOST_QUEUES = 4096, 8 << 20, 8192  # a door of 32 MB has some 16 for all of it
LEAST_WORK = 20_000.0  # µs that a turn at a cold server is worth at least
COLD_MARGIN = 0.6  # part of the budget for a cold server that is used: work sizes vary
CROSSING_LEAN = 1.5  # how much faster a server in another zone must look, where crossing costs
AGAIN_SHARE, AGAIN_MOST = 0.1, 10.0  # further attempts per first, and saved up: no swelling of an overload
HOLD_SHARE, HOLD_MOST = 0.6, 0.4  # of the aim's spare time that a request may wait for its bound; of its own
QUEUE_SHARE = 0.2  # the same for a wait for the fleet: a standing queue is delay for all (RFC 8289, 3.2)
NOT_EXECUTED_RESULTS = (Result.TURNED_AWAY, Result.NOT_CONNECTED, Result.NOT_SENT)


class Gateway:
    """All decisions of one front door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.servers: dict[bytes, Server] = {}
        self.ready_servers: list[Server] = []
        self.disabled_servers: dict[bytes, int] = {}  # left out by hand, and since when
        self.ceiling_share, self.may_use_cold_servers = (
            1.0,
            True,
        )  # beside another process of this door: less, and one of them
        self.last_timer_sequence, self.timer_at, self.resumed_at, self.now, self.started_at = 0, 0, -1, -1, -1
        self.in_flight, self.last_sent_at = 0, -SECOND
        self.window, self.usual_window = WIDEST, 1.0  # most attempts of ours at once: queues stay short
        self.next_zone_check_at = 0
        self.unreported_attempts: deque[tuple[Request, Attempt]] = (
            deque()
        )  # attempts that may yet be slow, as sent
        self.next_dispatch_at = 0  # when those that wait are looked at again whatever happens
        self.queue: FairQueue[Request] = FairQueue(BANDS, MOST_WAITING, MOST_BYTES, MOST_QUEUES)
        self.tenants: dict[tuple[int, int], Tenant] = {}
        self.requests: dict[int, Request] = {}
        self.demand_calls: dict[int, deque[tuple[Request, float, int]]] = {}
        self.quota_calls: dict[int, deque[tuple[Tenant, CounterCall, Request | None]]] = {}
        self.counter_overload = CounterOverload()
        self.zone_calls: dict[int, deque[Word]] = {}
        self.zones = Zones(
            settings.gateway_count,
            settings.collapse_load_ratio,
            settings.start_capacity_ratio,
            settings.warm_up_us,
            settings.may_hedge and settings.max_attempts > 1,
            random.Random(seed + 1),
        )
        self.mean_duration_us = [c.latency_target_us * FIRST_WORK_SHARE for c in settings.classes]
        self.min_duration_us = [
            0.0 for _ in settings.classes
        ]  # least time that an answer of late took, creeping up
        self.is_large_fleet = (
            settings.gateway_count > MAX_ESTIMATING_GATEWAYS
        )  # where cold servers are used by turns throughout
        self.service_time_us = (
            0.0  # µs that serving takes by the servers' own word, without waiting; 0: not heard
        )
        self.retry_budget, self.counter_backoff_factor, self.initial_work_us = (
            AGAIN_MOST,
            1.0,
            max(self.mean_duration_us),
        )
        self.mean_value_per_us = (
            sum(c.value / c.latency_target_us for c in settings.classes)
            / len(self.mean_duration_us)
            / FIRST_WORK_SHARE
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
        """Take what happened by `now`; return what to do, in order."""
        self.resumed_at = now if self.timers and now > self.timer_at + STALL else self.resumed_at
        self.now, self.actions = now, []
        if self.started_at < 0:
            self.started_at = now
            self.actions += [] if self.settings.server_list_is_pushed else [WatchServerList()]
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        self._report_slow_attempts()
        if self.zones.troubled:
            self._update_zones()
        self._dispatch()  # before time-outs: who can be sent in this turn is not refused in it
        while self.timers and self.timers[0][0] <= now:
            _, _, action, subject = heapq.heappop(self.timers)
            action(subject)
        self._dispatch()
        if self.timers and not now < self.timer_at <= self.timers[0][0]:
            self.timer_at = self.timers[0][0]
            self.actions.append(SetTimer(self.timer_at - now))
        return self.actions

    def _schedule(self, when: int, action: Callable[[Any], None], subject: Any) -> None:
        self.last_timer_sequence += 1  # keeps the order of equal times
        heapq.heappush(self.timers, (when, self.last_timer_sequence, action, subject))

    def _classes_changed(self, event: ClassesChanged) -> None:
        old, kinds = self.settings.classes, event.classes
        if len(kinds) < len(old):
            raise ValueError(f"classes are {len(kinds)}: wanted no fewer than the {len(old)} known")
        kept = [
            self.mean_duration_us[n] if n < len(old) and old[n] == kind else None
            for n, kind in enumerate(kinds)
        ]
        self.mean_duration_us = [
            kinds[n].latency_target_us * FIRST_WORK_SHARE if u is None else u for n, u in enumerate(kept)
        ]
        self.min_duration_us = [0.0 if u is None else self.min_duration_us[n] for n, u in enumerate(kept)]
        self.settings = replace(self.settings, classes=kinds)

    def _request_class_changed(self, event: RequestClassChanged) -> None:
        if request := self.requests.get(event.request_id):
            old, new = (self.settings.classes[n] for n in (request.class_index, event.class_index))
            if (order := list(Idempotency)).index(new.idempotency) < order.index(old.idempotency):
                raise ValueError(
                    f"request {event.request_id} would be {new.idempotency.value}: wanted no milder"
                )
            request.class_index = event.class_index

    def _update_servers(self, event: ServerList) -> None:
        if event.kind is ServerListKind.FAILED:
            return self._schedule(self.now + SECOND, lambda _: self.actions.append(WatchServerList()), None)
        if event.kind is not ServerListKind.CHANGES:  # absent from a full list: gone
            named = {entry.server_id for entry in event.entries}
            self.servers = {key: server for key, server in self.servers.items() if key in named}
        for entry in event.entries:
            server = self.servers.get(entry.server_id)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.server_id, None)
            elif (
                server is None or server.listed_started_at != entry.started_at
            ):  # a restart begins a fresh record
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
            self._call_zone_counters(self.zones.listed(zones, self.now))
            self.ready_servers = [s for s in self.ready_servers if self.zones.share(s.entry.zone, self.now)]
        usual = WINDOW * max(1, len(self.ready_servers)) / self.settings.gateway_count
        self.window, self.usual_window = self.window * usual / self.usual_window, usual

    def _report_slow_attempts(self) -> None:
        """Out for twice the usual time, or over: evidence on zones, with no timer of its own."""
        while self.unreported_attempts:
            request, attempt = self.unreported_attempts[0]
            if (
                attempt.is_in_flight
                and self.now - attempt.started_at < SLOW * self.mean_duration_us[request.class_index]
            ):
                return
            self.unreported_attempts.popleft()
            cold = self._capacity_ratio(attempt.server) < 1.0  # slow it may be, and is not lost
            if (
                attempt.is_in_flight
                and attempt.started_at >= self.resumed_at
                and not (request.is_uploading or attempt.is_streaming or cold)
            ):
                entry = attempt.server.entry
                self._call_zone_counters(
                    self.zones.fails(entry.zone, entry.server_id, attempt.started_at, self.now)
                )

    def _update_zones(self) -> None:
        """Some zone is left, comes back, or is suspected."""
        self._call_zone_counters(self.zones.due(self.now))
        if changed := self.zones.settle(self.now):
            self._update_ready_servers()
            self.actions += [LogMessage(self.zones.text(zone)) for zone in changed]
            for server in self.servers.values():  # its marks are the zone's, and gone with them
                if server.entry.zone in changed:
                    server.failure_rates.clear()
            for request in list(self.requests.values()):  # what is out in a zone that was left just now
                done = request.is_ended or request.is_uploading
                out = [t for t in request.attempts if t.is_in_flight and not (t.is_streaming or done)]
                if out and not any(self.zones.share(t.server.entry.zone, self.now) for t in out):
                    self._hedge(request, out[-1])
        if self.zones.troubled and self.next_zone_check_at <= self.now:
            self.next_zone_check_at = self.now + ZONES_EVERY
            self._schedule(self.next_zone_check_at, lambda _: None, None)

    def _call_zone_counters(self, words: list[Word]) -> None:
        for word in words if self.settings.has_counter else []:
            self.zone_calls.setdefault(word.name, deque()).append(word)
            self.actions.append(
                AddToCounter(
                    word.name, word.amount, word.life, CALL_PATIENCE * self.settings.counter_timeout_us
                )
            )

    def _send_zone_trial(self, request: Request) -> None:
        """A second attempt at a zone that is left, beside one of a request that may be repeated."""
        safe = self.settings.classes[request.class_index].idempotency is Idempotency.SAFE and not (
            request.is_uploading or request.tenant.plan.max_in_flight
        )  # it would count among what is out
        if safe and self.zones.trials and (zone := self.zones.trial(self.now)) is not None:
            able = [
                s
                for key, s in self.servers.items()
                if s.entry.zone == zone
                and key not in self.disabled_servers
                and s.entry.state is ServerState.READY
            ]
            able = [
                s
                for s in able
                if (w := self._capacity_ratio(s)) == 1.0
                or (self.may_use_cold_servers and self._has_cold_budget(s, w))
            ]
            if able:
                self.zones.tried(zone, self.now)
                self._start_attempt(request, self.random.choice(able))

    def _server_admin_state_changed(self, event: ServerAdminStateChanged) -> None:
        if event.is_disabled:
            self.disabled_servers.setdefault(event.server_id, self.now)
        elif (since := self.disabled_servers.pop(event.server_id, None)) is not None and (
            server := self.servers.get(event.server_id)
        ):
            # It was restarted meanwhile, perhaps just now: cold from now on, until the list knows better.
            entry, told = server.entry, server.listed_started_at
            server = Server(replace(entry, started_at=self.now) if entry.started_at <= since else entry)
            server.listed_started_at, self.servers[event.server_id] = told, server
            server.first_use_at = self.now + int(self.is_large_fleet * FIRST_USE * self.random.random())
        self._update_ready_servers()

    def _ceiling_share_changed(self, event: CeilingShareChanged) -> None:
        times, self.ceiling_share, self.may_use_cold_servers = (
            event.ceiling_share / self.ceiling_share,
            event.ceiling_share,
            event.may_use_cold_servers,
        )
        for customer in self.tenants.values():
            customer.scale_ceiling(times, self.now)

    def _request_body_received(self, event: RequestBodyReceived) -> None:
        """Its time counts from now: its answer's, and that of what was sent with its body on the way."""
        if (request := self.requests.get(event.request_id)) and not request.is_ended and request.is_uploading:
            self._end_upload(request)
            request.arrived_at, request.deadline_at = self.now, self.now + event.time_left_us
            request.answer_by = max(self.now, request.deadline_at - 2 * self.settings.tick_us)
            self._schedule(request.answer_by, self._request_timed_out, request)
            for attempt in [t for t in request.attempts if t.is_in_flight]:
                attempt.started_at, patience = (
                    self.now,
                    int(PATIENCE * self.mean_duration_us[request.class_index]),
                )
                self._schedule(self.now + patience, self._attempt_overdue, (request, attempt))

    def _end_upload(
        self, request: Request
    ) -> None:  # units of a ceiling count from here: room for them again
        if request.attempts and request.tenant.plan.ceiling_rate_per_s:
            request.tenant.refill(self.now)  # what flowed in meanwhile had no room beyond that
            request.tenant.ceiling_capacity += request.units
        request.is_uploading = False

    def _capacity_ratio(self, server: Server) -> float:  # the least share of its capacity that it has by now
        part = max(0, self.now - server.entry.started_at) / max(1, self.settings.warm_up_us)
        return min(
            1.0, self.settings.start_capacity_ratio + (1.0 - self.settings.start_capacity_ratio) * part
        )

    def _cold_work_us(
        self,
    ) -> float:  # learnt: by the first guess, which is high, a fleet leaves the cold idle
        return (
            min(self.initial_work_us, max(LEAST_WORK, self.service_time_us))
            if self.service_time_us
            else self.initial_work_us
        )

    def _has_cold_budget(self, server: Server, warmth: float) -> bool:
        """Our part of what a cold server may be sent, taken to have one core: even, or by turns."""
        s, work, rate = self.settings, self._cold_work_us(), COLD_MARGIN * self.settings.collapse_load_ratio
        if (budget := rate * warmth * s.collapse_window_us / s.gateway_count) >= work:
            return (
                work + sum(w for at, w in server.cold_work_sent if at > self.now - s.collapse_window_us)
                <= budget
            )
        # All gateways number the turns alike; ours stays open for half a window, so turns are as much fewer.
        turn = int(
            rate / 1.5 * (s.start_capacity_ratio + warmth) / 2 * (self.now - server.entry.started_at) / work
        )
        behind = (turn - s.rank - int.from_bytes(server.entry.server_id)) % s.gateway_count
        ago = behind * work * 1.5 / (rate * warmth)
        if 0 <= server.first_use_at <= self.now:  # its first use, for which no turn may come for long
            return True
        server.open_turn = turn - behind
        taken = (
            server.open_turn <= server.last_turn_used
            if self.is_large_fleet
            else server.last_sent_at >= self.now - ago
        )
        return ago <= s.collapse_window_us / 2 and not taken

    def _request_value(self, request: Request) -> float:
        return (
            self.settings.classes[request.class_index].value
            * request.tenant.plan.value_factor
            * request.units
        )

    def _value_band(self, request: Request) -> int:
        """Its worth for its time beside that of all, as a band."""
        favour = (
            self._request_value(request) / self.mean_duration_us[request.class_index] / self.mean_value_per_us
        )
        return min(len(BANDS) - 1, max(0, round(4.0 * math.log2(max(1e-9, favour)) + 4.0)))

    def _window_has_room(self, request: Request, band: int) -> bool:  # the window, for a request of that band
        window: float = self.window * BANDS[band]
        return self.in_flight < window and (
            window >= 1.0
            or self.now - self.last_sent_at >= self.mean_duration_us[request.class_index] / window
        )

    def _select_server(self, request: Request) -> Server | None:
        """The server that should finish first, failures counted as an aim lost."""
        rule, usual = self.settings.classes[request.class_index], self.mean_duration_us[request.class_index]
        ready, tied = (
            self.ready_servers,
            next((t.server.entry for t in request.attempts if t.may_have_run), None),
        )
        if (
            tied and rule.idempotency is Idempotency.KEYED and rule.dedup_scope is not DedupScope.ALL
        ):  # rule 2
            zonal = rule.dedup_scope is DedupScope.ZONE
            ready = [s for s in ready if (s.entry.zone == tied.zone if zonal else s.entry.cell == tied.cell)]
        # A turn at a cold server is rare and short: all of them are looked at.
        cold = [
            s
            for s in ready
            if s.first_use_at >= 0
            or (self.is_large_fleet and s.entry.started_at and self._capacity_ratio(s) < 1.0)
        ]
        ready = self.random.sample(ready, min(LOOK, len(ready))) + cold
        tried, best, least = [t.server for t in request.attempts], None, math.inf
        for server in (s for s in ready if s not in tried):
            if self.zones.troubled and self.random.random() >= self.zones.share(server.entry.zone, self.now):
                continue
            warmth = self._capacity_ratio(server)
            if warmth < 1.0 and not (self.may_use_cold_servers and self._has_cold_budget(server, warmth)):
                continue
            others = server.others_in_flight * max(0.0, 1.0 - (self.now - server.load_reported_at) / SECOND)
            kept = (1.0 - FADE) ** ((self.now - server.last_sent_at) / SECOND)
            cost = (
                usual
                * (1.0 + (server.relative_duration - 1.0) * kept)
                * (1.0 + server.in_flight + others)
                / warmth
            )
            cost += (
                (server.failure_rates[None] + server.failure_rates[request.tenant.plan])
                * kept
                * rule.latency_target_us
            )
            # Turns are rare, and who has one of many gateways finds the server nearly idle.
            soon = self.service_time_us or usual
            cost *= warmth / 2 if warmth < 1.0 and soon < warmth * rule.latency_target_us / 2 else 1.0
            cost *= 0.0 if 0 <= server.first_use_at <= self.now else 1.0  # chosen, not left to chance
            if self.settings.cross_zone_cost and server.entry.zone != self.settings.zone:
                cost *= CROSSING_LEAN
            cost *= 1.0 + 0.05 * self.random.random()  # so that gateways do not herd
            if cost < least:
                best, least = server, cost
        return best

    def _request_arrived(self, event: RequestArrived) -> None:
        self.settings.validate_request(event)
        key = (event.account_id, event.plan_index)  # a stranger's plan must not become this customer's
        if not (customer := self.tenants.pop(key, None)):
            customer = Tenant(event, self.settings, self.now, self.started_at, self.ceiling_share)
            customer.admission_credit = self.random.random()
        self.tenants[key] = customer  # in the order of their last requests
        request = self.requests[event.request_id] = Request(event, customer, self.now, self.settings.tick_us)
        rule, usual = self.settings.classes[request.class_index], self.mean_duration_us[request.class_index]
        hold = max(0, int(min((rule.latency_target_us - usual) * HOLD_SHARE, event.time_left_us * HOLD_MOST)))
        request.queue_until = min(request.answer_by, self.now + hold)
        self._schedule(
            min(request.answer_by, self.now + int(hold * QUEUE_SHARE / HOLD_SHARE)),
            self._request_timed_out,
            request,
        )
        if event.time_left_us < self.min_duration_us[request.class_index] or (
            self.disabled_servers and not self.ready_servers
        ):  # none can; may
            return self._reject_or_fail(request)
        self.mean_value_per_us += LEARN / 10 * (self._request_value(request) / usual - self.mean_value_per_us)
        weight, room = self._demand_and_capacity(request)
        customer.record_demand(weight, self.now)
        self._discard_idle_tenants()
        if customer.quota_account:
            return self._decide_by_quota_account(request, customer.quota_account, event.is_retry)
        age = self.now - customer.total_known_at if customer.total_known_at >= 0 else KNOWN_FOR
        spare = customer.decay_us * min(1.0, customer.gateway_count / TELLERS) * self.counter_backoff_factor
        if age >= KNOWN_FOR:
            call = self.random.random() * self.counter_backoff_factor < 1.0
            # One that calls speaks for those that do not: once, and for no more than what it asks itself.
            customer.unreported_demand += weight * (self.counter_backoff_factor - 1.0) if call else -weight
        else:
            near = (
                NEAR * room < customer.estimated_total(weight) * self.counter_backoff_factor
                and customer.estimated_total(weight) < room
            )
            call = age > (spare / 4 if near else spare)
        (self._report_demand if call and self.settings.has_counter and room else self._admit_by_estimate)(
            request
        )

    def _decide_by_quota_account(self, request: Request, account: QuotaAccount, again: bool) -> None:
        """The count decides, unless what it told before does, or it has no time."""
        account.record_demand(request.units, self.now)
        if account.rejects_without_call(self.now, self.random.random()):
            return self._reject_or_fail(request)
        way = self.counter_overload.admission_path(again, self.random.random())
        if way is AdmissionPath.CLAIM:
            claim = account.claim(request.units, self.now, self.random.random())
            self._make_quota_calls(request.tenant, [claim], request)
        else:
            (self._admit_locally if way is AdmissionPath.LOCAL else self._reject_or_fail)(request)

    def _admit_locally(self, request: Request) -> None:
        alone = request.tenant.quota_account and request.tenant.quota_account.admit_locally(
            request.units, self.now
        )
        (self._enqueue if alone else self._reject_or_fail)(request)

    def _make_quota_calls(
        self, customer: Tenant, calls: list[CounterCall], request: Request | None = None
    ) -> None:
        for call in calls:
            self.quota_calls.setdefault(call.name, deque()).append((customer, call, request))
            self.actions.append(
                AddToCounter(
                    call.name, call.amount, call.lifetime_us, CALL_PATIENCE * self.settings.counter_timeout_us
                )
            )

    def _discard_idle_tenants(self) -> None:
        for _ in range(FORGOTTEN):
            oldest = self.tenants[key := next(iter(self.tenants))]
            if (
                self.now - oldest.last_request_at <= KNOWN_FOR
                or oldest.in_flight
                or oldest.queued
                or oldest.refill(self.now) < oldest.ceiling_capacity
            ):  # a ceiling is not given back early
                return
            del self.tenants[key]

    def _demand_and_capacity(self, request: Request) -> tuple[float, float]:
        """What a request asks and the room for all in one interval: units, or slots times seconds."""
        plan, took = request.tenant.plan, self.mean_duration_us[request.class_index] / SECOND
        interval = request.tenant.decay_us / SECOND
        if plan.rate_per_s:  # a cap passes so much: Little's law
            return request.units, interval * min(
                ROOM * plan.rate_per_s, plan.max_in_flight * request.units / took or math.inf
            )
        return took, (
            FILL if request.tenant.has_more_gateways_than_slots else 1.0
        ) * plan.max_in_flight * interval

    def _admit_by_estimate(self, request: Request) -> None:  # the companion's chance, then the bound
        plan = (customer := request.tenant).plan
        weight, room = self._demand_and_capacity(request)
        total = customer.estimated_total(weight) if room else 0.0
        customer.refill(self.now)
        room = max(0.0, room + LEFT * customer.burst_left) if plan.rate_per_s else room
        if total > 0 and plan.max_in_flight and customer.total_known_at >= 0:
            slots = self.mean_duration_us[request.class_index] / weight  # by Little's law, and as a mean
            customer.set_max_in_flight(
                slots * customer.local_demand / customer.local_decay_us, slots * total / customer.decay_us
            )
            self._unblock(customer)  # its bound may have grown
        chance = (
            max(0.0, 1.0 - room / total)
            if total > 0 and (plan.rate_per_s or customer.has_more_gateways_than_slots)
            else 0.0
        )
        passes, customer.admission_credit = divmod(
            customer.admission_credit + 1.0 - chance, 1.0
        )  # spread evenly
        (self._enqueue if passes >= 1.0 else self._reject_or_fail)(request)

    def _enqueue(self, request: Request) -> None:
        customer = request.tenant
        if (
            customer.quota_account
            and customer.plan.max_in_flight
            and customer.quota_account.total_known_at >= 0
        ):
            slots = (
                self.mean_duration_us[request.class_index] / SECOND / request.units
            )  # by Little's law, and as a mean
            customer.set_max_in_flight(
                slots * customer.quota_account.local_rate_per_s(self.now),
                slots * customer.quota_account.total_rate_per_s(self.now),
            )
            self._unblock(customer)  # its bound may have grown
        request.queue_entry.cost = self.mean_duration_us[request.class_index]
        customer.queued += 1
        for other in self.queue.push(
            self._value_band(request),
            customer.key % len(self.settings.plans),
            customer.key,
            request.queue_entry,
            customer.plan.rate_per_s or customer.plan.max_in_flight or 1.0,
            self.now,
        ):
            other.tenant.queued -= 1
            self._reject_or_fail(other)

    def _dispatch(self) -> None:
        """Send those that wait, each in its turn, while bounds, ceilings and servers allow."""
        queue, closed = self.queue, 0
        while queue.entries:
            entry = queue.head(max(closed, bisect_right(BANDS, self.in_flight / self.window)))
            if entry is None or entry.flow is None:  # an attempt's end or a store's refill opens the way
                return self._schedule_dispatch() if closed else None
            request, flow, customer = entry.item, entry.flow, entry.item.tenant
            lack = request.units - customer.refill(self.now) if customer.plan.ceiling_rate_per_s else 0.0
            ready = self.now + int(min(1e9, max(0.0, lack) / max(1e-9, customer.ceiling_rate_per_us)))
            if lack > 0 and ready > request.queue_until:  # nothing to wait for
                self._reject_or_fail(request)
                continue
            if lack > 0 or (customer.max_in_flight and customer.in_flight >= customer.max_in_flight):
                queue.block(flow)
                customer.blocked_flows.append(flow)
                if lack > 0 and customer.next_unblock_at <= self.now:
                    customer.next_unblock_at = ready + NO_SERVER_PAUSE
                    self._schedule(customer.next_unblock_at, self._unblock, customer)
                continue
            # By the band it came in with, as the queue goes: its head's worth may have moved since, and
            # asked anew it would hold up all that it has been put before.
            if not self._window_has_room(request, flow.band):
                closed = flow.band + 1  # so few attempts that they are spaced out: closer for higher bands
                continue
            if (server := self._select_server(request)) is None:
                return self._schedule_dispatch()
            queue.serve(entry)
            customer.queued -= 1
            customer.charge_attempt(request.units, self._demand_and_capacity(request)[0])
            self.retry_budget = min(AGAIN_MOST, self.retry_budget + AGAIN_SHARE)
            self._start_attempt(request, server)
            if self.zones.troubled:
                self._send_zone_trial(request)
        queue.end_busy_period()

    def _schedule_dispatch(self) -> None:
        if self.next_dispatch_at <= self.now:
            self.next_dispatch_at = self.now + NO_SERVER_PAUSE
            self._schedule(self.next_dispatch_at, lambda _: None, None)

    def _unblock(self, customer: Tenant) -> None:
        """Its bound or its ceiling may have room again."""
        while customer.blocked_flows:
            self.queue.unblock(customer.blocked_flows.pop())

    def _start_attempt(self, request: Request, server: Server) -> None:
        request.tenant.in_flight += 1
        if request.is_uploading and not request.attempts and request.tenant.plan.ceiling_rate_per_s:
            request.tenant.ceiling_capacity -= request.units  # they fill no room before their body has come
        request.attempts.append(attempt := Attempt(server, self.now))
        if self.zones.zones:
            self.unreported_attempts.append((request, attempt))
        server.in_flight, server.last_sent_at, server.first_use_at = server.in_flight + 1, self.now, -1
        self.in_flight, self.last_sent_at = self.in_flight + 1, self.now
        usual = self.mean_duration_us[request.class_index]
        if self._capacity_ratio(server) < 1.0:
            server.cold_work_sent.append((self.now, self._cold_work_us()))
            server.last_turn_used = server.open_turn
        self.actions.append(StartAttempt(request.id, server.entry.server_id))
        self._schedule(self.now + int(PATIENCE * usual), self._attempt_overdue, (request, attempt))

    def _select_retry_server(self, request: Request) -> Server | None:
        """Where a further attempt may go: rule 2, and the limits that keep retries few."""
        rule = self.settings.classes[request.class_index]
        late = self.now + self.mean_duration_us[request.class_index] > min(
            request.deadline_at, request.arrived_at + rule.latency_target_us
        )
        risky = [t for t in request.attempts if t.may_have_run]
        if (
            request.is_ended
            or late
            or len(request.attempts) >= self.settings.max_attempts
            or self.retry_budget < 1.0
        ):
            return None
        if risky and (
            rule.idempotency is Idempotency.UNSAFE
            or (
                rule.idempotency is Idempotency.KEYED
                and self.now - risky[0].started_at >= rule.dedup_window_us
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

    def _record_outcome(self, attempt: Attempt, good: bool, slow: float | None, *plans: Plan | None) -> None:
        if (
            attempt.started_at >= self.resumed_at
        ):  # what was out while we stood still is no sign of a server's health
            server, entry = attempt.server, attempt.server.entry
            if None in plans and not good and (slow is None or self._capacity_ratio(server) >= 1.0):
                self._call_zone_counters(
                    self.zones.fails(entry.zone, entry.server_id, attempt.started_at, self.now)
                )
            for plan in plans:  # a server may be full for one plan alone
                server.failure_rates[plan] += LEARN_BAD * (
                    (0.0 if good else 1.0) - server.failure_rates[plan]
                )
            server.relative_duration += (
                LEARN * (min(slow, PATIENCE) - server.relative_duration) if slow is not None else 0.0
            )

    def _attempt_overdue(self, subject: tuple[Request, Attempt]) -> None:
        """Out for much longer than usual: a mark against the server long before the time-out."""
        request, attempt = subject
        if attempt.is_in_flight and not (request.is_uploading or attempt.is_streaming):
            self._record_outcome(
                attempt, attempt.server.last_success_at > attempt.started_at, PATIENCE, None
            )  # silent or slow?
            self._hedge(request, attempt)

    def _hedge(self, request: Request, attempt: Attempt) -> None:
        """Another attempt beside one that may have been lost, or in its place."""
        if self.settings.may_hedge:
            self._retry(request)
        elif self.settings.may_cancel and self._select_retry_server(request):
            self.actions.append(
                CancelAttempt(request.id, request.attempts.index(attempt))
            )  # its end sends anew

    def _record_success(self, request: Request, attempt: Attempt, took: int) -> None:
        """A good answer, or its first bytes: what it tells of its server, the fleet and the class."""
        server, usual = attempt.server, self.mean_duration_us[request.class_index]
        server.last_success_at = self.now
        self._call_zone_counters(
            self.zones.answers(server.entry.zone, server.entry.server_id, attempt.started_at, self.now)
        )
        late = took > GOOD_SHARE * self.settings.classes[request.class_index].latency_target_us
        over = self.window / self.usual_window  # settles at the number of good answers for a late one
        step = -min(self.window, over) if late else min(self.window, 1.0 / over)
        step = (
            0.0 if self.is_large_fleet and self._capacity_ratio(server) < 1.0 else step
        )  # its time is no sign of a queue
        # A gateway of many hears too little to narrow far by: a few late answers are not its own doing.
        least = self.usual_window + SPARE * math.sqrt(self.usual_window) if self.is_large_fleet else LEARN
        self.window = max(least, min(max(2.0, WIDEST * self.usual_window), self.window + LEARN * step))
        self._record_outcome(attempt, True, took / usual, None, request.tenant.plan)
        self.mean_duration_us[request.class_index] = usual + LEARN * (min(took, 5 * usual) - usual)
        least = self.min_duration_us[request.class_index] or took
        self.min_duration_us[request.class_index] = min(float(took), least + CREEP * (usual - least))

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if (
            request is None
            or event.attempt_index >= len(request.attempts)
            or not request.attempts[event.attempt_index].is_in_flight
        ):
            return
        customer, attempt = request.tenant, request.attempts[event.attempt_index]
        server, usual = attempt.server, self.mean_duration_us[request.class_index]
        customer.in_flight -= 1
        attempt.is_in_flight, attempt.may_have_run = False, event.result not in NOT_EXECUTED_RESULTS
        if not attempt.is_streaming:
            server.in_flight, self.in_flight = server.in_flight - 1, self.in_flight - 1
        if event.result is Result.OK and not attempt.is_streaming:
            self._record_success(request, attempt, event.duration_us)
        elif event.result not in (Result.OK, Result.CANCELLED, Result.NOT_SENT) and (
            event.result is not Result.TIMED_OUT or event.duration_us >= PATIENCE * usual
        ):  # else little time
            self._record_outcome(
                attempt, False, None, customer.plan if event.result is Result.TURNED_AWAY else None
            )
        if load := event.load_report:
            told = load.in_flight if load.in_flight is not None else (load.queued or 0.0) + (load.busy or 0.0)
            server.others_in_flight, server.load_reported_at = max(0.0, told - server.in_flight), self.now
            if load.service_ms and self._capacity_ratio(server) >= 1.0:
                took = load.service_ms * 1000.0
                step = (
                    LEARN if took < self.service_time_us else CREEP
                )  # crowded, they take longer for the same work
                self.service_time_us += step * (took - self.service_time_us) if self.service_time_us else took
        if event.request_ended or request.is_ended:
            self._end_request(request)
        elif not (any(t.is_in_flight for t in request.attempts) or self._retry(request)):
            self._reject_or_fail(request)
        self._unblock(customer)

    def _reject_or_fail(self, request: Request) -> None:
        """The final answer: a refusal where rule 2 lets us promise, else a failure."""
        rule = self.settings.classes[request.class_index]
        free = rule.idempotency is Idempotency.SAFE or (
            rule.idempotency is Idempotency.KEYED and rule.dedup_scope is DedupScope.ALL
        )
        promise = free or not any(t.may_have_run for t in request.attempts)
        self.actions.append(RejectRequest(request.id) if promise else FailRequest(request.id))
        self._end_request(request)

    def _stream_started(self, event: StreamStarted) -> None:
        """Its answer flows: out for its customer until its end, but no more work for its server."""
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
        """Answered, or the client left: nothing more is owed."""
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
        else:  # it is out, or waits for its count or for room of its own
            self._schedule(
                request.queue_until if self.now < request.queue_until else request.answer_by,
                self._request_timed_out,
                request,
            )

    def _report_demand(self, request: Request) -> None:
        """Add what is owed to the customer's count; the answer is the total, and the request waits for it."""
        customer = request.tenant
        index, into = divmod(self.now - customer.phase_us, customer.name_period_us)
        name = (customer.key << 24) | (index % 2**24)
        self.demand_calls.setdefault(name, deque()).append((request, customer.unreported_demand, index))
        amount = customer.unreported_demand * math.exp(into / customer.decay_us)
        self.actions.append(AddToCounter(name, amount, customer.name_period_us + 5 * SECOND))
        customer.unreported_demand = 0.0

    def _quota_call_answered(self, event: CounterAnswered) -> None:
        """The answer to a call for an account."""
        calls = self.quota_calls[event.counter_name]
        customer, call, request = calls.popleft()
        if not calls:
            del self.quota_calls[event.counter_name]
        account, live = customer.quota_account, request if request and not request.is_ended else None
        assert account is not None
        if event.result is Result.OK:
            self.counter_overload.answered()
            first = account.total_known_at < 0
            holds, more = account.counter_answered(call, event.total, self.now)
            self._make_quota_calls(customer, more, request if holds is None else None)
            if first and (ceiling := customer.plan.ceiling_rate_per_s):
                part = 0.5 - account.total_rate_per_s(self.now) / ceiling
                customer.ceiling_tokens = max(customer.ceiling_tokens, customer.ceiling_capacity * part)
            if live and holds:
                live.claim = call
                self._enqueue(live)
            elif live and holds is False:
                self._reject_or_fail(live)
            elif request and holds:
                self._make_quota_calls(customer, account.return_claim(call, self.now))
        elif event.result is Result.TURNED_AWAY:
            self.counter_overload.rejected()
            if live:  # its client comes again: a call made again here helps less
                self._reject_or_fail(live)
        else:
            self.counter_overload.unanswered()
            if live:
                self._admit_locally(live)

    def _counter_answered(self, event: CounterAnswered) -> None:
        if event.counter_name in self.quota_calls:
            return self._quota_call_answered(event)
        if words := self.zone_calls.get(event.counter_name):
            word = words.popleft()
            if not words:
                del self.zone_calls[event.counter_name]
            if event.result is Result.OK:
                self._call_zone_counters(self.zones.hear(word, event.total, self.now))
            return
        if not (calls := self.demand_calls.pop(event.counter_name, None)):
            return
        request, amount, index = calls.popleft()
        self.demand_calls |= {event.counter_name: calls} if calls else {}
        heard, customer = event.result is Result.OK, request.tenant
        self.counter_backoff_factor = min(
            STRAIN_MOST, max(1.0, self.counter_backoff_factor * (STRAIN_DOWN if heard else STRAIN_UP))
        )
        if heard:
            customer.record_total(event.total, index, self._demand_and_capacity(request)[1], self.now)
        elif event.result is not Result.TIMED_OUT:
            customer.unreported_demand += amount
        if not request.is_ended:
            self._admit_by_estimate(request)
