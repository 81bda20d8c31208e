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
    Arrival,
    AttemptEnded,
    Barred,
    BodyComplete,
    Cancel,
    ClassesChanged,
    Count,
    CountAnswer,
    Event,
    Fail,
    FollowList,
    Group,
    ListKind,
    Note,
    Plan,
    Refuse,
    Repeat,
    RequestEnded,
    Restricted,
    Result,
    Send,
    ServerList,
    ServerState,
    Settings,
    Shared,
    StreamStarted,
    Wake,
)
from irisdeal.front_door.decisions.records import Request, Server, Try
from irisdeal.front_door.decisions.tenant import FEW_WAYS, NEAR, SECOND, Customer
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
NEVER_RAN = (Result.TURNED_AWAY, Result.NOT_CONNECTED, Result.NOT_SENT)


class Gateway:
    """All decisions of one front door."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.servers: dict[bytes, Server] = {}
        self.ready: list[Server] = []
        self.barred: dict[bytes, int] = {}  # left out by hand, and since when
        self.share, self.warms = 1.0, True  # beside another process of this door: less, and one of them
        self.numbers, self.wake_at, self.woke, self.now, self.born = 0, 0, -1, -1, -1
        self.out, self.last_sent = 0, -SECOND
        self.window, self.usual_window = WIDEST, 1.0  # most attempts of ours at once: queues stay short
        self.zones_at = 0
        self.young: deque[tuple[Request, Try]] = deque()  # attempts that may yet be slow, as sent
        self.looks_at = 0  # when those that wait are looked at again whatever happens
        self.queue: FairQueue[Request] = FairQueue(BANDS, MOST_WAITING, MOST_BYTES, MOST_QUEUES)
        self.customers: dict[tuple[int, int], Customer] = {}
        self.requests: dict[int, Request] = {}
        self.calls: dict[int, deque[tuple[Request, float, int]]] = {}
        self.claims: dict[int, deque[tuple[Customer, CounterCall, Request | None]]] = {}
        self.counter_overload = CounterOverload()
        self.words: dict[int, deque[Word]] = {}
        self.zones = Zones(
            settings.gateways,
            settings.fall_multiple,
            settings.start_capacity,
            settings.warm_up,
            settings.parallel_attempts and settings.max_attempts > 1,
            random.Random(seed + 1),
        )
        self.usual = [c.aim * FIRST_WORK_SHARE for c in settings.classes]
        self.quickest = [0.0 for _ in settings.classes]  # least time that an answer of late took, creeping up
        self.many = settings.gateways > FEW_WAYS  # where cold servers are used by turns throughout
        self.service = 0.0  # µs that serving takes by the servers' own word, without waiting; 0: not heard
        self.again, self.strain, self.first_work = AGAIN_MOST, 1.0, max(self.usual)
        self.value = sum(c.worth / c.aim for c in settings.classes) / len(self.usual) / FIRST_WORK_SHARE
        self.agenda: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            ServerList: self._server_list,
            Arrival: self._arrival,
            AttemptEnded: self._attempt_ended,
            StreamStarted: self._stream_started,
            RequestEnded: self._end,
            CountAnswer: self._counted,
            ClassesChanged: self._classes_changed,
            Restricted: self._restricted,
            Barred: self._barred,
            Shared: self._shared,
            BodyComplete: self._body_complete,
        }

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take what happened by `now`; return what to do, in order."""
        self.woke = now if self.agenda and now > self.wake_at + STALL else self.woke
        self.now, self.actions = now, []
        if self.born < 0:
            self.born = now
            self.actions += [] if self.settings.list_is_pushed else [FollowList()]
        for event in events:
            self.handlers.get(type(event), lambda _: None)(event)
        self._slow_ones()
        if self.zones.troubled:
            self._zones()
        self._dispatch()  # before time-outs: who can be sent in this turn is not refused in it
        while self.agenda and self.agenda[0][0] <= now:
            _, _, action, subject = heapq.heappop(self.agenda)
            action(subject)
        self._dispatch()
        if self.agenda and not now < self.wake_at <= self.agenda[0][0]:
            self.wake_at = self.agenda[0][0]
            self.actions.append(Wake(self.wake_at - now))
        return self.actions

    def _plan(self, when: int, action: Callable[[Any], None], subject: Any) -> None:
        self.numbers += 1  # keeps the order of equal times
        heapq.heappush(self.agenda, (when, self.numbers, action, subject))

    def _classes_changed(self, event: ClassesChanged) -> None:
        old, kinds = self.settings.classes, event.classes
        if len(kinds) < len(old):
            raise ValueError(f"classes are {len(kinds)}: wanted no fewer than the {len(old)} known")
        kept = [self.usual[n] if n < len(old) and old[n] == kind else None for n, kind in enumerate(kinds)]
        self.usual = [kinds[n].aim * FIRST_WORK_SHARE if u is None else u for n, u in enumerate(kept)]
        self.quickest = [0.0 if u is None else self.quickest[n] for n, u in enumerate(kept)]
        self.settings = replace(self.settings, classes=kinds)

    def _restricted(self, event: Restricted) -> None:
        if request := self.requests.get(event.request):
            old, new = (self.settings.classes[n] for n in (request.kind, event.request_class))
            if (order := list(Repeat)).index(new.repeat) < order.index(old.repeat):
                raise ValueError(f"request {event.request} would be {new.repeat.value}: wanted no milder")
            request.kind = event.request_class

    def _server_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            return self._plan(self.now + SECOND, lambda _: self.actions.append(FollowList()), None)
        if event.kind is not ListKind.CHANGES:  # absent from a full list: gone
            named = {entry.server for entry in event.entries}
            self.servers = {key: server for key, server in self.servers.items() if key in named}
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.server, None)
            elif server is None or server.told != entry.started:  # a restart begins a fresh record
                self.servers[entry.server] = Server(entry)
            else:
                server.entry = replace(entry, started=server.entry.started)
        self._sort()

    def _sort(self) -> None:
        self.ready = [
            s
            for key, s in self.servers.items()
            if s.entry.state is ServerState.READY and key not in self.barred
        ]
        if self.many and (zones := Counter(s.entry.zone for s in self.ready)).keys() - {self.settings.zone}:
            self._ask(self.zones.listed(zones, self.now))
            self.ready = [s for s in self.ready if self.zones.share(s.entry.zone, self.now)]
        usual = WINDOW * max(1, len(self.ready)) / self.settings.gateways
        self.window, self.usual_window = self.window * usual / self.usual_window, usual

    def _slow_ones(self) -> None:
        """Out for twice the usual time, or over: evidence on zones, with no timer of its own."""
        while self.young:
            request, attempt = self.young[0]
            if attempt.out and self.now - attempt.at < SLOW * self.usual[request.kind]:
                return
            self.young.popleft()
            cold = self._warmth(attempt.server) < 1.0  # slow it may be, and is not lost
            if attempt.out and attempt.at >= self.woke and not (request.uploading or attempt.flows or cold):
                entry = attempt.server.entry
                self._ask(self.zones.fails(entry.zone, entry.server, attempt.at, self.now))

    def _zones(self) -> None:
        """Some zone is left, comes back, or is suspected."""
        self._ask(self.zones.due(self.now))
        if changed := self.zones.settle(self.now):
            self._sort()
            self.actions += [Note(self.zones.text(zone)) for zone in changed]
            for server in self.servers.values():  # its marks are the zone's, and gone with them
                if server.entry.zone in changed:
                    server.bad.clear()
            for request in list(self.requests.values()):  # what is out in a zone that was left just now
                done = request.ended or request.uploading
                out = [t for t in request.tries if t.out and not (t.flows or done)]
                if out and not any(self.zones.share(t.server.entry.zone, self.now) for t in out):
                    self._hurry(request, out[-1])
        if self.zones.troubled and self.zones_at <= self.now:
            self.zones_at = self.now + ZONES_EVERY
            self._plan(self.zones_at, lambda _: None, None)

    def _ask(self, words: list[Word]) -> None:
        for word in words if self.settings.counter else []:
            self.words.setdefault(word.name, deque()).append(word)
            self.actions.append(
                Count(word.name, word.amount, word.life, CALL_PATIENCE * self.settings.counter_timeout)
            )

    def _trial(self, request: Request) -> None:
        """A second attempt at a zone that is left, beside one of a request that may be repeated."""
        safe = self.settings.classes[request.kind].repeat is Repeat.SAFE and not (
            request.uploading or request.customer.plan.open_limit
        )  # it would count among what is out
        if safe and self.zones.trials and (zone := self.zones.trial(self.now)) is not None:
            able = [
                s
                for key, s in self.servers.items()
                if s.entry.zone == zone and key not in self.barred and s.entry.state is ServerState.READY
            ]
            able = [
                s for s in able if (w := self._warmth(s)) == 1.0 or (self.warms and self._fits_cold(s, w))
            ]
            if able:
                self.zones.tried(zone, self.now)
                self._send(request, self.random.choice(able))

    def _barred(self, event: Barred) -> None:
        if event.barred:
            self.barred.setdefault(event.server, self.now)
        elif (since := self.barred.pop(event.server, None)) is not None and (
            server := self.servers.get(event.server)
        ):
            # It was restarted meanwhile, perhaps just now: cold from now on, until the list knows better.
            entry, told = server.entry, server.told
            server = Server(replace(entry, started=self.now) if entry.started <= since else entry)
            server.told, self.servers[event.server] = told, server
            server.due = self.now + int(self.many * FIRST_USE * self.random.random())
        self._sort()

    def _shared(self, event: Shared) -> None:
        times, self.share, self.warms = event.part / self.share, event.part, event.warms
        for customer in self.customers.values():
            customer.resize(times, self.now)

    def _body_complete(self, event: BodyComplete) -> None:
        """Its time counts from now: its answer's, and that of what was sent with its body on the way."""
        if (request := self.requests.get(event.request)) and not request.ended and request.uploading:
            self._uploaded(request)
            request.arrived, request.gives_up = self.now, self.now + event.time_left
            request.last = max(self.now, request.gives_up - 2 * self.settings.tick)
            self._plan(request.last, self._time_up, request)
            for attempt in [t for t in request.tries if t.out]:
                attempt.at, patience = self.now, int(PATIENCE * self.usual[request.kind])
                self._plan(self.now + patience, self._overdue, (request, attempt))

    def _uploaded(self, request: Request) -> None:  # units of a ceiling count from here: room for them again
        if request.tries and request.customer.plan.ceiling_rate:
            request.customer.refill(self.now)  # what flowed in meanwhile had no room beyond that
            request.customer.ceiling_most += request.units
        request.uploading = False

    def _warmth(self, server: Server) -> float:  # the least share of its capacity that it has by now
        part = max(0, self.now - server.entry.started) / max(1, self.settings.warm_up)
        return min(1.0, self.settings.start_capacity + (1.0 - self.settings.start_capacity) * part)

    def _cold_work(self) -> float:  # learnt: by the first guess, which is high, a fleet leaves the cold idle
        return min(self.first_work, max(LEAST_WORK, self.service)) if self.service else self.first_work

    def _fits_cold(self, server: Server, warmth: float) -> bool:
        """Our part of what a cold server may be sent, taken to have one core: even, or by turns."""
        s, work, rate = self.settings, self._cold_work(), COLD_MARGIN * self.settings.fall_multiple
        if (budget := rate * warmth * s.fall_window / s.gateways) >= work:
            return work + sum(w for at, w in server.sent if at > self.now - s.fall_window) <= budget
        # All gateways number the turns alike; ours stays open for half a window, so turns are as much fewer.
        turn = int(rate / 1.5 * (s.start_capacity + warmth) / 2 * (self.now - server.entry.started) / work)
        behind = (turn - s.rank - int.from_bytes(server.entry.server)) % s.gateways
        ago = behind * work * 1.5 / (rate * warmth)
        if 0 <= server.due <= self.now:  # its first use, for which no turn may come for long
            return True
        server.turn = turn - behind
        taken = server.turn <= server.turned if self.many else server.last_sent >= self.now - ago
        return ago <= s.fall_window / 2 and not taken

    def _worth(self, request: Request) -> float:
        return self.settings.classes[request.kind].worth * request.customer.plan.price * request.units

    def _band(self, request: Request) -> int:
        """Its worth for its time beside that of all, as a band."""
        favour = self._worth(request) / self.usual[request.kind] / self.value
        return min(len(BANDS) - 1, max(0, round(4.0 * math.log2(max(1e-9, favour)) + 4.0)))

    def _open(self, request: Request, band: int) -> bool:  # the window, for a request of that band
        window: float = self.window * BANDS[band]
        return self.out < window and (
            window >= 1.0 or self.now - self.last_sent >= self.usual[request.kind] / window
        )

    def _pick(self, request: Request) -> Server | None:
        """The server that should finish first, failures counted as an aim lost."""
        rule, usual = self.settings.classes[request.kind], self.usual[request.kind]
        ready, tied = self.ready, next((t.server.entry for t in request.tries if t.may_have_run), None)
        if tied and rule.repeat is Repeat.KEYED and rule.group is not Group.ALL:  # rule 2
            zonal = rule.group is Group.ZONE
            ready = [s for s in ready if (s.entry.zone == tied.zone if zonal else s.entry.cell == tied.cell)]
        # A turn at a cold server is rare and short: all of them are looked at.
        cold = [s for s in ready if s.due >= 0 or (self.many and s.entry.started and self._warmth(s) < 1.0)]
        ready = self.random.sample(ready, min(LOOK, len(ready))) + cold
        tried, best, least = [t.server for t in request.tries], None, math.inf
        for server in (s for s in ready if s not in tried):
            if self.zones.troubled and self.random.random() >= self.zones.share(server.entry.zone, self.now):
                continue
            warmth = self._warmth(server)
            if warmth < 1.0 and not (self.warms and self._fits_cold(server, warmth)):
                continue
            others = server.others * max(0.0, 1.0 - (self.now - server.told_at) / SECOND)
            kept = (1.0 - FADE) ** ((self.now - server.last_sent) / SECOND)
            cost = usual * (1.0 + (server.slow - 1.0) * kept) * (1.0 + server.out + others) / warmth
            cost += (server.bad[None] + server.bad[request.customer.plan]) * kept * rule.aim
            # Turns are rare, and who has one of many gateways finds the server nearly idle.
            soon = self.service or usual
            cost *= warmth / 2 if warmth < 1.0 and soon < warmth * rule.aim / 2 else 1.0
            cost *= 0.0 if 0 <= server.due <= self.now else 1.0  # chosen, not left to chance
            if self.settings.crossing_price and server.entry.zone != self.settings.zone:
                cost *= CROSSING_LEAN
            cost *= 1.0 + 0.05 * self.random.random()  # so that gateways do not herd
            if cost < least:
                best, least = server, cost
        return best

    def _arrival(self, event: Arrival) -> None:
        self.settings.check(event)
        key = (event.customer, event.plan)  # a stranger's plan must not become this customer's
        if not (customer := self.customers.pop(key, None)):
            customer = Customer(event, self.settings, self.now, self.born, self.share)
            customer.credit = self.random.random()
        self.customers[key] = customer  # in the order of their last requests
        request = self.requests[event.request] = Request(event, customer, self.now, self.settings.tick)
        rule, usual = self.settings.classes[request.kind], self.usual[request.kind]
        hold = max(0, int(min((rule.aim - usual) * HOLD_SHARE, event.time_left * HOLD_MOST)))
        request.waits_till = min(request.last, self.now + hold)
        self._plan(min(request.last, self.now + int(hold * QUEUE_SHARE / HOLD_SHARE)), self._time_up, request)
        if event.time_left < self.quickest[request.kind] or (self.barred and not self.ready):  # none can; may
            return self._answer(request)
        self.value += LEARN / 10 * (self._worth(request) / usual - self.value)
        weight, room = self._weigh(request)
        customer.ask(weight, self.now)
        self._forget()
        if customer.account:
            return self._arrival_claimed(request, customer.account, event.is_retry)
        age = self.now - customer.told_at if customer.told_at >= 0 else KNOWN_FOR
        spare = customer.fading * min(1.0, customer.ways / TELLERS) * self.strain
        if age >= KNOWN_FOR:
            call = self.random.random() * self.strain < 1.0
            # One that calls speaks for those that do not: once, and for no more than what it asks itself.
            customer.owed += weight * (self.strain - 1.0) if call else -weight
        else:
            near = NEAR * room < customer.guess(weight) * self.strain and customer.guess(weight) < room
            call = age > (spare / 4 if near else spare)
        (self._call if call and self.settings.counter and room else self._admit)(request)

    def _arrival_claimed(self, request: Request, account: QuotaAccount, again: bool) -> None:
        """The count decides, unless what it told before does, or it has no time."""
        account.record_demand(request.units, self.now)
        if account.rejects_without_call(self.now, self.random.random()):
            return self._answer(request)
        way = self.counter_overload.admission_path(again, self.random.random())
        if way is AdmissionPath.CLAIM:
            claim = account.claim(request.units, self.now, self.random.random())
            self._tell(request.customer, [claim], request)
        else:
            (self._go_alone if way is AdmissionPath.LOCAL else self._answer)(request)

    def _go_alone(self, request: Request) -> None:
        alone = request.customer.account and request.customer.account.admit_locally(request.units, self.now)
        (self._enqueue if alone else self._answer)(request)

    def _tell(self, customer: Customer, calls: list[CounterCall], request: Request | None = None) -> None:
        for call in calls:
            self.claims.setdefault(call.name, deque()).append((customer, call, request))
            self.actions.append(
                Count(call.name, call.amount, call.lifetime_us, CALL_PATIENCE * self.settings.counter_timeout)
            )

    def _forget(self) -> None:
        for _ in range(FORGOTTEN):
            oldest = self.customers[key := next(iter(self.customers))]
            if (
                self.now - oldest.asked_at <= KNOWN_FOR
                or oldest.out
                or oldest.waiting
                or oldest.refill(self.now) < oldest.ceiling_most
            ):  # a ceiling is not given back early
                return
            del self.customers[key]

    def _weigh(self, request: Request) -> tuple[float, float]:
        """What a request asks and the room for all in one interval: units, or slots times seconds."""
        plan, took = request.customer.plan, self.usual[request.kind] / SECOND
        interval = request.customer.fading / SECOND
        if plan.rate:  # a cap passes so much: Little's law
            return request.units, interval * min(
                ROOM * plan.rate, plan.open_limit * request.units / took or math.inf
            )
        return took, (FILL if request.customer.small else 1.0) * plan.open_limit * interval

    def _admit(self, request: Request) -> None:  # the companion's chance, then the bound
        plan = (customer := request.customer).plan
        weight, room = self._weigh(request)
        total = customer.guess(weight) if room else 0.0
        customer.refill(self.now)
        room = max(0.0, room + LEFT * customer.left) if plan.rate else room
        if total > 0 and plan.open_limit and customer.told_at >= 0:
            slots = self.usual[request.kind] / weight  # by Little's law, and as a mean
            customer.split(slots * customer.mine / customer.own_fading, slots * total / customer.fading)
            self._free(customer)  # its bound may have grown
        chance = max(0.0, 1.0 - room / total) if total > 0 and (plan.rate or customer.small) else 0.0
        passes, customer.credit = divmod(customer.credit + 1.0 - chance, 1.0)  # spread evenly
        (self._enqueue if passes >= 1.0 else self._answer)(request)

    def _enqueue(self, request: Request) -> None:
        customer = request.customer
        if customer.account and customer.plan.open_limit and customer.account.total_known_at >= 0:
            slots = self.usual[request.kind] / SECOND / request.units  # by Little's law, and as a mean
            customer.split(
                slots * customer.account.local_rate_per_s(self.now),
                slots * customer.account.total_rate_per_s(self.now),
            )
            self._free(customer)  # its bound may have grown
        request.entry.cost = self.usual[request.kind]
        customer.waiting += 1
        for other in self.queue.push(
            self._band(request),
            customer.key % len(self.settings.plans),
            customer.key,
            request.entry,
            customer.plan.rate or customer.plan.open_limit or 1.0,
            self.now,
        ):
            other.customer.waiting -= 1
            self._answer(other)

    def _dispatch(self) -> None:
        """Send those that wait, each in its turn, while bounds, ceilings and servers allow."""
        queue, closed = self.queue, 0
        while queue.entries:
            entry = queue.head(max(closed, bisect_right(BANDS, self.out / self.window)))
            if entry is None or entry.flow is None:  # an attempt's end or a store's refill opens the way
                return self._look_again() if closed else None
            request, flow, customer = entry.item, entry.flow, entry.item.customer
            lack = request.units - customer.refill(self.now) if customer.plan.ceiling_rate else 0.0
            ready = self.now + int(min(1e9, max(0.0, lack) / max(1e-9, customer.ceiling_rate)))
            if lack > 0 and ready > request.waits_till:  # nothing to wait for
                self._answer(request)
                continue
            if lack > 0 or (customer.bound and customer.out >= customer.bound):
                queue.block(flow)
                customer.held.append(flow)
                if lack > 0 and customer.looks_at <= self.now:
                    customer.looks_at = ready + NO_SERVER_PAUSE
                    self._plan(customer.looks_at, self._free, customer)
                continue
            # By the band it came in with, as the queue goes: its head's worth may have moved since, and
            # asked anew it would hold up all that it has been put before.
            if not self._open(request, flow.band):
                closed = flow.band + 1  # so few attempts that they are spaced out: closer for higher bands
                continue
            if (server := self._pick(request)) is None:
                return self._look_again()
            queue.serve(entry)
            customer.waiting -= 1
            customer.take(request.units, self._weigh(request)[0])
            self.again = min(AGAIN_MOST, self.again + AGAIN_SHARE)
            self._send(request, server)
            if self.zones.troubled:
                self._trial(request)
        queue.end_busy_period()

    def _look_again(self) -> None:
        if self.looks_at <= self.now:
            self.looks_at = self.now + NO_SERVER_PAUSE
            self._plan(self.looks_at, lambda _: None, None)

    def _free(self, customer: Customer) -> None:
        """Its bound or its ceiling may have room again."""
        while customer.held:
            self.queue.unblock(customer.held.pop())

    def _send(self, request: Request, server: Server) -> None:
        request.customer.out += 1
        if request.uploading and not request.tries and request.customer.plan.ceiling_rate:
            request.customer.ceiling_most -= request.units  # they fill no room before their body has come
        request.tries.append(attempt := Try(server, self.now))
        if self.zones.zones:
            self.young.append((request, attempt))
        server.out, server.last_sent, server.due = server.out + 1, self.now, -1
        self.out, self.last_sent = self.out + 1, self.now
        usual = self.usual[request.kind]
        if self._warmth(server) < 1.0:
            server.sent.append((self.now, self._cold_work()))
            server.turned = server.turn
        self.actions.append(Send(request.id, server.entry.server))
        self._plan(self.now + int(PATIENCE * usual), self._overdue, (request, attempt))

    def _another(self, request: Request) -> Server | None:
        """Where a further attempt may go: rule 2, and the limits that keep retries few."""
        rule = self.settings.classes[request.kind]
        late = self.now + self.usual[request.kind] > min(request.gives_up, request.arrived + rule.aim)
        risky = [t for t in request.tries if t.may_have_run]
        if request.ended or late or len(request.tries) >= self.settings.max_attempts or self.again < 1.0:
            return None
        if risky and (
            rule.repeat is Repeat.UNSAFE
            or (rule.repeat is Repeat.KEYED and self.now - risky[0].at >= rule.window)
        ):
            return None
        return self._pick(request) if self._open(request, self._band(request)) else None

    def _try_again(self, request: Request) -> bool:
        if server := self._another(request):
            self.again -= 1.0
            self._send(request, server)
        return server is not None

    def _judge(self, attempt: Try, good: bool, slow: float | None, *plans: Plan | None) -> None:
        if attempt.at >= self.woke:  # what was out while we stood still is no sign of a server's health
            server, entry = attempt.server, attempt.server.entry
            if None in plans and not good and (slow is None or self._warmth(server) >= 1.0):
                self._ask(self.zones.fails(entry.zone, entry.server, attempt.at, self.now))
            for plan in plans:  # a server may be full for one plan alone
                server.bad[plan] += LEARN_BAD * ((0.0 if good else 1.0) - server.bad[plan])
            server.slow += LEARN * (min(slow, PATIENCE) - server.slow) if slow is not None else 0.0

    def _overdue(self, subject: tuple[Request, Try]) -> None:
        """Out for much longer than usual: a mark against the server long before the time-out."""
        request, attempt = subject
        if attempt.out and not (request.uploading or attempt.flows):
            self._judge(attempt, attempt.server.last_good > attempt.at, PATIENCE, None)  # silent or slow?
            self._hurry(request, attempt)

    def _hurry(self, request: Request, attempt: Try) -> None:
        """Another attempt beside one that may have been lost, or in its place."""
        if self.settings.parallel_attempts:
            self._try_again(request)
        elif self.settings.may_cancel and self._another(request):
            self.actions.append(Cancel(request.id, request.tries.index(attempt)))  # its end sends anew

    def _good(self, request: Request, attempt: Try, took: int) -> None:
        """A good answer, or its first bytes: what it tells of its server, the fleet and the class."""
        server, usual = attempt.server, self.usual[request.kind]
        server.last_good = self.now
        self._ask(self.zones.answers(server.entry.zone, server.entry.server, attempt.at, self.now))
        late = took > GOOD_SHARE * self.settings.classes[request.kind].aim
        over = self.window / self.usual_window  # settles at the number of good answers for a late one
        step = -min(self.window, over) if late else min(self.window, 1.0 / over)
        step = 0.0 if self.many and self._warmth(server) < 1.0 else step  # its time is no sign of a queue
        # A gateway of many hears too little to narrow far by: a few late answers are not its own doing.
        least = self.usual_window + SPARE * math.sqrt(self.usual_window) if self.many else LEARN
        self.window = max(least, min(max(2.0, WIDEST * self.usual_window), self.window + LEARN * step))
        self._judge(attempt, True, took / usual, None, request.customer.plan)
        self.usual[request.kind] = usual + LEARN * (min(took, 5 * usual) - usual)
        least = self.quickest[request.kind] or took
        self.quickest[request.kind] = min(float(took), least + CREEP * (usual - least))

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or event.attempt >= len(request.tries) or not request.tries[event.attempt].out:
            return
        customer, attempt = request.customer, request.tries[event.attempt]
        server, usual = attempt.server, self.usual[request.kind]
        customer.out -= 1
        attempt.out, attempt.may_have_run = False, event.result not in NEVER_RAN
        if not attempt.flows:
            server.out, self.out = server.out - 1, self.out - 1
        if event.result is Result.OK and not attempt.flows:
            self._good(request, attempt, event.took)
        elif event.result not in (Result.OK, Result.CANCELLED, Result.NOT_SENT) and (
            event.result is not Result.TIMED_OUT or event.took >= PATIENCE * usual
        ):  # else little time
            self._judge(attempt, False, None, customer.plan if event.result is Result.TURNED_AWAY else None)
        if load := event.load:
            told = load.in_hand if load.in_hand is not None else (load.waiting or 0.0) + (load.busy or 0.0)
            server.others, server.told_at = max(0.0, told - server.out), self.now
            if load.service_ms and self._warmth(server) >= 1.0:
                took = load.service_ms * 1000.0
                step = LEARN if took < self.service else CREEP  # crowded, they take longer for the same work
                self.service += step * (took - self.service) if self.service else took
        if event.ended or request.ended:
            self._end(request)
        elif not (any(t.out for t in request.tries) or self._try_again(request)):
            self._answer(request)
        self._free(customer)

    def _answer(self, request: Request) -> None:
        """The final answer: a refusal where rule 2 lets us promise, else a failure."""
        rule = self.settings.classes[request.kind]
        free = rule.repeat is Repeat.SAFE or (rule.repeat is Repeat.KEYED and rule.group is Group.ALL)
        promise = free or not any(t.may_have_run for t in request.tries)
        self.actions.append(Refuse(request.id) if promise else Fail(request.id))
        self._end(request)

    def _stream_started(self, event: StreamStarted) -> None:
        """Its answer flows: out for its customer until its end, but no more work for its server."""
        if (
            (request := self.requests.get(event.request))
            and event.attempt < len(request.tries)
            and (attempt := request.tries[event.attempt]).out
        ):
            attempt.flows, attempt.server.out, self.out = True, attempt.server.out - 1, self.out - 1
            self._good(request, attempt, event.took)
            self._end(request)

    def _end(self, event: Request | RequestEnded) -> None:
        """Answered, or the client left: nothing more is owed."""
        request = event if isinstance(event, Request) else self.requests.get(event.request)
        if request is None:
            return
        request.ended = True
        if request.uploading:
            self._uploaded(request)
        if not request.tries and request.claim and (account := request.customer.account):
            self._tell(request.customer, account.return_claim(request.claim, self.now))
            request.claim = None
        if request.entry.flow:
            self.queue.remove(request.entry)
            request.customer.waiting -= 1
        if not any(t.out for t in request.tries):
            self.requests.pop(request.id, None)

    def _time_up(self, request: Request) -> None:
        if request.ended or (request.uploading and request.tries):
            return
        flow = request.entry.flow
        if self.now >= request.last or (flow and (not flow.is_blocked or self.now >= request.waits_till)):
            self._answer(request)
        else:  # it is out, or waits for its count or for room of its own
            self._plan(
                request.waits_till if self.now < request.waits_till else request.last, self._time_up, request
            )

    def _call(self, request: Request) -> None:
        """Add what is owed to the customer's count; the answer is the total, and the request waits for it."""
        customer = request.customer
        index, into = divmod(self.now - customer.phase, customer.period)
        name = (customer.key << 24) | (index % 2**24)
        self.calls.setdefault(name, deque()).append((request, customer.owed, index))
        amount = customer.owed * math.exp(into / customer.fading)
        self.actions.append(Count(name, amount, customer.period + 5 * SECOND))
        customer.owed = 0.0

    def _claimed(self, event: CountAnswer) -> None:
        """The answer to a call for an account."""
        calls = self.claims[event.name]
        customer, call, request = calls.popleft()
        if not calls:
            del self.claims[event.name]
        account, live = customer.account, request if request and not request.ended else None
        assert account is not None
        if event.result is Result.OK:
            self.counter_overload.answered()
            first = account.total_known_at < 0
            holds, more = account.counter_answered(call, event.total, self.now)
            self._tell(customer, more, request if holds is None else None)
            if first and (ceiling := customer.plan.ceiling_rate):
                part = 0.5 - account.total_rate_per_s(self.now) / ceiling
                customer.store = max(customer.store, customer.ceiling_most * part)
            if live and holds:
                live.claim = call
                self._enqueue(live)
            elif live and holds is False:
                self._answer(live)
            elif request and holds:
                self._tell(customer, account.return_claim(call, self.now))
        elif event.result is Result.TURNED_AWAY:
            self.counter_overload.rejected()
            if live:  # its client comes again: a call made again here helps less
                self._answer(live)
        else:
            self.counter_overload.unanswered()
            if live:
                self._go_alone(live)

    def _counted(self, event: CountAnswer) -> None:
        if event.name in self.claims:
            return self._claimed(event)
        if words := self.words.get(event.name):
            word = words.popleft()
            if not words:
                del self.words[event.name]
            if event.result is Result.OK:
                self._ask(self.zones.hear(word, event.total, self.now))
            return
        if not (calls := self.calls.pop(event.name, None)):
            return
        request, amount, index = calls.popleft()
        self.calls |= {event.name: calls} if calls else {}
        heard, customer = event.result is Result.OK, request.customer
        self.strain = min(STRAIN_MOST, max(1.0, self.strain * (STRAIN_DOWN if heard else STRAIN_UP)))
        if heard:
            customer.hear(event.total, index, self._weigh(request)[1], self.now)
        elif event.result is not Result.TIMED_OUT:
            customer.owed += amount
        if not request.ended:
            self._admit(request)
