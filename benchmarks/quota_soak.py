"""`python -m benchmarks.quota_soak`: tenants' limits over real processes, amid faults and changes of limits.

Four core machines, each with a registry and a store, some proxies, and stand-in backends in this process, all on
loopback. Three tenants flood at nine times their limits over connections that stay open, while processes are
killed, stopped in order and suspended, and tenants and limits change; these come in random series and overlap.
Prints for each seed the worst window of each tenant over what the rule allows. Exits with 1 if one is over it.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.loopback_deployment import (
    BACKEND_PORT,
    FRONT_PORT,
    Deployment,
    call_control,
    heartbeat,
    read_message,
    success,
)
from irisdeal.permits.allowance import Limit
from irisdeal.simulation.quota.judge import QuotaJudge

LIMITS = {"t0": Limit(20.0, 20.0), "t1": Limit(4.0, 60.0), "t2": Limit(3.0)}
FLOOD_FACTOR = 9.0
CONNECTIONS = 2  # of each tenant to each proxy
START_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 1.5
ABSENT_S = 0.05


class Soak:
    """One run."""

    def __init__(self, deployment: Deployment, seed: int, seconds: float) -> None:
        self.deployment, self.rng, self.seconds = deployment, random.Random(seed), seconds
        self.judges = {name: QuotaJudge(limit.rate_per_s, limit.burst) for name, limit in LIMITS.items()}
        self.limits: dict[str, Limit] = dict(LIMITS)
        self.version = 0
        self.events: list[str] = []
        self.busy: set[tuple[str, str]] = set()  # processes with a fault in progress
        self.is_over = False
        self.sent = 0

    async def play(self) -> dict[str, float]:
        """Run it; return the worst window of each tenant over what the rule allows."""
        deployment = self.deployment
        server = await asyncio.start_server(self._serve_backend, deployment.backend, BACKEND_PORT)
        tasks = [asyncio.create_task(self._beat())]
        try:
            for ip in deployment.cores:
                deployment.start("config_store", ip, is_first=True)
                deployment.start("registry", ip, is_first=True)
            for ip in deployment.proxies:
                deployment.start("proxy", ip)
            await self._put()
            for ip in deployment.proxies:
                for name in LIMITS:
                    tasks += [asyncio.create_task(self._flood(ip, name)) for _ in range(CONNECTIONS)]
            await asyncio.sleep(3.0)
            await asyncio.gather(self._changes(), self._faults(), self._faults())
        finally:
            self.is_over = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            server.close()
            deployment.stop()
        return {name: judge.worst() for name, judge in self.judges.items()}

    # Stand-ins

    async def _serve_backend(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                _, headers = await read_message(reader)
                tenant = headers.get(b"x-irisdeal-tenant", b"").decode()
                if tenant in self.judges:
                    self.judges[tenant].record_run(time.monotonic())
                writer.write(success(headers[b"x-irisdeal-attempt-id"]))
        writer.close()

    async def _beat(self) -> None:
        count = 0
        while True:
            count += 1
            ip = self.rng.choice(self.deployment.cores)
            await call_control(ip, "/backends/i-1/heartbeat", heartbeat("s", self.deployment.backend, count))
            await asyncio.sleep(0.3)

    async def _flood(self, ip: str, tenant: str) -> None:
        """Send a tenant's requests on one connection after the other, each kept open while the process lives."""
        connections = CONNECTIONS * len(self.deployment.proxies)
        gap_s = connections / (FLOOD_FACTOR * LIMITS[tenant].rate_per_s)
        while True:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
                try:
                    while not writer.is_closing():
                        await self._ask(reader, writer, tenant)
                        await asyncio.sleep(self.rng.expovariate(1 / gap_s))
                finally:
                    writer.close()
            await asyncio.sleep(0.1)

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, tenant: str) -> None:
        self.sent += 1
        attempt = f"{self.rng.getrandbits(60):x}"
        head = f"GET /a/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-{tenant}\r\n"
        writer.write(
            f"{head}X-Irisdeal-Attempt-Id: {attempt}\r\nX-Irisdeal-Deadline-Ms: 1000\r\n\r\n".encode()
        )
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            _, headers = await read_message(reader)
        if headers.get(b"connection", b"").lower() == b"close":
            raise OSError("the proxy closes")

    # Configurations

    def _configuration(self) -> bytes:
        rule = {
            "name": "r",
            "kind": "mutating",
            "target_ms": 400,
            "pattern": {"path_prefix": "/a/"},
            "effect": {"service": "s", "timeout_ms": 1000, "max_tries": 2},
        }
        tenants: list[dict[str, Any]] = [
            {
                "name": name,
                "api_keys": [f"key-{name}"],
                "rate_per_s": limit.rate_per_s,
                "burst": limit.burst,
            }
            for name, limit in self.limits.items()
        ]
        tenants.append({"name": "other", "api_keys": ["other"]})
        return json.dumps(
            {
                "generation": f"r{self.version}",
                "pools": [{"name": "s"}],
                "sockets": [{"hostname": "h", "rules": [rule]}],
                "tenants": tenants,
            }
        ).encode()

    async def _put(self) -> None:
        """Put the next version, until it is acknowledged."""
        self.version += 1
        body, until = self._configuration(), time.monotonic() + START_TIMEOUT_S
        while await call_control(self.rng.choice(self.deployment.cores), "/config/replace", body) != 200:
            if time.monotonic() > until:
                raise TimeoutError(f"r{self.version} is not acknowledged")
            await asyncio.sleep(0.1)

    async def _set(self, tenant: str, limit: Limit) -> None:
        """Change a limit, or add a tenant: a higher limit counts from its sending, a lower one from its ack."""
        judge, before = self.judges[tenant], self.limits.get(tenant)
        is_lower = before is not None and limit.rate_per_s < before.rate_per_s
        self.limits[tenant] = limit
        if not is_lower:
            judge.record_limit(time.monotonic(), limit.rate_per_s, limit.burst)
        await self._put()
        if is_lower:
            judge.record_limit(time.monotonic(), limit.rate_per_s, limit.burst)

    async def _changes(self) -> None:
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            tenant = self.rng.choice(list(LIMITS))
            for _ in range(self.rng.randint(1, 4)):
                await self._change(tenant)
                await asyncio.sleep(self.rng.choice((0.0, 0.1, 0.3, 1.0)))
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))

    async def _change(self, tenant: str) -> None:
        full = LIMITS[tenant]
        share = self.rng.choice((0.1, 0.5))
        if self.rng.random() < 0.6:
            self.events.append(f"{tenant} comes and goes")
            before = self.limits.pop(tenant)
            await self._put()
            await asyncio.sleep(ABSENT_S)
            await self._set(tenant, before)
        else:
            self.events.append(f"{tenant} falls and rises")
            await self._set(tenant, Limit(full.rate_per_s * share, full.burst * share))
            await asyncio.sleep(self.rng.choice((0.1, 1.0)))
            await self._set(tenant, full)

    # Faults

    async def _faults(self) -> None:
        until = time.monotonic() + self.seconds
        faults: list[Callable[[], Any]] = [
            self._kill_core,
            self._stop_core,
            self._suspend_registry,
            self._suspend_proxy,
            self._restart_proxy,
        ]
        while time.monotonic() < until:
            await self.rng.choice(faults)()
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))

    async def _restart(self, roles: list[str], ip: str, number: signal.Signals) -> None:
        """Signal these processes of a machine, and start each again once it has ended."""
        if any((role, ip) in self.busy for role in roles):
            return
        self.busy |= {(role, ip) for role in roles}
        self.events.append(f"{number.name} {','.join(roles)} {ip}")
        for role in roles:
            self.deployment.signal(role, ip, number)
        for role in roles:
            await self.deployment.wait(role, ip)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for role in roles:
            self.deployment.start(role, ip)
            self.busy.discard((role, ip))

    async def _kill_core(self) -> None:
        ip = self.rng.choice(self.deployment.cores)
        await self._restart(["registry", "config_store"], ip, signal.SIGKILL)

    async def _stop_core(self) -> None:
        ip = self.rng.choice(self.deployment.cores)
        await self._restart([self.rng.choice(("registry", "config_store"))], ip, signal.SIGTERM)

    async def _restart_proxy(self) -> None:
        number = self.rng.choice((signal.SIGKILL, signal.SIGTERM))
        await self._restart(["proxy"], self.rng.choice(self.deployment.proxies), number)

    async def _suspend(self, role: str, ip: str) -> None:
        if (role, ip) in self.busy:
            return
        self.busy.add((role, ip))
        self.events.append(f"suspended {role} {ip}")
        self.deployment.signal(role, ip, signal.SIGSTOP)
        await asyncio.sleep(self.rng.choice((0.1, 0.5, 3.0)))
        self.deployment.signal(role, ip, signal.SIGCONT)
        self.busy.discard((role, ip))

    async def _suspend_registry(self) -> None:
        await self._suspend("registry", self.rng.choice(self.deployment.cores))

    async def _suspend_proxy(self) -> None:
        await self._suspend("proxy", self.rng.choice(self.deployment.proxies))


def play(seed: int, network: int, proxies: int, seconds: float) -> bool:
    """Play one seed and print its result; return whether all tenants stayed within their limits."""
    with tempfile.TemporaryDirectory(prefix="quota-soak-") as folder:
        soak = Soak(Deployment(Path(folder), network, proxies), seed, seconds)
        worst = asyncio.run(soak.play())
    figures = ", ".join(f"{name} {share:.2f}" for name, share in worst.items())
    ran = sum(len(judge.ran) for judge in soak.judges.values())
    print(f"seed {seed}: {figures}; {soak.sent} sent, {ran} ran, {len(soak.events)} events", flush=True)
    is_kept = max(worst.values()) <= 1.0
    if not is_kept:
        print("  " + "; ".join(soak.events), flush=True)
    return is_kept


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="benchmarks.quota_soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs=2, default=(0, 1), metavar=("FIRST", "LAST"))
    parser.add_argument("--seconds", type=float, default=20.0, help="length of each run")
    parser.add_argument("--proxies", type=int, default=8)
    parser.add_argument("--network", type=int, default=40, help="second octet of the loopback addresses")
    args = parser.parse_args()
    kept = [play(seed, args.network, args.proxies, args.seconds) for seed in range(*args.seeds)]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
