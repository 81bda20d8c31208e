"""MIXED at the socket: what a backend's bytes count as, however they come. The transport is a stand-in."""

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
WHOLE = b"HTTP/1.1 200 OK\r\n" + ID + SEAL + b"Content-Length: 4\r\n\r\nbody"
OTHER = WHOLE.replace(b"a1", b"b2")


class Wire:
    """A transport and its socket, both."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.ended = False

    def get_extra_info(self, _: str) -> Any:
        return self

    def setsockopt(self, *_: int) -> None:
        pass

    def fileno(self) -> int:
        return 0

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def abort(self) -> None:
        self.ended = True

    def is_closing(self) -> bool:
        return self.ended


def asked(
    id_: bytes,
    is_mutating: bool = True,
    until: float = float("inf"),
    send_by: float = float("inf"),
) -> BackendRequest:
    """A request as it is sent to a backend."""
    return BackendRequest(b"POST / HTTP/1.1\r\n\r\n", id_, False, is_mutating, until, send_by)


def played(pieces: list[bytes], closes: bool = False) -> tuple[AttemptOutcome | None, bool]:
    """The outcome of one request whose connection brings these pieces; whether it is done with."""

    async def play() -> tuple[AttemptOutcome | None, bool]:
        pool = ConnectionPool(asyncio.get_running_loop(), 8)
        connection = BackendConnection(Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0), pool._forget)
        wire = Wire()
        connection.connection_made(wire)  # type: ignore[arg-type]
        done = connection.start(asked(b"a1", is_mutating=False))
        for piece in pieces:
            connection.data_received(piece)
        if closes:
            connection.connection_lost(None)
        return (done.result() if done.done() else None), connection.is_dead

    return asyncio.run(play())


def test_a_whole_answer_counts_however_it_is_cut_into_pieces() -> None:
    for at in range(1, len(WHOLE)):
        outcome, dead = played([WHOLE[:at], WHOLE[at:]])
        assert (
            outcome is not None
            and outcome.end is AttemptEnd.RESPONSE
            and outcome.body == b"body"
            and not dead
        )


@pytest.mark.parametrize(
    "data",
    [
        OTHER,
        WHOLE.replace(ID, b""),
        WHOLE.replace(SEAL, b""),
        WHOLE.replace(SEAL, SEAL + b"Content-Encoding: gzip\r\n"),
        b"garbage\r\n\r\n",
        WHOLE.replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 5"),
    ],
    ids=["another request's", "no id", "no seal", "an encoding", "no answer", "two lengths"],
)
def test_what_is_no_answer_to_this_request_ends_the_connection_and_may_have_run(data: bytes) -> None:
    outcome, dead = played([data])
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED and dead


def test_an_answer_that_breaks_off_is_none_wherever_it_breaks() -> None:
    for at in range(len(WHOLE)):
        outcome, dead = played([WHOLE[:at]], closes=True)
        assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED and dead


def test_an_answer_without_a_length_is_none_as_its_end_looks_like_a_break() -> None:
    outcome, _ = played([WHOLE.replace(b"Content-Length: 4\r\n", b"")], closes=True)
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED


@pytest.mark.parametrize("more", [OTHER, b"xx", WHOLE])
def test_bytes_behind_a_whole_answer_belong_to_no_request(more: bytes) -> None:
    outcome, dead = played([WHOLE + more])
    assert outcome is not None and outcome.end is AttemptEnd.RESPONSE and outcome.body == b"body" and dead
    outcome, dead = played([WHOLE, more])
    assert outcome is not None and outcome.end is AttemptEnd.RESPONSE and dead


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 503 Full\r\n" + ID + b"X-Irisdeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 421 No\r\n" + ID + b"Content-Length: 0\r\n\r\n",
    ],
    ids=["not executed", "another life"],
)
def test_a_promise_frees_the_request(head: bytes) -> None:
    outcome, _ = played([head])
    assert outcome is not None and outcome.end is AttemptEnd.NOT_EXECUTED


def test_a_promise_to_another_request_frees_nothing() -> None:
    outcome, _ = played(
        [
            b"HTTP/1.1 503 Full\r\nX-Irisdeal-Attempt-Id: b2\r\nX-Irisdeal-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        ]
    )
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED


def second(first: bytes, then: bytes, id_: bytes = b"b2") -> AttemptOutcome:
    """The outcome of another request on a connection that was kept."""

    async def play() -> AttemptOutcome:
        pool = ConnectionPool(asyncio.get_running_loop(), 8)
        connection = BackendConnection(Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0), pool._forget)
        connection.connection_made(Wire())  # type: ignore[arg-type]
        connection.start(asked(b"a1"))
        connection.data_received(first)
        assert not connection.is_dead
        done = connection.start(asked(id_))
        connection.data_received(then)
        return done.result()

    return asyncio.run(play())


FULL = b"HTTP/1.1 503 Full\r\nX-Irisdeal-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_promise_without_an_id_frees_only_the_first_request_of_a_connection() -> None:
    """On a kept one it may be an earlier answer that comes twice."""
    outcome, _ = played([FULL])
    assert outcome is not None and outcome.end is AttemptEnd.NOT_EXECUTED
    assert second(WHOLE, FULL).end is AttemptEnd.MAY_HAVE_EXECUTED


def test_an_earlier_answer_that_comes_twice_answers_no_later_request() -> None:
    assert second(WHOLE, WHOLE).end is AttemptEnd.MAY_HAVE_EXECUTED
    assert second(WHOLE, OTHER).end is AttemptEnd.RESPONSE


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_that_says_not_executed_counts_only_with_the_backends_header(status: int) -> None:
    outcome, _ = played([WHOLE.replace(b"200 OK", b"%d X" % status).replace(SEAL, b"")])
    assert outcome is not None and outcome.end is AttemptEnd.MAY_HAVE_EXECUTED
    outcome, _ = played([WHOLE.replace(b"200 OK", b"500 X").replace(SEAL, b"")])
    assert outcome is not None and outcome.end is AttemptEnd.RESPONSE


def _kept(
    monkeypatch: pytest.MonkeyPatch,
    id_: bytes,
    left: float,
    send_left: float = 9.0,
) -> tuple[AttemptOutcome, Wire]:
    """The outcome of a request for which a connection rests, and what was written to that one.

    `left`, `send_left`: s of its time, and until when it may be sent.
    """
    monkeypatch.setattr(connection_pool, "is_readable", lambda _: False)

    async def play() -> tuple[AttemptOutcome, Wire]:
        loop = asyncio.get_running_loop()
        pool, wire = ConnectionPool(loop, 8), Wire()
        backend = Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0)
        connection = BackendConnection(backend, pool._forget)
        connection.connection_made(wire)  # type: ignore[arg-type]
        connection.start(asked(b"a1"))
        connection.data_received(FULL)
        pool._put_idle(connection)
        wire.written.clear()
        until, send_by = loop.time() + left, loop.time() + send_left
        return await pool.send(backend, asked(id_, until=until, send_by=send_by)), wire

    return asyncio.run(play())


def test_the_same_request_never_goes_over_the_same_connection_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A promise that comes twice would free the second attempt, which runs."""
    outcome, wire = _kept(monkeypatch, b"a1", 0.05)
    assert outcome.end is AttemptEnd.NOT_SENT and wire.ended and not wire.written


def test_nothing_is_written_behind_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process that stood still with a place in its hand sends nothing for it."""
    outcome, wire = _kept(monkeypatch, b"b2", -0.5)
    assert outcome.end is AttemptEnd.NOT_SENT and not wire.written


def test_nothing_is_written_behind_the_time_of_its_permit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its permit counts in a window that is over, though the client still waits."""
    outcome, wire = _kept(monkeypatch, b"b2", 0.05, send_left=-0.01)
    assert outcome.end is AttemptEnd.NOT_SENT and not wire.written
    outcome, wire = _kept(monkeypatch, b"b2", 0.05, send_left=0.05)
    assert wire.written


def test_what_may_run_once_gets_no_connection_that_rested_long(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "is_readable", lambda _: False)

    async def play() -> None:
        loop = asyncio.get_running_loop()
        pool, backend = ConnectionPool(loop, 8), Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0)
        connection = BackendConnection(backend, pool._forget)
        connection.connection_made(Wire())  # type: ignore[arg-type]
        pool._put_idle(connection)
        connection.idle_since = loop.time() - 0.8 * connection.max_idle_s
        assert list(pool.connected(loop.time(), is_mutating=True)) == []
        assert pool._take_idle(backend, is_mutating=True) is None
        assert list(pool.connected(loop.time(), is_mutating=False)) == ["i"]
        assert pool._take_idle(backend, is_mutating=False) is connection

    asyncio.run(play())
