"""What one gateway keeps of a server, an attempt and a request: records, with no decision in them."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import replace

from irisdeal.front_door.decisions.interface import Arrival, Plan, ServerEntry
from irisdeal.front_door.decisions.tenant import Customer
from irisdeal.front_door.queueing.fair_queue import Entry
from irisdeal.front_door.quota.counter_calls import CounterCall


class Server:
    """One server as this gateway knows it."""

    def __init__(self, entry: ServerEntry) -> None:
        self.entry, self.out = entry, 0  # its line of the list; attempts of this gateway out there
        self.told, self.due = entry.started, -1  # its start as listed; back by hand: when it is to be used
        self.others, self.slow = 0.0, 1.0  # what the others have there, as told; its times over those of all
        self.bad: defaultdict[Plan | None, float] = defaultdict(float)  # failures, 0 to 1; by plan: full
        self.last_good = self.told_at = self.last_sent = 0
        self.turn, self.turned = 0, -1  # ours while it is cold: the one that is open; the last one taken
        self.sent: deque[tuple[int, float]] = deque(maxlen=1000)  # work sent while cold

    def listed(self) -> ServerEntry:
        """Its line as the list told it."""
        return replace(self.entry, started=self.told)


class Try:
    """One attempt; it may have run until its outcome proves that it never did."""

    def __init__(self, server: Server, at: int) -> None:
        self.server, self.at, self.out, self.may_have_run = server, at, True, True
        self.flows = False  # its answer has begun and is passed on


class Request:
    """A request taken, kept until it is answered and no attempt of it is out."""

    def __init__(self, event: Arrival, customer: Customer, now: int, tick: int) -> None:
        self.id, self.kind = event.request, event.request_class
        self.units, self.customer = event.units, customer
        self.arrived, self.gives_up = now, now + event.time_left
        self.last = self.waits_till = max(now, self.gives_up - 2 * tick)  # when it must be answered; sent
        self.tries: list[Try] = []
        self.ended, self.uploading = False, event.uploading  # its body is still on the way
        self.claim: CounterCall | None = None  # by which it holds units of its customer's quota
        self.entry = Entry(self, 1.0, event.size, now)  # its place while it waits
