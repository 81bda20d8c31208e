"""Commands that build and run the front doors of a deployment, and addresses for them to listen on."""

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
    """The demo cannot be run; the message has the reason."""


@dataclass(frozen=True, slots=True)
class Deployment:
    """The shell commands that build and run a front door, and the folder that they are run in."""

    root: Path
    run: str
    build: str = ""


def find_deployment(start: Path, path: Path | None = None) -> Deployment:
    """Read `deploy/balancer.toml` of `start` or a parent; without one, run this interpreter's `-m irisdeal`."""
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
                raise DemoError(f"{candidate}: run: wanted the command that starts a front door")
            return Deployment(candidate.resolve().parent.parent, run, build)
    if path is not None:
        raise DemoError(f"{path}: no such file")
    return Deployment(start, f"exec {sys.executable} -m irisdeal")


async def build(deploy: Deployment) -> None:
    """Run the deployment's `build` command, if it has one."""
    if not deploy.build:
        return
    made = await asyncio.create_subprocess_shell(
        deploy.build, cwd=deploy.root, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    text, _ = await made.communicate()
    if made.returncode:
        raise DemoError(f"the build line failed: {text.decode('utf-8', 'replace').strip()[-400:]}")


def free_port() -> int:
    """Find a port of 127.0.0.1 that is free now; another process may bind it before it is used."""
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


def own_host() -> str:
    """Return a loopback address that no other run on this machine uses, derived from the process id.

    On a shared address, another run could bind a free port between its discovery and its use. On systems with a
    single loopback address (not Linux), that one is returned.
    """
    pid = os.getpid()  # at most 22 bits (proc(5), pid_max)
    host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as made:
        try:
            made.bind((host, 0))
        except OSError:
            return "127.0.0.1"
    return host


PORTS = itertools.count(10_000)  # for the front doors of this process, each used once


def own_address() -> tuple[str, int]:
    """Return a new address for a front door to listen on."""
    host = own_host()
    return host, free_port() if host == "127.0.0.1" else next(PORTS)
