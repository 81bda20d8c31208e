"""Which port of `port_range` each program listens at; alike on all machines within a day."""

from __future__ import annotations

from irisdeal.runtime.settings import Address, Settings, address

CONFIG_STORE, REGISTRY, PROXY = 0, 1, 2  # offsets from the first port


def port(settings: Settings, program: int) -> int:
    """The port of a program on every machine."""
    return settings.port_range[0] + program


def seeds(settings: Settings) -> list[str]:
    """The IPs of the seeds, in the file's order, each once."""
    return list(dict.fromkeys(address(text)[0] for text in settings.seed_peers))


def at(settings: Settings, ip: str, program: int) -> Address:
    return ip, port(settings, program)
