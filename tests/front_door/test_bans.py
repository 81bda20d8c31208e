"""Bans by operators: the known ids, the decision module's part, and the calls to a running front door."""

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
from tests.front_door.test_operator import OPERATOR, call_operator, scrape_metrics
from tests.support.decisions_rig import MS, SECOND, GatewayHarness, actions_of_type, server_entry, server_id
from tests.support.fake_peers import Peer, answer, ask, member, read_message, running, socket_test, whole_list


def test_an_id_that_was_never_listed_is_unknown_and_repeated_calls_have_no_effect() -> None:
    bans = BackendBans()
    bans.record_listed([b"a"])
    assert bans.disable(b"x") is None and bans.enable(b"x") is None
    assert bans.disable(b"a") and bans.disable(b"a") is False
    assert bans.enable(b"a") and bans.enable(b"a") is False


def test_the_known_ids_are_bounded_but_listed_and_banned_ones_stay() -> None:
    bans = BackendBans(max_known=10)
    bans.record_listed([b"old"])
    bans.disable(b"old")
    for n in range(100):
        bans.record_listed([b"%d" % n], listed=[b"0"])
    assert len(bans.known) == 10 and {b"old", b"0", b"99"} <= set(bans.known) and b"1" not in bans.known


def sent_to(rig: GatewayHarness, since: int) -> set[bytes]:
    return {a.server_id for at, a in rig.log if at >= since and isinstance(a, StartAttempt)}


def send_requests(rig: GatewayHarness, times: int, pause: int = 5 * MS) -> None:
    for _ in range(times):
        request, rig.next_request_id = rig.next_request_id, rig.next_request_id + 1
        rig.handle(RequestArrived(request, 7, 0, 0, 2 * SECOND, 1.0, 0, 1))
        for action in [a for at, a in rig.log if at == rig.now and isinstance(a, StartAttempt)]:
            rig.handle(AttemptEnded(action.request_id, 0, action.server_id, Result.OK, 3 * MS, True))
        rig.now += pause


@pytest.mark.parametrize(
    "lists",
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
def test_a_ban_holds_through_every_kind_of_server_list(lists: tuple[ServerList, ...]) -> None:
    rig = GatewayHarness()
    send_requests(rig, 50)
    assert server_id(1) in sent_to(rig, 0)
    rig.handle(ServerAdminStateChanged(server_id(1), True))
    since = rig.now
    for event in lists:
        rig.handle(event)
        send_requests(rig, 30)
    send_requests(rig, 30)
    assert server_id(1) not in sent_to(rig, since) and sent_to(rig, since)


def test_a_backend_whose_ban_ended_is_used_first_and_treated_as_cold() -> None:
    rig = GatewayHarness(servers=10, seed=3)
    rig.handle(ServerAdminStateChanged(server_id(4), True))
    send_requests(rig, 20)
    since = rig.now
    rig.handle(ServerAdminStateChanged(server_id(4), False))
    send_requests(rig, 1)
    assert sent_to(rig, since) == {server_id(4)}
    server = rig.gateway.servers[server_id(4)]
    assert server.entry.started_at == since and rig.gateway._capacity_ratio(server) < 0.25
    # The start time listed before has no effect.
    rig.handle(ServerList(ServerListKind.CHANGES, 2, (server_entry(4),)))
    assert rig.gateway.servers[server_id(4)].entry.started_at == since
    # A later start time in the list counts.
    rig.handle(ServerList(ServerListKind.CHANGES, 3, (server_entry(4, started_at=since - SECOND),)))
    assert rig.gateway.servers[server_id(4)].entry.started_at == since - SECOND


def test_front_doors_of_a_fleet_spread_their_first_use_of_a_backend_whose_ban_ended() -> None:
    first = []
    for seed in range(48):
        rig = GatewayHarness(servers=10, seed=seed, gateway_count=48, rank=seed)
        rig.handle(ServerAdminStateChanged(server_id(4), True))
        since = rig.now
        rig.handle(ServerAdminStateChanged(server_id(4), False))
        while server_id(4) not in sent_to(rig, since):
            send_requests(rig, 1, 50 * MS)
        first.append(rig.now - since)
    assert max(first) < 5 * SECOND
    assert max(sum(at <= t < at + SECOND for t in first) for at in first) < 30


def test_with_all_backends_banned_requests_are_rejected_at_once() -> None:
    rig = GatewayHarness(servers=2)
    rig.handle(ServerAdminStateChanged(server_id(0), True), ServerAdminStateChanged(server_id(1), True))
    assert actions_of_type(RejectRequest, rig.handle(RequestArrived(1, 7, 0, 0, 2 * SECOND, 1.0, 0, 1)))
    rig.handle(ServerAdminStateChanged(server_id(0), False))
    assert actions_of_type(StartAttempt, rig.handle(RequestArrived(2, 7, 0, 0, 2 * SECOND, 1.0, 0, 1)))


def test_a_ban_holds_under_any_order_of_bans_lists_and_requests() -> None:
    for seed in range(20):
        chance, rig, banned, started = (
            random.Random(seed),
            GatewayHarness(seed=seed),
            set[int](),
            dict[int, int](),
        )
        for step in range(120):
            n, what = chance.randrange(4), chance.randrange(5)
            if what == 0:
                banned.add(n)
                rig.handle(ServerAdminStateChanged(server_id(n), True))
            elif what == 1:
                banned.discard(n)
                rig.handle(ServerAdminStateChanged(server_id(n), False))
            elif what == 2:
                started[n] = rig.now
                state = chance.choice(list(ServerState))
                rig.handle(
                    ServerList(
                        ServerListKind.CHANGES, step + 2, (server_entry(n, state, started_at=rig.now),)
                    )
                )
            since = rig.now
            send_requests(rig, 3)
            assert not sent_to(rig, since) & {server_id(n) for n in banned}


@socket_test
async def test_a_running_front_door_bans_a_backend_and_ends_the_ban() -> None:
    async with Peer() as one, Peer() as two:
        known = whole_list(member("s-1", one.port), member("s-2", two.port))
        async with running(operator=OPERATOR, known=known) as front_door:
            assert (await call_operator(front_door, "/backends/disable?target=s-9", "POST"))[0].startswith(
                "HTTP/1.1 404"
            )
            assert (await call_operator(front_door, "/backends/disable?target=s-1", "POST"))[2] == b"out\n"
            assert (await call_operator(front_door, "/backends/disable?target=s-1", "POST"))[
                0
            ] == "HTTP/1.1 200 OK"
            metrics = await scrape_metrics(front_door)
            assert (metrics["edge_members"], metrics["edge_members_unavailable"]) == (2, 1)
            front_door.program.pool.min_idle_s = 0.0
            client, to_front_door = await front_door.client()
            to_front_door.write(ask(trace="a0"))
            from_door, back = await two.connection()
            for n in range(20):
                await read_message(from_door)
                back.write(answer())
                assert (await read_message(client))[0] == "HTTP/1.1 200 OK"
                to_front_door.write(ask(trace=f"a{n + 1}"))
            await read_message(from_door)
            back.write(answer())
            await read_message(client)
            assert one.accepted.empty()
            assert (await call_operator(front_door, "/backends/enable?target=s-1", "POST"))[2] == b"back\n"
            to_front_door.write(ask(trace="b0"))
            await read_message((await one.connection())[0])  # its first use
            assert (await scrape_metrics(front_door))["edge_members_unavailable"] == 0
