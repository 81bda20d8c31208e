"""Calls between processes: each answer to its caller, each call once. Time is virtual."""

from __future__ import annotations

import ast
import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import settings as trying
from hypothesis import strategies as st
from returns.result import Failure, Success

from irisdeal.permits.allowance import Limit
from irisdeal.permits.authority import IssuerList
from irisdeal.permits.messages import PrefetchReport
from irisdeal.placement.attempt_end import AttemptResult
from irisdeal.proxy.registry_client import RegistryClient
from irisdeal.proxy.sources import Sources
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry import call_kinds
from irisdeal.registry.admission import AdmissionService
from irisdeal.registry.backend_table import BackendTable
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.messages import (
    IntervalReport,
    PlacementReply,
    PlacementRequest,
    PlacementResult,
    ReservationEnd,
)
from irisdeal.rpc import call_tables
from irisdeal.rpc import calls as table
from irisdeal.rpc.client import RpcClient
from irisdeal.rpc.frames import MAX_FRAME_BYTES, ONE_WAY, FrameReader, InvalidFrameError, encode
from irisdeal.rpc.server import DEFERRED, RpcServer
from irisdeal.runtime import events
from irisdeal.runtime.settings import Settings
from irisdeal.simulation.machine import Core, Costs, Machine
from irisdeal.simulation.network import Network, Way
from irisdeal.simulation.world import START, World

ROOT = Path(__file__).parents[2]
HOST, PORT = "10.0.0.2", 7000
PROGRAMS = ("config_store", "registry", "proxy")
WAITING: Any = object()


class CallRig:
    """A caller and an answerer, each a machine; what the scenario returns is the result."""

    def __init__(self) -> None:
        self.world = World(3)
        self.net = Network(self.world)
        self.way = Way(700, 100)
        self.net.pair("caller", HOST, self.way)
        self.caller = Machine(self.world, self.net, "caller", Core(), Costs())
        self.host = self.start_host()
        self.late: list[tuple[str, Any]] = []

    def start_host(self) -> Machine:
        return Machine(self.world, self.net, HOST, Core(), Costs())

    def client(self) -> RpcClient:
        return RpcClient((HOST, PORT), "proxy 10.0.0.1", lambda kind, body: self.late.append((kind, body)))

    def serve(self, server: Callable[[], RpcServer], host: Machine | None = None) -> None:
        async def run() -> int:
            await server().listen((HOST, PORT))
            await asyncio.get_running_loop().create_future()
            return 0

        (host or self.host).start(run())

    def answer_with(self, peer: Callable[[], asyncio.Protocol]) -> None:
        """A peer that is none of ours."""

        async def run() -> int:
            loop = asyncio.get_running_loop()
            await loop.create_server(peer, HOST, PORT)
            await loop.create_future()
            return 0

        self.host.start(run())

    def play(self, scenario: Awaitable[Any], seconds: float = 20.0) -> Any:
        result = WAITING

        async def run() -> int:
            nonlocal result
            await asyncio.sleep(0.1)
            result = await scenario
            return 0

        self.caller.start(run())
        self.world.run(lambda: result is not WAITING, START + int(seconds * 1e6))
        assert not self.caller.errors and not self.host.errors
        return result


def answering(times: dict[str, float], ran: list[Any] | None = None) -> Callable[[], RpcServer]:
    """A server that answers each call with its body, after so many s for its kind."""

    async def handle(peer: str, kind: str, body: Any) -> Any:
        if ran is not None:
            ran.append(body)
        await asyncio.sleep(times.get(kind, 0.0))
        return body

    return lambda: RpcServer(handle)


def logged_events(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """The numbers of events that are told from now on."""
    numbers: list[int] = []
    for module in ("irisdeal.rpc.client", "irisdeal.rpc.server"):
        monkeypatch.setattr(f"{module}.log_event", lambda number, **fields: numbers.append(number))
    assert events.CATALOGUE
    return numbers


def test_a_short_call_that_runs_out_of_time_takes_no_long_one_with_it() -> None:
    rig = CallRig()
    rig.serve(answering({"news": 1.0, "place": 0.2}))

    async def scenario() -> Any:
        client = rig.client()
        long = asyncio.ensure_future(client.call("news", "n", 1.5))
        await asyncio.sleep(0.1)
        short = await client.call("place", "p", 0.06)
        return short, await long

    short, long = rig.play(scenario())
    assert isinstance(short, Failure) and not short.failure().never_sent
    assert long == Success("n")


def test_a_late_answer_meets_nobody_but_who_hears_of_late_ones() -> None:
    rig = CallRig()
    rig.serve(answering({"place": 0.1}))

    async def scenario() -> Any:
        client = rig.client()
        first = await client.call("place", [1, "i-1", 1.0], 0.06)
        await asyncio.sleep(0.06)
        second = await client.call("place", [2, "i-2", 1.0], 0.5)
        return first, second

    first, second = rig.play(scenario())
    assert isinstance(first, Failure) and second == Success([2, "i-2", 1.0])
    assert rig.late == [("place", [1, "i-1", 1.0])]


def test_an_answer_that_waited_while_its_caller_stood_still_is_late() -> None:
    rig = CallRig()
    rig.serve(answering({"lend": 0.02}))

    async def scenario() -> Any:
        client = rig.client()
        await client.call("all", None, 0.4)
        lent = asyncio.ensure_future(client.call("lend", 7.0, 0.04))
        await asyncio.sleep(0.01)
        rig.caller.pause(rig.world.now + 4_000_000)
        return await lent

    assert isinstance(rig.play(scenario()), Failure)
    assert rig.late == [("lend", 7.0)]


def test_after_a_silence_the_next_call_goes_another_way_and_the_old_ones_keep_theirs() -> None:
    rig = CallRig()
    rig.serve(answering({"news": 2.0}))

    async def scenario() -> Any:
        client = rig.client()
        long = asyncio.ensure_future(client.call("news", "n", 5.0))
        await asyncio.sleep(0.1)
        rig.host.pause(rig.world.now + 1_000_000)
        silent = await client.call("place", "p", 0.06)
        old = client.connection
        again = await client.call("place", "q", 2.0)
        other = client.connection
        return silent, again, old is other, await long, old

    silent, again, same, long, old = rig.play(scenario())
    assert isinstance(silent, Failure) and again == Success("q") and not same
    assert long == Success("n") and not old.is_open  # it ended with its last call


def test_whoever_waits_for_a_connection_waits_no_longer_than_its_own_time() -> None:
    rig = CallRig()
    rig.way.cut = rig.way.silent = True

    async def scenario() -> Any:
        client, begun = rig.client(), rig.caller.time()
        answers = await asyncio.gather(*(client.call("place", "p", 0.06) for _ in range(10)))
        return answers, rig.caller.time() - begun

    answers, took = rig.play(scenario())
    assert all(isinstance(answer, Failure) and answer.failure().never_sent for answer in answers)
    assert took < 0.07


def test_a_call_is_never_sent_again_by_its_link() -> None:
    """The host dies with the call in its hands, a new life stands there at once: it runs nothing of it."""
    rig = CallRig()
    ran: list[Any] = []
    rig.serve(answering({"lend": 0.5}, ran))

    async def scenario() -> Any:
        client = rig.client()
        lent = asyncio.ensure_future(client.call("lend", 1, 2.0))
        await asyncio.sleep(0.1)
        rig.host.kill()
        rig.host = rig.start_host()
        rig.serve(answering({}, ran))
        first = await lent
        await asyncio.sleep(0.1)
        return first, await client.call("lend", 2, 2.0)

    first, second = rig.play(scenario())
    assert isinstance(first, Failure) and not first.failure().never_sent
    assert second == Success(2) and ran == [1, 2]


class Scripted(asyncio.Protocol):
    """Answers each call with these items; `%` stands for the call's number."""

    def __init__(self, script: list[list[Any]]) -> None:
        self.script, self.reader = script, FrameReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for number, kind, _ in self.reader.feed(data):
            if kind != "hello":
                for item in self.script:
                    self.transport.write(encode([number if part == "%" else part for part in item]))


@pytest.mark.parametrize(
    "script",
    [
        [[77, True, "x"]],
        [["%", True, "mine"], ["%", True, "twice"]],
        [[True, True, "x"]],
        [[1.0, True, "x"]],
        [["%", 1, "x"]],
        [["%", "false", "x"]],
        [["%", True]],
        [[-1, True, "x"]],
        [[[], True, "x"]],
    ],
    ids=[
        "never asked",
        "twice",
        "a truth",
        "no whole number",
        "no truth",
        "a word",
        "short",
        "a word's",
        "a list",
    ],
)
def test_an_answer_to_what_was_not_asked_ends_the_connection(
    script: list[list[Any]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig, numbers = CallRig(), logged_events(monkeypatch)
    rig.answer_with(lambda: Scripted(script))

    async def scenario() -> Any:
        client = rig.client()
        answer = await client.call("news", None, 0.5)
        await asyncio.sleep(0.1)
        assert client.connection is not None
        return answer, client.connection.is_open

    answer, is_open = rig.play(scenario())
    assert not is_open and set(numbers) <= {500, 510} and numbers
    assert answer == Success("mine") if script[0][1:] == [True, "mine"] else isinstance(answer, Failure)


def raw(rig: CallRig, frames: list[bytes]) -> bytes:
    """What comes back for these bytes, and a while later."""
    heard = bytearray()

    class Caller(asyncio.Protocol):
        def data_received(self, data: bytes) -> None:
            heard.extend(data)

    async def scenario() -> Any:
        transport, _ = await asyncio.get_running_loop().create_connection(Caller, HOST, PORT)
        for frame in frames:
            transport.write(frame)
        await asyncio.sleep(0.5)
        return transport.is_closing()

    assert rig.play(scenario()) in (True, False)
    return bytes(heard)


HELLO = encode([0, "hello", "proxy x"])


@pytest.mark.parametrize(
    ("frames", "ran"),
    [
        ([HELLO, encode([1, "lend", 1]), encode([1, "lend", 1])], [1]),
        ([HELLO, encode([2, "lend", 2]), encode([1, "lend", 1])], [2]),
        ([encode([1, "lend", 1])], []),
        ([HELLO, encode([1, "lend", 1]), HELLO, encode([2, "lend", 2])], [1]),
        ([HELLO, encode([ONE_WAY, "lend", 1]), encode([1, "lend", 2])], [2]),
        ([HELLO, encode([True, "lend", 1])], []),
        ([HELLO, encode([1.0, "lend", 1])], []),
        ([HELLO, encode([1, "no such", 1]), encode([2, "lend", 2])], [2]),
        ([HELLO, encode([1, "lend", 1]) + b"\x00\x00\x00\x02\x01\x01" + encode([2, "lend", 2])], [1]),
    ],
    ids=[
        "twice",
        "an older one",
        "no name",
        "two names",
        "as a word",
        "a truth",
        "no whole number",
        "no such call",
        "two items in a frame",
    ],
)
def test_a_call_runs_once_and_only_in_its_order(
    frames: list[bytes],
    ran: list[int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = CallRig()
    seen: list[Any] = []
    logged_events(monkeypatch)
    rig.serve(answering({}, seen))
    raw(rig, frames)
    assert seen == ran


def test_frames_torn_anywhere_are_whole_and_bad_ones_end_the_connection() -> None:
    whole = encode([1, True, "x"]) + encode([2, False, "y"])
    for at in range(len(whole)):
        reader = FrameReader()
        assert [*reader.feed(whole[:at]), *reader.feed(whole[at:])] == [[1, True, "x"], [2, False, "y"]]
    for bad in (
        b"\x00\x00\x00\x00",
        b"\xff\xff\xff\xff",
        b"\x00\x00\x00\x01\x83",
        b"\x00\x00\x00\x02\x01\x01",
    ):
        with pytest.raises(InvalidFrameError):
            list(FrameReader().feed(bad))


def test_a_call_that_is_answered_with_an_error_takes_no_other_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = CallRig()
    logged_events(monkeypatch)

    def quick(peer: str, kind: str, body: Any) -> Any:
        return body["no such"] if kind == "place" else DEFERRED

    async def handle(peer: str, kind: str, body: Any) -> Any:
        await asyncio.sleep(0.1)
        if kind == "all":
            return bytes(MAX_FRAME_BYTES)
        return body

    rig.serve(lambda: RpcServer(handle, quick))

    async def scenario() -> Any:
        client = rig.client()
        return await asyncio.gather(
            client.call("count", 1, 0.5),
            client.call("place", {}, 0.5),
            client.call("all", None, 0.5),
            client.call("told", bytes(MAX_FRAME_BYTES), 0.5),
        )

    count, place, long, sent = rig.play(scenario())
    assert count == Success(1)
    for failed in (place, long, sent):
        assert isinstance(failed, Failure) and "silent" not in failed.failure().detail
    assert sent.failure().never_sent and not long.failure().never_sent


def test_what_is_given_behind_a_connections_end_is_told_as_lost_again() -> None:
    rig = CallRig()
    lost: list[str] = []

    async def handle(peer: str, kind: str, body: Any) -> Any:
        await asyncio.sleep(0.3)
        return peer

    rig.serve(lambda: RpcServer(handle, None, lost.append))

    async def scenario() -> Any:
        client = rig.client()
        asked = asyncio.ensure_future(client.call("wait", 1, 1.0))
        await asyncio.sleep(0.1)
        client.close()
        await asyncio.sleep(0.5)
        return await asked

    assert isinstance(rig.play(scenario()), Failure)
    assert lost == ["proxy 10.0.0.1#1", "proxy 10.0.0.1#1"]


def test_a_word_over_no_connection_or_a_hung_one_is_said_to_be_lost() -> None:
    rig = CallRig()
    rig.serve(answering({}))

    async def scenario() -> Any:
        client = rig.client()
        none = client.notify("sums", [])
        await client.call("sums", [], 0.4)
        good = client.notify("sums", [])
        rig.host.pause(rig.world.now + 1_000_000)
        await client.call("sums", [], 0.1)
        return none, good, client.notify("sums", [])

    assert rig.play(scenario()) == (False, True, False)


# The table


def _kind_in(node: ast.expr | None) -> str | None:
    """The kind of a call that stands here, as a string or as a name of `call_kinds`; None where there is none."""
    if isinstance(node, ast.Constant):
        return node.value if isinstance(node.value, str) else None
    if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and node.value.id == "call_kinds":
        kind: str = getattr(call_kinds, node.attr)
        return kind
    return None


def _kinds_dispatched(handlers: ast.Dict) -> set[str]:
    """The keys of a table of handlers: those of which each is a name of `call_kinds`."""
    if not all(isinstance(key, ast.Attribute) for key in handlers.keys):
        return set()
    kinds = {_kind_in(key) for key in handlers.keys}
    return {kind for kind in kinds if kind is not None}


def _kinds_sent() -> Iterator[tuple[str, str, bool]]:
    """File, kind and whether as a word, of all that the programs send."""
    for program in (*PROGRAMS, "simulation"):
        for path in sorted((ROOT / "irisdeal" / program).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if (
                    isinstance(node, ast.Call)
                    and isinstance(node.func, ast.Attribute)
                    and node.func.attr in ("call", "notify", "_notify")
                    and node.args
                    and (kind := _kind_in(node.args[0])) is not None
                ):
                    yield path.name, kind, node.func.attr != "call"


def _kinds_served() -> set[Any]:
    served = set()
    for program in PROGRAMS:
        for path in sorted((ROOT / "irisdeal" / program).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text("utf-8"))):
                if (
                    isinstance(node, ast.Match)
                    and isinstance(node.subject, ast.Name)
                    and node.subject.id == "kind"
                ):
                    served |= {
                        value.value
                        for case in node.cases
                        for value in ast.walk(case.pattern)
                        if isinstance(value, ast.Constant)
                    }
                elif (
                    isinstance(node, ast.Compare)
                    and isinstance(node.left, ast.Name)
                    and node.left.id == "kind"
                    and (kind := _kind_in(node.comparators[0])) is not None
                ):
                    served.add(kind)
                elif isinstance(node, ast.Dict):
                    served |= _kinds_dispatched(node)
    return served


def test_each_kind_that_is_sent_or_served_is_in_the_table_and_none_is_there_for_nothing() -> None:
    sent = list(_kinds_sent())
    assert len(sent) >= 15
    for file, kind, is_one_way in sent:
        assert table.reason_not_to_send(kind, is_one_way) is None, (file, kind)
    assert set(table.CALLS) == _kinds_served()


def test_what_is_not_in_the_table_cannot_be_sent() -> None:
    rig = CallRig()

    async def scenario() -> Any:
        with pytest.raises(KeyError):
            await rig.client().call("borrow", None, 0.1)
        with pytest.raises(KeyError):
            rig.client().notify("lend", None)
        return True

    assert rig.play(scenario())


def test_the_page_has_the_table_of_the_code() -> None:
    assert call_tables.page() in (ROOT / "docs" / "design" / "control.md").read_text("utf-8")


def test_what_may_be_taken_twice_is_named_and_what_may_not_is_sent_once() -> None:
    for call in table.CALLS.values():
        assert call.after_reset and call.after_timeout
        assert call.retry is not table.RetryRule.CALLER or call.identified_by != "-"
        assert not (call.is_one_way and call.retry is table.RetryRule.NEVER)
    never = {kind for kind, call in table.CALLS.items() if call.retry is table.RetryRule.NEVER}
    assert never == {"place", "wait", "lend"}


# Places: whose they are, whatever becomes of connections


class Reception:
    """One registry, with one backend of 8 slots."""

    def __init__(self) -> None:
        self.now = 0.0
        loop: Any = SimpleNamespace(time=lambda: self.now)
        settings = Settings(
            node_name="g", role="registry", ip="g", zone="z", port_range=(1, 9), seed_peers=()
        )
        registry = BackendTable(1.5)
        self.desk = AdmissionService(settings, registry, loop, 1, lambda: 0.0, lambda *_: asyncio.sleep(0, 0))
        self.places = self.desk.places
        registry.observe(BackendIncarnation("i", "s", "10.9.0.1:80", "z", 8, BackendState.READY, 1, 0.0), 0.0)

    def place(self, peer: str) -> int:
        ask = PlacementRequest("z", "s", 0.1, [], 0, 0.0, 1.0)
        reply = PlacementReply.decode(self.desk.quick(peer, "place", ask.encode()))
        assert reply.result is PlacementResult.PLACED and reply.backend == "i"
        return reply.reservation

    def end(self, peer: str, number: int) -> None:
        self.desk.quick(peer, "ended", ReservationEnd(number, int(AttemptResult.GOOD), 1.0).encode())

    def out(self) -> int:
        return self.places.placer.backends["i"].in_flight


def test_the_end_of_one_connection_frees_what_was_given_over_it_alone() -> None:
    there = Reception()
    there.place("proxy d#1")
    there.place("proxy d#3")
    there.places.lost("proxy d#2")  # it heard news there
    assert there.out() == 2
    there.places.lost("proxy d#1")  # its former one, noticed late
    assert there.out() == 1
    there.places.lost("proxy d#3")
    assert there.out() == 0 and not there.places.placer.doors


def test_the_end_of_a_connection_does_not_end_what_a_proxy_was_granted_or_counts_for() -> None:
    there = Reception()
    quotas = there.desk.quotas
    quotas.issuer.configure({"t": Limit(30.0, 30.0)})
    listed = IssuerList(1, frozenset({"g"}))
    there.desk.authority.restore_recorded(listed, 0.0)
    there.now = 99.0
    there.desk.authority.observe_list(listed, there.now)
    report = IntervalReport(1.0, 0, {"t": Usage(5.0)}, PrefetchReport(7, 1, 0, {}, {"t": 3}))
    granted = quotas.report("proxy d#3", report).reserve.changes["t"]
    there.places.lost("proxy d#3")
    assert granted > 0 and quotas.issuer.outstanding.total("t") == granted
    assert quotas.counter.reports


def test_an_end_told_twice_or_over_another_connection_frees_one_place_and_one_door_frees_no_others() -> None:
    there = Reception()
    number, other = there.place("proxy d#1"), there.place("proxy e#2")
    there.end("proxy e#2", number)
    assert there.out() == 2
    there.end("proxy d#3", number)
    there.end("proxy d#3", number)
    there.end("proxy d#1", number)
    assert there.out() == 1
    there.places.lost("proxy d#1")
    assert there.out() == 1 and set(there.places.placer.places) == {other}


def test_an_end_told_to_a_later_life_of_the_registry_meets_no_place() -> None:
    for _ in range(20):
        before, after = Reception(), Reception()
        numbers = [before.place("proxy d#1") for _ in range(8)]
        for _ in range(8):
            after.place("proxy d#1")
        for number in numbers:
            after.end("proxy d#1", number)
        assert after.out() == 8


def test_a_place_in_a_late_answer_is_told_as_ended() -> None:
    rig = CallRig()
    ended: list[Any] = []

    def quick(peer: str, kind: str, body: Any) -> Any:
        return ended.append(body) if kind == "ended" else DEFERRED

    async def handle(peer: str, kind: str, body: Any) -> Any:
        await asyncio.sleep(0.09)
        return [7, "i", 1.0]

    rig.serve(lambda: RpcServer(handle, quick))

    async def scenario() -> Any:
        settings = Settings(
            node_name="d",
            role="proxy",
            ip="10.0.0.1",
            zone="z",
            port_range=(6998, 7010),
            seed_peers=(f"{HOST}:1",),
        )
        sources = Sources(settings, lambda version: None, lambda incarnation, silent: None)
        sources.has_heard.set()
        sources.answering.add(HOST)
        client = RegistryClient(settings, sources)
        client.links[HOST] = RpcClient((HOST, PORT), "proxy 10.0.0.1", client._link(HOST).on_late_answer)
        placement = await client.place(PlacementRequest("z", "s", 0.1, [], 0, 0.0, 1.0), 0.0)
        await asyncio.sleep(0.2)
        return placement, client.silent_until

    placement, silent = rig.play(scenario())
    assert placement.reply.result is PlacementResult.NO_REGISTRY and placement.is_counted
    assert HOST in silent and ended == [[7, int(AttemptResult.UNKNOWN), 0.0]]


# Lives: told late, twice, in any order


@trying(max_examples=150, deadline=None)
@given(st.integers(0, 100_000))
def test_beats_drains_and_ends_told_late_twice_and_in_any_order_lead_to_the_same(seed: int) -> None:
    chance = random.Random(seed)
    versions = [
        BackendIncarnation("i", "s", f"10.9.0.{count}:80", "z", 2, BackendState.READY, count, 0.0)
        for count in range(1, 5)
    ]
    ends = chance.choice((None, BackendState.DRAINING, BackendState.GONE))
    if ends is not None:
        versions.append(BackendIncarnation("i", "s", "10.9.0.5:80", "z", 2, ends, 5, 0.0))
    known = []
    for _ in range(3):
        registry, received = BackendTable(1.5), versions * 2
        chance.shuffle(received)
        for incarnation in received:
            registry.observe(incarnation, 1.0)
        incarnation = registry.entries["i"].incarnation
        known.append((incarnation.state, incarnation.count, incarnation.address))
        number = registry.version
        for late in versions:  # each once more: no news
            assert not registry.observe(late, 1.5)
        assert registry.version == number
    assert set(known) == {(ends or BackendState.READY, len(versions), f"10.9.0.{len(versions)}:80")}


def test_a_late_beat_brings_no_life_back_and_a_new_life_at_its_address_is_another() -> None:
    registry = BackendTable(1.5)
    registry.observe(BackendIncarnation("i-1", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 7, 0.0), 0.0)
    assert registry.deregister("i-1", 1.0) is not None and registry.deregister("i-1", 1.1) is not None
    registry.observe(BackendIncarnation("i-1", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 99, 0.0), 2.0)
    registry.observe(BackendIncarnation("i-2", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 7, 0.0), 2.0)
    assert {id_: entry.incarnation.state for id_, entry in registry.entries.items()} == {
        "i-1": BackendState.GONE,
        "i-2": BackendState.READY,
    }
