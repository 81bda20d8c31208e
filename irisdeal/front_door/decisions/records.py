"""State that one gateway keeps of a server, an attempt and a request. No decisions."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import replace

from irisdeal.front_door.decisions.interface import Plan, RequestArrived, ServerEntry
from irisdeal.front_door.decisions.tenant import Tenant
from irisdeal.front_door.queueing.fair_queue import Entry
from irisdeal.front_door.quota.counter_calls import CounterCall

MAX_COLD_WORK_ENTRIES = 1000


class Server:
    """A server with its statistics at this gateway."""

    def __init__(self, entry: ServerEntry) -> None:
        self.entry = entry  # of the server list; its start may be later than listed
        self.in_flight = 0  # attempts of this gateway
        self.listed_started_at = entry.started_at
        self.first_use_at = -1  # when to use it first after an operator enabled it; -1 once used
        self.others_in_flight = 0.0  # requests of other gateways, by its last load report
        self.relative_duration = 1.0  # mean of durations, relative to those at all servers
        # Failures, from 0 to 1; under a plan the rejections of its requests, as a server may be full for one
        # alone.
        self.failure_rates: defaultdict[Plan | None, float] = defaultdict(float)
        self.last_success_at = 0
        self.load_reported_at = 0
        self.last_sent_at = 0
        # Turns at a server that is warming up.
        self.open_turn = 0
        self.last_turn_used = -1
        # Time and work in µs of attempts sent while it was warming up.
        self.cold_work_sent: deque[tuple[int, float]] = deque(maxlen=MAX_COLD_WORK_ENTRIES)

    def listed_entry(self) -> ServerEntry:
        """Return its entry as in the server list."""
        return replace(self.entry, started_at=self.listed_started_at)


class Attempt:
    """An attempt. It may have been executed unless its result shows otherwise."""

    def __init__(self, server: Server, now: int) -> None:
        self.server = server
        self.started_at = now
        self.is_in_flight = True
        self.may_have_run = True
        self.is_streaming = False  # its response has started


class Request:
    """A request, kept until it is answered and has no attempt in flight."""

    def __init__(self, event: RequestArrived, tenant: Tenant, now: int, tick_us: int) -> None:
        self.id = event.request_id
        self.class_index = event.class_index
        self.units = event.units
        self.tenant = tenant
        self.arrived_at = now
        self.deadline_at = now + event.time_left_us
        self.answer_by = max(now, self.deadline_at - 2 * tick_us)  # while there is time to send an answer
        self.queue_until = self.answer_by  # it is rejected if it still waits then
        self.attempts: list[Attempt] = []
        self.is_ended = False
        self.is_uploading = event.is_uploading  # its body is incomplete
        self.claim: CounterCall | None = None  # for its units of the quota
        self.queue_entry = Entry(self, 1.0, event.body_bytes, now)
