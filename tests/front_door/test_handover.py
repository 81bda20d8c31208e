"""Handover between two processes of one front door: messages, state, ceiling shares, and two programs."""

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
from tests.front_door.test_operator import call_operator
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


def test_a_message_is_decoded_as_it_was_encoded() -> None:
    text = encode_message({"a": [1, "b"]})
    length, crc = decode_header(text[: HEADER.size])
    assert decode_body(text[HEADER.size :], length, crc) == {"a": [1, "b"]}
    check_request(encode_request("n0", "127.0.0.1:1").strip(), "n0", "127.0.0.1:1")


@pytest.mark.parametrize(
    "damage",
    [
        lambda text: text[:10],  # truncated
        lambda text: b"XXXX" + text[4:],
        lambda text: text[:4] + HEADER.pack(b"IRDH", 2, 3, 0)[4:8] + text[8:],  # another version
        lambda text: HEADER.pack(b"IRDH", 1, MAX_BODY_BYTES + 1, 0),
        lambda text: text[:-1],
        lambda text: text[:-2] + b"x" + text[-1:],  # damaged
        lambda text: encode_message({})[: HEADER.size - 8] + HEADER.pack(b"", 0, 2, 0x2144DF1C)[8:] + b"[]",
    ],
)
def test_a_damaged_message_is_rejected(damage: object) -> None:
    text = damage(encode_message({"a": 1}))  # type: ignore[operator]
    with pytest.raises(HandoverError):
        length, crc = decode_header(text[: HEADER.size])
        decode_body(text[HEADER.size :], length, crc)


@pytest.mark.parametrize(
    "line", [b"", b"[]", b"{", b'{"version":2}', encode_request("n1", "127.0.0.1:1"), b"[" * 2000]
)
def test_a_request_of_another_front_door_or_version_is_rejected(line: bytes) -> None:
    with pytest.raises(HandoverError):
        check_request(line, "n0", "127.0.0.1:1")


# State


def used_gateway(seed: int = 1, **changes: object) -> GatewayHarness:
    """Return a gateway that has served customers of every plan, with a cold server and a banned one."""
    rig = GatewayHarness(seed=seed, **changes)  # type: ignore[arg-type]
    rig.handle(
        ServerList(ServerListKind.CHANGES, 2, (server_entry(1, started_at=rig.now - SECOND),)),
        ServerAdminStateChanged(server_id(3), True),
    )
    chance = random.Random(seed)
    for _ in range(300):
        serve_request(rig, chance.randrange(6), chance.randrange(4))
        rig.now += 5 * MS
    return rig


def serve_request(rig: GatewayHarness, customer: int, plan: int) -> bool:
    """Send one request and end its attempt; return whether it was sent to a server."""
    number, rig.next_request_id = rig.next_request_id, rig.next_request_id + 1
    actions = rig.handle(RequestArrived(number, customer, plan, 0, SECOND, 1.0, 0, 2))
    sent = False
    for _ in range(60):
        for action in [a for a in actions if isinstance(a, StartAttempt) and a.request_id == number]:
            sent = True
            rig.handle(AttemptEnded(number, 0, action.server_id, Result.OK, 3 * MS, True))
        if sent or any(isinstance(a, RejectRequest) and a.request_id == number for a in actions):
            return sent
        rig.now += 20 * MS
        actions = rig.handle()
    return sent


def hand_over(old: GatewayHarness) -> tuple[Gateway, dict[str, object]]:
    """Return a new gateway that imported an old one's state through JSON, and that state."""
    state = export_state(old.gateway, old.now, HALF_SHARE)
    old.handle(CeilingShareChanged(HALF_SHARE, False))
    state = json.loads(json.dumps(state))
    new = Gateway(old.settings, 99)
    entries = tuple(s.listed_entry() for s in old.gateway.servers.values())
    new.handle(
        old.now, [ServerList(ServerListKind.CACHED, 2, entries), CeilingShareChanged(HALF_SHARE, True)]
    )
    import_state(state, new, old.now)
    new.handle(old.now, [ServerAdminStateChanged(server, True) for server in new.disabled_servers])
    return new, state


def test_a_new_process_imports_the_state_of_the_old_one() -> None:
    old = used_gateway()
    cold = old.gateway.servers[server_id(1)]
    new, _ = hand_over(old)
    exported, imported = (
        {key: (c.total_demand, c.burst_left, c.name_index) for key, c in gateway.tenants.items()}
        for gateway in (old.gateway, new)
    )
    assert exported == imported and len(imported) == 24
    assert new.disabled_servers == old.gateway.disabled_servers and server_id(3) not in {
        s.entry.server_id for s in new.ready_servers
    }
    assert new.mean_duration_us == old.gateway.mean_duration_us and math.isclose(
        new.window, old.gateway.window
    )
    assert list(new.servers[server_id(1)].cold_work_sent) == list(cold.cold_work_sent)
    assert new.servers[server_id(0)].relative_duration == old.gateway.servers[server_id(0)].relative_duration


def test_tokens_are_split_and_unreported_demand_is_moved() -> None:
    old = used_gateway()
    stores = {key: c.refill(old.now) for key, c in old.gateway.tenants.items()}
    owed = {key: c.unreported_demand for key, c in old.gateway.tenants.items()}
    new, _ = hand_over(old)
    for key, store in stores.items():
        one, other = old.gateway.tenants[key], new.tenants[key]
        assert one.ceiling_tokens + other.ceiling_tokens <= store + 1e-9
        assert math.isclose(one.ceiling_rate_per_us, other.ceiling_rate_per_us)
        assert (one.unreported_demand, other.unreported_demand) == (0.0, owed[key])
    assert new.may_use_cold_servers and not old.gateway.may_use_cold_servers


def test_a_damaged_state_costs_knowledge_but_never_a_start() -> None:
    old = used_gateway()
    state = json.loads(json.dumps(export_state(old.gateway, old.now, HALF_SHARE)))
    chance = random.Random(5)
    junk: list[object] = [None, "x", -1, 1e300, float("nan"), [], {}, True, 2**70, [[1]], "\ud800"]

    def damage(value: object) -> object:
        if chance.random() < 0.1:
            return chance.choice(junk)
        if isinstance(value, dict):
            return {key: damage(inner) for key, inner in value.items()}
        return [damage(inner) for inner in value] if isinstance(value, list) else value

    for seed in range(60):
        new = Gateway(old.settings, seed)
        new.handle(old.now, [ServerList(ServerListKind.CACHED, 2, tuple(server_entry(n) for n in range(4)))])
        try:
            import_state({key: damage(value) for key, value in state.items()}, new, old.now)
        except ValueError as error:
            assert "wanted" in str(error)
        rig = GatewayHarness(seed=seed)
        rig.gateway, rig.now = new, old.now
        for n in range(20):
            serve_request(rig, n % 6, n % 4)
            rig.now += 5 * MS
        assert all(c.ceiling_tokens <= c.ceiling_capacity + 1e-9 for c in new.tenants.values())


# Shares of the ceilings

EVENTS = (Event.STATE_REQUESTED, Event.NEWER_ACCEPTS, Event.NEWER_ENDED)


def test_in_any_order_of_steps_two_processes_share_one_front_doors_ceilings() -> None:
    """Every interleaving of the two processes' steps: either may end at any point, and events may be late."""
    count = 0
    for steps in itertools.product(range(5), repeat=6):
        old, new = HandoverRole(has_older=False), None
        shares = {"old": (1.0, True)}
        is_running = {"old": True, "new": False}
        to_old: list[Event] = []
        to_new: list[Event] = []

        def apply(
            process: str, role: HandoverRole, event: Event, shares: dict[str, tuple[float, bool]] = shares
        ) -> None:
            if (mode := role.handle(event)) is not None:
                shares[process] = (mode.ceiling_share, mode.uses_cold_servers and mode.is_immediate)

        for step in steps:
            if step == 0 and is_running["old"] and new is None and old.can_hand_over():  # the state is sent
                apply("old", old, Event.STATE_REQUESTED)
                new = HandoverRole(has_older=True)
                shares["new"], is_running["new"] = (HALF_SHARE, True), True
                to_old, to_new = [Event.NEWER_ACCEPTS], []
            elif step == 1 and to_old and is_running["old"]:  # an event is handled, however late
                apply("old", old, to_old.pop(0))
            elif step == 2 and to_new and new is not None and is_running["new"]:
                apply("new", new, to_new.pop(0))
            elif step == 3 and is_running["old"]:
                is_running["old"] = False
                to_new.append(Event.OLDER_ENDED)
            elif step == 4 and is_running["new"]:
                is_running["new"] = False
                to_old.append(Event.NEWER_ENDED)
            running = [shares[process] for process in is_running if is_running[process]]
            assert (
                sum(share for share, _ in running) <= 1.0 and sum(uses_cold for _, uses_cold in running) <= 1
            )
            count += 1
    assert count > 50_000


def test_late_and_repeated_events_have_no_effect() -> None:
    role = HandoverRole(has_older=False)
    assert role.handle(Event.NEWER_ACCEPTS) is None and role.handle(Event.OLDER_ENDED) is None
    assert role.handle(Event.STATE_REQUESTED) is not None and not role.can_hand_over()
    assert role.handle(Event.STATE_REQUESTED) is None
    assert role.handle(Event.NEWER_ACCEPTS) is not None and role.handle(Event.NEWER_ACCEPTS) is None
    assert role.stage is Stage.DRAINING


@pytest.mark.parametrize("seed", range(12))
def test_two_processes_together_keep_to_the_ceiling_of_one_front_door(seed: int) -> None:
    """A customer with a ceiling sends all it can to both, through a handover and the end of one of them."""
    chance = random.Random(seed)
    old = used_gateway(seed, has_counter=False)
    plan = old.settings.plans[CEILED]
    units = list[int]()
    old_ends, handed_over_at, ended_at = (
        chance.random() < 0.5,
        chance.randrange(100),
        chance.randrange(100, 250),
    )
    new: GatewayHarness | None = None
    for step in range(400):
        at = old.now
        if step == handed_over_at:
            gateway, _ = hand_over(old)
            new = GatewayHarness(seed=seed, has_counter=False)
            new.gateway, new.now, new.next_request_id = gateway, old.now, 100_000
        running_processes = [old] if new is None else [old, new]
        if step >= ended_at and new is not None:
            running_processes = [new] if old_ends else [old]
            if step == ended_at:
                running_processes[0].now = at
                running_processes[0].handle(CeilingShareChanged(1.0, False))
        for rig in running_processes:
            rig.now = at
            units += [at] * send_at_once(rig)
            rig.now = at
        old.now = at + 20 * MS
        if new is not None:
            new.now = old.now
    # In any window one front door's share admits at most its burst and its rate.
    rate, most = plan.ceiling_rate_per_s / 2, plan.ceiling_depth / 2
    for start in units:
        for end in (start + SECOND, start + 4 * SECOND):
            passed = sum(start <= at <= end for at in units)
            assert passed <= most + rate * (end - start) / SECOND + 1.0


def send_at_once(rig: GatewayHarness) -> int:
    number, rig.next_request_id = rig.next_request_id, rig.next_request_id + 1
    actions = rig.handle(RequestArrived(number, 5, CEILED, 0, SECOND, 1.0, 0, 2))
    sent = [a for a in actions if isinstance(a, StartAttempt)]
    for action in sent:
        rig.handle(AttemptEnded(action.request_id, 0, action.server_id, Result.OK, 3 * MS, True))
    return len(sent)


# Two programs that share a folder


class HostWithFolder(Host):
    def __init__(self, folder: Path) -> None:
        super().__init__()
        self._folder = str(folder)

    def handover_folder(self) -> str:
        return self._folder


@asynccontextmanager
async def program(folder: Path, **changes: object) -> AsyncIterator[Running]:
    """Start a program beside another, as `run` does but without signal handlers, which belong to the loop."""
    made = config(operator="127.0.0.1:2", **changes)
    loop = asyncio.get_running_loop()
    one = Program(made, loop, Gateway(made.settings, made.seed), HostWithFolder(folder))
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
    """Stop a program as it stops itself."""
    assert run.program.handover is not None
    run.program.stop()
    run.program.clients.listener.close()
    run.program.handover.stop()


def stage_of(run: Running) -> Stage:
    assert run.program.handover is not None
    return run.program.handover.role.stage


async def wait_for_stage(run: Running, stage: Stage) -> None:
    while stage_of(run) is not stage:
        await asyncio.sleep(0.001)


@socket_test
async def test_a_new_process_takes_over_bans_and_the_listening_socket() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with Peer() as backend, Peer() as other:
            known = whole_list(member("s-1", backend.port), member("s-2", other.port), revision=7)
            async with program(folder, known=known) as old:
                await call_operator(old, "/backends/disable?target=s-2", "POST")
                async with program(folder) as new:  # with no server list of its own
                    await wait_for_stage(old, Stage.DRAINING)
                    assert new.program.clients.port() == old.program.clients.port()
                    assert (await call_operator(new, "/ready"))[0] == "HTTP/1.1 200 OK"
                    assert new.program.discovery.schedule.version == 7
                    gateway = new.program.decision_loop.decider
                    assert isinstance(gateway, Gateway) and list(gateway.disabled_servers) == [b"s-2"]
                    assert " 404 " in (await call_operator(new, "/backends/enable?target=s-9", "POST"))[0]
                    # Both share one accept queue, and the new one accepts.
                    reader, writer = await old.client()
                    writer.write(ask())
                    from_front_door, to_front_door = await backend.connection()
                    await read_message(from_front_door)
                    assert len(new.program.clients.connections) == 1 and not old.program.clients.connections
                    to_front_door.write(answer())
                    assert (await read_message(reader))[0] == "HTTP/1.1 200 OK"
                    sockets = new.program.config.max_sockets
                    halves = [
                        one.program.pool.max_connections + one.program.clients.slots.regular_slots
                        for one in (old, new)
                    ]
                    assert sum(halves) < sockets and gateway.ceiling_share == HALF_SHARE
                    end(old)
                    await wait_for_stage(new, Stage.ONLY_PROCESS)
                    assert gateway.ceiling_share == 1.0 and new.program.pool.max_connections > halves[1] / 2
                    assert (await call_operator(new, "/backends/enable?target=s-2", "POST"))[2] == b"back\n"


@socket_test
async def test_kept_connections_of_the_old_process_close_with_their_next_response() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with Peer() as backend, program(folder, known=whole_list(member("s-1", backend.port))) as old:
            reader, writer = await old.client()

            async def once(trace: str) -> dict[str, str]:
                writer.write(ask(trace=trace))
                from_front_door, to_front_door = await backend.connection()
                await read_message(from_front_door)
                to_front_door.write(answer(extra="Connection: close\r\n"))
                return (await read_message(reader))[1]

            assert "connection" not in await once("a1")
            async with program(folder):
                await wait_for_stage(old, Stage.DRAINING)
                assert (await once("a2"))["connection"] == "close"


@socket_test
async def test_a_new_process_that_ends_leaves_the_old_one_serving() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with Peer() as backend, program(folder, known=whole_list(member("s-1", backend.port))) as old:
            async with program(folder) as new:
                await wait_for_stage(old, Stage.DRAINING)
                end(new)
            await wait_for_stage(old, Stage.ONLY_PROCESS)
            reader, writer = await old.client()
            writer.write(ask())
            from_front_door, to_front_door = await backend.connection()
            await read_message(from_front_door)
            to_front_door.write(answer())
            assert "connection" not in (await read_message(reader))[1]
            async with program(folder):  # and the old one hands over again
                await wait_for_stage(old, Stage.DRAINING)


@socket_test
async def test_a_third_process_waits_until_the_first_has_ended() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        known = whole_list(member("s-1", 9))
        async with program(folder, known=known) as first, program(folder) as second:
            await wait_for_stage(first, Stage.DRAINING)
            asyncio.get_running_loop().call_later(0.1, end, first)
            async with program(folder) as third:
                await wait_for_stage(second, Stage.DRAINING)
                assert stage_of(third) is Stage.BESIDE_OLDER and third.program.is_ready()[0]


@socket_test
async def test_invalid_requests_and_stale_sockets_prevent_no_start() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with program(folder, known=whole_list(member("s-1", 9))) as old:
            assert old.program.handover is not None
            path = folder / old.program.handover.socket_name
            for line in (b"", b"noise\n", b"x" * 4000, encode_request("n1", "127.0.0.1:9"), b'{"version":1'):
                reader, writer = await asyncio.open_unix_connection(str(path))
                writer.write(line)
                if writer.can_write_eof():
                    writer.write_eof()
                with contextlib.suppress(ConnectionResetError):
                    await reader.read()
                writer.close()
            assert stage_of(old) is Stage.ONLY_PROCESS
            async with program(folder):
                await wait_for_stage(old, Stage.DRAINING)
        path.unlink(missing_ok=True)
        path.write_bytes(b"a file of another time")
        async with program(folder, known=whole_list(member("s-1", 9))) as one:
            assert one.program.is_ready()[0] and stage_of(one) is Stage.ONLY_PROCESS


@socket_test
async def test_an_older_process_that_sends_no_valid_state_delays_the_start_only_briefly() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        async with program(folder) as one:
            assert one.program.handover is not None
            path = folder / one.program.handover.socket_name
        for response in (
            b"",
            encode_message({"a": 1})[:20],
            encode_message({"a": 1})[:-1] + b"\x00",
            encode_message({"servers": 3}),
        ):

            async def send(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                response: bytes = response,
            ) -> None:
                await reader.readline()
                writer.write(response)

            server = await asyncio.start_unix_server(send, str(path))
            start = asyncio.get_running_loop().time()
            async with program(folder, known=whole_list(member("s-1", 9))) as started:
                assert started.program.is_ready()[0]
                assert asyncio.get_running_loop().time() - start < 3.0
            server.close()
            path.unlink(missing_ok=True)


@socket_test
async def test_a_folder_path_longer_than_a_socket_address_works() -> None:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text) / ("long" * 30)
        folder.mkdir()
        async with program(folder, known=whole_list(member("s-1", 9))) as old, program(folder):
            await wait_for_stage(old, Stage.DRAINING)


def test_the_handover_keys_of_accounts_do_not_follow_renamed_attributes() -> None:
    """Processes of the previous version write and read these keys."""
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
