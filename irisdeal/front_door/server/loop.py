"""Connects the decision module to sockets and timers: collects events, executes actions, tracks open requests."""

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

NO_DEADLINE_US = 1 << 50  # while a body is streamed: the request's time starts at its last byte
FAILED_DECISION_DELAY_US = 10_000  # before a retry, so that a decision that always fails does not busy-loop


class EventBatch(list[Event]):
    """A list of events that records how many have been read, to find the one whose handling failed."""

    read_count = 0

    def __iter__(self) -> Iterator[Event]:
        for n in range(len(self)):
            self.read_count = n + 1
            yield self[n]


class OpenRequest:
    """A request that is unanswered or has an attempt in progress. Times are µs."""

    __slots__ = (
        "attempts",
        "attempts_out",
        "client",
        "deadline",
        "deadline_timer",
        "is_answered",
        "received_at",
    )

    def __init__(self, client: ClientRequest, received_at: int, deadline: int) -> None:
        self.client, self.received_at, self.deadline = client, received_at, deadline
        self.attempts: list[Attempt] = []
        self.attempts_out = 0
        self.is_answered = False
        self.deadline_timer: asyncio.TimerHandle | None = None


class DecisionLoop:
    """Delivers events to one `Decider` and executes its actions. Times are µs."""

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
        self.just_closed: dict[int, int] = {}  # attempts of requests closed since the last batch
        self.unanswered_count = 0
        self.last_request_number = 0
        self.addresses: dict[bytes, Address] = {}
        self.events = EventBatch()
        self.is_batch_scheduled = self.has_server_list = False
        self.drain_deadline = 0  # when all requests must be answered; 0 while not draining
        self.event_loop_lag = EventLoopLag()
        self.statistics: QueueStatistics | None = None  # set if the report is enabled
        self.on_server_list: Callable[[ServerList], None] = lambda _: None
        self.on_fetch_list: Callable[[], None] = lambda: None
        # Called once a request is answered and has no attempt in progress.
        self.on_request_closed: Callable[[ClientRequest], None] = lambda _: None
        self.action_handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._send,
            CancelAttempt: self._cancel,
            RejectRequest: self._refuse,
            FailRequest: self._fail,
            AddToCounter: self._count,
            SetTimer: self._wake,
            CloseIdleConnections: self._close_idle,
            FetchServerList: lambda _: self.on_fetch_list(),
            WatchServerList: lambda _: None,  # the list is always watched
            LogMessage: lambda note: log.info("%s", note.text),
        }

    # Events

    def post(self, event: Event) -> None:
        """Queue an event for the next batch."""
        self.events.append(event)
        if not self.is_batch_scheduled:
            self.is_batch_scheduled = True
            self.loop.call_soon(self.process_events)

    def process_events(self) -> None:
        """Pass the queued events to the decider and execute its actions."""
        events, self.events = self.events, EventBatch()
        self.is_batch_scheduled = False
        if not events:  # already processed by a direct call
            return
        try:
            actions = self.decider.handle(self.host.now(), events)
        except Exception:
            log.exception("error in the decision module")
            actions = self._recover_failed_batch(events)
        for action in actions:
            try:
                self._apply(action)
            except Exception:  # must not affect the other actions
                log.exception("error while executing %r", action)
        self.just_closed.clear()

    def _recover_failed_batch(self, events: EventBatch) -> list[Action]:
        """Fail the request of the failed event, queue the remaining events; return the actions decided so far."""
        if (
            events.read_count
            and (number := getattr(events[events.read_count - 1], "request_id", None)) is not None
        ):
            self._end_request(number, lambda client: client.reply(500, b"failed\n"))
        for event in events[events.read_count :]:
            self.post(event)
        # Timers that were due may not have been handled.
        self._call_later(FAILED_DECISION_DELAY_US, self.post, TimerFired(0))
        return list(self.decider.actions)

    def handle_request(self, client: ClientRequest) -> None:
        """Start a request."""
        now = self.host.now()
        time_left = client.time_left
        if self.drain_deadline:
            time_left = max(1, min(time_left, self.drain_deadline - now))
        self.last_request_number += 1
        client.number = number = self.last_request_number
        request = self.requests[number] = OpenRequest(
            client, now, now + (time_left if client.upload is None else NO_DEADLINE_US)
        )
        if self.statistics is not None:
            self.statistics.record_received((client.customer, client.plan), client.is_retry, now)
        self.unanswered_count += 1
        is_uploading = client.upload is not None  # its time starts at the last byte
        if not is_uploading:
            request.deadline_timer = self._call_later(
                time_left + self.settings.answer_grace_us, self._answer_overdue, number
            )
        self.post(
            RequestArrived(
                number,
                client.customer,
                client.plan,
                client.request_class,
                time_left,
                client.units,
                client.first_gateway,
                client.gateway_count,
                client.is_retry,
                client.is_write,
                len(client.head) + len(client.body),
                is_uploading,
            )
        )

    def upload_completed(self, client: ClientRequest) -> None:
        """Start the time of a request whose streamed body is complete."""
        request = self.requests.get(client.number)
        if request is None or request.is_answered:
            return
        now, time_left = self.host.now(), client.time_left
        if self.drain_deadline:
            time_left = max(1, min(time_left, self.drain_deadline - now))
        request.received_at, request.deadline = now, now + time_left
        request.deadline_timer = self._call_later(
            time_left + self.settings.answer_grace_us, self._answer_overdue, client.number
        )
        for attempt in request.attempts:
            if not attempt.done:
                attempt.sent_at, attempt.timer = now, self._call_later(time_left, attempt.time_out)
        self.post(RequestBodyReceived(client.number, time_left))

    def client_disconnected(self, client: ClientRequest) -> None:
        """End a request whose client has disconnected; attempts in progress continue and stay counted."""
        self._end_request(client.number)

    def fail_request(self, client: ClientRequest) -> None:
        """Answer 502, because the client's connection is being closed; attempts in progress continue."""
        self._end_request(client.number, lambda client: client.reply(502, b"failed\n"))

    def can_serve(self) -> bool:
        """Whether a server list has been received."""
        return self.has_server_list

    def update_server_list(self, server_list: ServerList, addresses: dict[bytes, Address]) -> None:
        """Apply a server list or its changes; `addresses` are those of the servers it contains."""
        if server_list.kind is not ServerListKind.CACHED or server_list.entries:
            self.has_server_list = True
        former = self.addresses
        is_complete = server_list.kind is not ServerListKind.CHANGES
        self.addresses = dict(addresses) if is_complete else {**former, **addresses}
        for entry in server_list.entries:
            if entry.server_id not in addresses:
                self.addresses.pop(entry.server_id, None)
        for server, address in former.items():
            if self.addresses.get(server) != address:  # moved or gone
                self.pool.retire(server)
        self.on_server_list(server_list)
        self.post(server_list)

    def move_counter(self, address: Address | None) -> None:
        """Use the counter at another address."""
        if self.counter is not None and address is not None:
            self.counter.move(address)

    def _answer_overdue(self, number: int) -> None:
        """Answer a request that the decider has not answered in time."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            # After a stall of the event loop the decider's own timer is due as well, but runs later. The decider
            # goes first: it can answer that a retry is safe.
            self.events.append(TimerFired(0))
            self.process_events()
        if request is not None and not request.is_answered:
            log.error("the decision module did not answer request %d in time", number)
            self._end_request(number, lambda client: client.reply(500, b"failed\n"))

    def _end_request(self, number: int, respond: Callable[[ClientRequest], None] = lambda _: None) -> None:
        """End a request that the decider has not ended, and notify the decider."""
        request = self.requests.get(number)
        if request is not None and not request.is_answered:
            respond(request.client)
            self._mark_answered(number, request)
            self.post(RequestEnded(number))

    def _start_stream(
        self, attempt: Attempt, response: BackendResponse, length: int | None
    ) -> ResponseSink | None:
        """Stream a response to the client; the request gets no further attempts."""
        request = self.requests[attempt.request]
        if request.is_answered or attempt.done:
            return None
        client = request.client
        stream = client.connection.start_stream(client, length, response.content_type, self._stream_finished)
        if stream is not None:
            if attempt.timer is not None:
                attempt.timer.cancel()  # a started stream has no deadline
            attempt.first_byte_us = self.host.now() - attempt.sent_at
            self.unanswered_count += 1  # until the stream ends
            self._mark_answered(attempt.request, request)
            self.post(StreamStarted(attempt.request, attempt.number, attempt.server, attempt.first_byte_us))
        return stream

    def _stream_finished(self) -> None:
        self.unanswered_count -= 1

    def _mark_answered(self, number: int, request: OpenRequest) -> None:
        request.is_answered = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self.unanswered_count -= 1
        for attempt in request.attempts:  # an attempt that is still connecting sends nothing
            if not (attempt.done or attempt.is_written()):
                attempt.finish(Result.NOT_SENT)
        if not request.attempts_out:
            self._close_request(number)

    def _close_request(self, number: int) -> None:
        if (request := self.requests.pop(number, None)) is not None:
            self.just_closed[number] = len(request.attempts)
            self.on_request_closed(request.client)

    def drain(self, deadline: int) -> None:
        """Answer all open and further requests until the deadline."""
        self.drain_deadline = deadline
        self._call_later(deadline - self.host.now(), self._fail_open_requests)

    def _fail_open_requests(self) -> None:
        for number in list(self.requests):
            self._end_request(number, lambda client: client.reply(500, b"shutting down\n"))

    def _call_later(self, delay: int, call: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """Start a timer, rounded up to the millisecond resolution of the event loop so that it is never early."""
        return self.loop.call_later(-(-max(0, delay) // 1000) / 1000, call, *args)

    # Actions

    def _apply(self, action: Action) -> None:
        handler = self.action_handlers.get(type(action))
        if handler is None:  # probes and messages to other gateways
            log.warning("action %s is not supported", type(action).__name__)
        else:
            handler(action)

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
        address = self.addresses.get(action.server_id)
        time_left = request.deadline - now
        if action.timeout_us > 0:
            time_left = min(time_left, action.timeout_us)
        if (
            request.is_answered
            or address is None
            or time_left <= 0
            or attempt.number >= self.settings.max_attempts
        ):
            return attempt.finish(Result.NOT_SENT)
        client, upload = request.client, request.client.upload
        if upload is not None and upload.is_consumed:
            return attempt.finish(Result.NOT_SENT)  # its first bytes are no longer buffered
        attempt.address, attempt.body, attempt.on_stream = address, upload, self._start_stream
        length = b"Content-Length: %d\r\n" % len(client.body) if client.is_write else b""
        if upload is not None:
            length = (
                b"Transfer-Encoding: chunked\r\n"
                if upload.length is None
                else (b"Content-Length: %d\r\n" % upload.length)
            )
            time_left = min(time_left, client.time_left)
        attempt.payload = b"".join(
            (client.head, length, b"X-Expires-In: %dm\r\n\r\n" % max(1, time_left // 1000), client.body)
        )
        attempt.is_head_request = client.is_head_request
        if upload is None or upload.is_complete:
            attempt.timer = self._call_later(time_left, attempt.time_out)
        self.pool.send(attempt)

    def _reject_late_send(self, action: StartAttempt) -> None:
        """Report an attempt as not sent whose request ended while the decider decided on it."""
        attempt_number = self.just_closed.get(action.request_id)
        if attempt_number is None:
            return log.error("attempt for request %d, which is not open", action.request_id)
        self.just_closed[action.request_id] = attempt_number + 1
        self.post(AttemptEnded(action.request_id, attempt_number, action.server_id, Result.NOT_SENT, 0, True))

    def _attempt_ended(self, attempt: Attempt, result: Result, response: BackendResponse | None) -> None:
        """Handle the end of an attempt. The first successful response is passed to the client."""
        request_number = attempt.request
        request = self.requests[request_number]
        request.attempts_out -= 1
        if result is Result.OK and response is not None and not request.is_answered:
            content_type = response.content_type
            request.client.reply(
                200, response.body, b"Content-Type: " + content_type + b"\r\n" if content_type else b""
            )
            self._mark_answered(request_number, request)
        elif request.is_answered and not request.attempts_out:
            self._close_request(request_number)
        self.post(
            AttemptEnded(
                request_number,
                attempt.number,
                attempt.server,
                result,
                self.host.now() - attempt.sent_at if attempt.first_byte_us is None else attempt.first_byte_us,
                request.is_answered,
                response.usage_percent if response else None,
                None,
                response.load_report if response else None,
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

    def _woken(self, token: int, due_at: int) -> None:
        now = self.host.now()
        if now < due_at:  # timers count from the start of the loop iteration: a long one makes them early
            self._call_later(due_at - now, self._woken, token, due_at)
            return
        self.event_loop_lag.record((now - due_at) / 1e6, now / 1e6)
        self.post(TimerFired(token))

    def read_delay_us(self) -> int:
        """Current delay until input of clients is read, beyond the usual."""
        return round(self.event_loop_lag.excess_s(self.host.now() / 1e6) * 1e6)

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self.pool.close_idle(action.server_id)
