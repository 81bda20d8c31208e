"""The settings file that `IRISDEAL_SETTINGS` names, checked. Unknown fields are passed over."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import dacite
from returns.result import Failure, Result, Success

from irisdeal.runtime.errors import SettingsError
from irisdeal.runtime.metrics import parse_address

Address = tuple[str, int]


@dataclass(frozen=True)
class Bind:
    """Where this process serves; empty where it does not."""

    front: str = ""
    readiness: str = ""
    control: str = ""


@dataclass(frozen=True)
class Tolerance:
    """What may be lost at once."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True)
class MachineLimits:
    """The machine: cores, MB and descriptors."""

    cpu_fraction: float = 1.0
    cores: float = 1.0
    memory_mb: float = 300.0
    max_fds: int = 4096
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True)
class Settings:
    """One process's settings; the names are those of the file."""

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
    config_source: str = "highest"  # how an order is compared with what holds; else another body is refused
    metrics: str = ""  # PORT/PATH at which this process tells its figures; empty where it does not
    bounds: tuple[str, ...] = ()
    zones: dict[str, str] = field(default_factory=dict)
    bind: Bind = field(default_factory=Bind)
    limits: MachineLimits = field(default_factory=MachineLimits)
    tolerance: Tolerance = field(default_factory=Tolerance)

    def bound(self, name: str, default: float) -> float:
        """A figure of `bounds`; `default` where it is not there or is no number."""
        for text in self.bounds:
            key, _, value = text.partition("=")
            if key.strip() == name:
                try:
                    return float(value)
                except ValueError:
                    return default
        return default


def address(text: str) -> Address:
    """`ip:port`. ValueError where it is none."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"{text!r} is no ip:port")
    return host, int(port)


def read(data: dict[str, Any]) -> Result[Settings, SettingsError]:
    """The checked settings, or which key is wrong and what was wanted."""
    given = dict(data)
    if isinstance(given.get("bounds"), str):  # one line, separated by commas
        given["bounds"] = [part for part in given["bounds"].split(",") if part.strip()]
    try:
        settings = dacite.from_dict(Settings, given, dacite.Config(cast=[tuple], type_hooks={float: float}))
        low, high = settings.port_range
        if not 0 < low <= high < 65536 or high - low < 3:
            raise ValueError(f"port_range: wanted four ports or more, got {low}..{high}")
        for text in (
            *settings.seed_peers,
            settings.bind.front,
            settings.bind.readiness,
            settings.bind.control,
        ):
            if text:
                address(text)
        if settings.metrics:
            parse_address(settings.metrics)
    except dacite.DaciteError as error:
        return Failure(SettingsError("settings", getattr(error, "field_path", None) or "file", str(error)))
    except (ValueError, TypeError) as error:
        return Failure(SettingsError("settings", "file", str(error)))
    return Success(settings)


def load(path: str) -> Result[Settings, SettingsError]:
    """The settings in this file."""
    try:
        data = tomllib.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Failure(SettingsError("settings", path, str(error)))
    return read(data)
