"""What one gateway keeps of a server, an attempt and a request: records, with no decision in them."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import replace

from irisdeal.front_door.decisions.interface import Plan, RequestArrived, ServerEntry
from irisdeal.front_door.decisions.tenant import Tenant
from irisdeal.front_door.queueing.fair_queue import Entry
from irisdeal.front_door.quota.counter_calls import CounterCall


class Server:
    """One server as this gateway knows it."""

    def __init__(self, entry: ServerEntry) -> None:
        self.entry, self.in_flight = entry, 0  # its line of the list; attempts of this gateway out there
        self.listed_started_at, self.first_use_at = (
            entry.started_at,
            -1,
        )  # its start as listed; back by hand: when it is to be used
        self.others_in_flight, self.relative_duration = (
            0.0,
            1.0,
        )  # what the others have there, as told; its times over those of all
        self.failure_rates: defaultdict[Plan | None, float] = defaultdict(
            float
        )  # failures, 0 to 1; by plan: full
        self.last_success_at = self.load_reported_at = self.last_sent_at = 0
        self.open_turn, self.last_turn_used = (
            0,
            -1,
        )  # ours while it is cold: the one that is open; the last one taken
        self.cold_work_sent: deque[tuple[int, float]] = deque(maxlen=1000)  # work sent while cold

    def listed_entry(self) -> ServerEntry:
        """Its line as the list told it."""
        return replace(self.entry, started_at=self.listed_started_at)


class Attempt:
    """One attempt; it may have run until its outcome proves that it never did."""

    def __init__(self, server: Server, at: int) -> None:
        self.server, self.started_at, self.is_in_flight, self.may_have_run = server, at, True, True
        self.is_streaming = False  # its answer has begun and is passed on


class Request:
    """A request taken, kept until it is answered and no attempt of it is out."""

    def __init__(self, event: RequestArrived, customer: Tenant, now: int, tick: int) -> None:
        self.id, self.class_index = event.request_id, event.class_index
        self.units, self.tenant = event.units, customer
        self.arrived_at, self.deadline_at = now, now + event.time_left_us
        self.answer_by = self.queue_until = max(
            now, self.deadline_at - 2 * tick
        )  # when it must be answered; sent
        self.attempts: list[Attempt] = []
        self.is_ended, self.is_uploading = False, event.is_uploading  # its body is still on the way
        self.claim: CounterCall | None = None  # by which it holds units of its customer's quota
        self.queue_entry = Entry(self, 1.0, event.body_bytes, now)  # its place while it waits
