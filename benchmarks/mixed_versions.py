"""Processes of two checkouts side by side: a store, a registry and a proxy, of which some are older than others.

    python -m benchmarks.mixed_versions --old ../before
    python -m benchmarks.mixed_versions --old ../before --new ../after --only 1

Each mix of the two is played in turn, the core of one and the proxy of the other first: requests go through the
proxy all the while, the configuration is changed amid them so that others are to run them, and a backend says that
it drains. A line a mix, and one verdict: whether all requests were answered, each by a backend of a configuration
that was in force then, and none begun by the drained backend after its drain was acknowledged.

Which module plays a role is read from each checkout's own `deploy/system.toml`. Everything is bounded, stays on
127.0.0.0/8, and each process is ended by its id.
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

from benchmarks.departures import WorkingBackend, call, read_answer, request

ROOT = Path(__file__).parent.parent
FIRST_PORT, PORTS = 18_800, 16
CONTROL, FRONT, READINESS, FIRST_BACKEND = 18_900, 18_901, 18_902, 18_910
UP_BY_S = 15.0  # for the three to serve their first request
BEAT_S = 0.4  # between two heartbeats of a backend
EVERY_S = 0.02  # between two requests
PATIENCE_S = 5.0  # that a client waits for an answer
APPLY_S = 2.5  # from the acknowledgement of a configuration until it is in force
ON_ITS_WAY_S = 0.1  # that an attempt which was placed before a drain may take to its backend
LEAD_S, CHANGED_S, DRAINED_S = 1.0, APPLY_S + 1.0, 1.5  # before the change, after it, after the drain
WORK_MS = 15
LAST_WORDS = 1500  # characters of a log
TENANT_KEY = "k-1"
SERVICES = {1: "one", 2: "two"}  # which a configuration routes to, by its number
BACKENDS = {"i-1": "one", "i-2": "one", "i-3": "two", "i-4": "two"}
FAULTS = ("E105", "E500", "E510", "E511")  # a handler that raised; bytes that were not understood
SETTINGS = """
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


class Part(Enum):
    """What a process of the gateway does, whatever its role is called."""

    STORE = "store"
    REGISTRY = "registry"
    PROXY = "proxy"


@dataclass(frozen=True)
class Role:
    """A role of a checkout's deployment."""

    name: str
    module: str


def part_of(role: dict[str, Any]) -> Part:
    """By what it serves, and on which machines it runs. ValueError where it is none of the three."""
    serves = set(role["serves"])
    if "edge" in serves:
        return Part.PROXY
    if "control_plane" in serves:
        return Part.REGISTRY
    if role["on"] == "core" and not serves:
        return Part.STORE
    raise ValueError(f"a role that serves {sorted(serves)} on {role['on']}")


def module_of(command: str) -> str:
    """Of `python3 -S -m MODULE`. ValueError where it starts none."""
    words = command.split()
    return words[words.index("-m") + 1]


@dataclass(frozen=True)
class Checkout:
    """One version of the program."""

    name: str
    root: Path
    roles: dict[Part, Role]

    @staticmethod
    def read(name: str, root: Path) -> Checkout:
        """ValueError where its deployment does not name the three parts."""
        told = tomllib.loads((root / "deploy" / "system.toml").read_text("utf-8"))["roles"]
        roles = {part_of(role): Role(key, module_of(role["run"])) for key, role in told.items()}
        if set(roles) != set(Part):
            raise ValueError(f"{root}: the roles {sorted(told)} are not a store, a registry and a proxy")
        return Checkout(name, root, roles)


Mix = dict[Part, Checkout]


def mixes(old: Checkout, new: Checkout) -> list[Mix]:
    """All in which both are; those that split the core from the proxies first."""
    every = [
        dict(zip(Part, chosen, strict=True)) for chosen in itertools.product((old, new), repeat=len(Part))
    ]
    mixed = [mix for mix in every if len({checkout.name for checkout in mix.values()}) > 1]
    return sorted(mixed, key=lambda mix: mix[Part.STORE] is not mix[Part.REGISTRY])


def configuration(number: int) -> bytes:
    """All requests go to one service, another by each number; of one tenant that has room."""
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
class Asked:
    """One request of a client. Times are s of the steady clock; `status`: 0 where it was not answered."""

    attempt_id: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0


@dataclass
class Processes:
    """A store, a registry and a proxy, each of its own checkout, and the backends that they know."""

    mix: Mix
    folder: Path
    core: str
    edge: str
    running: dict[Part, subprocess.Popen[bytes]] = field(default_factory=dict)
    backends: dict[str, WorkingBackend] = field(
        default_factory=lambda: {id_: WorkingBackend() for id_ in BACKENDS}
    )
    draining: set[str] = field(default_factory=set)
    beats: dict[str, int] = field(default_factory=dict)

    def start(self, part: Part) -> None:
        """This part's process, from its checkout."""
        checkout = self.mix[part]
        role = checkout.roles[part]
        settings = self.folder / f"{part.value}.toml"
        settings.write_text(
            SETTINGS.format(
                role=role.name,
                ip=self.edge if part is Part.PROXY else self.core,
                port=FIRST_PORT,
                last=FIRST_PORT + PORTS - 1,
                core=self.core,
                control=CONTROL,
                disk=self.folder / "disk",
                front=FRONT,
                readiness=READINESS,
            )
        )
        with self._log(part).open("ab") as log:
            self.running[part] = subprocess.Popen(
                [sys.executable, "-m", role.module],
                cwd=checkout.root,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(checkout.root), "IRISDEAL_SETTINGS": str(settings)},
            )

    def _log(self, part: Part) -> Path:
        return self.folder / f"{part.value}.log"

    def faults(self) -> list[str]:
        """What a process told of that another one caused, and processes that have ended."""
        told = [
            f"{part.value}: {line}"
            for part in self.running
            for line in self._log(part).read_text("utf-8", "replace").splitlines()
            if any(fault in line for fault in FAULTS)
        ]
        return told + [
            f"{part.value}: ended" for part, process in self.running.items() if process.poll() is not None
        ]

    def last_words(self) -> str:
        """The end of each log, for whoever asks why nothing is served."""
        logs = {part.value: self._log(part).read_text("utf-8", "replace") for part in self.running}
        return "\n".join(f"{name}: {text[-LAST_WORDS:]}" for name, text in logs.items())

    def end(self) -> None:
        """Each by its id."""
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
            process.wait(5)
        for backend in self.backends.values():
            backend.close()

    async def listen(self) -> None:
        for number, backend in enumerate(self.backends.values()):
            await backend.listen(self.core, FIRST_BACKEND + number)

    async def beat(self, id_: str) -> int:
        """A backend says how it is; the status of the answer."""
        self.beats[id_] = self.beats.get(id_, 0) + 1
        told = {
            "service": BACKENDS[id_],
            "address": f"{self.core}:{FIRST_BACKEND + list(BACKENDS).index(id_)}",
            "zone": "z",
            "generation": "v1",
            "capacity": 500,
            "state": "draining" if id_ in self.draining else "ready",
            "warmup_left_ms": 0,
            "call_count": self.beats[id_],
        }
        return await call(self.core, CONTROL, f"POST /backends/{id_}/heartbeat", json.dumps(told).encode())

    async def beat_on(self, id_: str) -> None:
        """For ever."""
        while True:
            await self.beat(id_)
            await asyncio.sleep(BEAT_S)

    async def put(self, number: int) -> bool:
        """Whether this configuration is acknowledged."""
        return await call(self.core, CONTROL, "POST /config/replace", configuration(number)) == 200

    async def drain(self, id_: str) -> bool:
        """Whether a backend's drain is acknowledged."""
        self.draining.add(id_)
        return await self.beat(id_) == 200

    def busiest(self, service: str) -> str:
        """The backend of this service that began the most requests: at a small load one may begin all."""
        ids = [id_ for id_, name in BACKENDS.items() if name == service]
        return max(ids, key=lambda id_: len(self.backends[id_].runs))

    async def ask(self, attempt_id: str) -> Asked:
        """One request on a connection of its own."""
        asked = Asked(attempt_id, time.monotonic())
        sent = request(attempt_id, WORK_MS, deadline_ms=round(PATIENCE_S * 1000))
        head, _, rest = sent.partition(b"\r\n")
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection(self.edge, FRONT)
                writer.write(head + b"\r\nAuthorization: Bearer " + TENANT_KEY.encode() + b"\r\n" + rest)
                asked.status = await read_answer(reader)
                writer.close()
        asked.answered_at = time.monotonic()
        return asked

    def ran(self) -> dict[str, set[str]]:
        """Who began each request, by its id."""
        began: dict[str, set[str]] = {}
        for id_, backend in self.backends.items():
            for run in backend.runs:
                began.setdefault(run.attempt_id, set()).add(id_)
        return began


@contextlib.asynccontextmanager
async def serving(mix: Mix, folder: Path, number: int) -> AsyncIterator[Processes]:
    """The three, with the first configuration, once a request is answered. TimeoutError where none is."""
    processes = Processes(mix, folder, f"127.9.{10 + number}.1", f"127.9.{10 + number}.2")
    await processes.listen()
    beating = [asyncio.ensure_future(processes.beat_on(id_)) for id_ in BACKENDS]
    try:
        for part in Part:
            processes.start(part)
        try:
            async with asyncio.timeout(UP_BY_S):
                while not await processes.put(1):
                    await asyncio.sleep(0.1)
                while (await processes.ask("first")).status != 200:
                    await asyncio.sleep(0.1)
        except TimeoutError:
            raise TimeoutError(processes.last_words()) from None
        yield processes
    finally:
        for task in beating:
            task.cancel()
        processes.end()


@dataclass
class Played:
    """What one mix showed. Times are s of the steady clock."""

    asked: list[Asked]
    ran: dict[str, set[str]]
    put_at: float
    confirmed_at: float | None
    drained_at: float | None
    begun_at_drained: list[float]
    faults: list[str]

    def unanswered(self) -> list[Asked]:
        return [asked for asked in self.asked if asked.status != 200]

    def services(self, asked: Asked) -> set[str]:
        return {BACKENDS[id_] for id_ in self.ran.get(asked.attempt_id, ())}

    def misrouted(self) -> list[Asked]:
        """Answered by a backend of another configuration than one that was in force in its time."""
        first, second = SERVICES[1], SERVICES[2]
        after = [asked for asked in self.asked if asked.answered_at >= self.put_at]
        changed_at = min(
            (asked.answered_at for asked in after if self.services(asked) == {second}), default=float("inf")
        )
        in_force_by = min(changed_at, (self.confirmed_at or float("inf")) + APPLY_S)
        wrong = []
        for asked in self.asked:
            allowed = {first, second}
            if asked.answered_at < self.put_at:
                allowed = {first}
            elif asked.sent_at > in_force_by:
                allowed = {second}
            services = self.services(asked)
            if asked.status == 200 and not (services and services <= allowed):
                wrong.append(asked)
        return wrong

    def after_drain(self) -> list[float]:
        """s after the acknowledgement at which the drained backend began a request all the same."""
        if self.drained_at is None:
            return []
        return [at - self.drained_at for at in self.begun_at_drained if at > self.drained_at + ON_ITS_WAY_S]

    def breaches(self) -> list[str]:
        """What must not be; nothing where this mix works."""
        found = [f"not answered: {len(self.unanswered())} of {len(self.asked)}"] if self.unanswered() else []
        if self.misrouted():
            found.append(f"by another configuration: {len(self.misrouted())}")
        if self.confirmed_at is None:
            found.append("the change was not acknowledged")
        if self.drained_at is None:
            found.append("the drain was not acknowledged")
        if self.after_drain():
            found.append(f"begun by the drained backend: {len(self.after_drain())} after its drain")
        return [*found, *self._unseen(), *self.faults]

    def _unseen(self) -> list[str]:
        """What this mix would have to show for its checks to mean anything."""
        ran = [self.services(asked) for asked in self.asked]
        unseen = [f"no request ran at {name}" for name in SERVICES.values() if {name} not in ran]
        before = [at for at in self.begun_at_drained if self.drained_at is None or at < self.drained_at]
        if not before:
            unseen.append("the drained backend ran nothing before its drain")
        last = max(asked.sent_at for asked in self.asked)
        if self.drained_at is None or last < self.drained_at + DRAINED_S / 2:
            unseen.append("no request was sent after the drain")
        return unseen


async def _load(processes: Processes, asking: list[asyncio.Task[Asked]]) -> None:
    """Requests for ever, at an even pace whatever becomes of them."""
    for number in itertools.count():
        asking.append(asyncio.ensure_future(processes.ask(f"a-{number}")))
        await asyncio.sleep(EVERY_S)


async def play(mix: Mix, number: int) -> Played:
    """One mix, from its start to its end."""
    with tempfile.TemporaryDirectory() as name:
        async with serving(mix, Path(name), number) as processes:
            asking: list[asyncio.Task[Asked]] = []
            load = asyncio.ensure_future(_load(processes, asking))
            await asyncio.sleep(LEAD_S)
            put_at = time.monotonic()
            confirmed_at = time.monotonic() if await processes.put(2) else None
            await asyncio.sleep(CHANGED_S)
            drained = processes.busiest(SERVICES[2])
            drained_at = time.monotonic() if await processes.drain(drained) else None
            await asyncio.sleep(DRAINED_S)
            load.cancel()
            asked = list(await asyncio.gather(*asking))
            begun = [run.began for run in processes.backends[drained].runs]
            return Played(asked, processes.ran(), put_at, confirmed_at, drained_at, begun, processes.faults())


def named(mix: Mix) -> str:
    return ", ".join(f"{part.value} {checkout.name}" for part, checkout in mix.items())


async def tried(mix: Mix, number: int) -> bool:
    """Play a mix and print its line; whether nothing was wrong."""
    try:
        played = await play(mix, number)
    except TimeoutError as error:
        print(f"{named(mix)}: served nothing in {UP_BY_S:g} s\n{error}")
        return False
    breaches = played.breaches()
    served = len(played.asked) - len(played.unanswered())
    second = sum(played.services(asked) == {SERVICES[2]} for asked in played.asked)
    print(
        f"{named(mix)}: {served} of {len(played.asked)} served, {second} by the second configuration",
        end="; ",
    )
    print("; ".join(breaches) or "none at the drained backend after its drain")
    return not breaches


async def main() -> int:
    """Print a line a mix and the verdict; 1 where something was wrong."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--old", type=Path, required=True, help="the checkout of the version before")
    parser.add_argument("--new", type=Path, default=ROOT, help="this one, if nothing is said")
    parser.add_argument("--only", type=int, help="the mix of this number, from 0")
    told = parser.parse_args()
    chosen = list(
        enumerate(mixes(Checkout.read("old", told.old.resolve()), Checkout.read("new", told.new.resolve())))
    )
    if told.only is not None:
        chosen = chosen[told.only : told.only + 1]
    good = [await tried(mix, number) for number, mix in chosen]
    is_good = bool(good) and all(good)
    print(f"{'good' if is_good else 'BROKEN'}: {sum(good)} of {len(good)} mixes of the two versions work")
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
