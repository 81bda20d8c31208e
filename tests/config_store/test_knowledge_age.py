"""The knowledge age that a store reports, compared with confirmed puts, in virtual time.

Guards against a reported age that is too low: a member confirms a put and is partitioned before its decision
notices arrive. The others have quorum contact, but a value that one of them accepted, and none of them
learned as decided, may have been confirmed to the operator.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.consensus.register import Ballot, PutOutcome, Value
from irisdeal.config_store.membership.status_rounds import STATUS_INTERVAL_S, STATUS_WAIT_S, UNDECIDED_WAIT_S
from irisdeal.config_store.messages import WatchReply, WatchRequest
from irisdeal.config_store.replica import StoreReplica
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.runtime.settings import Settings, Tolerance
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.disk import MemoryDisk
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.sockets import NetworkLink
from irisdeal.simulation.world import START_US, World
from tests.support.core_rig import CutNetwork, zone_of

# Two status rounds that see the value, the wait between them, and a ballot.
DECIDED_WITHIN_S = 2 * (STATUS_INTERVAL_S + STATUS_WAIT_S) + 2 * UNDECIDED_WAIT_S + 0.08


class Stores:
    """Replicas of the store in virtual time, without registries."""

    def __init__(self, count: int, seed: int) -> None:
        self.world = World(seed)
        self.net = CutNetwork(self.world, NetworkLink(700, 300))
        self.hosts = [f"10.{number}.0.1" for number in range(count)]
        self.members: dict[str, StoreReplica] = {}
        self.machines: dict[str, Machine] = {}
        for host in self.hosts:
            self._start(host)

    def _start(self, host: str) -> None:
        machine = self.machines[host] = Machine(self.world, self.net, host, Core(), Costs())
        settings = Settings(
            node_name=host,
            role="config_store",
            ip=host,
            zone=zone_of(host),
            port_range=(7000, 7010),
            seed_peers=tuple(f"{seed}:8000" for seed in self.hosts[:3]),
            bootstrap=True,
            tolerance=Tolerance(1),
        )

        async def run() -> int:
            member = self.members[host] = StoreReplica(settings, MemoryDisk())
            await member.start()
            await machine.create_future()
            return 0

        machine.start(run())

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        self.world.at(START_US + round(seconds * 1e6), "test", action)

    def call(self, host: str, method: Callable[[StoreReplica], Any], on_reply: Callable[[Any], None]) -> None:
        async def run() -> None:
            on_reply(await method(self.members[host]))

        self.machines[host].call_soon(lambda: self.members[host].tasks.start(run()))

    def isolate(self, host: str, others: list[str]) -> None:
        for other in others:
            self.net.cuts |= {(host, other), (other, host)}

    def play(self, until: float) -> None:
        is_over: list[bool] = []
        self.at(until, lambda: is_over.append(True))
        self.world.run(lambda: bool(is_over), START_US + round((until + 1) * 1e6))


VERSION = ConfigVersion.of("r7", b"seven")


def confirm_then_isolate(stores: Stores, acceptor_count: int) -> dict[str, float]:
    """At 3 s the first member confirms r7, accepted by so many others, and is isolated. Returns the times."""
    first, *others = stores.hosts
    when: dict[str, float] = {}

    def prepare() -> None:
        member = stores.members[first]

        def announce(ballot: Ballot, value: Value) -> None:
            stores.isolate(first, others)
            when["confirmed"] = stores.world.seconds()
            member.learn(value, [])

        member.proposer.learn = announce
        original = member.proposer._send_accept

        async def send_accept(attempt: Any, seat: str, replied: Any) -> None:
            if seat.partition("/")[0] in [first, *others[:acceptor_count]]:  # requests to the others are lost
                await original(attempt, seat, replied)

        member.proposer._send_accept = send_accept  # type: ignore[method-assign]

        def done(outcome: Any) -> None:
            when["outcome"] = outcome

        stores.call(first, lambda replica: replica.put(VERSION), done)

    stores.at(3.0, prepare)
    return when


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("count", [3, 4, 5])
def test_the_reported_age_is_true_and_a_confirmed_put_is_applied_everywhere(count: int, seed: int) -> None:
    stores = Stores(count, seed)
    rest = stores.hosts[1:]
    when = confirm_then_isolate(stores, count // 2)
    wrong: list[str] = []
    reported: dict[str, list[tuple[float, int]]] = {host: [] for host in rest}

    def watch() -> None:
        asked = stores.world.seconds()
        for host in rest:

            def on_reply(reply: WatchReply, host: str = host, asked: float = asked) -> None:
                value, age = reply.value, reply.contact_age_ms
                reported[host].append((stores.world.seconds(), value.version_id.number))
                known_by = asked - age / 1000
                if age >= 0 and value.version_id.number < 7 and known_by > when.get("confirmed", 99.0):
                    wrong.append(f"{asked:.2f}: {host} reports r{value.version_id.number}, {age} ms old")

            stores.call(host, lambda replica: replica.watch(WatchRequest(SyncState(), -2)), on_reply)

    for number in range(100):
        stores.at(2.9 + number * 0.03, watch)
    stores.play(6.0)
    assert when["outcome"] == PutOutcome.DECIDED and not wrong, wrong[:3]
    for host in rest:
        applied_at = min(at for at, number in reported[host] if number == 7)
        assert applied_at - when["confirmed"] <= DECIDED_WITHIN_S + 0.03, host


@pytest.mark.parametrize("offset", range(0, 13))
def test_a_delayed_status_reply_does_not_make_the_age_younger(offset: int) -> None:
    """Replies to one member arrive 0.3 s late; meanwhile the others decide a put without notifying it."""
    stores = Stores(3, 1)
    delayed, *others = stores.hosts
    when: dict[str, float] = {}
    delay_start = 3.0 + offset * 0.04

    def prepare() -> None:
        replica = stores.members[others[0]]
        replica.peers.notify = lambda ip, kind, body: None  # type: ignore[method-assign]
        original_prepare, original_accept = replica.proposer._send_prepare, replica.proposer._send_accept

        async def send_prepare(attempt: Any, seat: str, replied: Any) -> None:
            if not seat.startswith(f"{delayed}/"):
                await original_prepare(attempt, seat, replied)

        async def send_accept(attempt: Any, seat: str, replied: Any) -> None:
            if not seat.startswith(f"{delayed}/"):
                await original_accept(attempt, seat, replied)

        replica.proposer._send_prepare = send_prepare  # type: ignore[method-assign]
        replica.proposer._send_accept = send_accept  # type: ignore[method-assign]

    def decided(outcome: Any) -> None:
        when["decided"] = stores.world.seconds()
        assert outcome == PutOutcome.DECIDED

    wrong: list[str] = []

    def watch() -> None:
        asked = stores.world.seconds()

        def on_reply(reply: WatchReply) -> None:
            number, age_ms = reply.value.version_id.number, reply.contact_age_ms
            known_by = asked - age_ms / 1000
            if age_ms >= 0 and number < 7 and known_by > when.get("decided", 99.0):
                wrong.append(f"{asked:.2f}: r{number}, {age_ms} ms old")

        stores.call(delayed, lambda replica: replica.watch(WatchRequest(SyncState(), -2)), on_reply)

    stores.at(2.9, prepare)
    stores.at(delay_start, lambda: stores.net.cuts.update((other, delayed) for other in others))
    stores.at(
        delay_start + 0.02, lambda: stores.call(others[0], lambda replica: replica.put(VERSION), decided)
    )
    stores.at(delay_start + 0.3, stores.net.heal)
    for number in range(60):
        stores.at(delay_start + number * 0.02, watch)
    stores.play(delay_start + 2.0)
    assert when["decided"] < delay_start + 0.3 and not wrong, wrong[:3]
    assert stores.members[delayed].applied.version_id.number == 7
