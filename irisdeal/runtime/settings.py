"""Loads and validates the settings file that `IRISDEAL_SETTINGS` names. Unknown fields are ignored.

The names of the dataclass fields are the keys of the file, which the platform writes.
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

Address = tuple[str, int]  # host, port
MIN_PORT_COUNT = 4  # size of `port_range`; three ports are in use (`irisdeal.runtime.ports`)
MAX_PORT = 65535
# Keys of `bind` that a process needs, by what it serves
NEEDED_ADDRESSES = {"edge": ("front", "readiness"), "control_plane": ("control",)}


@dataclass(frozen=True)
class Bind:
    """The addresses (`ip:port`) at which this process serves; empty if it does not serve there."""

    front: str = ""
    readiness: str = ""
    control: str = ""


@dataclass(frozen=True)
class Tolerance:
    """The number of failure domains of each kind that may be lost at the same time."""

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
    """The settings of one process. `beat_interval_ms`: interval of a backend's heartbeats."""

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
    # "highest": a put of another body under a decided number counts as superseded. Otherwise it is a conflict.
    config_source: str = "highest"
    metrics: str = ""  # PORT/PATH at which this process serves its metrics; empty if it serves none
    bounds: tuple[str, ...] = ()
    zones: dict[str, str] = field(default_factory=dict)
    bind: Bind = field(default_factory=Bind)
    limits: MachineLimits = field(default_factory=MachineLimits)
    tolerance: Tolerance = field(default_factory=Tolerance)

    def bound(self, name: str, default: float) -> float:
        """Return a number from `bounds`; `default` if it is missing or not a number."""
        for text in self.bounds:
            key, _, value = text.partition("=")
            if key.strip() == name:
                try:
                    return float(value)
                except ValueError:
                    return default
        return default


def parse_address(text: str) -> Address:
    """Parse `ip:port`. Raises ValueError if the text is malformed."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"{text!r} is no ip:port")
    return host, int(port)


def parse_settings(data: Mapping[str, object]) -> Result[Settings, SettingsError]:
    """Validate the settings in `data`, the decoded file; the error names the invalid field."""
    fields = dict(data)
    if isinstance(bounds := fields.get("bounds"), str):  # a comma-separated list
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
    """Raise ValueError if the port range is invalid or too small."""
    low, high = settings.port_range
    if not 0 < low <= high <= MAX_PORT or high - low + 1 < MIN_PORT_COUNT:
        raise ValueError(f"port_range: expected at least four ports, got {low}..{high}")


def _check_addresses(settings: Settings) -> None:
    """Raise ValueError if an address is malformed, or one is missing that the process serves at."""
    bind = settings.bind
    for served in settings.serves:
        for name in NEEDED_ADDRESSES.get(served, ()):
            if not getattr(bind, name):
                raise ValueError(f"bind.{name}: missing, and this process serves {served}")
    for text in (*settings.seed_peers, bind.front, bind.readiness, bind.control):
        if text:
            parse_address(text)
    if settings.metrics:
        parse_metrics_address(settings.metrics)


def load_settings(path: str) -> Result[Settings, SettingsError]:
    """Read and validate the settings file at `path`."""
    try:
        data = tomllib.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Failure(SettingsError("settings", path, str(error)))
    return parse_settings(data)
