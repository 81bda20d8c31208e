"""Real registries, stores and a proxy as processes on addresses of 127.0.0.0/8, each with its settings file."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.capacity.tally import Counts

PORT_RANGE = (7340, 7355)
CONTROL_PORT = 8783
ADDRESS_BLOCK = (
    10 + os.getpid() % 200
)  # second byte of all addresses, so that simultaneous runs do not collide
PROXY_IP = f"127.{ADDRESS_BLOCK}.200.1"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")  # of CPU time
KB_PER_MB = 1024.0
ROOT = Path(__file__).resolve().parents[2]


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources used by a process: CPU time, resident memory and open sockets."""

    cpu_s: float
    mb: float
    sockets: int


class ChildProcess:
    """A child process that is controlled by lines on its standard input and answers in lines of JSON."""

    def __init__(self, name: str, module: list[str], folder: Path, settings: str = "") -> None:
        self.name = name
        environment = {**os.environ, "IRISDEAL_LOG": "ERROR", "PYTHONPATH": str(ROOT)}
        if settings:
            environment["IRISDEAL_SETTINGS"] = settings
        self.log = (folder / f"{name}.log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", *module],
            cwd=folder,
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self.log,
            text=True,
        )

    def exchange(self, line: str) -> Any:
        """Send a line and return the reply. Raises OSError or ValueError if the process has ended."""
        self.send_line(line)
        return self.read_reply()

    def send_line(self, line: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def read_reply(self) -> Any:
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def counts(self) -> Counts:
        """The frames counted so far, by kind."""
        counts: Counts = self.exchange("")
        return counts

    def usage(self) -> Usage:
        """The resources used so far. Raises OSError if the process has ended."""
        folder = Path(f"/proc/{self.process.pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        resident = next(
            line for line in (folder / "status").read_text().splitlines() if line.startswith("VmRSS")
        )
        sockets = sum(_is_socket(entry.path) for entry in os.scandir(folder / "fd"))
        return Usage(
            (int(fields[11]) + int(fields[12])) / TICKS_PER_S, int(resident.split()[1]) / KB_PER_MB, sockets
        )

    def stop(self) -> None:
        """Terminate the process; kill it if it does not end within 5 s."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(5.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                with contextlib.suppress(BrokenPipeError):
                    pipe.close()
        self.log.close()


def _is_socket(path: str) -> bool:
    try:
        return os.readlink(path).startswith("socket:")
    except OSError:  # closed in the meantime
        return False


def core_ip(number: int) -> str:
    """The IP address of a core machine."""
    return f"127.{ADDRESS_BLOCK}.{number >> 8}.{(number & 255) + 1}"


def control_address(number: int) -> str:
    """Host and port of a registry's control interface."""
    return f"{core_ip(number)}:{CONTROL_PORT}"


def write_settings(
    folder: Path, name: str, role: str, ip: str, zone: str, zones: list[str], bind: str
) -> str:
    """Write a settings file as the platform does; returns its path."""
    lines = [
        f'node_name = "{name}"',
        f'role = "{role}"',
        f'ip = "{ip}"',
        f'zone = "{zone}"',
        'region = "here"',
        f"port_range = [{PORT_RANGE[0]},{PORT_RANGE[1]}]",
        f"seed_peers = {json.dumps([control_address(number) for number in range(3)])}",
        "bootstrap = true",
        f'data_path = "{folder / f"{name}-data"}"',
        "beat_interval_ms = 1500",
        "[zones]",
        *(f'{each} = "here"' for each in zones),
        "[bind]",
        bind,
    ]
    path = folder / f"{name}.toml"
    path.write_text("\n".join(lines) + "\n", "utf-8")
    return str(path)
