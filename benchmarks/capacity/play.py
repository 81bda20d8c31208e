"""One run: real core processes with simulated proxies and backends, and the cost of each phase for each role.

Phases: the core with heartbeats only; proxies start one by one; a quiet window; backends restart; placements are
requested; the configuration changes; all proxies start at once. Each window is `window` s; a phase that does not
settle ends at its time limit and is reported as unsettled.
"""

from __future__ import annotations

import http.client
import json
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from benchmarks.capacity import configuration
from benchmarks.capacity.machines import (
    PORT_RANGE,
    PROXY_IP,
    ChildProcess,
    Usage,
    control_address,
    core_ip,
    write_settings,
)
from benchmarks.capacity.size import Size
from benchmarks.capacity.tally import Counts

MAX_SIMULATOR_PROCESSES = 6  # of proxies, and half as many of backends, if there are enough of them
MAX_SETTLE_S = 30.0
QUIET_S = 3.0  # without a proxy that changes its registry
MAX_SIMULTANEOUS_START_S = 10.0  # time limit when all proxies start at once
MAX_LISTEN_S = 10.0  # for a process to listen
PLACEMENT_HOLD_S = 0.19  # uses 0.6 of all slots at the peak
Sample = dict[str, tuple[Usage, Counts]]


class RunDriver:
    """Starts and measures the processes of one run, in its own folder."""

    def __init__(self, size: Size, folder: Path, window: float, restarts: float) -> None:
        self.size, self.folder, self.window, self.restarts = size, folder, window, restarts
        self.zones = [f"zone{at}" for at in range(size.zones)]
        self.registry_processes: list[ChildProcess] = []
        self.store_processes: list[ChildProcess] = []
        self.proxy_simulators: list[ChildProcess] = []
        self.backend_simulators: list[ChildProcess] = []
        self.proxy: ChildProcess | None = None
        self.number = 1
        self.phases: dict[str, Any] = {}

    @property
    def all_processes(self) -> list[ChildProcess]:
        return [
            *self.proxy_simulators,
            *self.backend_simulators,
            *self.registry_processes,
            *self.store_processes,
            *([self.proxy] if self.proxy else []),
        ]

    # Processes

    def start_core(self) -> None:
        """Start the stores and registries, and wait until every registry listens. OSError if one does not."""
        for number in range(self.size.registries):
            zone = self.zones[number % len(self.zones)]
            for role, program, processes in (
                ("store", "config_store", self.store_processes),
                ("registry", "registry", self.registry_processes),
            ):
                path = write_settings(
                    self.folder,
                    f"{role}-{number}",
                    role,
                    core_ip(number),
                    zone,
                    self.zones,
                    f'control = "{control_address(number)}"',
                )
                processes.append(
                    ChildProcess(
                        f"{role}-{number}", ["benchmarks.capacity.tally", program], self.folder, path
                    )
                )
        deadline = time.monotonic() + MAX_LISTEN_S
        for number in range(self.size.registries):
            while self._call(number, "GET", "/status", b"", 1.0)[0] != 200:
                if time.monotonic() > deadline:
                    raise OSError(f"registry {number} does not listen")
                time.sleep(0.05)

    def start_simulator(self, name: str, first: int, doors: int, backends: int) -> ChildProcess:
        given = {
            "first": first,
            "doors": doors,
            "backends": backends,
            "zones": self.zones,
            "port_range": PORT_RANGE,
            "controls": [control_address(number) for number in range(self.size.registries)],
            "seeds": [control_address(number) for number in range(3)],
            "services": self.size.services,
            "active": self.size.active,
            "tenants": self.size.tenants,
            "work": PLACEMENT_HOLD_S,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(given), "utf-8")
        return ChildProcess(name, ["benchmarks.capacity.crowd", str(path)], self.folder)

    def start_proxy(self) -> None:
        """Start one real proxy, to measure its memory and CPU time."""
        path = write_settings(
            self.folder,
            "door",
            "proxy",
            PROXY_IP,
            self.zones[0],
            self.zones,
            f'front = "{PROXY_IP}:8782"\nreadiness = "{PROXY_IP}:8789"',
        )
        self.proxy = ChildProcess("door", ["irisdeal.proxy"], self.folder, path)

    def stop(self) -> None:
        for process in self.all_processes:
            process.stop()

    # Measurement

    def _call(self, number: int, method: str, path: str, body: bytes, timeout_s: float) -> tuple[int, bytes]:
        host, _, port = control_address(number).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def sample(self) -> Sample:
        """Resource usage and frame counts of all core processes, at about the same time."""
        core = [*self.registry_processes, *self.store_processes]
        for process in core:
            process.send_line("")
        return {process.name: (process.usage(), process.read_reply()) for process in core}

    def collect_reports(self, simulators: list[ChildProcess]) -> list[dict[str, Any]]:
        for process in simulators:
            process.send_line("report")
        return [process.read_reply() for process in simulators]

    def measure_window(self, name: str, seconds: float, **more: Any) -> dict[str, Any]:
        """Measure a window: what each role used in it, per second."""
        before, proxy_before, started_at = (
            self.sample(),
            self.proxy.usage() if self.proxy else None,
            time.monotonic(),
        )
        time.sleep(seconds)
        after, lasted = self.sample(), time.monotonic() - started_at
        figures = {
            "seconds": round(lasted, 2),
            **more,
            "registry": per_second(before, after, [p.name for p in self.registry_processes], lasted),
            "store": per_second(before, after, [p.name for p in self.store_processes], lasted),
        }
        if self.proxy and proxy_before:
            now = self.proxy.usage()
            figures["door"] = {
                "cpu": round((now.cpu_s - proxy_before.cpu_s) / lasted, 4),
                "mb": round(now.mb, 1),
                "sockets": now.sockets,
            }
        self.phases[name] = figures
        return figures

    # Phases

    def replace_configuration(self) -> dict[str, Any]:
        """Put the next configuration at a registry, and retry until it is acknowledged, as the operator does."""
        body, started_at, tries = (
            configuration.make_configuration(self.size, self.number),
            time.monotonic(),
            0,
        )
        self.number += 1
        while time.monotonic() - started_at < MAX_SETTLE_S:
            tries += 1
            status, _ = self._call(tries % self.size.registries, "POST", "/config/replace", body, 20.0)
            if status == 200:
                return {
                    "bytes": len(body),
                    "acknowledged_s": round(time.monotonic() - started_at, 3),
                    "tries": tries,
                }
            time.sleep(0.2)
        return {"bytes": len(body), "acknowledged_s": None, "tries": tries}

    def start_backends(self) -> None:
        process_count = max(1, min(MAX_SIMULATOR_PROCESSES // 2, self.size.backends // 500))
        per_process = -(-self.size.backends // process_count)
        for at in range(process_count):
            self.backend_simulators.append(
                self.start_simulator(
                    f"backends-{at}",
                    at * per_process,
                    0,
                    min(per_process, self.size.backends - at * per_process),
                )
            )
        for process in self.backend_simulators:
            process.exchange("start")

    def start_proxies(self) -> dict[str, Any]:
        """Start all proxies, a few at a time; returns the time until all are settled and the cost for the core."""
        process_count = max(1, min(MAX_SIMULATOR_PROCESSES, self.size.doors // 25))
        per_process = -(-self.size.doors // process_count)
        self.proxy_simulators = [
            self.start_simulator(
                f"doors-{at}", at * per_process, min(per_process, self.size.doors - at * per_process), 0
            )
            for at in range(process_count)
        ]
        self.collect_reports(self.proxy_simulators)  # waits until the simulators are loaded
        return self.start_all_proxies("start", 2 * MAX_SETTLE_S)

    def start_all_proxies(self, command: str, timeout_s: float) -> dict[str, Any]:
        """Start all proxies; returns the cost until all are settled or the time limit is reached."""
        before, started_at = self.sample(), time.monotonic()
        for process in self.proxy_simulators:
            process.send_line(command)
        for process in self.proxy_simulators:
            process.read_reply()
        while True:
            figures = self.collect_reports(self.proxy_simulators)
            missing = (
                sum(report["unsettled"] for report in figures)
                + self.size.doors
                - sum(report["doors"] for report in figures)
            )
            if not missing or time.monotonic() - started_at > timeout_s:
                break
            time.sleep(0.25)
        lasted = time.monotonic() - started_at
        after = self.sample()
        return {
            "seconds": round(lasted, 2),
            "unsettled": missing,
            "registry": per_second(before, after, [p.name for p in self.registry_processes], 1.0),
            "store": per_second(before, after, [p.name for p in self.store_processes], 1.0),
        }

    def wait_until_settled(self) -> dict[str, Any]:
        """Wait until no proxy sends full incarnation reports, as it does after a move to a registry of its zone."""
        started_at, last_move_at, last_count = time.monotonic(), time.monotonic(), -1
        while time.monotonic() - last_move_at < QUIET_S and time.monotonic() - started_at < MAX_SETTLE_S / 2:
            time.sleep(0.5)
            now = sum(counts.get("in lives", [0, 0])[0] for name, (_, counts) in self.sample().items())
            if now != last_count:
                last_count, last_move_at = now, time.monotonic()
        return {
            "seconds": round(time.monotonic() - started_at, 1),
            "is_calm": time.monotonic() - last_move_at >= QUIET_S,
        }

    def change_configuration(self) -> dict[str, Any]:
        """Change the configuration; returns the s until the core and all proxies have it, and the total cost."""
        before, proxy_before, started_at = (
            self.sample(),
            self.proxy.usage() if self.proxy else None,
            time.monotonic(),
        )
        figures: dict[str, Any] = self.replace_configuration()
        while time.monotonic() - started_at < MAX_SETTLE_S:
            if all(
                report["number"] >= self.number - 1 for report in self.collect_reports(self.proxy_simulators)
            ):
                figures["at_doors_s"] = round(time.monotonic() - started_at, 2)
                break
            time.sleep(0.1)
        time.sleep(2.0)
        after = self.sample()
        figures |= {
            "registry": per_second(before, after, [p.name for p in self.registry_processes], 1.0),
            "store": per_second(before, after, [p.name for p in self.store_processes], 1.0),
        }
        if self.proxy and proxy_before:
            figures["door_cpu_s"] = round(self.proxy.usage().cpu_s - proxy_before.cpu_s, 3)
        return figures

    def run(self, rates: list[float]) -> dict[str, Any]:
        """Run all phases; `rates`: placements per second and proxy, one window each."""
        self.start_core()
        self.phases["first configuration"] = self.replace_configuration()
        self.start_backends()
        time.sleep(4.0)  # until every backend has sent heartbeats
        self.measure_window("beats", self.window / 2)
        self.phases["doors one by one"] = self.start_proxies()
        self.start_proxy()
        self.phases["moves until quiet"] = self.wait_until_settled()
        self.measure_window("quiet", self.window)
        count = max(1, round(self.restarts * self.window))
        self.backend_simulators[0].exchange(f"restart {count} {self.window - 1}")
        self.measure_window("restarts", self.window, restarts=count)
        for rate in rates:
            asked = sum(report["asked"] for report in self.collect_reports(self.proxy_simulators))
            for process in self.proxy_simulators:
                process.exchange(f"ask {rate} {self.window + 1}")
            time.sleep(0.5)
            figures = self.measure_window(f"places {rate:g}", self.window - 1, per_process=rate)
            collect_reports = self.collect_reports(self.proxy_simulators)
            figures["asked"] = sum(report["asked"] for report in collect_reports) - asked
            figures["lost"] = sum(report["lost"] for report in collect_reports)
            time.sleep(1.5)
        self.phases["change"] = self.change_configuration()
        self.phases["all doors at once"] = self.start_all_proxies("again", MAX_SIMULTANEOUS_START_S)
        heartbeats = [report["beats"] for report in self.collect_reports(self.backend_simulators)]
        sent = sum(figures[0] for figures in heartbeats)
        return {
            "size": asdict(self.size),
            "phases": self.phases,
            "beats": {
                "sent": sent,
                "bytes": round(sum(figures[1] + figures[2] for figures in heartbeats) / sent, 1),
                "good": round(sum(figures[3] for figures in heartbeats) / sent, 4),
                "broken": sum(figures[4] for figures in heartbeats),
            },
            "processes": len(self.all_processes),
        }


def per_second(before: Sample, after: Sample, names: list[str], lasted: float) -> dict[str, Any]:
    """Mean and maximum over these processes: cores, MB, sockets, and [messages, bytes] by kind of frame."""
    cpu = [(after[name][0].cpu_s - before[name][0].cpu_s) / lasted for name in names]
    kinds: dict[str, list[float]] = {}
    for name in names:
        for kind, (messages, size) in after[name][1].items():
            known = before[name][1].get(kind, [0, 0])
            entry = kinds.setdefault(kind, [0.0, 0.0])
            entry[0] += (messages - known[0]) / lasted / len(names)
            entry[1] += (size - known[1]) / lasted / len(names)
    return {
        "cpu": round(sum(cpu) / len(cpu), 4),
        "cpu_most": round(max(cpu), 4),
        "mb": round(sum(after[name][0].mb for name in names) / len(names), 1),
        "mb_most": round(max(after[name][0].mb for name in names), 1),
        "sockets": round(sum(after[name][0].sockets for name in names) / len(names), 1),
        "kinds": {
            kind: [round(entry[0], 2), round(entry[1], 1)]
            for kind, entry in sorted(kinds.items())
            if entry[0] > 0
        },
    }


def play_run(size: Size, window: float, restarts: float, rates: list[float]) -> dict[str, Any]:
    """Play one run in its own temporary folder; all its processes have ended when it returns."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        run = RunDriver(size, Path(folder), window, restarts)
        begun = time.monotonic()
        try:
            return {**run.run(rates), "lasted_s": round(time.monotonic() - begun, 1)}
        finally:
            run.stop()
