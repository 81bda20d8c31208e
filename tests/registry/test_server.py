"""Registry processes with fake stores: when a registry counts as a source, and its answers to operators."""

from __future__ import annotations

import itertools
import json
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any

import pytest
from returns.result import Failure

from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.http1.messages import Request, Response
from irisdeal.registry import store_client as store_client_constants
from irisdeal.registry.commands import decode
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.messages import WatchReply, WatchRequest
from irisdeal.registry.peers import SYNC_TIMEOUT_S
from irisdeal.registry.server import RegistryServer
from irisdeal.runtime.settings import Bind, Settings
from irisdeal.simulation.machine import Machine
from tests.support.core_rig import CoreRig, settings_of

ROUND_TRIP_S = 0.04  # of a call, including the work at both ends


class ServerRig(CoreRig):
    """A rig with complete registries instead of those that only answer polls."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.servers: dict[str, RegistryServer] = {}
        self.results: list[tuple[float, Any]] = []
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
        """Run `act` at this second in a registry's process; its time and result are appended to `results`."""

        def begin() -> None:
            server, machine = self.servers[host], self.machines[host][-1]

            async def run() -> None:
                answer = await act(server)
                self.results.append((self.world.seconds(), answer))

            machine.call_soon(lambda: server.tasks.start(run()))

        self.at(seconds, begin)

    def request(self, seconds: float, host: str, method: bytes, target: bytes, body: bytes = b"") -> None:
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
    """Poll as a proxy that has no state yet."""
    return server.watch.poll(WatchRequest(SyncState(), 0, 0, -1))


def states(reply: WatchReply) -> dict[str, BackendState]:
    return {status.incarnation.id: status.incarnation.state for status in reply.backends}


def poll_repeatedly(rig: ServerRig, host: str, since: float, until: float) -> None:
    at = since
    while at < until:
        rig.on(at, host, poll)
        at += 0.02


def schedule_drain(rig: ServerRig, at: float) -> None:
    """Send a heartbeat of a backend, and at this second its drain, which is acknowledged."""
    rig.request(2.0, rig.hosts[1], b"POST", b"/backends/i-1/heartbeat", heartbeat())
    rig.request(at, rig.hosts[1], b"POST", b"/backends/i-1/heartbeat", heartbeat("draining", 2))


def watch_replies(rig: ServerRig, since: float) -> list[tuple[float, WatchReply]]:
    return [(at, reply) for at, reply in rig.results if at >= since and isinstance(reply, WatchReply)]


@pytest.mark.parametrize("fault", ["restarted", "frozen", "cut off"])
def test_a_registry_that_was_away_is_a_source_only_once_it_has_all_acknowledged_ends(fault: str) -> None:
    rig = ServerRig(3)
    away = rig.hosts[0]
    match fault:
        case "restarted":
            rig.at(4.0, partial(rig.kill, away))
            rig.at(8.0, partial(rig.start, away))
        case "frozen":
            rig.at(4.0, partial(rig.freeze, away, 4.0))
            rig.at(7.9, partial(rig.net.drop_connections, away))
        case "cut off":
            rig.at(4.0, partial(rig.cut, away))
            rig.at(7.9, partial(rig.net.drop_connections, away))
            rig.at(8.0, rig.net.heal)
    schedule_drain(rig, 5.0)
    poll_repeatedly(rig, away, 8.001, 11.0)
    rig.play(11.1)
    reply = watch_replies(rig, 8.0)
    assert [answer.status for _, answer in rig.results if isinstance(answer, Response)] == [200, 200]
    source_replies = [(at, states(one)) for at, one in reply if one.age_ms >= 0]
    assert source_replies and all(
        incarnations == {"i-1": BackendState.DRAINING} for _, incarnations in source_replies
    ), source_replies[0]
    assert (
        source_replies[0][0]
        <= 8.0
        + 1.25 * store_client_constants.SEARCH_INTERVAL_S
        + store_client_constants.CALL_TIMEOUT_S
        + 10 * ROUND_TRIP_S
    )


def test_a_registry_that_reaches_too_few_others_continues_after_a_timeout(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Two of three registries are permanently gone and the stores work: the third must not wait forever."""
    caplog.set_level("INFO", "irisdeal")
    rig = ServerRig(3)
    away, *rest = rig.hosts
    for host in rest:
        rig.at(3.0, rig.machines[host][1].kill)
    rig.at(4.0, lambda: rig.machines[away].pop(1).kill())
    rig.at(5.0, partial(rig.start_registry, away))
    poll_repeatedly(rig, away, 5.1, 9.0)
    rig.play(9.1)
    source_replies = [at for at, reply in watch_replies(rig, 5.0) if reply.age_ms >= 0]
    assert (
        5.0 + SYNC_TIMEOUT_S - 0.1
        <= source_replies[0]
        <= 5.0 + SYNC_TIMEOUT_S + 3 * store_client_constants.CALL_TIMEOUT_S
    )
    assert sum("E317" in record.getMessage() for record in caplog.records) == 1


@pytest.mark.parametrize("count", range(1, 8))
def test_enough_have_answered_when_every_majority_includes_one_of_them(count: int) -> None:
    """Checks the rule of `RegistryPeers.synchronize` by enumerating all majorities."""
    seats = set(range(count))
    majorities = [set(some) for some in itertools.combinations(seats, count // 2 + 1)]
    for size in range(count):
        for some in itertools.combinations(seats - {0}, size):
            results = set(some)
            missing = {0} | (seats - results)
            is_enough = len(missing) < count // 2 + 1
            assert is_enough == all(reply & results for reply in majorities)


def test_puts_and_reads_without_contact_get_503_with_retry_after_and_invalid_puts_400() -> None:
    rig = ServerRig(3)
    host = rig.hosts[0]
    rig.at(4.0, partial(rig.cut, host))
    valid = json.dumps({"generation": "r9", "sockets": [], "pools": []}).encode()
    rig.request(7.0, host, b"POST", b"/config/replace", valid)
    rig.request(7.1, host, b"GET", b"/config/read")
    rig.request(7.2, host, b"POST", b"/config/replace", b"{")
    rig.request(7.3, host, b"GET", b"/status")
    rig.at(8.0, rig.net.heal)
    rig.request(10.0, host, b"POST", b"/config/replace", valid)
    rig.play(11.0)
    put, read, invalid, status, again = (answer for _, answer in rig.results)
    for answer in (put, read):
        assert answer.status == 503
        assert dict(answer.headers)[b"Retry-After"] == b"%.1f" % store_client_constants.RETRY_AFTER_S
        assert json.loads(answer.body)["retry_after_s"] == store_client_constants.RETRY_AFTER_S
    assert [at for at, _ in rig.results[:2]] == pytest.approx([7.0, 7.1]), "answered immediately"
    assert invalid.status == 400
    assert json.loads(status.body)["contact_age_s"] is None
    assert again.status == 200


def test_another_body_under_a_decided_number_is_a_409() -> None:
    rig = ServerRig(3)
    host = rig.hosts[0]
    rig.at(3.0, lambda: setattr(rig.stores[host], "outcome", 2))
    rig.request(4.0, host, b"POST", b"/config/replace", b'{"generation": "r9", "sockets": [], "pools": []}')
    rig.play(5.0)
    assert [answer.status for _, answer in rig.results] == [409]


def test_a_machine_that_left_gets_no_updates_and_no_backend_is_redirected_to_it() -> None:
    rig = ServerRig(3)
    one, other, gone = rig.hosts
    rig.play(2.0)
    server = rig.servers[one]
    peers = server.peers
    assert peers.zones.keys() == set(rig.hosts) and gone in peers.rpc_clients
    rig.request(2.1, one, b"POST", b"/backends/i-2/heartbeat", heartbeat().replace(b'"z0"', b'"z2"'))
    before = rig.first.members
    members = before.enter_joint([seat for seat in before.seats if gone not in seat]).leave_joint()
    rig.at(3.0, partial(rig.decide, 1, [one, other], members))
    rig.at(3.0, partial(rig.kill, gone))
    rig.request(4.0, one, b"POST", b"/backends/i-2/heartbeat", heartbeat(count=2).replace(b'"z0"', b'"z2"'))
    rig.play(5.0)
    first, second = (json.loads(answer.body) for _, answer in rig.results)
    assert first == {"beat_target": f"{gone}:8000"} and second == {}
    assert gone not in peers.rpc_clients and gone not in peers.zones
    assert server.backends.observe(
        BackendIncarnation("i-3", "s", "a:1", "z0", 1, BackendState.READY, 1, 0.0), 1.0
    )


# Guards against heartbeats that stop being replicated: an infinite time cannot be sent to the others.
@pytest.mark.parametrize("warmup", ["Infinity", "-Infinity", "NaN", "1e999"])
def test_a_heartbeat_with_a_time_that_is_no_number_is_rejected(warmup: str) -> None:
    body = b'{"service":"s","address":"10.9.0.1:80","zone":"z","capacity":2,"state":"ready",'
    body += b'"call_count":1,"warmup_left_ms":' + warmup.encode() + b"}"
    decoded = decode(b"POST", b"/backends/i/heartbeat", body)
    assert isinstance(decoded, Failure) and decoded.failure().status == 400
