"""Rule MIXED at the socket: how a backend's bytes are matched to requests. The transport is a stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy import connection_pool
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.backend_connection import BackendConnection
from irisdeal.proxy.backend_request import BackendRequest
from irisdeal.proxy.connection_pool import ConnectionPool

ID, SEAL = b"X-Irisdeal-Attempt-Id: a1\r\n", b"X-Irisdeal-Backend-Seal: s\r\n"
COMPLETE = b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Content-Length: 4\r\n\r\nbody"
OTHER_ID = COMPLETE.replace(b"a1", b"b2")


class StandInTransport:
    """A stand-in for a transport and its socket."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.is_aborted = False

    def get_extra_info(self, _: str) -> Any:
        return self

    def setsockopt(self, *_: int) -> None:
        pass

    def fileno(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted


def make_request(
    id_: bytes,
    is_mutating: bool = True,
    deadline: float = float("inf"),
    send_by: float = float("inf"),
) -> BackendRequest:
    """Return a request as it is sent to a backend."""
    return BackendRequest(b"POST / HTTP/1.1\r\n\r\n", id_, False, is_mutating, deadline, send_by)


def receive(pieces: list[bytes], closes: bool = False) -> tuple[AttemptOutcome | None, bool]:
    """Return the outcome of one request after its connection received these bytes, and whether that is
    dead.
    """

    async def play() -> tuple[AttemptOutcome | None, bool]:
        pool = ConnectionPool(asyncio.get_running_loop(), 8)
        connection = BackendConnection(Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0), pool._remove)
        transport = StandInTransport()
        connection.connection_made(transport)  # type: ignore[arg-type]
        done = connection.start(make_request(b"a1", is_mutating=False))
        for piece in pieces:
            connection.data_received(piece)
        if closes:
            connection.connection_lost(None)
        return (done.result() if done.done() else None), connection.is_dead

    return asyncio.run(play())


def test_a_complete_response_counts_in_whatever_pieces_it_arrives() -> None:
    for at in range(1, len(COMPLETE)):
        outcome, dead = receive([COMPLETE[:at], COMPLETE[at:]])
        assert (
            outcome is not None
            and outcome.end is AttemptEnd.RESPONSE
            and outcome.body == b"body"
            and not dead
        )


@pytest.mark.parametrize(
    "data",
    [
        OTHER_ID,
        COMPLETE.replace(ID, b""),
        COMPLETE.replace(SEAL, b""),
        COMPLETE.replace(SEAL, SEAL + b"Content-Encoding: gzip\r\n"),
        b"garbage\r\n\r\n",
        COMPLETE.replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 5"),
    ],
    ids=["another request's", "no id", "no seal", "an encoding", "no HTTP", "two lengths"],
)
def test_an_invalid_response_closes_the_connection_and_may_have_executed(data: bytes) -> None:
    outcome, dead = receive([data])
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED and dead


def test_a_response_cut_at_any_byte_may_have_executed() -> None:
    for at in range(len(COMPLETE)):
        outcome, dead = receive([COMPLETE[:at]], closes=True)
        assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED and dead


def test_a_response_without_a_length_is_invalid_as_its_end_looks_like_a_broken_connection() -> None:
    outcome, _ = receive([COMPLETE.replace(b"Content-Length: 4\r\n", b"")], closes=True)
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED


@pytest.mark.parametrize("more", [OTHER_ID, b"xx", COMPLETE])
def test_bytes_after_a_complete_response_belong_to_no_request(more: bytes) -> None:
    outcome, dead = receive([COMPLETE + more])
    assert outcome is not None and outcome.end is AttemptEnd.RESPONSE and outcome.body == b"body" and dead
    outcome, dead = receive([COMPLETE, more])
    assert outcome is not None and outcome.end is AttemptEnd.RESPONSE and dead


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 503 Full\r\n" + ID + b"X-Irisdeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 421 No\r\n" + ID + b"Content-Length: 0\r\n\r\n",
    ],
    ids=["not executed", "another incarnation"],
)
def test_a_statement_of_non_execution_allows_a_retry(head: bytes) -> None:
    outcome, _ = receive([head])
    assert outcome is not None and outcome.end is AttemptEnd.NOT_EXECUTED


def test_a_statement_of_non_execution_for_another_request_is_ignored() -> None:
    outcome, _ = receive(
        [
            b"HTTP/1.1 503 Full\r\nX-Irisdeal-Attempt-Id: b2\r\nX-Irisdeal-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        ]
    )
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED


def receive_second(first: bytes, then: bytes, id_: bytes = b"b2") -> AttemptOutcome:
    """Return the outcome of a second request on a connection that was kept open."""

    async def play() -> AttemptOutcome:
        pool = ConnectionPool(asyncio.get_running_loop(), 8)
        connection = BackendConnection(Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0), pool._remove)
        connection.connection_made(StandInTransport())  # type: ignore[arg-type]
        connection.start(make_request(b"a1"))
        connection.data_received(first)
        assert not connection.is_dead
        done = connection.start(make_request(id_))
        connection.data_received(then)
        return done.result()

    return asyncio.run(play())


FULL = b"HTTP/1.1 503 Full\r\nX-Irisdeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_statement_of_non_execution_without_an_id_counts_only_for_the_first_request_of_a_connection() -> (
    None
):
    """On a reused connection it may be a duplicate of an earlier response."""
    outcome, _ = receive([FULL])
    assert outcome is not None and outcome.end is AttemptEnd.NOT_EXECUTED
    assert receive_second(COMPLETE, FULL).end is AttemptEnd.MAY_HAVE_EXECUTED


def test_a_duplicate_response_is_not_taken_for_the_response_to_a_later_request() -> None:
    assert receive_second(COMPLETE, COMPLETE).end is AttemptEnd.MAY_HAVE_EXECUTED
    assert receive_second(COMPLETE, OTHER_ID).end is AttemptEnd.RESPONSE


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_that_means_not_executed_counts_only_with_the_backends_header(status: int) -> None:
    outcome, _ = receive([COMPLETE.replace(b"200 OK", b"%d X" % status).replace(SEAL, b"")])
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED
    outcome, _ = receive([COMPLETE.replace(b"200 OK", b"500 X").replace(SEAL, b"")])
    assert outcome is not None and outcome.end is AttemptEnd.RESPONSE


def send_over_idle(
    monkeypatch: pytest.MonkeyPatch,
    id_: bytes,
    remaining_s: float,
    send_within_s: float = 9.0,
) -> tuple[AttemptOutcome, StandInTransport]:
    """Return the outcome of a request for which there is an idle connection, and that one's transport.

    `remaining_s`: until its deadline; `send_within_s`: until the end of its permit.
    """
    monkeypatch.setattr(connection_pool, "is_readable", lambda _: False)

    async def play() -> tuple[AttemptOutcome, StandInTransport]:
        loop = asyncio.get_running_loop()
        pool, transport = ConnectionPool(loop, 8), StandInTransport()
        backend = Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0)
        connection = BackendConnection(backend, pool._remove)
        connection.connection_made(transport)  # type: ignore[arg-type]
        connection.start(make_request(b"a1"))
        connection.data_received(FULL)
        pool._put_idle(connection)
        transport.written.clear()
        deadline, send_by = loop.time() + remaining_s, loop.time() + send_within_s
        return await pool.send(backend, make_request(id_, deadline=deadline, send_by=send_by)), transport

    return asyncio.run(play())


def test_a_request_is_never_sent_over_the_same_connection_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """A duplicate of the first statement of non-execution would be taken for that of the second attempt."""
    outcome, transport = send_over_idle(monkeypatch, b"a1", 0.05)
    assert outcome.end is AttemptEnd.NOT_SENT and transport.is_aborted and not transport.written


def test_nothing_is_written_after_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process may be paused between the placement of an attempt and its sending."""
    outcome, transport = send_over_idle(monkeypatch, b"b2", -0.5)
    assert outcome.end is AttemptEnd.NOT_SENT and not transport.written


def test_nothing_is_written_after_the_permit_has_expired(monkeypatch: pytest.MonkeyPatch) -> None:
    """The permit counts in a window that has ended, though the client still waits."""
    outcome, transport = send_over_idle(monkeypatch, b"b2", 0.05, send_within_s=-0.01)
    assert outcome.end is AttemptEnd.NOT_SENT and not transport.written
    outcome, transport = send_over_idle(monkeypatch, b"b2", 0.05, send_within_s=0.05)
    assert transport.written


def test_a_mutating_request_gets_no_connection_that_was_idle_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "is_readable", lambda _: False)

    async def play() -> None:
        loop = asyncio.get_running_loop()
        pool, backend = ConnectionPool(loop, 8), Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0)
        connection = BackendConnection(backend, pool._remove)
        connection.connection_made(StandInTransport())  # type: ignore[arg-type]
        pool._put_idle(connection)
        connection.idle_since = loop.time() - 0.8 * connection.max_idle_s
        assert list(pool.connected(loop.time(), is_mutating=True)) == []
        assert pool._take_idle(backend, is_mutating=True) is None
        assert list(pool.connected(loop.time(), is_mutating=False)) == ["i"]
        assert pool._take_idle(backend, is_mutating=False) is connection

    asyncio.run(play())
