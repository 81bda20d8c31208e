"""How the front doors of a deployment are built and run, and the addresses that they listen on."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path


class DemoError(Exception):
    """The demo cannot be played on this machine as asked; the text says why."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """How front doors are built and run: the two lines and the folder that they are run in."""

    root: Path
    run: str
    build: str = ""


def find_deployment(start: Path, path: Path | None = None) -> Deployment:
    """`deploy/balancer.toml` in a folder or above it; without one, this interpreter's own `-m irisdeal`."""
    candidates = (
        [path]
        if path is not None
        else [folder / "deploy" / "balancer.toml" for folder in (start, *start.parents)]
    )
    for candidate in candidates:
        if candidate.is_file():
            try:
                deployment = tomllib.loads(candidate.read_text("utf-8"))
            except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
                raise DemoError(f"{candidate}: {error}") from None
            run, build = deployment.get("run"), deployment.get("build", "")
            if not isinstance(run, str) or not isinstance(build, str):
                raise DemoError(f"{candidate}: run: wanted the line that starts a door")
            return Deployment(candidate.resolve().parent.parent, run, build)
    if path is not None:
        raise DemoError(f"{path}: no such file")
    return Deployment(start, f"exec {sys.executable} -m irisdeal")


async def build(deploy: Deployment) -> None:
    """Run the deployment's `build` line; quick where everything is built already."""
    if not deploy.build:
        return
    made = await asyncio.create_subprocess_shell(
        deploy.build, cwd=deploy.root, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    text, _ = await made.communicate()
    if made.returncode:
        raise DemoError(f"the build line failed: {text.decode('utf-8', 'replace').strip()[-400:]}")


def free_port() -> int:
    """Find a port of 127.0.0.1 that is free now; by the time it is used somebody may have it."""
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


def own_host() -> str:
    """Return an address of loopback that no other run on this machine has: by our process id.

    A port that was looked for and given up is anybody's until its front door binds it; on an address of one's own
    nobody else looks. Where the system has the one address alone (not Linux), that one.
    """
    pid = os.getpid()  # 22 bits at most (proc(5), pid_max)
    host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as made:
        try:
            made.bind((host, 0))
        except OSError:
            return "127.0.0.1"
    return host


PORTS = itertools.count(10_000)  # of the front doors of this process, each used once


def own_address() -> tuple[str, int]:
    """Where a front door is to listen."""
    host = own_host()
    return host, free_port() if host == "127.0.0.1" else next(PORTS)
