"""Client of the counter: each call ends exactly once, whatever the counter does."""

import asyncio
from typing import Any

from irisdeal.front_door.decisions.interface import AddToCounter, CounterAnswered, Result
from tests.support.fake_peers import Peer, Script, running, settings, socket_test


def counting(peer: Peer, **family: Any) -> dict[str, Any]:
    """Configuration with a counter and a long call timeout; `family` overrides its settings."""
    family_info = {"shared_counter": True, "count_wait_us": 5_000_000, **family}
    return {"counter": f"127.0.0.1:{peer.port}", "settings": settings(family_info=family_info)}


def no_actions() -> Script:
    return Script(lambda event: [])


@socket_test
async def test_responses_are_matched_in_order() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter)) as front_door:
        for amount in (2.5, -1.0, 0.0, 7.0):
            front_door.program.decision_loop._apply(AddToCounter(0xAB, amount, 4_000_000))
        reader, writer = await counter.connection()
        lines = [await reader.readuntil(b"\r\n") for _ in range(4)]
        assert lines[:2] == [b"tally ab 2.5 4000\r\n", b"tally ab -1 4000\r\n"]
        writer.write(b"ok 2.5\r\nbusy\r\nerr")
        writer.write(b"or\r\nok 1e3\r\n")
        answers = await script.wait_for(CounterAnswered, 4)
        assert [(a.counter_name, a.result, a.total) for a in answers] == [
            (0xAB, Result.OK, 2.5),
            (0xAB, Result.REJECTED, 0.0),
            (0xAB, Result.REJECTED, 0.0),
            (0xAB, Result.OK, 1000.0),
        ]


@socket_test
async def test_a_connection_lost_after_writing_counts_as_timed_out() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter)) as front_door:
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.transport.abort()
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]


@socket_test
async def test_a_refused_connection_counts_as_not_connected() -> None:
    script = no_actions()
    async with Peer() as counter:
        configuration = counting(counter)
    async with running(script, **configuration) as front_door:  # the port is closed by now
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.NOT_CONNECTED]


@socket_test
async def test_a_late_response_is_not_taken_for_the_next_calls_response() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter, count_wait_us=300_000)) as front_door:
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\nok 2\r\n")
        answers = await script.wait_for(CounterAnswered, 2)
        assert (answers[1].result, answers[1].total) == (Result.OK, 2.0)


@socket_test
async def test_calls_beyond_the_pending_limit_fail_at_once() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter)) as front_door:
        for _ in range(100):
            front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        answers = await script.wait_for(CounterAnswered, 84)
        assert {a.result for a in answers} == {Result.NOT_CONNECTED}
        reader, writer = await counter.connection()
        for _ in range(16):
            await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\n" * 16)
        assert len(await script.wait_for(CounterAnswered, 100)) == 100


@socket_test
async def test_a_connection_without_responses_is_closed() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter, count_wait_us=20_000)) as front_door:
        front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, _ = await counter.connection()
        await reader.read()  # closed by the front door
        assert len(await script.wait_for(CounterAnswered)) == 1


@socket_test
async def test_invalid_lines_close_the_connection() -> None:
    invalid_totals = (b"", b" nan", b" 1_0", b" inf", b" 1e999", b" 1 2")
    total_lines = [b"ok" + total + b"\r\n" for total in invalid_totals]
    for line in (*total_lines, b"what\r\n", b"x" * 1000, b"pong\r\n", b"\xff\xfe\r\n"):
        script = no_actions()
        async with Peer() as counter, running(script, **counting(counter)) as front_door:
            front_door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
            reader, writer = await counter.connection()
            await reader.readuntil(b"\r\n")
            writer.write(line)
            assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]


@socket_test
async def test_after_an_invalid_line_the_next_call_uses_a_new_connection_at_once() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter)) as front_door:
        count = front_door.program.decision_loop._apply
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\n")
        await script.wait_for(CounterAnswered)
        count(AddToCounter(1, 1.0, 1000))
        await reader.readuntil(b"\r\n")
        writer.write(b"ok {}\r\n")
        await script.wait_for(CounterAnswered, 2)
        count(AddToCounter(1, 1.0, 1000))  # at once: a delay would fail a quarter of the names
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 3\r\n")
        answers = await script.wait_for(CounterAnswered, 3)
        assert [a.result for a in answers] == [Result.OK, Result.TIMED_OUT, Result.OK]


@socket_test
async def test_an_incomplete_line_times_out_one_call_and_closes_the_connection() -> None:
    script = no_actions()
    async with Peer() as counter, running(script, **counting(counter, count_wait_us=200_000)) as front_door:
        count = front_door.program.decision_loop._apply
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1")  # and nothing more
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]
        assert await reader.read() == b""  # closed: further responses could not be matched
        assert front_door.program.decision_loop.counter is not None
        line = next(
            line for line in front_door.program.decision_loop.counter.connections if line.reconnect_at
        )
        while asyncio.get_running_loop().time() < line.reconnect_at:
            await asyncio.sleep(0.01)
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 2\r\n")
        assert (await script.wait_for(CounterAnswered, 2))[1].total == 2.0
