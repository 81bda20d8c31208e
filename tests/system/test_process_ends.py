"""Real processes: none ends that was not told to, and each end that was asked for has code 0."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from benchmarks.loopback_deployment import (
    CONTROL_PORT,
    FRONT_PORT,
    GRACE_S,
    PORT_RANGE,
    READINESS_PORT,
    RECOVERY_S,
    ROOT,
    Deployment,
)
from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.proxy.backend_connection import BackendConnection
from irisdeal.rpc.transport import set_socket_options

NETWORK = 38  # second octet of the loopback addresses
ROLES = ("config_store", "registry", "proxy")
STORE_PORT, REGISTRY_PORT = PORT_RANGE[0], PORT_RANGE[0] + 1
LISTENERS = [
    ("config_store", STORE_PORT),
    ("registry", REGISTRY_PORT),
    ("registry", CONTROL_PORT),
    ("proxy", FRONT_PORT),
    ("proxy", READINESS_PORT),
]
POLL_INTERVAL_S = 0.01
OCCUPIED_S = 1.0
IP_BIND_ADDRESS_NO_PORT = 24  # of Linux: the port is chosen at connect, as without bind
OUTGOING_IP = f"127.{NETWORK}.3.1"
END_ROUNDS = 4
SETTLED_S = 0.3  # for which a program has served
BACKEND = Backend("i", "s", ("127.0.0.1", 1), "z", 0, 2, 0.0)
SIGNAL_GAP_S = 0.005

# A program whose start waits in a thread, as for a disk that hangs.
HUNG_PROGRAM = """
from irisdeal.runtime.signals import install_signal_handlers
signals = install_signal_handlers()
import asyncio, sys, time
from irisdeal.runtime.process import run_process

class Hung:
    def __init__(self, settings): pass
    async def start(self):
        print("starts", flush=True)
        await asyncio.to_thread(time.sleep, 30)
    async def stop(self): pass
    def reload(self, settings): pass

run_process(Hung, signals)
"""


class Rig:
    """One core machine and one proxy, of which a test runs the programs that it needs."""

    def __init__(self, folder: Path) -> None:
        self.deployment = Deployment(folder, NETWORK, proxies=1, cores=1)
        self.addresses = {role: self.deployment.cores[0] for role in ROLES}
        self.addresses["proxy"] = self.deployment.proxies[0]

    def start(self, role: str) -> subprocess.Popen[bytes]:
        """Start a program."""
        return self.deployment.start(role, self.addresses[role], is_first=True)

    def log(self, role: str) -> str:
        """Return what a program has logged."""
        return (self.deployment.folder / f"{role}-{self.addresses[role]}.log").read_text()

    def clear_log(self, role: str) -> None:
        """Forget what a program has logged in an earlier life."""
        (self.deployment.folder / f"{role}-{self.addresses[role]}.log").unlink(missing_ok=True)

    def serves(self, role: str) -> bool:
        """Whether a program has logged that it has started."""
        return "E100" in self.log(role)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    rig = Rig(tmp_path)
    yield rig
    rig.deployment.stop()


def wait_until(is_true: Callable[[], bool], timeout_s: float = RECOVERY_S) -> None:
    """Wait for a condition, which must come true in time."""
    until = time.monotonic() + timeout_s
    while not is_true():
        assert time.monotonic() < until, "it did not happen in time"
        time.sleep(POLL_INTERVAL_S)


def signal_while_settings_are_read(rig: Rig, role: str, number: signal.Signals) -> subprocess.Popen[bytes]:
    """Start a program, and send it a signal at each moment at which it waits for its settings."""
    path = rig.deployment.settings_path(role, rig.addresses[role])
    text = rig.deployment.settings_text(role, rig.addresses[role], is_first=True)
    pipe = path.with_suffix(".pipe")
    os.mkfifo(pipe)
    env = {**os.environ, "IRISDEAL_SETTINGS": str(pipe), "PYTHONPATH": os.pathsep.join(sys.path)}
    with (rig.deployment.folder / f"{role}-{rig.addresses[role]}.log").open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-S", "-m", f"irisdeal.{role}"], cwd=ROOT, stderr=log, env=env
        )
    rig.deployment.running[role, rig.addresses[role]] = process
    until = time.monotonic() + RECOVERY_S
    while process.poll() is None and "E100" not in rig.log(role) and time.monotonic() < until:
        with contextlib.suppress(OSError):  # no reader at the moment
            writer = os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            with contextlib.suppress(ProcessLookupError, BrokenPipeError), open(writer, "w") as file:
                process.send_signal(number)
                time.sleep(POLL_INTERVAL_S)
                file.write(text)
        time.sleep(POLL_INTERVAL_S)
    return process


# Guards against Fault: SIGHUP that came while a program started ended it.
@pytest.mark.parametrize("role", ROLES)
def test_sighup_during_the_start_reloads_once_started(rig: Rig, role: str) -> None:
    process = signal_while_settings_are_read(rig, role, signal.SIGHUP)
    wait_until(lambda: process.poll() is not None or "E100" in rig.log(role))
    assert process.poll() is None, rig.log(role)


# Guards against Fault: a program whose settings file was just being written ended with code 2.
@pytest.mark.parametrize("role", ROLES)
def test_a_start_reads_half_written_settings_again(rig: Rig, role: str) -> None:
    path = rig.deployment.settings_path(role, rig.addresses[role])
    text = rig.deployment.settings_text(role, rig.addresses[role], is_first=True)
    half = text[: text.index("readiness = ") + 20]
    rig.deployment.settings_text = lambda *_: half  # type: ignore[method-assign]
    process = rig.start(role)
    wait_until(lambda: process.poll() is not None or "E104" in rig.log(role))
    path.write_text(text)
    wait_until(lambda: process.poll() is not None or rig.serves(role))
    assert process.poll() is None, rig.log(role)
    for served_by, port in LISTENERS:
        if served_by == role:
            socket.create_connection((rig.addresses[role], port), 1.0).close()


# Guards against Fault: SIGTERM that came while a program started ended it by the signal, in place of code 0.
@pytest.mark.parametrize("role", ROLES)
def test_sigterm_during_the_start_ends_in_order(rig: Rig, role: str) -> None:
    process = signal_while_settings_are_read(rig, role, signal.SIGTERM)
    assert process.wait(GRACE_S) == 0, rig.log(role)


# Guards against Fault: signals that came while a program ended changed its exit code.
@pytest.mark.parametrize("role", ROLES)
def test_signals_until_the_end_do_not_change_the_exit_code(rig: Rig, role: str) -> None:
    codes = []
    for number in (signal.SIGHUP, signal.SIGTERM) * (END_ROUNDS // 2):
        rig.clear_log(role)
        process = rig.start(role)
        wait_until(lambda: rig.serves(role))
        time.sleep(SETTLED_S)
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < until:
            time.sleep(SIGNAL_GAP_S)
            process.send_signal(number)
        codes.append(process.poll())
    assert codes == [0] * len(codes), rig.log(role)


# Guards against Fault: a program whose address was held for a moment ended with a traceback.
@pytest.mark.parametrize(("role", "port"), LISTENERS)
def test_a_start_waits_for_an_address_that_is_in_use(rig: Rig, role: str, port: int) -> None:
    with socket.socket() as holder:
        holder.bind((rig.addresses[role], port))
        holder.listen()
        process = rig.start(role)
        time.sleep(OCCUPIED_S)
        assert process.poll() is None, rig.log(role)
    wait_until(lambda: rig.serves(role))
    with socket.create_connection((rig.addresses[role], port), 1.0):
        assert f"{rig.addresses[role]}:{port}" in rig.log(role), "the log names the address"


# Guards against Fault: a program that had its address too late ended with a traceback.
def test_an_address_that_stays_in_use_ends_the_start_with_one_line_and_a_code_of_its_own(
    rig: Rig, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("benchmarks.loopback_deployment.RECOVERY_S", 0.5)
    with socket.socket() as holder:
        holder.bind((rig.addresses["config_store"], STORE_PORT))
        holder.listen()
        assert rig.start("config_store").wait(GRACE_S) == 3
    log = rig.log("config_store")
    assert "Traceback" not in log
    assert log.strip().splitlines()[-1].startswith("E108 ")


# Guards against Fault: a program whose log could not be written ended with code 120.
@pytest.mark.parametrize("role", ROLES)
def test_a_lost_log_does_not_change_the_exit_code(tmp_path: Path, role: str) -> None:
    rig = Rig(tmp_path)
    rig.deployment.log_to_pipe = True
    try:
        process = rig.start(role)
        assert process.stderr is not None
        while b"E100" not in process.stderr.readline():
            assert process.poll() is None
        process.stderr.close()
        time.sleep(SETTLED_S)
        process.send_signal(signal.SIGHUP)  # is logged, too
        time.sleep(SETTLED_S)
        process.send_signal(signal.SIGTERM)
        assert process.wait(GRACE_S) == 0
    finally:
        rig.deployment.stop()


# Guards against Fault: a thread that a disk holds up kept a stopped process from its end.
def test_a_thread_that_hangs_does_not_hold_up_the_end(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, NETWORK, proxies=1, cores=1)
    settings = tmp_path / "settings.toml"
    settings.write_text(deployment.settings_text("proxy", deployment.proxies[0]))
    process = subprocess.Popen(
        [sys.executable, "-c", HUNG_PROGRAM],
        cwd=ROOT,
        env={**os.environ, "IRISDEAL_SETTINGS": str(settings)},
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    assert process.stdout.readline() == b"starts\n"
    process.send_signal(signal.SIGTERM)
    try:
        assert process.wait(GRACE_S) == 0
    finally:
        process.kill()


class SocketTransport(asyncio.Transport):
    """A transport that has a socket, and nothing else."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__({"socket": sock})


# Guards against Fault: an outgoing connection of a program held the port of another one's listener.
@pytest.mark.parametrize("kind", ["rpc", "backend"])
def test_an_outgoing_connection_does_not_hold_an_address(kind: str) -> None:
    with socket.socket() as server, socket.socket() as outgoing, socket.socket() as listener:
        server.bind(("127.0.0.1", 0))
        server.listen()
        # An address of its own, as other connections may share a port that the kernel chooses for 127.0.0.1
        outgoing.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        outgoing.bind((OUTGOING_IP, 0))
        outgoing.connect(server.getsockname())
        if kind == "rpc":
            set_socket_options(SocketTransport(outgoing))
        else:
            BackendConnection(BACKEND, lambda _: None).connection_made(SocketTransport(outgoing))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(outgoing.getsockname())
        listener.listen()
