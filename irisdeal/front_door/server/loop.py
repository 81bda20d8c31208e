"""The loop round the decision module: events in, actions out, and the books of what is open."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from irisdeal.front_door.decisions.interface import (
    Action,
    AddToCounter,
    AttemptEnded,
    CancelAttempt,
    CloseIdleConnections,
    CounterAnswered,
    Decider,
    Event,
    FailRequest,
    FetchServerList,
    LogMessage,
    RejectRequest,
    RequestArrived,
    RequestBodyReceived,
    RequestEnded,
    Result,
    ServerList,
    ServerListKind,
    SetTimer,
    StartAttempt,
    StreamStarted,
    TimerFired,
    WatchServerList,
)
from irisdeal.front_door.overload.event_loop_lag import EventLoopLag
from irisdeal.front_door.server.backends import Attempt, BackendPool, BackendResponse, ResponseSink
from irisdeal.front_door.server.client_request import ClientRequest
from irisdeal.front_door.server.clients import retry_after_header
from irisdeal.front_door.server.config import Address, Config
from irisdeal.front_door.server.counter_client import CounterClient
from irisdeal.front_door.server.host import Host

if TYPE_CHECKING:
    from irisdeal.front_door.queueing.queue_statistics import QueueStatistics

log = logging.getLogger("irisdeal.front_door.server")

NO_DEADLINE_US = 1 << 50  # µs: the time of a request whose body is still on its way has not begun
FAILED_DECISION_DELAY_US = 10_000  # µs after a failed decision: one that fails each time must not spin


class EventBatch(list[Event]):
    """Events that tell how far a reader got, so that one that fails does not take the others along."""

    read_count = 0

    def __iter__(self) -> Iterator[Event]:
        for n in range(len(self)):
            self.read_count = n + 1
            yield self[n]


class OpenRequest:
    """A request in the books: until it is answered and none of its attempts is out."""

    __slots__ = (
        "attempts",
        "attempts_out",
        "client",
        "deadline",
        "deadline_timer",
        "is_answered",
        "received_at",
    )

    def __init__(self, client: ClientRequest, taken: int, gives_up: int) -> None:
        self.client, self.received_at, self.deadline = client, taken, gives_up
        self.attempts: list[Attempt] = []
        self.attempts_out = 0
        self.is_answered = False
        self.deadline_timer: asyncio.TimerHandle | None = None


class DecisionLoop:
    """Transport for one `Decider`."""

    def __init__(
        self,
        config: Config,
        decider: Decider,
        pool: BackendPool,
        loop: asyncio.AbstractEventLoop,
        host: Host | None = None,
    ) -> None:
        self.config, self.decider, self.pool, self.loop = config, decider, pool, loop
        self.settings = config.settings
        self.host = host or Host()
        self.counter: CounterClient | None = None
        if config.counter is not None:
            self.counter = CounterClient(config.counter, self.settings.counter_timeout_us, self.post, loop)
        self.requests: dict[int, OpenRequest] = {}
        self.just_closed: dict[int, int] = {}  # requests that left it since the last turn, and their attempts
        self.unanswered_count = 0
        self.last_request_number = 0
        self.addresses: dict[bytes, Address] = {}
        self.events = EventBatch()
        self.is_turn_scheduled = self.has_server_list = False
        self.drain_deadline = 0  # when all must be answered; 0 while in service
        self.event_loop_lag = EventLoopLag()
        self.statistics: QueueStatistics | None = None  # where a report is to be had
        self.on_server_list: Callable[[ServerList], None] = lambda _: None
        self.on_fetch_list: Callable[[], None] = lambda: None
        self.on_request_closed: Callable[[ClientRequest], None] = lambda _: (
            None
        )  # answered, and no attempt is out
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._send,
            CancelAttempt: self._cancel,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            AddToCounter: self._count,
            SetTimer: self._wake,
            CloseIdleConnections: self._close_idle,
            FetchServerList: lambda _: self.on_fetch_list(),
            WatchServerList: lambda _: None,  # the watch always runs
            LogMessage: lambda note: log.info("%s", note.text),
        }

    # Events in

    def post(self, event: Event) -> None:
        """Queue an event for the next turn."""
        self.events.append(event)
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.loop.call_soon(self.process_events)

    def process_events(self) -> None:
        """Let the module hear what has been posted, and do what it says, at once."""
        events, self.events = self.events, EventBatch()
        self.is_turn_scheduled = False
        if not events:  # another turn took them
            return
        try:
            actions = self.decider.handle(self.host.now(), events)
        except Exception:
            log.exception("a decision failed")
            actions = self._recover_failed_batch(events)
        for action in actions:
            try:
                self._apply(action)
            except Exception:  # guards the others: one action's failure is its own
                log.exception("%r failed", action)
        self.just_closed.clear()

    def _recover_failed_batch(self, events: EventBatch) -> list[Action]:
        """One event failed: its request fails, what was decided before it stands, the rest goes on."""
        if (
            events.read_count
            and (number := getattr(events[events.read_count - 1], "request_id", None)) is not None
        ):
            self._end_request(number, lambda client: client.reply(500, b"failed\n"))
        for event in events[events.read_count :]:
            self.post(event)
        self._call_later(
            FAILED_DECISION_DELAY_US, self.post, TimerFired(0)
        )  # what was due may have been left undone
        return list(self.decider.actions)

    def handle_request(self, client: ClientRequest) -> None:
        """A well-formed request of a client."""
        now = self.host.now()
        left = client.time_left
        if self.drain_deadline:
            left = max(1, min(left, self.drain_deadline - now))
        self.last_request_number += 1
        client.number = number = self.last_request_number
        request = self.requests[number] = OpenRequest(
            client, now, now + (left if client.upload is None else NO_DEADLINE_US)
        )
        if self.statistics is not None:
            self.statistics.record_received((client.customer, client.plan), client.is_retry, now)
        self.unanswered_count += 1
        uploading = client.upload is not None  # its time counts from its last byte
        if not uploading:
            request.deadline_timer = self._call_later(
                left + self.settings.answer_grace_us, self._answer_overdue, number
            )
        self.post(
            RequestArrived(
                number,
                client.customer,
                client.plan,
                client.request_class,
                left,
                client.units,
                client.first_gateway,
                client.gateway_count,
                client.is_retry,
                client.is_write,
                len(client.head) + len(client.body),
                uploading,
            )
        )

    def upload_completed(self, client: ClientRequest) -> None:
        """The last byte of its body has come: from now its time counts."""
        request = self.requests.get(client.number)
        if request is None or request.is_answered:
            return
        now, left = self.host.now(), client.time_left
        if self.drain_deadline:
            left = max(1, min(left, self.drain_deadline - now))
        request.received_at, request.deadline = now, now + left
        request.deadline_timer = self._call_later(
            left + self.settings.answer_grace_us, self._answer_overdue, client.number
        )
        for attempt in request.attempts:
            if not attempt.done:
                attempt.sent_at, attempt.timer = now, self._call_later(left, attempt.time_out)
        self.post(RequestBodyReceived(client.number, left))

    def client_disconnected(self, client: ClientRequest) -> None:
        """The client left; attempts that are out go on and still count as out."""
        self._end_request(client.number)

    def fail_request(self, client: ClientRequest) -> None:
        """Its connection ends and cannot wait for it; what is out goes on and counts, as above."""
        self._end_request(client.number, lambda client: client.reply(502, b"failed\n"))

    def can_serve(self) -> bool:
        return self.has_server_list

    def update_server_list(self, told: ServerList, places: dict[bytes, Address]) -> None:
        """News of the list."""
        if told.kind is not ServerListKind.CACHED or told.entries:
            self.has_server_list = True
        old = self.addresses
        whole = told.kind is not ServerListKind.CHANGES
        self.addresses = dict(places) if whole else {**old, **places}
        for entry in told.entries:
            if entry.server_id not in places:
                self.addresses.pop(entry.server_id, None)
        for server, place in old.items():
            if self.addresses.get(server) != place:  # moved or gone
                self.pool.retire(server)
        self.on_server_list(told)
        self.post(told)

    def move_counter(self, address: Address | None) -> None:
        """The counter has another address."""
        if self.counter is not None and address is not None:
            self.counter.move(address)

    def _answer_overdue(self, number: int) -> None:
        """The module has let a request's time pass: it is still owed an answer."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            # Where the loop stood still, the module's own wake is due as well and comes a turn behind this:
            # it is asked first, since it knows whether a refusal may be promised.
            self.events.append(TimerFired(0))
            self.process_events()
        if request is not None and not request.is_answered:
            log.error("request %d was left unanswered", number)
            self._end_request(number, lambda client: client.reply(500, b"failed\n"))

    def _end_request(self, number: int, answer: Callable[[ClientRequest], None] = lambda _: None) -> None:
        """Its end is not the module's doing, so the module hears of it."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            answer(request.client)
            self._mark_answered(number, request)
            self.post(RequestEnded(number))

    def _start_stream(
        self, attempt: Attempt, answer: BackendResponse, length: int | None
    ) -> ResponseSink | None:
        """An answer is to be passed on as it comes: there is no further attempt from here on."""
        request = self.requests[attempt.request]
        if request.is_answered or attempt.done:
            return None
        client = request.client
        flow = client.connection.start_stream(client, length, answer.content_type, self._stream_finished)
        if flow is not None:
            if attempt.timer is not None:
                attempt.timer.cancel()  # what flows is not cut
            attempt.first_byte_us = self.host.now() - attempt.sent_at
            self.unanswered_count += 1  # until the flow is over
            self._mark_answered(attempt.request, request)
            self.post(StreamStarted(attempt.request, attempt.number, attempt.server, attempt.first_byte_us))
        return flow

    def _stream_finished(self) -> None:
        self.unanswered_count -= 1

    def _mark_answered(self, number: int, request: OpenRequest) -> None:
        request.is_answered = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self.unanswered_count -= 1
        for attempt in request.attempts:  # one whose connection is still coming up: nothing more is sent
            if not (attempt.done or attempt.is_written()):
                attempt.finish(Result.NOT_SENT)
        if not request.attempts_out:
            self._close_request(number)

    def _close_request(self, number: int) -> None:
        if (request := self.requests.pop(number, None)) is not None:
            self.just_closed[number] = len(request.attempts)
            self.on_request_closed(request.client)

    def drain(self, by: int) -> None:
        """Answer all that is open, and all that still comes, until then."""
        self.drain_deadline = by
        self._call_later(by - self.host.now(), self._fail_open_requests)

    def _fail_open_requests(self) -> None:
        for number in list(self.requests):
            self._end_request(number, lambda client: client.reply(500, b"shutting down\n"))

    def _call_later(self, delay: int, call: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """A timer that is never early by its rounding: the loop's timers count whole milliseconds."""
        return self.loop.call_later(-(-max(0, delay) // 1000) / 1000, call, *args)

    # Actions out

    def _apply(self, action: Action) -> None:
        apply = self.action_handlers.get(type(action))
        if apply is None:  # probes and messages: neither is to be had here
            log.warning("%s is not to be had here", type(action).__name__)
        else:
            apply(action)

    def _send(self, action: StartAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is None:
            return self._reject_late_send(action)
        now = self.host.now()
        attempt = Attempt(
            action.request_id, len(request.attempts), action.server_id, now, self._attempt_ended
        )
        request.attempts.append(attempt)
        request.attempts_out += 1
        if self.statistics is not None and not attempt.number:
            self.statistics.record_sent(
                (request.client.customer, request.client.plan), now - request.received_at
            )
        place = self.addresses.get(action.server_id)
        left = request.deadline - now
        if action.timeout_us > 0:
            left = min(left, action.timeout_us)
        if request.is_answered or place is None or left <= 0 or attempt.number >= self.settings.max_attempts:
            return attempt.finish(Result.NOT_SENT)
        client, upload = request.client, request.client.upload
        if upload is not None and upload.is_consumed:
            return attempt.finish(Result.NOT_SENT)  # its first bytes are gone
        attempt.address, attempt.body, attempt.on_stream = place, upload, self._start_stream
        length = b"Content-Length: %d\r\n" % len(client.body) if client.is_write else b""
        if upload is not None:
            length = (
                b"Transfer-Encoding: chunked\r\n"
                if upload.length is None
                else (b"Content-Length: %d\r\n" % upload.length)
            )
            left = min(left, client.time_left)
        attempt.payload = b"".join(
            (client.head, length, b"X-Expires-In: %dm\r\n\r\n" % max(1, left // 1000), client.body)
        )
        attempt.is_head_request = client.is_head_request
        if upload is None or upload.is_complete:
            attempt.timer = self._call_later(left, attempt.time_out)
        self.pool.send(attempt)

    def _reject_late_send(self, action: StartAttempt) -> None:
        """Its request ended in the turn in which the module decided this: it was out in its books alone."""
        number = self.just_closed.get(action.request_id)
        if number is None:
            return log.error("an attempt for request %d, which is not open", action.request_id)
        self.just_closed[action.request_id] = number + 1
        self.post(AttemptEnded(action.request_id, number, action.server_id, Result.NOT_SENT, 0, True))

    def _attempt_ended(self, attempt: Attempt, result: Result, answer: BackendResponse | None) -> None:
        """An attempt's one end. The first good answer goes to the client and is final."""
        number = attempt.request
        request = self.requests[number]
        request.attempts_out -= 1
        if result is Result.OK and answer is not None and not request.is_answered:
            kind = answer.content_type
            request.client.reply(200, answer.body, b"Content-Type: " + kind + b"\r\n" if kind else b"")
            self._mark_answered(number, request)
        elif request.is_answered and not request.attempts_out:
            self._close_request(number)
        self.post(
            AttemptEnded(
                number,
                attempt.number,
                attempt.server,
                result,
                self.host.now() - attempt.sent_at if attempt.first_byte_us is None else attempt.first_byte_us,
                request.is_answered,
                answer.usage_percent if answer else None,
                None,
                answer.load_report if answer else None,
            )
        )

    def _cancel(self, action: CancelAttempt) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and 0 <= action.attempt_index < len(request.attempts):
            request.attempts[action.attempt_index].finish(Result.CANCELLED)

    def _refuse(self, action: RejectRequest) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and not request.is_answered:
            delay = (
                min(action.retry_after_us, self.settings.max_retry_after_us)
                if self.settings.may_set_retry_after
                else 0
            )
            status = 503 if request.attempts else 429
            if self.statistics is not None:
                client = request.client
                self.statistics.record_rejected((client.customer, client.plan), delay, self.host.now())
            request.client.reply(status, b"refused: try again\n", retry_after_header(delay))
            self._mark_answered(action.request_id, request)

    def _fail(self, action: FailRequest) -> None:
        request = self.requests.get(action.request_id)
        if request is not None and not request.is_answered:
            request.client.reply(502, b"failed\n")
            self._mark_answered(action.request_id, request)

    def _count(self, action: AddToCounter) -> None:
        if self.counter is None:
            return self.post(CounterAnswered(action.counter_name, Result.NOT_CONNECTED, 0.0, 0))
        self.counter.count(action)

    def _wake(self, action: SetTimer) -> None:
        self._call_later(action.delay_us, self._woken, action.token, self.host.now() + action.delay_us)

    def _woken(self, token: int, due: int) -> None:
        now = self.host.now()
        if now < due:  # the loop counts from the start of its turn: a long one makes its timers early
            self._call_later(due - now, self._woken, token, due)
            return
        self.event_loop_lag.record((now - due) / 1e6, now / 1e6)
        self.post(TimerFired(token))

    def read_delay_us(self) -> int:
        """µs by which what clients write is read late by now, beyond the usual."""
        return round(self.event_loop_lag.excess_s(self.host.now() / 1e6) * 1e6)

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self.pool.close_idle(action.server_id)
