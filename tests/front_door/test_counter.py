"""Each call to the counter gets exactly one answer, whatever the counter does."""

import asyncio
from typing import Any

from irisdeal.front_door.decisions.interface import AddToCounter, CounterAnswered, Result
from tests.support.fake_peers import Peer, Script, running, settings, socket_test


def counting(peer: Peer, **family: Any) -> dict[str, Any]:
    """Configuration with a counter; calls time out late unless told otherwise."""
    told = {"shared_counter": True, "count_wait_us": 5_000_000, **family}
    return {"counter": f"127.0.0.1:{peer.port}", "settings": settings(family_info=told)}


def quiet() -> Script:
    return Script(lambda event: [])


@socket_test
async def test_answers_are_matched_in_order() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter)) as door:
        for amount in (2.5, -1.0, 0.0, 7.0):
            door.program.decision_loop._apply(AddToCounter(0xAB, amount, 4_000_000))
        reader, writer = await counter.connection()
        lines = [await reader.readuntil(b"\r\n") for _ in range(4)]
        assert lines[:2] == [b"tally ab 2.5 4000\r\n", b"tally ab -1 4000\r\n"]
        writer.write(b"ok 2.5\r\nbusy\r\nerr")
        writer.write(b"or\r\nok 1e3\r\n")
        told = await script.wait_for(CounterAnswered, 4)
        assert [(a.counter_name, a.result, a.total) for a in told] == [
            (0xAB, Result.OK, 2.5),
            (0xAB, Result.REJECTED, 0.0),
            (0xAB, Result.REJECTED, 0.0),
            (0xAB, Result.OK, 1000.0),
        ]


@socket_test
async def test_a_break_after_writing_may_have_added() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter)) as door:
        door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.transport.abort()
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]


@socket_test
async def test_a_refused_connection_added_nothing() -> None:
    script = quiet()
    async with Peer() as counter:
        told = counting(counter)
    async with running(script, **told) as door:  # nobody listens any more
        door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.NOT_CONNECTED]


@socket_test
async def test_a_late_answer_is_not_taken_for_the_next_calls() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter, count_wait_us=300_000)) as door:
        door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]
        door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\nok 2\r\n")
        told = await script.wait_for(CounterAnswered, 2)
        assert (told[1].result, told[1].total) == (Result.OK, 2.0)


@socket_test
async def test_a_silent_counter_finds_no_pile_of_calls() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter)) as door:
        for _ in range(100):
            door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        told = await script.wait_for(CounterAnswered, 84)
        assert {a.result for a in told} == {Result.NOT_CONNECTED}
        reader, writer = await counter.connection()
        for _ in range(16):
            await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\n" * 16)
        assert len(await script.wait_for(CounterAnswered, 100)) == 100


@socket_test
async def test_a_connection_without_answers_is_given_up() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter, count_wait_us=20_000)) as door:
        door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
        reader, _ = await counter.connection()
        await reader.read()  # the door closes it by itself
        assert len(await script.wait_for(CounterAnswered)) == 1


@socket_test
async def test_odd_lines_end_the_connection_not_the_door() -> None:
    totals = (b"", b" nan", b" 1_0", b" inf", b" 1e999", b" 1 2")
    odd_totals = [b"ok" + total + b"\r\n" for total in totals]
    for odd in (*odd_totals, b"what\r\n", b"x" * 1000, b"pong\r\n", b"\xff\xfe\r\n"):
        script = quiet()
        async with Peer() as counter, running(script, **counting(counter)) as door:
            door.program.decision_loop._apply(AddToCounter(1, 1.0, 1000))
            reader, writer = await counter.connection()
            await reader.readuntil(b"\r\n")
            writer.write(odd)
            assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]


@socket_test
async def test_after_an_odd_line_the_next_call_is_heard_on_a_new_connection() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter)) as door:
        count = door.program.decision_loop._apply
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1\r\n")
        await script.wait_for(CounterAnswered)
        count(AddToCounter(1, 1.0, 1000))
        await reader.readuntil(b"\r\n")
        writer.write(b"ok {}\r\n")
        await script.wait_for(CounterAnswered, 2)
        count(AddToCounter(1, 1.0, 1000))  # at once: a quarter of the names must not wait a pause out
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 3\r\n")
        told = await script.wait_for(CounterAnswered, 3)
        assert [a.result for a in told] == [Result.OK, Result.TIMED_OUT, Result.OK]


@socket_test
async def test_a_line_without_an_end_costs_one_call_its_time_and_no_other_line() -> None:
    script = quiet()
    async with Peer() as counter, running(script, **counting(counter, count_wait_us=200_000)) as door:
        count = door.program.decision_loop._apply
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 1")  # and nothing more
        assert [a.result for a in await script.wait_for(CounterAnswered)] == [Result.TIMED_OUT]
        assert await reader.read() == b""  # given up: answers behind it could not be told apart
        assert door.program.decision_loop.counter is not None
        line = next(line for line in door.program.decision_loop.counter.connections if line.reconnect_at)
        while asyncio.get_running_loop().time() < line.reconnect_at:
            await asyncio.sleep(0.01)
        count(AddToCounter(1, 1.0, 1000))
        reader, writer = await counter.connection()
        await reader.readuntil(b"\r\n")
        writer.write(b"ok 2\r\n")
        assert (await script.wait_for(CounterAnswered, 2))[1].total == 2.0
