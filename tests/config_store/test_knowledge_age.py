"""What a store says of the age of its knowledge, against orders that were confirmed; in virtual time.

An order is confirmed by one member and its word to the others is lost: the one that confirmed it is cut off.
The others reach each other, so they have contact; but what one of them accepted and none has seen decided may
have been confirmed to the operator.
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
from irisdeal.simulation.world import START, World
from tests.support.core_rig import CutNetwork, zone_of

# s: until it is seen, is left undecided, is seen again; and a ballot
DECIDED_WITHIN_S = 2 * (STATUS_INTERVAL_S + STATUS_WAIT_S) + 2 * UNDECIDED_WAIT_S + 0.08


class Stores:
    """Real members, without registries."""

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

    def at(self, seconds: float, act: Callable[[], None]) -> None:
        self.world.at(START + round(seconds * 1e6), "test", act)

    def on(self, host: str, act: Callable[[StoreReplica], Any], done: Callable[[Any], None]) -> None:
        async def run() -> None:
            done(await act(self.members[host]))

        self.machines[host].call_soon(lambda: self.members[host].tasks.start(run()))

    def cut(self, host: str, others: list[str]) -> None:
        for other in others:
            self.net.cuts |= {(host, other), (other, host)}

    def play(self, until: float) -> None:
        over: list[bool] = []
        self.at(until, lambda: over.append(True))
        self.world.run(lambda: bool(over), START + round((until + 1) * 1e6))


VERSION = ConfigVersion.of("r7", b"seven")


def confirmed_then_cut(stores: Stores, hears: int) -> dict[str, float]:
    """At 3 s the first member confirms r7, accepted by `hears` of the others, and is cut off. When it was."""
    first, *others = stores.hosts
    when: dict[str, float] = {}

    def prepare() -> None:
        member = stores.members[first]

        def announce(ballot: Ballot, value: Value) -> None:
            stores.cut(first, others)
            when["confirmed"] = stores.world.seconds()
            member.learn(value, [])

        member.proposer.learn = announce
        kept = member.proposer._send_accept

        async def send_accept(attempt: Any, seat: str, replied: Any) -> None:
            if seat.partition("/")[0] in [first, *others[:hears]]:  # what it sends to the others is lost
                await kept(attempt, seat, replied)

        member.proposer._send_accept = send_accept  # type: ignore[method-assign]

        def done(outcome: Any) -> None:
            when["outcome"] = outcome

        stores.on(first, lambda one: one.put(VERSION), done)

    stores.at(3.0, prepare)
    return when


@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("count", [3, 4, 5])
def test_what_a_store_says_of_its_age_is_true_and_what_was_confirmed_comes_into_force(
    count: int, seed: int
) -> None:
    stores = Stores(count, seed)
    rest = stores.hosts[1:]
    when = confirmed_then_cut(stores, count // 2)
    wrong: list[str] = []
    told: dict[str, list[tuple[float, int]]] = {host: [] for host in rest}

    def ask() -> None:
        asked = stores.world.seconds()
        for host in rest:

            def hear(answer: WatchReply, host: str = host, asked: float = asked) -> None:
                value, age = answer.value, answer.contact_age_ms
                told[host].append((stores.world.seconds(), value.version_id.number))
                known_by = asked - age / 1000
                if age >= 0 and value.version_id.number < 7 and known_by > when.get("confirmed", 99.0):
                    wrong.append(f"{asked:.2f}: {host} tells r{value.version_id.number}, {age} ms old")

            stores.on(host, lambda one: one.watch(WatchRequest(SyncState(), -2)), hear)

    for number in range(100):
        stores.at(2.9 + number * 0.03, ask)
    stores.play(6.0)
    assert when["outcome"] == PutOutcome.DECIDED and not wrong, wrong[:3]
    for host in rest:
        in_force = min(at for at, number in told[host] if number == 7)
        assert in_force - when["confirmed"] <= DECIDED_WITHIN_S + 0.03, host


@pytest.mark.parametrize("offset", range(0, 13))
def test_an_answer_that_a_link_held_back_makes_nothing_younger(offset: int) -> None:
    """What others say to one member comes 0.3 s late; meanwhile they decide, and it hears nothing of that."""
    stores = Stores(3, 1)
    late, *others = stores.hosts
    when: dict[str, float] = {}
    begun = 3.0 + offset * 0.04

    def prepare() -> None:
        one = stores.members[others[0]]
        one.peers.notify = lambda ip, kind, body: None  # type: ignore[method-assign]
        promise, accept = one.proposer._send_prepare, one.proposer._send_accept

        async def send_prepare(attempt: Any, seat: str, replied: Any) -> None:
            if not seat.startswith(f"{late}/"):
                await promise(attempt, seat, replied)

        async def send_accept(attempt: Any, seat: str, replied: Any) -> None:
            if not seat.startswith(f"{late}/"):
                await accept(attempt, seat, replied)

        one.proposer._send_prepare = send_prepare  # type: ignore[method-assign]
        one.proposer._send_accept = send_accept  # type: ignore[method-assign]

    def decided(outcome: Any) -> None:
        when["decided"] = stores.world.seconds()
        assert outcome == PutOutcome.DECIDED

    wrong: list[str] = []

    def ask() -> None:
        asked = stores.world.seconds()

        def hear(answer: WatchReply) -> None:
            number, age_ms = answer.value.version_id.number, answer.contact_age_ms
            known_by = asked - age_ms / 1000
            if age_ms >= 0 and number < 7 and known_by > when.get("decided", 99.0):
                wrong.append(f"{asked:.2f}: r{number}, {age_ms} ms old")

        stores.on(late, lambda one: one.watch(WatchRequest(SyncState(), -2)), hear)

    stores.at(2.9, prepare)
    stores.at(begun, lambda: stores.net.cuts.update((other, late) for other in others))
    stores.at(begun + 0.02, lambda: stores.on(others[0], lambda one: one.put(VERSION), decided))
    stores.at(begun + 0.3, stores.net.heal)
    for number in range(60):
        stores.at(begun + number * 0.02, ask)
    stores.play(begun + 2.0)
    assert when["decided"] < begun + 0.3 and not wrong, wrong[:3]
    assert stores.members[late].applied.version_id.number == 7
