"""The settings file that `IRISDEAL_SETTINGS` names, checked. Unknown fields are ignored.

Field names are those of the file, which the platform writes.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import dacite
from returns.result import Failure, Result, Success

from irisdeal.runtime.errors import SettingsError
from irisdeal.runtime.metrics import parse_metrics_address

Address = tuple[str, int]  # host, port, as asyncio takes them
FEWEST_PORTS = 4  # of `port_range`; three are in use (`irisdeal.runtime.ports`)
MAX_PORT = 65535


@dataclass(frozen=True)
class Bind:
    """The addresses (`ip:port`) at which this process serves; empty where it does not."""

    front: str = ""
    readiness: str = ""
    control: str = ""


@dataclass(frozen=True)
class Tolerance:
    """How many failure domains of each kind may be lost at the same time."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True)
class MachineLimits:
    """The limits of the machine: cores, MB, file descriptors and Mbit/s."""

    cpu_fraction: float = 1.0
    cores: float = 1.0
    memory_mb: float = 300.0
    max_fds: int = 4096
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of one process. `beat_interval_ms`: between two heartbeats of a backend."""

    node_name: str
    role: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_peers: tuple[str, ...]
    region: str = ""
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    bootstrap: bool = False
    counted: bool = False
    data_path: str = ""
    beat_interval_ms: int = 1500
    config_source: str = (
        "highest"  # how a put is compared with the version in force; else another body is rejected
    )
    metrics: str = ""  # PORT/PATH at which this process serves its metrics; empty where it does not
    bounds: tuple[str, ...] = ()
    zones: dict[str, str] = field(default_factory=dict)
    bind: Bind = field(default_factory=Bind)
    limits: MachineLimits = field(default_factory=MachineLimits)
    tolerance: Tolerance = field(default_factory=Tolerance)

    def bound(self, name: str, default: float) -> float:
        """Return a figure of `bounds`; `default` where it is missing or is no number."""
        for text in self.bounds:
            key, _, value = text.partition("=")
            if key.strip() == name:
                try:
                    return float(value)
                except ValueError:
                    return default
        return default


def parse_address(text: str) -> Address:
    """Read `ip:port`. ValueError where it is none."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{text!r} is no ip:port")
    return host, int(port)


def parse_settings(data: Mapping[str, object]) -> Result[Settings, SettingsError]:
    """Check the settings in `data`, the decoded file; the error names the wrong field and what was wanted."""
    fields = dict(data)
    if isinstance(bounds := fields.get("bounds"), str):  # one line, separated by commas
        fields["bounds"] = [bound for bound in bounds.split(",") if bound.strip()]
    try:
        settings = dacite.from_dict(Settings, fields, dacite.Config(cast=[tuple], type_hooks={float: float}))
        _check_ports(settings)
        _check_addresses(settings)
    except dacite.DaciteError as error:
        return Failure(SettingsError("settings", getattr(error, "field_path", None) or "file", str(error)))
    except (ValueError, TypeError) as error:
        return Failure(SettingsError("settings", "file", str(error)))
    return Success(settings)


def _check_ports(settings: Settings) -> None:
    """ValueError where the range of ports cannot be used."""
    low, high = settings.port_range
    if not 0 < low <= high <= MAX_PORT or high - low + 1 < FEWEST_PORTS:
        raise ValueError(f"port_range: wanted four ports or more, got {low}..{high}")


def _check_addresses(settings: Settings) -> None:
    """ValueError where an address is none; an empty one is right."""
    bind = settings.bind
    for text in (*settings.seed_peers, bind.front, bind.readiness, bind.control):
        if text:
            parse_address(text)
    if settings.metrics:
        parse_metrics_address(settings.metrics)


def load_settings(path: str) -> Result[Settings, SettingsError]:
    """Read and check the settings in this file."""
    try:
        data = tomllib.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Failure(SettingsError("settings", path, str(error)))
    return parse_settings(data)
