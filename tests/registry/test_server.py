"""A registry's process beside fake stores: when it counts as a source, and what operators are answered."""

from __future__ import annotations

import itertools
import json
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any

import pytest

from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.http1.messages import Request, Response
from irisdeal.registry import store_client as following
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.messages import WatchReply, WatchRequest
from irisdeal.registry.peers import SYNC_TIMEOUT_S
from irisdeal.registry.server import RegistryServer
from irisdeal.runtime.settings import Bind, Settings
from irisdeal.simulation.machine import Machine
from tests.support.core_rig import CoreRig, settings_of

WAY = 0.04  # s there and back with the work at both ends


class ServerRig(CoreRig):
    """With complete registries in place of those that only answer polls."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.servers: dict[str, RegistryServer] = {}
        self.heard: list[tuple[float, Any]] = []
        super().__init__(count, 0, seed)

    def settings(self, ip: str) -> Settings:
        of, is_first = settings_of(ip, self.hosts), ip not in self.servers
        return Settings(
            bootstrap=is_first,
            node_name=of.node_name,
            role="registry",
            ip=ip,
            zone=of.zone,
            port_range=of.port_range,
            seed_peers=of.seed_peers,
            bind=Bind(control=f"{ip}:8000"),
        )

    def start_registry_process(self, host: str) -> Machine:
        async def run() -> int:
            server = self.servers[host] = RegistryServer(self.settings(host))
            await server.start()
            await server.loop.create_future()
            return 0

        def make() -> Coroutine[Any, Any, int]:
            return run()

        return self.process(host, make)

    def start_registry(self, host: str) -> None:
        self.start_registry_process(host)

    def on(self, seconds: float, host: str, act: Callable[[RegistryServer], Awaitable[Any]]) -> None:
        """At this second in this registry's process; what it gives is in `heard`, with when."""

        def begin() -> None:
            server, machine = self.servers[host], self.machines[host][-1]

            async def run() -> None:
                answer = await act(server)
                self.heard.append((self.world.seconds(), answer))

            machine.call_soon(lambda: server.tasks.start(run()))

        self.at(seconds, begin)

    def ask(self, seconds: float, host: str, method: bytes, target: bytes, body: bytes = b"") -> None:
        def act(server: RegistryServer) -> Awaitable[Response]:
            return server.control.handle(Request(method, target, [], body, server.loop.time()))

        self.on(seconds, host, act)


def heartbeat(state: str = "ready", count: int = 1) -> bytes:
    return json.dumps(
        {
            "service": "s",
            "address": "10.9.0.1:80",
            "zone": "z0",
            "generation": "v1",
            "capacity": 2,
            "state": state,
            "warmup_left_ms": 0,
            "call_count": count,
        }
    ).encode()


def poll(server: RegistryServer) -> Awaitable[WatchReply]:
    """Poll as a proxy that has nothing."""
    return server.watch.poll(WatchRequest(SyncState(), 0, 0, -1))


def states(told: WatchReply) -> dict[str, BackendState]:
    return {status.incarnation.id: status.incarnation.state for status in told.backends}


def poll_repeatedly(rig: ServerRig, host: str, since: float, until: float) -> None:
    at = since
    while at < until:
        rig.on(at, host, poll)
        at += 0.02


def drained_and_then(rig: ServerRig, at: float) -> None:
    """A backend beats, and says at this second that it drains; which is acknowledged."""
    rig.ask(2.0, rig.hosts[1], b"POST", b"/backends/i-1/heartbeat", heartbeat())
    rig.ask(at, rig.hosts[1], b"POST", b"/backends/i-1/heartbeat", heartbeat("draining", 2))


def shown(rig: ServerRig, since: float) -> list[tuple[float, WatchReply]]:
    return [(at, told) for at, told in rig.heard if at >= since and isinstance(told, WatchReply)]


@pytest.mark.parametrize("how", ["restarted", "frozen", "cut off"])
def test_a_registry_that_was_away_counts_only_once_it_knows_the_ends_that_were_acknowledged(how: str) -> None:
    rig = ServerRig(3)
    away = rig.hosts[0]
    match how:
        case "restarted":
            rig.at(4.0, partial(rig.kill, away))
            rig.at(8.0, partial(rig.start, away))
        case "frozen":
            rig.at(4.0, partial(rig.freeze, away, 4.0))
            rig.at(7.9, partial(rig.net.lose, away))
        case "cut off":
            rig.at(4.0, partial(rig.cut, away))
            rig.at(7.9, partial(rig.net.lose, away))
            rig.at(8.0, rig.net.join)
    drained_and_then(rig, 5.0)
    poll_repeatedly(rig, away, 8.001, 11.0)
    rig.play(11.1)
    told = shown(rig, 8.0)
    assert [answer.status for _, answer in rig.heard if isinstance(answer, Response)] == [200, 200]
    full = [(at, states(one)) for at, one in told if one.age_ms >= 0]
    assert full and all(incarnations == {"i-1": BackendState.DRAINING} for _, incarnations in full), full[0]
    assert full[0][0] <= 8.0 + 1.25 * following.SEARCH_INTERVAL_S + following.CALL_TIMEOUT_S + 10 * WAY


def test_a_registry_that_can_hear_too_few_goes_on_after_a_while(caplog: pytest.LogCaptureFixture) -> None:
    """Two of three registries are gone for good, the stores are well: nobody may wait for ever."""
    caplog.set_level("INFO", "irisdeal")
    rig = ServerRig(3)
    away, *rest = rig.hosts
    for host in rest:
        rig.at(3.0, rig.machines[host][1].kill)
    rig.at(4.0, lambda: rig.machines[away].pop(1).kill())
    rig.at(5.0, partial(rig.start_registry, away))
    poll_repeatedly(rig, away, 5.1, 9.0)
    rig.play(9.1)
    full = [at for at, told in shown(rig, 5.0) if told.age_ms >= 0]
    assert 5.0 + SYNC_TIMEOUT_S - 0.1 <= full[0] <= 5.0 + SYNC_TIMEOUT_S + 3 * following.CALL_TIMEOUT_S
    assert sum("E317" in record.getMessage() for record in caplog.records) == 1


@pytest.mark.parametrize("count", range(1, 8))
def test_enough_were_heard_when_every_majority_has_a_member_among_them(count: int) -> None:
    """The rule of `RegistryPeers.synchronize` by counting: any majority, the one that forgot among
    it or not.
    """
    seats = set(range(count))
    majorities = [set(some) for some in itertools.combinations(seats, count // 2 + 1)]
    for size in range(count):
        for some in itertools.combinations(seats - {0}, size):
            heard = set(some)
            missing = {0} | (seats - heard)
            is_enough = len(missing) < count // 2 + 1
            assert is_enough == all(told & heard for told in majorities)


def test_orders_and_reads_without_contact_get_503_with_when_to_come_back_and_invalid_ones_400() -> None:
    rig = ServerRig(3)
    host = rig.hosts[0]
    rig.at(4.0, partial(rig.cut, host))
    valid = json.dumps({"generation": "r9", "sockets": [], "pools": []}).encode()
    rig.ask(7.0, host, b"POST", b"/config/replace", valid)
    rig.ask(7.1, host, b"GET", b"/config/read")
    rig.ask(7.2, host, b"POST", b"/config/replace", b"{")
    rig.ask(7.3, host, b"GET", b"/status")
    rig.at(8.0, rig.net.join)
    rig.ask(10.0, host, b"POST", b"/config/replace", valid)
    rig.play(11.0)
    put, read, invalid, status, again = (answer for _, answer in rig.heard)
    for answer in (put, read):
        assert answer.status == 503
        assert dict(answer.headers)[b"Retry-After"] == b"%.1f" % following.RETRY_AFTER_S
        assert json.loads(answer.body)["retry_after_s"] == following.RETRY_AFTER_S
    assert [at for at, _ in rig.heard[:2]] == pytest.approx([7.0, 7.1]), "it is said at once"
    assert invalid.status == 400
    assert json.loads(status.body)["contact_age_s"] is None
    assert again.status == 200


def test_another_body_under_a_decided_number_is_a_409() -> None:
    rig = ServerRig(3)
    host = rig.hosts[0]
    rig.at(3.0, lambda: setattr(rig.stores[host], "outcome", 2))
    rig.ask(4.0, host, b"POST", b"/config/replace", b'{"generation": "r9", "sockets": [], "pools": []}')
    rig.play(5.0)
    assert [answer.status for _, answer in rig.heard] == [409]


def test_a_machine_that_left_is_told_nothing_and_no_backend_is_sent_to_it() -> None:
    rig = ServerRig(3)
    one, other, gone = rig.hosts
    rig.play(2.0)
    server = rig.servers[one]
    peers = server.peers
    assert peers.zones.keys() == set(rig.hosts) and gone in peers.rpc_clients
    rig.ask(2.1, one, b"POST", b"/backends/i-2/heartbeat", heartbeat().replace(b'"z0"', b'"z2"'))
    before = rig.first.members
    members = before.enter_joint([seat for seat in before.seats if gone not in seat]).leave_joint()
    rig.at(3.0, partial(rig.decide, 1, [one, other], members))
    rig.at(3.0, partial(rig.kill, gone))
    rig.ask(4.0, one, b"POST", b"/backends/i-2/heartbeat", heartbeat(count=2).replace(b'"z0"', b'"z2"'))
    rig.play(5.0)
    first, second = (json.loads(answer.body) for _, answer in rig.heard)
    assert first == {"beat_target": f"{gone}:8000"} and second == {}
    assert gone not in peers.rpc_clients and gone not in peers.zones
    assert server.backends.observe(
        BackendIncarnation("i-3", "s", "a:1", "z0", 1, BackendState.READY, 1, 0.0), 1.0
    )
