"""The handover between two processes of one door: messages, state, who may spend what, and real processes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import math
import random
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    AttemptEnded,
    CeilingShareChanged,
    RejectRequest,
    RequestArrived,
    Result,
    ServerAdminStateChanged,
    ServerList,
    ServerListKind,
    StartAttempt,
)
from irisdeal.front_door.handover import state as handover_state
from irisdeal.front_door.handover.message import (
    HEADER,
    MAX_BODY_BYTES,
    HandoverError,
    check_request,
    decode_body,
    decode_header,
    encode_message,
    encode_request,
)
from irisdeal.front_door.handover.roles import HALF_SHARE, Event, HandoverRole, Stage
from irisdeal.front_door.handover.state import export_state, import_state
from irisdeal.front_door.quota.counter_overload import CounterOverload
from irisdeal.front_door.quota.quota_account import QuotaAccount
from irisdeal.front_door.server.host import Host
from irisdeal.front_door.server.program import Program
from tests.front_door.test_operator import operate
from tests.support.decisions_rig import CEILED, MS, SECOND, GatewayHarness, server_entry, server_id
from tests.support.fake_peers import (
    Peer,
    Running,
    answer,
    ask,
    config,
    member,
    read_message,
    socket_test,
    whole_list,
)

# Messages


def test_a_message_comes_back_as_it_was() -> None:
    text = encode_message({"a": [1, "b"]})
    length, crc = decode_header(text[: HEADER.size])
    assert decode_body(text[HEADER.size :], length, crc) == {"a": [1, "b"]}
    check_request(encode_request("n0", "127.0.0.1:1").strip(), "n0", "127.0.0.1:1")


@pytest.mark.parametrize(
    "spoil",
    [
        lambda text: text[:10],  # half written
        lambda text: b"XXXX" + text[4:],
        lambda text: text[:4] + HEADER.pack(b"IRDH", 2, 3, 0)[4:8] + text[8:],  # another version
        lambda text: HEADER.pack(b"IRDH", 1, MAX_BODY_BYTES + 1, 0),
        lambda text: text[:-1],
        lambda text: text[:-2] + b"x" + text[-1:],  # damaged
        lambda text: encode_message({})[: HEADER.size - 8] + HEADER.pack(b"", 0, 2, 0x2144DF1C)[8:] + b"[]",
    ],
)
def test_what_is_no_message_is_not_believed(spoil: object) -> None:
    text = spoil(encode_message({"a": 1}))  # type: ignore[operator]
    with pytest.raises(HandoverError):
        length, crc = decode_header(text[: HEADER.size])
        decode_body(text[HEADER.size :], length, crc)


@pytest.mark.parametrize(
    "line", [b"", b"[]", b"{", b'{"version":2}', encode_request("n1", "127.0.0.1:1"), b"[" * 2000]
)
def test_only_the_same_door_of_the_same_version_is_told(line: bytes) -> None:
    with pytest.raises(HandoverError):
        check_request(line, "n0", "127.0.0.1:1")


# State


def worked(seed: int = 1, **changes: object) -> GatewayHarness:
    """A gateway that has served customers of every plan for a while, with a cold server and a ban."""
    desk = GatewayHarness(seed=seed, **changes)  # type: ignore[arg-type]
    desk.handle(
        ServerList(ServerListKind.CHANGES, 2, (server_entry(1, started_at=desk.now - SECOND),)),
        ServerAdminStateChanged(server_id(3), True),
    )
    chance = random.Random(seed)
    for _ in range(300):
        busy(desk, chance.randrange(6), chance.randrange(4))
        desk.now += 5 * MS
    return desk


def busy(desk: GatewayHarness, customer: int, plan: int) -> bool:
    """One request from its arrival to its end; whether it was sent on."""
    number, desk.next_request_id = desk.next_request_id, desk.next_request_id + 1
    actions = desk.handle(RequestArrived(number, customer, plan, 0, SECOND, 1.0, 0, 2))
    sent = False
    for _ in range(60):
        for action in [a for a in actions if isinstance(a, StartAttempt) and a.request_id == number]:
            sent = True
            desk.handle(AttemptEnded(number, 0, action.server_id, Result.OK, 3 * MS, True))
        if sent or any(isinstance(a, RejectRequest) and a.request_id == number for a in actions):
            return sent
        desk.now += 20 * MS
        actions = desk.handle()
    return sent


def taken_over(old: GatewayHarness) -> tuple[Gateway, dict[str, object]]:
    """What a new gateway makes of an old one's state, through JSON."""
    told = export_state(old.gateway, old.now, HALF_SHARE)
    old.handle(CeilingShareChanged(HALF_SHARE, False))
    told = json.loads(json.dumps(told))
    new = Gateway(old.settings, 99)
    entries = tuple(s.listed_entry() for s in old.gateway.servers.values())
    new.handle(
        old.now, [ServerList(ServerListKind.CACHED, 2, entries), CeilingShareChanged(HALF_SHARE, True)]
    )
    import_state(told, new, old.now)
    new.handle(old.now, [ServerAdminStateChanged(server, True) for server in new.disabled_servers])
    return new, told


def test_a_new_process_knows_what_the_old_one_knew() -> None:
    old = worked()
    cold = old.gateway.servers[server_id(1)]
    new, _ = taken_over(old)
    told, known = (
        {key: (c.total_demand, c.burst_left, c.name_index) for key, c in gateway.tenants.items()}
        for gateway in (old.gateway, new)
    )
    assert told == known and len(known) == 24
    assert new.disabled_servers == old.gateway.disabled_servers and server_id(3) not in {
        s.entry.server_id for s in new.ready_servers
    }
    assert new.mean_duration_us == old.gateway.mean_duration_us and math.isclose(
        new.window, old.gateway.window
    )
    assert list(new.servers[server_id(1)].cold_work_sent) == list(cold.cold_work_sent)
    assert new.servers[server_id(0)].relative_duration == old.gateway.servers[server_id(0)].relative_duration


def test_what_must_not_be_had_twice_is_given_away() -> None:
    old = worked()
    stores = {key: c.refill(old.now) for key, c in old.gateway.tenants.items()}
    owed = {key: c.unreported_demand for key, c in old.gateway.tenants.items()}
    new, _ = taken_over(old)
    for key, store in stores.items():
        one, other = old.gateway.tenants[key], new.tenants[key]
        assert one.ceiling_tokens + other.ceiling_tokens <= store + 1e-9
        assert math.isclose(one.ceiling_rate_per_us, other.ceiling_rate_per_us)
        assert (one.unreported_demand, other.unreported_demand) == (0.0, owed[key])
    assert new.may_use_cold_servers and not old.gateway.may_use_cold_servers


def test_a_spoilt_state_costs_knowledge_never_a_start() -> None:
    old = worked()
    told = json.loads(json.dumps(export_state(old.gateway, old.now, HALF_SHARE)))
    chance = random.Random(5)
    junk: list[object] = [None, "x", -1, 1e300, float("nan"), [], {}, True, 2**70, [[1]], "\ud800"]

    def spoil(value: object) -> object:
        if chance.random() < 0.1:
            return chance.choice(junk)
        if isinstance(value, dict):
            return {key: spoil(inner) for key, inner in value.items()}
        return [spoil(inner) for inner in value] if isinstance(value, list) else value

    for seed in range(60):
        new = Gateway(old.settings, seed)
        new.handle(old.now, [ServerList(ServerListKind.CACHED, 2, tuple(server_entry(n) for n in range(4)))])
        try:
            import_state({key: spoil(value) for key, value in told.items()}, new, old.now)
        except ValueError as error:
            assert "wanted" in str(error)
        desk = GatewayHarness(seed=seed)
        desk.gateway, desk.now = new, old.now
        for n in range(20):
            busy(desk, n % 6, n % 4)
            desk.now += 5 * MS
        assert all(c.ceiling_tokens <= c.ceiling_capacity + 1e-9 for c in new.tenants.values())


# Who may spend what

EVENTS = (Event.STATE_REQUESTED, Event.NEWER_ACCEPTS, Event.NEWER_ENDED)


def test_no_order_of_steps_gives_two_living_processes_more_than_one_door_has() -> None:
    """Every interleaving of the two sides' steps, with either dying at any point and messages late."""
    count = 0
    for steps in itertools.product(range(5), repeat=6):
        old, new = HandoverRole(has_older=False), None
        parts = {"old": (1.0, True)}
        alive = {"old": True, "new": False}
        to_old: list[Event] = []
        to_new: list[Event] = []

        def do(
            who: str, role: HandoverRole, event: Event, parts: dict[str, tuple[float, bool]] = parts
        ) -> None:
            if (duty := role.handle(event)) is not None:
                parts[who] = (duty.ceiling_share, duty.uses_cold_servers and duty.is_immediate)

        for step in steps:
            if step == 0 and alive["old"] and new is None and old.can_hand_over():  # the state is told
                do("old", old, Event.STATE_REQUESTED)
                new = HandoverRole(has_older=True)
                parts["new"], alive["new"] = (HALF_SHARE, True), True
                to_old, to_new = [Event.NEWER_ACCEPTS], []
            elif step == 1 and to_old and alive["old"]:  # what has come is heard, however late
                do("old", old, to_old.pop(0))
            elif step == 2 and to_new and new is not None and alive["new"]:
                do("new", new, to_new.pop(0))
            elif step == 3 and alive["old"]:
                alive["old"] = False
                to_new.append(Event.OLDER_ENDED)
            elif step == 4 and alive["new"]:
                alive["new"] = False
                to_old.append(Event.NEWER_ENDED)
            living = [parts[who] for who in alive if alive[who]]
            assert sum(part for part, _ in living) <= 1.0 and sum(warms for _, warms in living) <= 1
            count += 1
    assert count > 50_000


def test_late_and_doubled_events_change_nothing() -> None:
    role = HandoverRole(has_older=False)
    assert role.handle(Event.NEWER_ACCEPTS) is None and role.handle(Event.OLDER_ENDED) is None
    assert role.handle(Event.STATE_REQUESTED) is not None and not role.can_hand_over()
    assert role.handle(Event.STATE_REQUESTED) is None
    assert role.handle(Event.NEWER_ACCEPTS) is not None and role.handle(Event.NEWER_ACCEPTS) is None
    assert role.stage is Stage.DRAINING


@pytest.mark.parametrize("seed", range(12))
def test_both_together_keep_the_ceiling_of_one_door(seed: int) -> None:
    """A customer of the ceiling asks as much as it can of both, through a handover and an end."""
    chance = random.Random(seed)
    old = worked(seed, has_counter=False)
    plan = old.settings.plans[CEILED]
    units = list[int]()
    old_dies, told_at, ended_at = chance.random() < 0.5, chance.randrange(100), chance.randrange(100, 250)
    new: GatewayHarness | None = None
    for step in range(400):
        at = old.now
        if step == told_at:
            gateway, _ = taken_over(old)
            new = GatewayHarness(seed=seed, has_counter=False)
            new.gateway, new.now, new.next_request_id = gateway, old.now, 100_000
        living = [old] if new is None else [old, new]
        if step >= ended_at and new is not None:
            living = [new] if old_dies else [old]
            if step == ended_at:
                living[0].now = at
                living[0].handle(CeilingShareChanged(1.0, False))
        for desk in living:
            desk.now = at
            units += [at] * busy_at_once(desk)
            desk.now = at
        old.now = at + 20 * MS
        if new is not None:
            new.now = old.now
    # What one door's part of the ceiling lets through from a full store, in any window.
    rate, most = plan.ceiling_rate_per_s / 2, plan.ceiling_depth / 2
    for start in units:
        for end in (start + SECOND, start + 4 * SECOND):
            passed = sum(start <= at <= end for at in units)
            assert passed <= most + rate * (end - start) / SECOND + 1.0


def busy_at_once(desk: GatewayHarness) -> int:
    number, desk.next_request_id = desk.next_request_id, desk.next_request_id + 1
    actions = desk.handle(RequestArrived(number, 5, CEILED, 0, SECOND, 1.0, 0, 2))
    sent = [a for a in actions if isinstance(a, StartAttempt)]
    for action in sent:
        desk.handle(AttemptEnded(action.request_id, 0, action.server_id, Result.OK, 3 * MS, True))
    return len(sent)


# Two programs with one folder


class Beside(Host):
    def __init__(self, folder: Path) -> None:
        super().__init__()
        self._folder = str(folder)

    def handover_folder(self) -> str:
        return self._folder


@asynccontextmanager
async def program(folder: Path, **changes: object) -> AsyncIterator[Running]:
    """A program as it starts beside another: `run` without its signals, which are the loop's."""
    made = config(operator="127.0.0.1:2", **changes)
    loop = asyncio.get_running_loop()
    one = Program(made, loop, Gateway(made.settings, made.seed), Beside(folder))
    assert one.handover is not None
    await one.handover.fetch_state()
    one.start()
    run = Running(one)
    try:
        yield run
    finally:
        one.discovery.stop()
        one.clients.listener.close()
        assert one.operator is not None
        one.operator.stop()
        one.handover.stop()
        for writer in run.writers:
            writer.transport.abort()


def end(run: Running) -> None:
    """As the program's own end does it."""
    assert run.program.handover is not None
    run.program.stop()
    run.program.clients.listener.close()
    run.program.handover.stop()


def role(run: Running) -> Stage:
    assert run.program.handover is not None
    return run.program.handover.role.stage


async def until(run: Running, stage: Stage) -> None:
    while role(run) is not stage:
        await asyncio.sleep(0.001)


@socket_test
async def test_a_new_process_takes_over_bans_and_the_listening_socket() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with Peer() as backend, Peer() as other:
            known = whole_list(member("s-1", backend.port), member("s-2", other.port), revision=7)
            async with program(folder, known=known) as old:
                await operate(old, "/backends/disable?target=s-2", "POST")
                async with program(folder) as new:  # it is told no list of its own
                    await until(old, Stage.DRAINING)
                    assert new.program.clients.port() == old.program.clients.port()
                    assert (await operate(new, "/ready"))[0] == "HTTP/1.1 200 OK"
                    assert new.program.discovery.schedule.version == 7
                    gateway = new.program.decision_loop.decider
                    assert isinstance(gateway, Gateway) and list(gateway.disabled_servers) == [b"s-2"]
                    assert " 404 " in (await operate(new, "/backends/enable?target=s-9", "POST"))[0]
                    reader, writer = await old.client()  # the same queue: the new one takes it
                    writer.write(ask())
                    from_door, to_door = await backend.connection()
                    await read_message(from_door)
                    assert len(new.program.clients.connections) == 1 and not old.program.clients.connections
                    to_door.write(answer())
                    assert (await read_message(reader))[0] == "HTTP/1.1 200 OK"
                    sockets = new.program.config.max_sockets
                    halves = [
                        one.program.pool.max_connections + one.program.clients.slots.regular_slots
                        for one in (old, new)
                    ]
                    assert sum(halves) < sockets and gateway.ceiling_share == HALF_SHARE
                    end(old)
                    await until(new, Stage.ALONE)
                    assert gateway.ceiling_share == 1.0 and new.program.pool.max_connections > halves[1] / 2
                    assert (await operate(new, "/backends/enable?target=s-2", "POST"))[2] == b"back\n"


@socket_test
async def test_kept_connections_of_the_old_process_end_with_their_next_answer() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with Peer() as backend, program(folder, known=whole_list(member("s-1", backend.port))) as old:
            reader, writer = await old.client()

            async def once(trace: str) -> dict[str, str]:
                writer.write(ask(trace=trace))
                from_door, to_door = await backend.connection()
                await read_message(from_door)
                to_door.write(answer(extra="Connection: close\r\n"))
                return (await read_message(reader))[1]

            assert "connection" not in await once("a1")
            async with program(folder):
                await until(old, Stage.DRAINING)
                assert (await once("a2"))["connection"] == "close"


@socket_test
async def test_a_new_process_that_ends_leaves_the_old_one_serving() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with Peer() as backend, program(folder, known=whole_list(member("s-1", backend.port))) as old:
            async with program(folder) as new:
                await until(old, Stage.DRAINING)
                end(new)
            await until(old, Stage.ALONE)
            reader, writer = await old.client()
            writer.write(ask())
            from_door, to_door = await backend.connection()
            await read_message(from_door)
            to_door.write(answer())
            assert "connection" not in (await read_message(reader))[1]
            async with program(folder):  # and the next one finds it
                await until(old, Stage.DRAINING)


@socket_test
async def test_a_third_process_waits_until_the_first_has_ended() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        known = whole_list(member("s-1", 9))
        async with program(folder, known=known) as first, program(folder) as second:
            await until(first, Stage.DRAINING)
            asyncio.get_running_loop().call_later(0.1, end, first)
            async with program(folder) as third:
                await until(second, Stage.DRAINING)
                assert role(third) is Stage.BESIDE_OLDER and third.program.is_ready()[0]


@socket_test
async def test_leftovers_and_strangers_cost_no_start() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with program(folder, known=whole_list(member("s-1", 9))) as old:
            assert old.program.handover is not None
            path = folder / old.program.handover.socket_name
            for words in (b"", b"noise\n", b"x" * 4000, encode_request("n1", "127.0.0.1:9"), b'{"version":1'):
                reader, writer = await asyncio.open_unix_connection(str(path))
                writer.write(words)
                if writer.can_write_eof():
                    writer.write_eof()
                with contextlib.suppress(ConnectionResetError):
                    await reader.read()
                writer.close()
            assert role(old) is Stage.ALONE
            async with program(folder):
                await until(old, Stage.DRAINING)
        path.unlink(missing_ok=True)
        path.write_bytes(b"a file of another time")
        async with program(folder, known=whole_list(member("s-1", 9))) as one:
            assert one.program.is_ready()[0] and role(one) is Stage.ALONE


@socket_test
async def test_an_older_process_that_says_nothing_is_not_waited_for_long() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with program(folder) as one:
            assert one.program.handover is not None
            path = folder / one.program.handover.socket_name
        for said in (
            b"",
            encode_message({"a": 1})[:20],
            encode_message({"a": 1})[:-1] + b"\x00",
            encode_message({"servers": 3}),
        ):

            async def say(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                said: bytes = said,
            ) -> None:
                await reader.readline()
                writer.write(said)

            server = await asyncio.start_unix_server(say, str(path))
            start = asyncio.get_running_loop().time()
            async with program(folder, known=whole_list(member("s-1", 9))) as door:
                assert door.program.is_ready()[0]
                assert asyncio.get_running_loop().time() - start < 3.0
            server.close()
            path.unlink(missing_ok=True)


@socket_test
async def test_a_long_folder_name_is_no_hindrance() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text) / ("long" * 30)
        folder.mkdir()
        async with program(folder, known=whole_list(member("s-1", 9))) as old, program(folder):
            await until(old, Stage.DRAINING)


def test_the_keys_of_accounts_in_a_handover_stay_whatever_the_attributes_are_called() -> None:
    """Processes of the version before write and read them."""
    accounts = {
        **handover_state.ACCOUNT_KEYS,
        **handover_state.ACCOUNT_TIME_KEYS,
        **handover_state.ACCOUNT_INTEGER_KEYS,
    }
    assert list(accounts) == [
        *("drawn", "carried", "much", "mine", "alone"),
        *("heard_at", "mine_at", "alone_at"),
        *("index", "much_in"),
    ]
    assert list(handover_state.COUNTER_OVERLOAD_KEYS) == ["crowded", "silent"]
    assert set(accounts.values()) <= set(QuotaAccount.__slots__)
    assert set(handover_state.COUNTER_OVERLOAD_KEYS.values()) == set(vars(CounterOverload()))
