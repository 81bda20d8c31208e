"""Compatibility test of two versions: a store, a registry and a proxy, each started from one of two checkouts.

    python -m benchmarks.mixed_versions --old ../before
    python -m benchmarks.mixed_versions --old ../before --new ../after --only 1

Each mix of the two versions runs in turn, those with the core of one version and the proxy of the other first.
Under a steady load of requests through the proxy, the configuration changes to route to other backends, and then
one backend starts to drain. One line is printed for each mix, and then the result of all: every request was
answered, each by a backend of a configuration that was in force at that time, and the draining backend started no
request after its drain was acknowledged.

The module of each role is read from the checkout's own `deploy/system.toml`. Every wait has a limit, all addresses
are in 127.0.0.0/8, and each process is stopped by its id.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

from benchmarks.departures import StubBackend, build_request, read_response_status, request_status

ROOT = Path(__file__).parent.parent
FIRST_PORT = 18_800  # of the ports between the processes
PORT_COUNT = 16
CONTROL_PORT = 18_900
FRONT_PORT = 18_901
READINESS_PORT = 18_902
FIRST_BACKEND_PORT = 18_910
STARTUP_TIMEOUT_S = 15.0  # until the three processes answer their first request
HEARTBEAT_INTERVAL_S = 0.4
REQUEST_INTERVAL_S = 0.02
CLIENT_TIMEOUT_S = 5.0
MAX_APPLY_S = 2.5  # from the acknowledgement of a configuration until it is in force everywhere
MAX_ATTEMPT_TRANSIT_S = 0.1  # for an attempt placed before the drain to reach its backend
BEFORE_CHANGE_S = 1.0  # of load before the configuration changes
AFTER_CHANGE_S = MAX_APPLY_S + 1.0  # of load between the change and the drain
AFTER_DRAIN_S = 1.5  # of load after the drain
REQUEST_WORK_MS = 15
LOG_TAIL_CHARS = 1500
TENANT_KEY = "k-1"
SERVICES = {1: "one", 2: "two"}  # the service that each configuration routes to, by its number
BACKENDS = {"i-1": "one", "i-2": "one", "i-3": "two", "i-4": "two"}
FAULT_EVENTS = ("E105", "E500", "E510", "E511")  # a handler raised an exception; bytes could not be decoded
SETTINGS_TEMPLATE = """
node_name = "{role}"
role = "{role}"
ip = "{ip}"
zone = "z"
port_range = [{port}, {last}]
seed_peers = ["{core}:{control}"]
bootstrap = true
counted = true
beat_interval_ms = 500
data_path = "{disk}"
bounds = ["contact_ms=3000", "sync_s=1", "grace_s=6", "apply_ms=2500"]
[zones]
z = "r"
[bind]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
"""


class Component(Enum):
    """A kind of gateway process; the name of its role may differ between versions."""

    STORE = "store"
    REGISTRY = "registry"
    PROXY = "proxy"


@dataclass(frozen=True)
class Role:
    """A role of a checkout's deployment."""

    name: str
    module: str


def component_of(role: dict[str, Any]) -> Component:
    """Identify a role by what it serves and where it runs. Raises ValueError for any other role."""
    serves = set(role["serves"])
    if "edge" in serves:
        return Component.PROXY
    if "control_plane" in serves:
        return Component.REGISTRY
    if role["on"] == "core" and not serves:
        return Component.STORE
    raise ValueError(f"a role that serves {sorted(serves)} on {role['on']}")


def module_of(command: str) -> str:
    """Return the module of a command `python3 -S -m MODULE`. Raises ValueError if there is none."""
    arguments = command.split()
    return arguments[arguments.index("-m") + 1]


@dataclass(frozen=True)
class Checkout:
    """One version of the program."""

    name: str
    root: Path
    roles: dict[Component, Role]

    @staticmethod
    def read(name: str, root: Path) -> Checkout:
        """Read the roles of a checkout. Raises ValueError unless there is one for each component."""
        deployment = tomllib.loads((root / "deploy" / "system.toml").read_text("utf-8"))["roles"]
        roles = {component_of(role): Role(key, module_of(role["run"])) for key, role in deployment.items()}
        if set(roles) != set(Component):
            raise ValueError(
                f"{root}: the roles {sorted(deployment)} are not a store, a registry and a proxy"
            )
        return Checkout(name, root, roles)


Mix = dict[Component, Checkout]


def mixes(old: Checkout, new: Checkout) -> list[Mix]:
    """All mixes that contain both versions; those with one version for the whole core come first."""
    combinations = [
        dict(zip(Component, chosen, strict=True))
        for chosen in itertools.product((old, new), repeat=len(Component))
    ]
    mixed = [mix for mix in combinations if len({checkout.name for checkout in mix.values()}) > 1]
    return sorted(mixed, key=lambda mix: mix[Component.STORE] is not mix[Component.REGISTRY])


def configuration(number: int) -> bytes:
    """A configuration that routes all requests to the service of its number, with one tenant below its limit."""
    rule = {
        "name": "all",
        "kind": "idempotent",
        "target_ms": 2000,
        "pattern": {"path_prefix": "/a/"},
        "effect": {"service": SERVICES[number], "timeout_ms": 4000, "max_tries": 2},
    }
    tenant = {"name": "t-1", "api_keys": [TENANT_KEY], "priority": 1, "rate_per_s": 2000, "burst": 2000}
    return json.dumps(
        {
            "generation": f"r{number}",
            "tenants": [tenant],
            "pools": [{"name": name} for name in SERVICES.values()],
            "sockets": [{"hostname": "h", "rules": [rule]}],
        }
    ).encode()


@dataclass
class ClientRequest:
    """One request of a client. Times are in s of the monotonic clock; `status` is 0 without an answer."""

    attempt_id: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0


@dataclass
class MixedProcesses:
    """A store, a registry and a proxy, each from the checkout of the mix, and their stub backends."""

    mix: Mix
    folder: Path
    core_ip: str
    proxy_ip: str
    running: dict[Component, subprocess.Popen[bytes]] = field(default_factory=dict)
    backends: dict[str, StubBackend] = field(
        default_factory=lambda: {backend_id: StubBackend() for backend_id in BACKENDS}
    )
    draining: set[str] = field(default_factory=set)
    heartbeat_counts: dict[str, int] = field(default_factory=dict)

    def start(self, component: Component) -> None:
        """Start the process of this component from its checkout."""
        checkout = self.mix[component]
        role = checkout.roles[component]
        settings = self.folder / f"{component.value}.toml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                role=role.name,
                ip=self.proxy_ip if component is Component.PROXY else self.core_ip,
                port=FIRST_PORT,
                last=FIRST_PORT + PORT_COUNT - 1,
                core=self.core_ip,
                control=CONTROL_PORT,
                disk=self.folder / "disk",
                front=FRONT_PORT,
                readiness=READINESS_PORT,
            )
        )
        with self._log(component).open("ab") as log:
            self.running[component] = subprocess.Popen(
                [sys.executable, "-m", role.module],
                cwd=checkout.root,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(checkout.root), "IRISDEAL_SETTINGS": str(settings)},
            )

    def _log(self, component: Component) -> Path:
        return self.folder / f"{component.value}.log"

    def find_faults(self) -> list[str]:
        """Logged fault events, and processes that have ended."""
        logged = [
            f"{component.value}: {line}"
            for component in self.running
            for line in self._log(component).read_text("utf-8", "replace").splitlines()
            if any(event in line for event in FAULT_EVENTS)
        ]
        return logged + [
            f"{component.value}: ended"
            for component, process in self.running.items()
            if process.poll() is not None
        ]

    def log_tails(self) -> str:
        """The end of each log, for the error message of a failed start."""
        logs = {
            component.value: self._log(component).read_text("utf-8", "replace") for component in self.running
        }
        return "\n".join(f"{name}: {text[-LOG_TAIL_CHARS:]}" for name, text in logs.items())

    def stop(self) -> None:
        """Kill each process by its id, and close the backends."""
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
            process.wait(5)
        for backend in self.backends.values():
            backend.close()

    async def listen(self) -> None:
        for number, backend in enumerate(self.backends.values()):
            await backend.listen(self.core_ip, FIRST_BACKEND_PORT + number)

    async def send_heartbeat(self, backend_id: str) -> int:
        """Send one heartbeat of a backend; returns the status of the answer."""
        self.heartbeat_counts[backend_id] = self.heartbeat_counts.get(backend_id, 0) + 1
        heartbeat = {
            "service": BACKENDS[backend_id],
            "address": f"{self.core_ip}:{FIRST_BACKEND_PORT + list(BACKENDS).index(backend_id)}",
            "zone": "z",
            "generation": "v1",
            "capacity": 500,
            "state": "draining" if backend_id in self.draining else "ready",
            "warmup_left_ms": 0,
            "call_count": self.heartbeat_counts[backend_id],
        }
        return await request_status(
            self.core_ip,
            CONTROL_PORT,
            f"POST /backends/{backend_id}/heartbeat",
            json.dumps(heartbeat).encode(),
        )

    async def send_heartbeats(self, backend_id: str) -> None:
        """Send heartbeats of a backend until cancelled."""
        while True:
            await self.send_heartbeat(backend_id)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def replace_configuration(self, number: int) -> bool:
        """Put the configuration of this number; returns whether it was acknowledged."""
        return (
            await request_status(self.core_ip, CONTROL_PORT, "POST /config/replace", configuration(number))
            == 200
        )

    async def drain_backend(self, backend_id: str) -> bool:
        """Report a backend as draining; returns whether that was acknowledged."""
        self.draining.add(backend_id)
        return await self.send_heartbeat(backend_id) == 200

    def busiest_backend(self, service: str) -> str:
        """The backend of this service with the most requests; under a small load it may have all of them."""
        ids = [backend_id for backend_id, name in BACKENDS.items() if name == service]
        return max(ids, key=lambda backend_id: len(self.backends[backend_id].runs))

    async def send_request(self, attempt_id: str) -> ClientRequest:
        """Send one request on a new connection and wait for its answer."""
        request = ClientRequest(attempt_id, time.monotonic())
        sent = build_request(attempt_id, REQUEST_WORK_MS, deadline_ms=round(CLIENT_TIMEOUT_S * 1000))
        head, _, rest = sent.partition(b"\r\n")
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self.proxy_ip, FRONT_PORT)
                writer.write(head + b"\r\nAuthorization: Bearer " + TENANT_KEY.encode() + b"\r\n" + rest)
                request.status = await read_response_status(reader)
                writer.close()
        request.answered_at = time.monotonic()
        return request

    def backends_by_attempt(self) -> dict[str, set[str]]:
        """The backends that started each request, by attempt id."""
        started: dict[str, set[str]] = {}
        for backend_id, backend in self.backends.items():
            for run in backend.runs:
                started.setdefault(run.attempt_id, set()).add(backend_id)
        return started


@contextlib.asynccontextmanager
async def running_processes(mix: Mix, folder: Path, number: int) -> AsyncIterator[MixedProcesses]:
    """Start the processes with the first configuration. TimeoutError if no request is answered in time."""
    processes = MixedProcesses(mix, folder, f"127.9.{10 + number}.1", f"127.9.{10 + number}.2")
    await processes.listen()
    heartbeats = [asyncio.ensure_future(processes.send_heartbeats(backend_id)) for backend_id in BACKENDS]
    try:
        for component in Component:
            processes.start(component)
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                while not await processes.replace_configuration(1):
                    await asyncio.sleep(0.1)
                while (await processes.send_request("first")).status != 200:
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise TimeoutError(processes.log_tails()) from None
        yield processes
    finally:
        for task in heartbeats:
            task.cancel()
        processes.stop()


@dataclass
class MixResult:
    """What was observed of one mix. Times are in s of the monotonic clock."""

    requests: list[ClientRequest]
    backends_by_attempt: dict[str, set[str]]
    change_sent_at: float
    change_acknowledged_at: float | None
    drain_acknowledged_at: float | None
    drained_backend_starts: list[float]
    faults: list[str]

    def unanswered_requests(self) -> list[ClientRequest]:
        return [request for request in self.requests if request.status != 200]

    def services_of(self, request: ClientRequest) -> set[str]:
        """The services whose backends started this request."""
        return {BACKENDS[backend_id] for backend_id in self.backends_by_attempt.get(request.attempt_id, ())}

    def misrouted_requests(self) -> list[ClientRequest]:
        """Requests answered by a backend of a configuration that was not in force at that time."""
        first, second = SERVICES[1], SERVICES[2]
        after = [request for request in self.requests if request.answered_at >= self.change_sent_at]
        changed_at = min(
            (request.answered_at for request in after if self.services_of(request) == {second}),
            default=float("inf"),
        )
        in_force_by = min(changed_at, (self.change_acknowledged_at or float("inf")) + MAX_APPLY_S)
        wrong = []
        for request in self.requests:
            allowed = {first, second}
            if request.answered_at < self.change_sent_at:
                allowed = {first}
            elif request.sent_at > in_force_by:
                allowed = {second}
            services = self.services_of(request)
            if request.status == 200 and not (services and services <= allowed):
                wrong.append(request)
        return wrong

    def starts_after_drain(self) -> list[float]:
        """Requests that the draining backend started too late, each in s after the drain was acknowledged."""
        if self.drain_acknowledged_at is None:
            return []
        return [
            at - self.drain_acknowledged_at
            for at in self.drained_backend_starts
            if at > self.drain_acknowledged_at + MAX_ATTEMPT_TRANSIT_S
        ]

    def violations(self) -> list[str]:
        """All violated requirements; empty if the versions work together."""
        found = (
            [f"not answered: {len(self.unanswered_requests())} of {len(self.requests)}"]
            if self.unanswered_requests()
            else []
        )
        if self.misrouted_requests():
            found.append(f"by another configuration: {len(self.misrouted_requests())}")
        if self.change_acknowledged_at is None:
            found.append("the change was not acknowledged")
        if self.drain_acknowledged_at is None:
            found.append("the drain was not acknowledged")
        if self.starts_after_drain():
            found.append(f"begun by the drained backend: {len(self.starts_after_drain())} after its drain")
        return [*found, *self._missing_coverage(), *self.faults]

    def _missing_coverage(self) -> list[str]:
        """Conditions without which the checks prove nothing, and which this run did not meet."""
        services = [self.services_of(request) for request in self.requests]
        unseen = [f"no request ran at {name}" for name in SERVICES.values() if {name} not in services]
        before = [
            at
            for at in self.drained_backend_starts
            if self.drain_acknowledged_at is None or at < self.drain_acknowledged_at
        ]
        if not before:
            unseen.append("the drained backend ran nothing before its drain")
        last = max(request.sent_at for request in self.requests)
        if self.drain_acknowledged_at is None or last < self.drain_acknowledged_at + AFTER_DRAIN_S / 2:
            unseen.append("no request was sent after the drain")
        return unseen


async def _send_load(processes: MixedProcesses, tasks: list[asyncio.Task[ClientRequest]]) -> None:
    """Send requests at a fixed interval, regardless of the answers, until cancelled."""
    for number in itertools.count():
        tasks.append(asyncio.ensure_future(processes.send_request(f"a-{number}")))
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def run_mix(mix: Mix, number: int) -> MixResult:
    """Start one mix, apply the load, the change and the drain, and stop it."""
    with tempfile.TemporaryDirectory() as name:
        async with running_processes(mix, Path(name), number) as processes:
            tasks: list[asyncio.Task[ClientRequest]] = []
            load = asyncio.ensure_future(_send_load(processes, tasks))
            await asyncio.sleep(BEFORE_CHANGE_S)
            change_sent_at = time.monotonic()
            change_acknowledged_at = time.monotonic() if await processes.replace_configuration(2) else None
            await asyncio.sleep(AFTER_CHANGE_S)
            drained = processes.busiest_backend(SERVICES[2])
            drain_acknowledged_at = time.monotonic() if await processes.drain_backend(drained) else None
            await asyncio.sleep(AFTER_DRAIN_S)
            load.cancel()
            requests = list(await asyncio.gather(*tasks))
            drained_starts = [run.started_at for run in processes.backends[drained].runs]
            return MixResult(
                requests,
                processes.backends_by_attempt(),
                change_sent_at,
                change_acknowledged_at,
                drain_acknowledged_at,
                drained_starts,
                processes.find_faults(),
            )


def describe_mix(mix: Mix) -> str:
    return ", ".join(f"{component.value} {checkout.name}" for component, checkout in mix.items())


async def run_and_print_mix(mix: Mix, number: int) -> bool:
    """Run a mix and print its line; returns whether it had no violations."""
    try:
        played = await run_mix(mix, number)
    except TimeoutError as error:
        print(f"{describe_mix(mix)}: answered no request in {STARTUP_TIMEOUT_S:g} s\n{error}")
        return False
    violations = played.violations()
    served = len(played.requests) - len(played.unanswered_requests())
    second = sum(played.services_of(request) == {SERVICES[2]} for request in played.requests)
    print(
        f"{describe_mix(mix)}: {served} of {len(played.requests)} served, {second} by the second configuration",
        end="; ",
    )
    print("; ".join(violations) or "none at the drained backend after its drain")
    return not violations


async def main() -> int:
    """Print a line for each mix and the result of all; returns 1 if any mix had violations."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", type=Path, required=True, help="the checkout of the older version")
    parser.add_argument(
        "--new", type=Path, default=ROOT, help="the checkout of the newer version (default: this one)"
    )
    parser.add_argument("--only", type=int, help="run only the mix of this number, counted from 0")
    args = parser.parse_args()
    chosen = list(
        enumerate(mixes(Checkout.read("old", args.old.resolve()), Checkout.read("new", args.new.resolve())))
    )
    if args.only is not None:
        chosen = chosen[args.only : args.only + 1]
    passed = [await run_and_print_mix(mix, number) for number, mix in chosen]
    is_good = bool(passed) and all(passed)
    print(f"{'good' if is_good else 'BROKEN'}: {sum(passed)} of {len(passed)} mixes of the two versions work")
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
