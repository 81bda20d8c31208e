"""The port of `port_range` on which each program listens; the same on all machines of a deployment."""

from __future__ import annotations

from irisdeal.runtime.settings import Address, Settings, parse_address

# Offsets from the first port of `port_range`
CONFIG_STORE = 0
REGISTRY = 1
PROXY = 2


def port(settings: Settings, program: int) -> int:
    """Return the port of a program (`CONFIG_STORE`, `REGISTRY`, `PROXY`) on every machine."""
    return settings.port_range[0] + program


def seeds(settings: Settings) -> list[str]:
    """Return the distinct IPs of the seed peers, in the order of the settings file."""
    return list(dict.fromkeys(parse_address(text)[0] for text in settings.seed_peers))


def address_of(settings: Settings, ip: str, program: int) -> Address:
    """Return the address of a program on the machine with this IP."""
    return ip, port(settings, program)
