"""One run: real core processes, hollow doors and backends, and what each phase cost each role.

Phases: the core with beats alone; doors start one by one; a quiet window; backends that restart; asks for places; a
change of configuration; all doors start at once. Each window is `window` s; a phase that does not settle is
cut when its patience is over, and told as what it is.
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
from benchmarks.capacity.machines import DOOR, PORTS, Process, Usage, control, core_ip, write_settings
from benchmarks.capacity.size import Size
from benchmarks.capacity.tally import Counts

CROWDS = 6  # processes of hollow doors, and half as many of backends, where there are enough
PATIENCE = 30.0  # s for a phase to settle
CALM = 3.0  # s without a door that moves
AT_ONCE = 10.0  # s likewise for all doors that start at once
STARTING = 10.0  # s for a process to listen
WORK = 0.19  # s that a place is held: 0.6 of all slots at the peak
Sample = dict[str, tuple[Usage, Counts]]


class Play:
    """The processes of one run, in a folder of their own."""

    def __init__(self, size: Size, folder: Path, window: float, restarts: float) -> None:
        self.size, self.folder, self.window, self.restarts = size, folder, window, restarts
        self.zones = [f"zone{at}" for at in range(size.zones)]
        self.gauges: list[Process] = []
        self.stores: list[Process] = []
        self.doors: list[Process] = []
        self.backends: list[Process] = []
        self.proxy: Process | None = None
        self.number = 1
        self.phases: dict[str, Any] = {}

    @property
    def all(self) -> list[Process]:
        return [
            *self.doors,
            *self.backends,
            *self.gauges,
            *self.stores,
            *([self.proxy] if self.proxy else []),
        ]

    # Processes

    def start_core(self) -> None:
        for number in range(self.size.registries):
            zone = self.zones[number % len(self.zones)]
            for role, program, these in (
                ("store", "config_store", self.stores),
                ("registry", "registry", self.gauges),
            ):
                path = write_settings(
                    self.folder,
                    f"{role}-{number}",
                    role,
                    core_ip(number),
                    zone,
                    self.zones,
                    f'control = "{control(number)}"',
                )
                these.append(
                    Process(f"{role}-{number}", ["benchmarks.capacity.tally", program], self.folder, path)
                )
        until = time.monotonic() + STARTING
        for number in range(self.size.registries):
            while self._call(number, "GET", "/status", b"", 1.0)[0] != 200:
                if time.monotonic() > until:
                    raise OSError(f"registry {number} does not listen")
                time.sleep(0.05)

    def crowd(self, name: str, first: int, doors: int, backends: int) -> Process:
        given = {
            "first": first,
            "doors": doors,
            "backends": backends,
            "zones": self.zones,
            "port_range": PORTS,
            "controls": [control(number) for number in range(self.size.registries)],
            "seeds": [control(number) for number in range(3)],
            "services": self.size.services,
            "active": self.size.active,
            "tenants": self.size.tenants,
            "work": WORK,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(given), "utf-8")
        return Process(name, ["benchmarks.capacity.crowd", str(path)], self.folder)

    def start_proxy(self) -> None:
        """One real door, for its memory and processor time."""
        path = write_settings(
            self.folder,
            "door",
            "proxy",
            DOOR,
            self.zones[0],
            self.zones,
            f'front = "{DOOR}:8782"\nreadiness = "{DOOR}:8789"',
        )
        self.proxy = Process("door", ["irisdeal.proxy"], self.folder, path)

    def end(self) -> None:
        for process in self.all:
            process.end()

    # Looking

    def _call(self, number: int, method: str, path: str, body: bytes, within: float) -> tuple[int, bytes]:
        host, _, port = control(number).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=within)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def sample(self) -> Sample:
        """Use and counts of all core processes, at about the same moment."""
        core = [*self.gauges, *self.stores]
        for process in core:
            process.write("")
        return {process.name: (process.usage(), process.read()) for process in core}

    def reports(self, crowds: list[Process]) -> list[dict[str, Any]]:
        for process in crowds:
            process.write("report")
        return [process.read() for process in crowds]

    def watch(self, name: str, seconds: float, **more: Any) -> dict[str, Any]:
        """A window: what each role used in it, in a second."""
        before, door, at = self.sample(), self.proxy.usage() if self.proxy else None, time.monotonic()
        time.sleep(seconds)
        after, lasted = self.sample(), time.monotonic() - at
        told = {
            "seconds": round(lasted, 2),
            **more,
            "registry": per_second(before, after, [p.name for p in self.gauges], lasted),
            "store": per_second(before, after, [p.name for p in self.stores], lasted),
        }
        if self.proxy and door:
            now = self.proxy.usage()
            told["door"] = {
                "cpu": round((now.cpu - door.cpu) / lasted, 4),
                "mb": round(now.mb, 1),
                "sockets": now.sockets,
            }
        self.phases[name] = told
        return told

    # Phases

    def put(self) -> dict[str, Any]:
        """Give the next configuration to a registry; again until it is acknowledged, as the operator does."""
        body, at, tries = configuration.make(self.size, self.number), time.monotonic(), 0
        self.number += 1
        while time.monotonic() - at < PATIENCE:
            tries += 1
            status, _ = self._call(tries % self.size.registries, "POST", "/config/replace", body, 20.0)
            if status == 200:
                return {"bytes": len(body), "acknowledged_s": round(time.monotonic() - at, 3), "tries": tries}
            time.sleep(0.2)
        return {"bytes": len(body), "acknowledged_s": None, "tries": tries}

    def start_backends(self) -> None:
        many = max(1, min(CROWDS // 2, self.size.backends // 500))
        each = -(-self.size.backends // many)
        for at in range(many):
            self.backends.append(
                self.crowd(f"backends-{at}", at * each, 0, min(each, self.size.backends - at * each))
            )
        for process in self.backends:
            process.ask("start")

    def start_doors(self) -> dict[str, Any]:
        """All doors, a few at a time; s until each has its sources, and what it cost the core."""
        many = max(1, min(CROWDS, self.size.doors // 25))
        each = -(-self.size.doors // many)
        self.doors = [
            self.crowd(f"doors-{at}", at * each, min(each, self.size.doors - at * each), 0)
            for at in range(many)
        ]
        self.reports(self.doors)  # they are loaded
        return self.starting("start", 2 * PATIENCE)

    def starting(self, command: str, patience: float) -> dict[str, Any]:
        """Tell all doors to start; what it cost until all had their sources, or until patience was over."""
        before, at = self.sample(), time.monotonic()
        for process in self.doors:
            process.write(command)
        for process in self.doors:
            process.read()
        while True:
            told = self.reports(self.doors)
            missing = (
                sum(report["unsettled"] for report in told)
                + self.size.doors
                - sum(report["doors"] for report in told)
            )
            if not missing or time.monotonic() - at > patience:
                break
            time.sleep(0.25)
        lasted = time.monotonic() - at
        after = self.sample()
        return {
            "seconds": round(lasted, 2),
            "unsettled": missing,
            "registry": per_second(before, after, [p.name for p in self.gauges], 1.0),
            "store": per_second(before, after, [p.name for p in self.stores], 1.0),
        }

    def settle(self) -> dict[str, Any]:
        """Until no door takes whole lives any more, which they do as they move to a registry of their zone."""
        at, since, moves = time.monotonic(), time.monotonic(), -1
        while time.monotonic() - since < CALM and time.monotonic() - at < PATIENCE / 2:
            time.sleep(0.5)
            now = sum(counts.get("in lives", [0, 0])[0] for name, (_, counts) in self.sample().items())
            if now != moves:
                moves, since = now, time.monotonic()
        return {"seconds": round(time.monotonic() - at, 1), "is_calm": time.monotonic() - since >= CALM}

    def change(self) -> dict[str, Any]:
        """One change of configuration: s until the core has it and until all doors have it; what it cost in all."""
        before, door, at = self.sample(), self.proxy.usage() if self.proxy else None, time.monotonic()
        told: dict[str, Any] = self.put()
        while time.monotonic() - at < PATIENCE:
            if all(report["number"] >= self.number - 1 for report in self.reports(self.doors)):
                told["at_doors_s"] = round(time.monotonic() - at, 2)
                break
            time.sleep(0.1)
        time.sleep(2.0)
        after = self.sample()
        told |= {
            "registry": per_second(before, after, [p.name for p in self.gauges], 1.0),
            "store": per_second(before, after, [p.name for p in self.stores], 1.0),
        }
        if self.proxy and door:
            told["door_cpu_s"] = round(self.proxy.usage().cpu - door.cpu, 3)
        return told

    def run(self, rates: list[float]) -> dict[str, Any]:
        """All phases; `rates`: places a second and door, one window each."""
        self.start_core()
        self.phases["first configuration"] = self.put()
        self.start_backends()
        time.sleep(4.0)  # all beats were heard
        self.watch("beats", self.window / 2)
        self.phases["doors one by one"] = self.start_doors()
        self.start_proxy()
        self.phases["moves until quiet"] = self.settle()
        self.watch("quiet", self.window)
        count = max(1, round(self.restarts * self.window))
        self.backends[0].ask(f"restart {count} {self.window - 1}")
        self.watch("restarts", self.window, restarts=count)
        for rate in rates:
            asked = sum(report["asked"] for report in self.reports(self.doors))
            for process in self.doors:
                process.ask(f"ask {rate} {self.window + 1}")
            time.sleep(0.5)
            told = self.watch(f"places {rate:g}", self.window - 1, each=rate)
            reports = self.reports(self.doors)
            told["asked"] = sum(report["asked"] for report in reports) - asked
            told["lost"] = sum(report["lost"] for report in reports)
            time.sleep(1.5)
        self.phases["change"] = self.change()
        self.phases["all doors at once"] = self.starting("again", AT_ONCE)
        heartbeats = [report["beats"] for report in self.reports(self.backends)]
        sent = sum(told[0] for told in heartbeats)
        return {
            "size": asdict(self.size),
            "phases": self.phases,
            "beats": {
                "sent": sent,
                "bytes": round(sum(told[1] + told[2] for told in heartbeats) / sent, 1),
                "good": round(sum(told[3] for told in heartbeats) / sent, 4),
                "broken": sum(told[4] for told in heartbeats),
            },
            "processes": len(self.all),
        }


def per_second(before: Sample, after: Sample, names: list[str], lasted: float) -> dict[str, Any]:
    """The mean of these processes and the busiest: cores, MB, sockets, and [messages, bytes] by kind."""
    cpu = [(after[name][0].cpu - before[name][0].cpu) / lasted for name in names]
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


def play(size: Size, window: float, restarts: float, rates: list[float]) -> dict[str, Any]:
    """One run in a folder of its own; all its processes have ended when it returns."""
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        run = Play(size, Path(folder), window, restarts)
        begun = time.monotonic()
        try:
            return {**run.run(rates), "lasted_s": round(time.monotonic() - begun, 1)}
        finally:
            run.end()
