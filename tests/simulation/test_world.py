"""Guarantees of the simulation's clock, machines and network."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from irisdeal.simulation import world as worlds
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.errors import SimulationLivelockError, SimulationStalledError
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.sockets import ListeningSocket, NetworkLink
from irisdeal.simulation.trace import BLOCK_EVENTS, EventTrace, first_difference
from irisdeal.simulation.transport import SOCKET_BUFFER_BYTES, SimulatedTransport
from irisdeal.simulation.world import START_US, World

ADDRESS = ("127.0.0.1", 700)


class Peer(asyncio.Protocol):
    """Records what it receives."""

    def __init__(self, answers: bytes = b"", reads: bool = True, half: bool = False) -> None:
        self.answers, self.reads, self.half = answers, reads, half
        self.received = b""
        self.segments = 0
        self.transport: Any = None
        self.lost: list[Exception | None] = []
        self.eof = self.full = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if not self.reads:
            transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.segments += 1
        if self.answers:
            self.transport.write(self.answers)

    def eof_received(self) -> bool:
        self.eof = True
        return self.half

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.append(exc)


class Rig:
    """Two machines and the link between them."""

    def __init__(
        self, seed: int = 1, link: NetworkLink | None = None, files: int = 100, **costs: int
    ) -> None:
        self.world = World(seed)
        self.net = Network(self.world, link or NetworkLink())
        self.server = Machine(self.world, self.net, "server", Core(), Costs(**costs), files=files)
        self.client = Machine(self.world, self.net, "client", Core(), Costs())
        self.peers: list[Peer] = []

    def serve(self, make: Callable[[], Peer] = Peer) -> None:
        def made() -> Peer:
            self.peers.append(peer := make())
            return peer

        self.net.serve(self.server, made, ADDRESS)

    def run(self, work: Coroutine[Any, Any, Any], seconds: float = 60.0) -> Any:
        """Run a coroutine on the client's machine; return its result."""
        done: list[Any] = []

        async def main() -> int:
            done.append(await work)
            return 0

        self.client.start(main())
        self.world.run(lambda: self.client.dead, START_US + round(seconds * 1e6))
        assert not self.client.errors, self.client.errors
        return done[0]

    async def connect(self, peer: Peer | None = None) -> Peer:
        _, made = await self.client.create_connection(lambda: peer or Peer(), *ADDRESS)
        assert isinstance(made, Peer)
        return made


def test_simultaneous_timers_fire_in_the_order_they_were_set() -> None:
    rig, order = Rig(), list[int]()

    async def work() -> None:
        loop = asyncio.get_running_loop()
        for n in range(20):
            loop.call_later(0.5, order.append, n)
        loop.call_later(0.4, order.append, -1)
        cancelled = loop.call_later(0.45, order.append, 99)
        cancelled.cancel()
        await asyncio.sleep(1.0)

    rig.run(work())
    assert order == [-1, *range(20)]
    assert rig.world.now == START_US + 1_000_000  # no CPU time is spent waiting


def test_asyncio_works_as_on_a_real_loop() -> None:
    rig = Rig()

    async def work() -> list[str]:
        seen = []
        try:
            async with asyncio.timeout(0.2):
                await asyncio.sleep(5)
        except TimeoutError:
            seen.append("timed out")
        event = asyncio.Event()
        asyncio.get_running_loop().call_later(0.1, event.set)
        await event.wait()
        seen.append("event")
        seen += await asyncio.gather(asyncio.sleep(0.2, "b"), asyncio.sleep(0.1, "a"))
        task = asyncio.get_running_loop().create_task(asyncio.sleep(10))
        await asyncio.sleep(0)
        task.cancel()
        done, _ = await asyncio.wait({task}, timeout=1)
        seen.append(f"cancelled {task.cancelled()} {len(done)}")
        return seen

    assert rig.run(work()) == ["timed out", "event", "b", "a", "cancelled True 1"]


def test_a_turn_occupies_its_core_and_others_on_it_wait() -> None:
    """The second machine's turn starts when the first's has ended, and its timer is late."""
    world = World(1)
    net, core = Network(world), Core()
    one = Machine(world, net, "one", core, Costs(call=5_000))
    two = Machine(world, net, "two", core, Costs(call=1_000))
    ran_at = []
    one.call_soon(lambda: ran_at.append(("one", one.instant())))
    two.call_later(0.001, lambda: ran_at.append(("two", two.instant())))
    world.at(START_US + 100_000, "end", lambda: None)
    with pytest.raises(SimulationStalledError, match="nothing is due"):
        world.run(lambda: False, START_US + 10**9)
    assert ran_at == [("one", START_US + 5_000), ("two", START_US + 6_000)]
    assert two.max_timer_delay == 4_000
    assert core.free_at == START_US + 6_000


def test_three_busy_machines_share_a_core_evenly() -> None:
    """Guards against a busy machine that keeps the core, so that the others' timers are a second late."""
    world = World(1)
    net, core, counts = Network(world), Core(), [0, 0, 0]
    machines = [Machine(world, net, str(n), core, Costs(call=1_000)) for n in range(3)]

    def work(n: int) -> None:
        counts[n] += 1
        machines[n].call_soon(work, n)

    for n in range(3):
        machines[n].call_soon(work, n)
    world.at(START_US + 300_000, "end", lambda: None)
    world.run(lambda: world.now >= START_US + 300_000, START_US + 10**9)
    assert sum(counts) >= 299 and max(counts) - min(counts) <= 1


def test_timers_are_rounded_as_by_the_real_loop() -> None:
    world = World(1)
    machine = Machine(world, Network(world), "door", Core(), Costs(turn=300), timer_resolution=1_000)
    seen = []
    machine.call_later(0.0014, lambda: seen.append((world.now - START_US, machine.time())))
    world.at(START_US + 10_000, "end", lambda: None)
    with pytest.raises(SimulationStalledError):
        world.run(lambda: False, START_US + 10**9)
    assert seen == [(1_000, (START_US + 1_000) / 1e6)]


def test_a_stalled_simulation_names_the_waiting_tasks() -> None:
    rig = Rig()

    async def forever() -> None:
        await asyncio.get_running_loop().create_future()

    waits = r"nothing is due.*(?s:.*)client: Task-\d+ in .*forever \(test_world.py:\d+\)"
    with pytest.raises(SimulationStalledError, match=waits):
        rig.run(forever())

    rig = Rig()
    with pytest.raises(SimulationStalledError, match="not over after 3 s"):
        rig.run(asyncio.sleep(9), seconds=3)


def test_a_livelock_ends_the_simulation_and_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(worlds, "MAX_SIMULTANEOUS_EVENTS", 1_000)
    rig = Rig()

    async def spin() -> None:
        while True:
            await asyncio.sleep(0)

    with pytest.raises(SimulationLivelockError, match=r"1000 events at 0\.000000 s, most recently: client"):
        rig.run(spin())


def test_bytes_arrive_in_order_in_segments_and_then_the_end() -> None:
    rig = Rig(link=NetworkLink(delay=200, jitter=900))
    rig.serve()

    async def work() -> Peer:
        peer = await rig.connect()
        for n in range(200):
            peer.transport.write(b"%04d" % n)
        peer.transport.close()
        await asyncio.sleep(1)
        return peer

    peer = rig.run(work())
    assert rig.peers[0].received == b"".join(b"%04d" % n for n in range(200))
    assert rig.peers[0].eof and rig.peers[0].lost == [None] and peer.lost == [None]
    assert rig.peers[0].segments > 1
    assert not any(isinstance(f, SimulatedTransport) for f in rig.server.files.values())
    assert len(rig.server.files) == 1  # the listening socket


def test_closing_with_unread_bytes_resets_the_connection() -> None:
    rig = Rig()
    rig.serve(lambda: Peer(reads=False))

    async def work() -> Peer:
        peer = await rig.connect()
        peer.transport.write(b"a request")
        await asyncio.sleep(0.1)
        rig.peers[0].transport.abort()
        await asyncio.sleep(0.1)
        return peer

    assert isinstance(rig.run(work()).lost[0], ConnectionResetError)


def test_bytes_that_arrive_after_a_close_are_answered_with_a_reset() -> None:
    """A half-closed end keeps writing after the other end has closed its socket."""
    rig = Rig()
    rig.serve()

    async def work() -> Peer:
        peer = await rig.connect(Peer(half=True))
        await asyncio.sleep(0.1)
        rig.peers[0].transport.close()
        await asyncio.sleep(0.1)
        assert peer.eof and not peer.lost
        peer.transport.write(b"too late")
        await asyncio.sleep(0.1)
        return peer

    assert isinstance(rig.run(work()).lost[0], ConnectionResetError)


def test_a_killed_process_loses_only_what_it_had_not_written() -> None:
    rig = Rig(link=NetworkLink(delay=10_000, jitter=0))
    rig.serve(lambda: Peer(answers=b"answer"))

    async def work() -> Peer:
        peer = await rig.connect()
        peer.transport.write(b"ask")
        await asyncio.sleep(0.011)  # the response is in transit
        rig.server.kill()
        await asyncio.sleep(0.1)
        return peer

    peer = rig.run(work())
    assert peer.received == b"answer" and peer.eof
    assert rig.server.exit_code == -signal.SIGKILL


def test_a_turn_that_is_killed_sends_nothing_more() -> None:
    """The turn of a slow machine starts before the kill and would write after it."""
    rig = Rig(link=NetworkLink(delay=10_000, jitter=0), read=5_000, write=5_000)
    rig.serve(lambda: Peer(answers=b"answer"))

    async def work() -> Peer:
        peer = await rig.connect()
        peer.transport.write(b"ask")
        await asyncio.sleep(0.0105)  # the turn that reads has started
        rig.server.kill()
        await asyncio.sleep(0.1)
        return peer

    assert rig.run(work()).received == b""


def test_a_full_accept_queue_drops_a_syn_that_is_retransmitted_a_second_later() -> None:
    rig = Rig()
    port = ListeningSocket(rig.net, rig.server)
    port.bind(ADDRESS)
    port.listen(1)
    accepted: list[Any] = []

    async def work() -> float:
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(rig.connect()) for _ in range(3)]
        done, waiting = await asyncio.wait(tasks, timeout=0.5)
        assert len(done) == 2 and len(waiting) == 1 and port.dropped == 1
        accepted.append(port.accept())
        started_at = loop.time()
        await waiting.pop()
        return loop.time() - started_at

    assert 0.4 < rig.run(work()) < 0.6  # the SYN's second try, 1 s after its first
    with pytest.raises(BlockingIOError):
        for _ in range(3):
            port.accept()


def test_connecting_is_refused_without_a_listener_and_times_out_in_a_partition() -> None:
    link = NetworkLink()
    rig = Rig(link=link)

    async def work() -> list[str]:
        seen = []
        for is_partitioned in (False, True):
            link.is_partitioned = is_partitioned
            try:
                async with asyncio.timeout(0.25):
                    await rig.connect()
            except (OSError, TimeoutError) as error:
                seen.append(type(error).__name__)
        return seen

    assert rig.run(work()) == ["ConnectionRefusedError", "TimeoutError"]
    assert not rig.client.files


def test_a_stalled_link_queues_segments_and_delivers_them_in_order() -> None:
    link = NetworkLink()
    rig = Rig(link=link)
    rig.serve()

    async def work() -> None:
        peer = await rig.connect()
        peer.transport.write(b"one ")
        await asyncio.sleep(0.1)
        link.is_stalled = True
        peer.transport.write(b"two ")
        await asyncio.sleep(0.1)
        peer.transport.write(b"three")
        peer.transport.close()
        await asyncio.sleep(5)
        assert rig.peers[0].received == b"one " and not rig.peers[0].eof
        rig.net.restore(link)
        await asyncio.sleep(0.1)

    rig.run(work())
    assert rig.peers[0].received == b"one two three" and rig.peers[0].eof


def test_a_peer_that_does_not_read_fills_the_socket_buffer_and_stops_the_sender() -> None:
    rig = Rig()
    rig.serve(lambda: Peer(reads=False))

    async def work() -> Peer:
        peer = await rig.connect()
        for _ in range(8):
            peer.transport.write(bytes(100_000))
        await asyncio.sleep(1)
        assert peer.full and peer.transport.get_write_buffer_size() == 800_000 - SOCKET_BUFFER_BYTES
        rig.peers[0].transport.resume_reading()
        await asyncio.sleep(1)
        return peer

    peer = rig.run(work())
    assert not peer.full and len(rig.peers[0].received) == 800_000


def test_a_rate_makes_bytes_take_time() -> None:
    rig = Rig(link=NetworkLink(delay=0, jitter=0, rate=100_000))
    rig.serve(lambda: Peer(answers=b"."))

    async def work() -> float:
        loop = asyncio.get_running_loop()
        peer = await rig.connect()
        started_at = loop.time()
        peer.transport.write(bytes(20_000))
        while not peer.received:
            await asyncio.sleep(0.001)
        return loop.time() - started_at

    assert 0.19 < rig.run(work()) < 0.22


def test_descriptors_run_out() -> None:
    rig = Rig(files=3)
    rig.serve()  # uses one descriptor

    async def work() -> None:
        for _ in range(2):
            await rig.connect()
        await asyncio.sleep(0.1)
        assert len(rig.peers) == 2 and len(rig.server.files) == 3
        with pytest.raises(OSError, match="Too many open files"):
            await rig.net.connect(rig.server, Peer, ADDRESS)
        rig.peers[0].transport.close()
        await asyncio.sleep(0.1)
        assert len(rig.server.files) == 2

    rig.run(work())


def test_signals_end_a_process_unless_it_handles_or_ignores_them() -> None:
    world = World(1)
    net = Network(world)
    received: list[int] = []
    plain, ignoring, handles = (Machine(world, net, name, Core(), Costs()) for name in ("a", "b", "c"))
    ignoring.ignore(signal.SIGHUP)
    handles.add_signal_handler(signal.SIGHUP, received.append, 1)
    for machine in (plain, ignoring, handles):
        machine.signal(signal.SIGHUP)
    world.at(START_US + 1, "end", lambda: None)
    world.run(lambda: world.now > START_US, START_US + 10)
    assert (plain.exit_code, ignoring.dead, handles.dead, received) == (-signal.SIGHUP, False, False, [1])


def test_a_paused_process_resumes_where_it_stopped() -> None:
    rig = Rig()
    rig.serve(lambda: Peer(answers=b"!"))

    async def work() -> float:
        loop = asyncio.get_running_loop()
        peer = await rig.connect()
        await asyncio.sleep(0.1)
        rig.server.pause(rig.world.now + 700_000)
        started_at = loop.time()
        peer.transport.write(b"?")
        while not peer.received:
            await asyncio.sleep(0.01)
        return loop.time() - started_at

    assert 0.69 < rig.run(work()) < 0.73


@settings(max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 10**6),
    sizes=st.lists(st.integers(1, 70_000), min_size=1, max_size=12),
    jitter=st.integers(0, 5_000),
    loss=st.sampled_from([0.0, 0.2]),
    kill=st.one_of(st.none(), st.floats(0, 0.6)),
    silent=st.booleans(),
)
def test_received_bytes_are_always_a_prefix_of_those_written(
    seed: int,
    sizes: list[int],
    jitter: int,
    loss: float,
    kill: float | None,
    silent: bool,
) -> None:
    """TCP's guarantee under all faults of the link; all bytes arrive if no process is killed."""
    link = NetworkLink(jitter=jitter, loss=loss)
    rig = Rig(seed, link)
    rig.serve()
    sent = b"".join(bytes([n % 256]) * size for n, size in enumerate(sizes))

    async def work() -> None:
        peer = await rig.connect()
        if kill is not None:
            rig.world.at(rig.world.now + round(kill * 1e6), "kill", rig.server.kill)
        for n, size in enumerate(sizes):
            if peer.transport.is_closing():
                break
            peer.transport.write(bytes([n % 256]) * size)
            if silent and n == 2:
                link.is_stalled = True
            await asyncio.sleep(0.05)
        rig.net.restore(link)
        peer.transport.close()
        await asyncio.sleep(20)

    rig.run(work())
    received = rig.peers[0].received if rig.peers else b""
    assert sent.startswith(received)
    if kill is None:
        assert received == sent and rig.peers[0].eof
        assert len(rig.server.files) == 1 and not rig.client.files


def test_traces_name_the_first_block_in_which_two_runs_differ() -> None:
    one, other = EventTrace(), EventTrace(recorded_block=2)
    for n in range(1_000):
        one.record(n, "step")
        other.record(n + (n == 600), "step")
    assert first_difference(one, one) is None
    assert first_difference(one, other) == 600 // BLOCK_EVENTS == 2
    assert "601 step" in other.recorded_events and len(other.recorded_events) == BLOCK_EVENTS
