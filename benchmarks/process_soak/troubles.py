"""The troubles of the soak, each one a coroutine that ends when its processes run again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import signal
import socket
import time
from collections.abc import Awaitable, Callable

from benchmarks.loopback_deployment import CONTROL_PORT, FRONT_PORT, PORT_RANGE, READINESS_PORT
from benchmarks.process_soak.lives import Life, Lives
from benchmarks.process_soak.traffic import Traffic

START_S = 1.2  # in which signals come after a start
MAX_SIGNALS = 12
END_SIGNAL_GAP_S = 0.005
MAX_OCCUPIED_S = 4.0
MAX_HALF_WRITTEN_S = 1.2
SHARE_PERIOD_S = 0.1
MAX_SUSPENSION_S = 2.0
SHARE_OF_CORE = 0.21
THROTTLED_S = 3.0
LONG_BODIES_MIB = (1, 30, 63)
OTHER_BODIES = 28, 4  # count, MiB: most that is under way beside a long body
LISTENERS = {
    "config_store": (PORT_RANGE[0],),
    "registry": (PORT_RANGE[0] + 1, CONTROL_PORT),
    "proxy": (FRONT_PORT, READINESS_PORT),
}


class Troubles:
    """Draws troubles, and plays each on processes that no other trouble holds."""

    def __init__(self, lives: Lives, traffic: Traffic, rng: random.Random) -> None:
        self.lives, self.traffic, self.rng = lives, traffic, rng
        self.deployment = lives.deployment
        self.busy: set[tuple[str, str]] = set()
        self.has_long_bodies = False
        self.kinds: list[Callable[[tuple[str, str]], Awaitable[None]]] = [
            self.hup_during_start,
            self.hup_during_start,
            self.term_during_start,
            self.signals_during_end,
            self.signals_during_end,
            self.occupied_address,
            self.lost_log_reader,
            self.kill,
            self.suspend,
            self.changed_settings,
            self.throttled_start,
            self.half_written_settings,
            self.refused_writes,
            self.long_bodies,
            self.long_bodies,
        ]

    async def play(self, until: float) -> None:
        """Play one trouble after the other."""
        while time.monotonic() < until:
            key = self.rng.choice(self.deployment.processes())
            kind = self.rng.choice(self.kinds)
            if key in self.busy:
                await asyncio.sleep(0.05)
                continue
            self.busy.add(key)
            self.lives.counts[kind.__name__] += 1
            try:
                await kind(key)
            finally:
                self.busy.discard(key)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def change(self, until: float) -> None:
        """Change the configuration again and again."""
        while time.monotonic() < until:
            await self.traffic.put(self.rng.choice((0, 10, 300)))
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))

    def _life(self, key: tuple[str, str]) -> Life:
        return self.lives.current[key]

    async def _end(self, key: tuple[str, str]) -> None:
        """End a process in one of the ways of the platform."""
        life = self._life(key)
        if life.is_ended:
            return
        if self.rng.random() < 0.5:
            await self.lives.stop(life)
        else:
            await self.lives.kill(life)

    async def _keep_running(self, key: tuple[str, str]) -> None:
        """Start a process again if it has ended, as the platform does."""
        life = self._life(key)
        if life.process.poll() is not None:
            await self.lives.wait(life)
            self.lives.start(*key)

    # Signals

    async def hup_during_start(self, key: tuple[str, str]) -> None:
        """SIGHUP, once or in a series, while a process starts."""
        await self._end(key)
        life = self.lives.start(*key)
        count = self.rng.choice((1, MAX_SIGNALS))
        for delay_s in _gaps(sorted(self.rng.uniform(0, START_S) for _ in range(count))):
            await asyncio.sleep(delay_s)
            self.lives.send(life, signal.SIGHUP)
        await self._keep_running(key)

    async def term_during_start(self, key: tuple[str, str]) -> None:
        """SIGTERM while a process starts."""
        await self._end(key)
        life = self.lives.start(*key)
        await asyncio.sleep(self.rng.uniform(0, START_S))
        await self.lives.stop(life)
        self.lives.start(*key)

    async def signals_during_end(self, key: tuple[str, str]) -> None:
        """SIGTERM, then SIGHUP or SIGTERM at a short distance until the process is gone."""
        life = self._life(key)
        if not life.is_ended:
            self.lives.send(life, signal.SIGTERM)
            while not life.is_ended:
                await asyncio.sleep(END_SIGNAL_GAP_S)
                self.lives.send(life, self.rng.choice((signal.SIGHUP, signal.SIGTERM)))
        self.lives.start(*key)

    async def kill(self, key: tuple[str, str]) -> None:
        """SIGKILL of one process or of all of the core at the same moment, and starts that follow at once."""
        keys = [key]
        if self.rng.random() < 0.3:
            core = [other for other in self.deployment.processes() if other[0] != "proxy"]
            keys = [other for other in core if other not in self.busy] + ([key] if key in core else [])
        self.busy |= set(keys)
        await asyncio.gather(*(self.lives.kill(self._life(other)) for other in keys))
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        for other in keys:
            self.lives.start(*other)
        self.busy -= set(keys) - {key}

    async def suspend(self, key: tuple[str, str]) -> None:
        """SIGSTOP for a while, in service or right after a start."""
        if self.rng.random() < 0.5:
            await self._end(key)
            self.lives.start(*key)
            await asyncio.sleep(self.rng.uniform(0, START_S))
        await self._keep_running(key)
        life = self._life(key)
        with self.lives.trouble(life):
            self.lives.send(life, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.05, MAX_SUSPENSION_S))
            self.lives.send(life, signal.SIGCONT)

    async def throttled_start(self, key: tuple[str, str]) -> None:
        """A start with a fifth of a core, as a quota, and SIGHUP in it."""
        await self._end(key)
        life = self.lives.start(*key)
        until, hup_at = time.monotonic() + THROTTLED_S, time.monotonic() + self.rng.uniform(0, THROTTLED_S)
        with self.lives.trouble(life):
            while time.monotonic() < until and not life.is_ended:
                self.lives.send(life, signal.SIGCONT)
                await asyncio.sleep(SHARE_OF_CORE * SHARE_PERIOD_S)
                if time.monotonic() > hup_at:
                    self.lives.send(life, signal.SIGHUP)
                    hup_at = until
                self.lives.send(life, signal.SIGSTOP)
                await asyncio.sleep((1 - SHARE_OF_CORE) * SHARE_PERIOD_S)
            self.lives.send(life, signal.SIGCONT)
        await self._keep_running(key)

    # What a process finds at its start, and loses

    async def occupied_address(self, key: tuple[str, str]) -> None:
        """Another socket holds the address of one listener for the first seconds of a start."""
        await self._end(key)
        with socket.socket() as holder:
            address = key[1], self.rng.choice(LISTENERS[key[0]])
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if not _bind(holder, address):
                self.lives.start(*key)
                return
            holder.listen()
            life = self.lives.start(*key)
            with self.lives.trouble(life):
                await asyncio.sleep(self.rng.uniform(0.3, MAX_OCCUPIED_S))
                if self.rng.random() < 0.3:
                    self.lives.send(life, signal.SIGTERM)
                    await asyncio.sleep(0.2)
        if life.stop_requested_at is not None:
            await self.lives.wait(life)
        await self._keep_running(key)

    async def lost_log_reader(self, key: tuple[str, str]) -> None:
        """The reader of standard error goes away; later the process is stopped."""
        await self._end(key)
        life = self.lives.start(*key)
        await asyncio.sleep(self.rng.uniform(0, 2 * START_S))
        for reader in list(self.lives.readers):
            if reader.get_name() == life.name:
                reader.cancel()
        await asyncio.sleep(self.rng.uniform(0, START_S))
        if self.rng.random() < 0.5:
            self.lives.send(life, signal.SIGHUP)
        await self.lives.stop(life)
        self.lives.start(*key)

    async def changed_settings(self, key: tuple[str, str]) -> None:
        """Half a settings file at SIGHUP, then the whole one, in a series."""
        await self._keep_running(key)
        life, path = self._life(key), self.deployment.settings_path(*key)
        text = self.deployment.settings_text(*key)
        for _ in range(self.rng.randint(1, 5)):
            path.write_text(text[: self.rng.randrange(len(text))])
            self.lives.send(life, signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0, 0.2))
            path.write_text(text)
            self.lives.send(life, signal.SIGHUP)
        await asyncio.sleep(0.1)

    async def half_written_settings(self, key: tuple[str, str]) -> None:
        """A start whose settings file is written a part at a time, with SIGHUP meanwhile."""
        await self._end(key)
        path, text = self.deployment.settings_path(*key), self.deployment.settings_text(*key)
        life = self.lives.start(*key)
        with self.lives.trouble(life):
            until = time.monotonic() + self.rng.uniform(0.1, MAX_HALF_WRITTEN_S)
            while time.monotonic() < until:
                path.write_text(text[: self.rng.randrange(len(text))])
                self.lives.send(life, signal.SIGHUP)
                await asyncio.sleep(self.rng.uniform(0, 0.1))
            path.write_text(text)
        await self._keep_running(key)

    async def refused_writes(self, key: tuple[str, str]) -> None:
        """The disk refuses all writes for a while, in service."""
        await self._keep_running(key)
        life = self._life(key)
        no_limit = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        with contextlib.suppress(ProcessLookupError), self.lives.trouble(life):
            life.does_disk_refuse = True
            resource.prlimit(life.process.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            resource.prlimit(life.process.pid, resource.RLIMIT_FSIZE, no_limit)
            life.does_disk_refuse = False

    async def long_bodies(self, key: tuple[str, str]) -> None:
        """A long body with long responses beside shorter ones that are under way, at a proxy."""
        proxy = ("proxy", self.rng.choice(self.deployment.proxies))
        if self.has_long_bodies or (proxy in self.busy and proxy != key):
            return
        self.has_long_bodies = True
        self.busy.add(proxy)
        try:
            await self._keep_running(proxy)
            if await self.lives.wait_until(lambda: self._life(proxy).is_ready, MAX_OCCUPIED_S):
                self.lives.counts["long bodies sent"] += 1
                mib = self.rng.choice(LONG_BODIES_MIB)
                await self.traffic.send_long_bodies(proxy[1], mib, *OTHER_BODIES)
            await self._keep_running(proxy)
        finally:
            self.has_long_bodies = False
            if proxy != key:
                self.busy.discard(proxy)


def _gaps(moments: list[float]) -> list[float]:
    """Return the pauses between moments, the first from 0."""
    return [moment - before for before, moment in zip([0.0, *moments], moments, strict=False)]


def _bind(sock: socket.socket, address: tuple[str, int]) -> bool:
    with contextlib.suppress(OSError):
        sock.bind(address)
        return True
    return False
