"""Bans by hand: the ids that are known, what the module does, and the calls on a running door."""

from __future__ import annotations

import random

import pytest

from irisdeal.front_door.decisions.interface import (
    AttemptEnded,
    RejectRequest,
    RequestArrived,
    Result,
    ServerAdminStateChanged,
    ServerList,
    ServerListKind,
    ServerState,
    StartAttempt,
)
from irisdeal.front_door.operator.bans import BackendBans
from tests.front_door.test_operator import OPERATOR, figures, operate
from tests.support.decisions_rig import MS, SECOND, GatewayHarness, actions_of_type, server_entry, server_id
from tests.support.fake_peers import Peer, answer, ask, member, read_message, running, socket_test, whole_list


def test_an_id_that_was_never_listed_is_not_known_and_repeats_change_nothing() -> None:
    bans = BackendBans()
    bans.record_listed([b"a"])
    assert bans.disable(b"x") is None and bans.enable(b"x") is None
    assert bans.disable(b"a") and bans.disable(b"a") is False
    assert bans.enable(b"a") and bans.enable(b"a") is False


def test_what_is_known_is_bounded_and_listed_or_banned_ids_stay() -> None:
    bans = BackendBans(max_known=10)
    bans.record_listed([b"old"])
    bans.disable(b"old")
    for n in range(100):
        bans.record_listed([b"%d" % n], listed=[b"0"])
    assert len(bans.known) == 10 and {b"old", b"0", b"99"} <= set(bans.known) and b"1" not in bans.known


def sent_to(desk: GatewayHarness, since: int) -> set[bytes]:
    return {a.server_id for at, a in desk.log if at >= since and isinstance(a, StartAttempt)}


def ask_often(desk: GatewayHarness, times: int, pause: int = 5 * MS) -> None:
    for _ in range(times):
        request, desk.next_request_id = desk.next_request_id, desk.next_request_id + 1
        desk.handle(RequestArrived(request, 7, 0, 0, 2 * SECOND, 1.0, 0, 1))
        for action in [a for at, a in desk.log if at == desk.now and isinstance(a, StartAttempt)]:
            desk.handle(AttemptEnded(action.request_id, 0, action.server_id, Result.OK, 3 * MS, True))
        desk.now += pause


@pytest.mark.parametrize(
    "news",
    [
        (),
        (ServerList(ServerListKind.CHANGES, 2, (server_entry(1),)),),
        (ServerList(ServerListKind.COMPLETE, 2, tuple(server_entry(n) for n in range(4))),),
        (
            ServerList(ServerListKind.CHANGES, 2, (server_entry(1, ServerState.GONE),)),
            ServerList(ServerListKind.CHANGES, 3, (server_entry(1, started_at=78 * SECOND),)),
        ),
        (
            ServerList(ServerListKind.CHANGES, 2, (server_entry(1, ServerState.DRAINING),)),
            ServerList(ServerListKind.FAILED, 0, ()),
            ServerList(ServerListKind.CHANGES, 3, (server_entry(1),)),
        ),
    ],
)
def test_a_ban_holds_through_every_event_of_the_list(news: tuple[ServerList, ...]) -> None:
    desk = GatewayHarness()
    ask_often(desk, 50)
    assert server_id(1) in sent_to(desk, 0)
    desk.handle(ServerAdminStateChanged(server_id(1), True))
    since = desk.now
    for event in news:
        desk.handle(event)
        ask_often(desk, 30)
    ask_often(desk, 30)
    assert server_id(1) not in sent_to(desk, since) and sent_to(desk, since)


def test_a_backend_that_is_back_is_used_first_and_held_to_be_cold() -> None:
    desk = GatewayHarness(servers=10, seed=3)
    desk.handle(ServerAdminStateChanged(server_id(4), True))
    ask_often(desk, 20)
    since = desk.now
    desk.handle(ServerAdminStateChanged(server_id(4), False))
    ask_often(desk, 1)
    assert sent_to(desk, since) == {server_id(4)}
    server = desk.gateway.servers[server_id(4)]
    assert server.entry.started_at == since and desk.gateway._capacity_ratio(server) < 0.25
    desk.handle(
        ServerList(ServerListKind.CHANGES, 2, (server_entry(4),))
    )  # its old start, told again, changes nothing
    assert desk.gateway.servers[server_id(4)].entry.started_at == since
    desk.handle(
        ServerList(ServerListKind.CHANGES, 3, (server_entry(4, started_at=since - SECOND),))
    )  # the list knows better
    assert desk.gateway.servers[server_id(4)].entry.started_at == since - SECOND


def test_doors_of_many_spread_the_first_use_of_one_that_is_back() -> None:
    first = []
    for seed in range(48):
        desk = GatewayHarness(servers=10, seed=seed, gateway_count=48, rank=seed)
        desk.handle(ServerAdminStateChanged(server_id(4), True))
        since = desk.now
        desk.handle(ServerAdminStateChanged(server_id(4), False))
        while server_id(4) not in sent_to(desk, since):
            ask_often(desk, 1, 50 * MS)
        first.append(desk.now - since)
    assert max(first) < 5 * SECOND
    assert max(sum(at <= t < at + SECOND for t in first) for at in first) < 30


def test_with_all_banned_what_comes_is_refused_at_once() -> None:
    desk = GatewayHarness(servers=2)
    desk.handle(ServerAdminStateChanged(server_id(0), True), ServerAdminStateChanged(server_id(1), True))
    assert actions_of_type(RejectRequest, desk.handle(RequestArrived(1, 7, 0, 0, 2 * SECOND, 1.0, 0, 1)))
    desk.handle(ServerAdminStateChanged(server_id(0), False))
    assert actions_of_type(StartAttempt, desk.handle(RequestArrived(2, 7, 0, 0, 2 * SECOND, 1.0, 0, 1)))


def test_a_ban_holds_under_any_order_of_bans_lists_and_requests() -> None:
    for seed in range(20):
        chance, desk, banned, started = (
            random.Random(seed),
            GatewayHarness(seed=seed),
            set[int](),
            dict[int, int](),
        )
        for step in range(120):
            n, what = chance.randrange(4), chance.randrange(5)
            if what == 0:
                banned.add(n)
                desk.handle(ServerAdminStateChanged(server_id(n), True))
            elif what == 1:
                banned.discard(n)
                desk.handle(ServerAdminStateChanged(server_id(n), False))
            elif what == 2:
                started[n] = desk.now
                state = chance.choice(list(ServerState))
                desk.handle(
                    ServerList(
                        ServerListKind.CHANGES, step + 2, (server_entry(n, state, started_at=desk.now),)
                    )
                )
            since = desk.now
            ask_often(desk, 3)
            assert not sent_to(desk, since) & {server_id(n) for n in banned}


@socket_test
async def test_calls_out_and_back_on_a_running_door() -> None:
    async with Peer() as one, Peer() as two:
        known = whole_list(member("s-1", one.port), member("s-2", two.port))
        async with running(operator=OPERATOR, known=known) as door:
            assert (await operate(door, "/backends/disable?target=s-9", "POST"))[0].startswith("HTTP/1.1 404")
            assert (await operate(door, "/backends/disable?target=s-1", "POST"))[2] == b"out\n"
            assert (await operate(door, "/backends/disable?target=s-1", "POST"))[0] == "HTTP/1.1 200 OK"
            told = await figures(door)
            assert (told["edge_members"], told["edge_members_unavailable"]) == (2, 1)
            door.program.pool.min_idle_s = 0.0
            client, to_door = await door.client()
            to_door.write(ask(trace="a0"))
            from_door, back = await two.connection()
            for n in range(20):
                await read_message(from_door)
                back.write(answer())
                assert (await read_message(client))[0] == "HTTP/1.1 200 OK"
                to_door.write(ask(trace=f"a{n + 1}"))
            await read_message(from_door)
            back.write(answer())
            await read_message(client)
            assert one.accepted.empty()
            assert (await operate(door, "/backends/enable?target=s-1", "POST"))[2] == b"back\n"
            to_door.write(ask(trace="b0"))
            await read_message((await one.connection())[0])  # chosen for its first use
            assert (await figures(door))["edge_members_unavailable"] == 0
