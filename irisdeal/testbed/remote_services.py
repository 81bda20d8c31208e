"""The parent's side of the sites: their processes, and proxies of the services in them.

`RemoteBackend`, `RemoteCounter` and `RemoteLinks` provide the calls of `BackendServer`, `CounterServer` and `Relay`
that the timeline uses.
"""

from __future__ import annotations

import asyncio
import pickle
import sys
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, cast

from irisdeal.testbed.fault_proxy import Address, Condition, Relay
from irisdeal.testbed.request_log import Clock, RequestLog, merge_stalls
from irisdeal.testbed.site_frames import COUNTER_SITE, SiteError, SiteSpec, encode_frame, read_frame
from irisdeal.testbed.workload import Day, Machine

CALL_TIMEOUT_S = 30.0  # a site that takes longer is treated as hung


@dataclass(slots=True, eq=False)
class SiteProcess:
    """The parent's handle of one site process."""

    spec: SiteSpec
    process: asyncio.subprocess.Process
    waiting: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    number: int = 0
    reader: asyncio.Task[None] | None = None
    has_ended: bool = False

    def notify(self, method: str, *arguments: object) -> None:
        """Call without waiting for a result."""
        self._write(0, method, arguments)

    async def call(self, method: str, *arguments: object) -> object:
        """Call and return the result. Raises `SiteError`."""
        self.number += 1
        number, answer = self.number, asyncio.get_running_loop().create_future()
        self.waiting[number] = answer
        self._write(number, method, arguments)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                result: object = await answer
                return result
        except TimeoutError:
            raise SiteError(f"{self.spec.name}: no answer to {method} in {CALL_TIMEOUT_S:g} s") from None
        finally:
            self.waiting.pop(number, None)

    def _write(self, number: int, method: str, arguments: tuple[object, ...]) -> None:
        if self.has_ended:
            if number:
                raise SiteError(f"{self.spec.name}: its process has ended")
            return
        assert self.process.stdin is not None
        self.process.stdin.write(encode_frame((number, method, arguments)))

    def end(self) -> None:
        """Mark the process as ended, and fail the calls that wait for it."""
        self.has_ended = True
        for answer in self.waiting.values():
            if not answer.done():
                answer.set_exception(SiteError(f"{self.spec.name}: its process has ended"))


class Sites:
    """All site processes of one run. Raises `SiteError` if one fails."""

    def __init__(self, day: Day, clock: Clock, request_log: RequestLog) -> None:
        self.day, self.clock, self.request_log = day, clock, request_log
        self.site_processes: dict[str, SiteProcess] = {}
        self.backends: dict[str, RemoteBackend] = {}
        self.counter_calls = 0

    async def start(self) -> None:
        """Start all processes."""
        await asyncio.gather(*(self._start(name) for name in (*self.day.scenario.fleet.zones, COUNTER_SITE)))

    async def _start(self, name: str) -> None:
        spec = SiteSpec(self.day, name, self.clock.offset)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "irisdeal.testbed.site_processes",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        site_process = self.site_processes[name] = SiteProcess(spec, process)
        assert process.stdin is not None
        process.stdin.write(encode_frame(spec))
        site_process.reader = asyncio.get_running_loop().create_task(self._read_frames(site_process))
        await site_process.call("begin")

    async def _read_frames(self, site_process: SiteProcess) -> None:
        assert site_process.process.stdout is not None
        try:
            while True:
                number, value = cast(tuple[int, Any], await read_frame(site_process.process.stdout))
                if number:
                    answer = site_process.waiting.get(number)
                    if answer is not None and not answer.done():
                        if isinstance(value, Exception):
                            answer.set_exception(SiteError(f"{site_process.spec.name}: {value!r}"))
                        else:
                            answer.set_result(value)
                elif value[0] == "meter":
                    for other in self.site_processes.values():
                        if other is not site_process and other.spec.name != COUNTER_SITE:
                            other.notify("add_remote_usage", value[1])
                elif value[0] == "down":
                    self.backends[value[1]].up = False
        except (asyncio.IncompleteReadError, ConnectionError, SiteError, pickle.UnpicklingError):
            site_process.end()

    async def gather(self) -> None:
        """Merge the request logs of all processes into that of the run, in order of time."""
        collected = await asyncio.gather(
            *(site_process.call("collect") for site_process in self.site_processes.values())
        )
        found = cast(list[tuple[RequestLog, int]], collected)
        request_log = self.request_log
        for site_log, calls in found:
            self.counter_calls += calls
            request_log.attempts += site_log.attempts
            request_log.incarnations += site_log.incarnations
            request_log.overload_failures += site_log.overload_failures
            request_log.link_faults += site_log.link_faults
        request_log.attempts.sort(key=lambda attempt: (attempt.last_byte, attempt.trace))
        request_log.incarnations.sort(
            key=lambda incarnation: (incarnation.at, incarnation.backend, incarnation.incarnation)
        )
        request_log.overload_failures.sort(key=lambda failure: failure[2])
        request_log.max_lateness = max(
            [request_log.lateness, *(late for site_log, _ in found for _, late in site_log.stalls)]
        )
        request_log.stalls[:] = merge_stalls(request_log.stalls, *(site_log.stalls for site_log, _ in found))

    def close(self) -> None:
        """Kill the processes that are still running."""
        for site_process in self.site_processes.values():
            if site_process.reader is not None:
                site_process.reader.cancel()
            site_process.end()
            if site_process.process.returncode is None:
                with suppress(ProcessLookupError):
                    site_process.process.kill()

    async def ended(self) -> None:
        """Wait, after `close`, until all processes have ended."""
        for site_process in self.site_processes.values():
            await site_process.process.wait()


class RemoteBackend:
    """A backend at a site, with the calls of `BackendServer` that the timeline uses."""

    def __init__(self, sites: Sites, name: str, machine: Machine) -> None:
        self.name, self.machine, self.site_process = name, machine, sites.site_processes[machine.zone]
        self.ports: dict[int, int] = {}
        self.up, self.started, self.is_created = False, 0, False
        sites.backends[name] = self

    async def start(self, front_doors: range, warming_up: bool = False) -> None:
        """As `BackendServer.start`."""
        if self.is_created:
            self.started = cast(int, await self.site_process.call("start_backend", self.name, warming_up))
        else:
            made = await self.site_process.call(
                "new_backend", self.name, self.machine, self.ports, warming_up
            )
            self.ports, self.started = cast(tuple[dict[int, int], int], made)
        self.up = self.is_created = True

    def crash(self) -> None:
        """As `BackendServer.crash`."""
        self.up = False
        self.site_process.notify("call_backend", self.name, "crash")

    def drain(self) -> None:
        """As `BackendServer.drain`."""
        self.site_process.notify("call_backend", self.name, "drain")

    def set_hung(self, hung: bool) -> None:
        """As `BackendServer.set_hung`."""
        self.site_process.notify("call_backend", self.name, "set_hung", hung)

    def set_slower(self, times: float) -> None:
        """As `BackendServer.set_slower`."""
        self.site_process.notify("call_backend", self.name, "set_slower", times)

    def set_spoil(self, share: float) -> None:
        """As `BackendServer.set_spoil`."""
        self.site_process.notify("call_backend", self.name, "set_spoil", share)


class RemoteCounter:
    """The counter service at its site, with the calls of `CounterServer` that the timeline uses."""

    def __init__(self, sites: Sites) -> None:
        self.sites = sites
        self.ports: dict[int, int] = {}

    @property
    def site_process(self) -> SiteProcess:
        """The process that the counter service runs in."""
        return self.sites.site_processes[COUNTER_SITE]

    @property
    def calls(self) -> int:
        """The number of calls, available once the request logs are merged."""
        return self.sites.counter_calls

    async def start(self, front_doors: range) -> None:
        """As `CounterServer.start`."""
        await self.site_process.call("call_counter", "start", front_doors)
        self.ports = cast(dict[int, int], await self.site_process.call("counter_ports"))

    async def restart(self, front_doors: range, empty: bool) -> None:
        """As `CounterServer.restart`."""
        await self.site_process.call("call_counter", "restart", front_doors, empty)

    async def move(self, front_doors: range) -> None:
        """As `CounterServer.move`."""
        await self.site_process.call("call_counter", "move", front_doors)
        self.ports = cast(dict[int, int], await self.site_process.call("counter_ports"))

    def refuse(self) -> None:
        """As `CounterServer.refuse`."""
        self.site_process.notify("call_counter", "refuse")

    def put(self, what: str, value: float) -> None:
        """As `CounterServer.put`."""
        self.site_process.notify("call_counter", "put", what, value)

    async def forget(self, share: float) -> int:
        """As `CounterServer.forget`."""
        return cast(int, await self.site_process.call("call_counter", "flush", share))

    def split(self, *groups: Iterable[int]) -> None:
        """As `CounterServer.split`."""
        self.site_process.notify("call_counter", "split", *(list(group) for group in groups))

    def heal(self) -> None:
        """As `CounterServer.heal`."""
        self.site_process.notify("call_counter", "heal")

    def close(self) -> None:
        """Do nothing: the service ends with its process."""


class RemoteLinks:
    """Links, each in the process of its target; those to the discovery service are in the parent."""

    def __init__(self, sites: Sites, local_relay: Relay) -> None:
        self.sites, self.local_relay = sites, local_relay

    async def add(self, source: str, target: str, to: Address) -> Address:
        """As `Relay.add`."""
        site_process = self.sites.site_processes.get(target)
        if site_process is None:
            return await self.local_relay.add(source, target, to)
        host, port = cast(Address, await site_process.call("add_link", source, target, to))
        return host, port

    def set(self, names: Iterable[str], condition: Condition, target: str = "") -> None:
        """As `Relay.set`."""
        wanted = list(names)
        self.local_relay.set(wanted, condition, target)
        for site_process in self.sites.site_processes.values():
            site_process.notify("set_links", wanted, condition, target)

    def reset(self, names: Iterable[str], target: str = "") -> None:
        """As `Relay.reset`."""
        wanted = list(names)
        self.local_relay.reset(wanted, target)
        for site_process in self.sites.site_processes.values():
            site_process.notify("reset_links", wanted, target)

    def close(self) -> None:
        """As `Relay.close`."""
        self.local_relay.close()
