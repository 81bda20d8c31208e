"""Loads `Config` from environment variables and a JSON file. Each error is reported in one line."""

from __future__ import annotations

import json
import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from irisdeal.front_door.decisions import simulator_wire
from irisdeal.front_door.decisions.interface import Settings

Address = tuple[str, int]
DEFAULT_MEMORY_MB = 192  # the largest memory limit among the scored scenarios
MAX_SOCKET_PATH_BYTES = 107  # unix(7): 108 with the terminating null byte


class ConfigError(ValueError):
    """An invalid configuration; the message contains the key and the reason."""


@dataclass(frozen=True, slots=True)
class Routes:
    """File with the description of the routes, and how often it is checked for changes (µs; 0: only on SIGHUP)."""

    file: str
    watch_interval_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a front door. Times are µs."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    max_sockets: int
    memory_bytes: int
    known_list: object | None  # initial server list
    settings: Settings
    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_us: int
    keepalive_us: int
    routes: Routes | None = None
    operator: Address | None = None  # of the listener for operators
    report_path: str | None = None  # of the Unix socket that serves the report


def address(text: object, what: str) -> Address:
    """Parse `host:port`; `what` names the key in the error message."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"{what} is {text!r}: wanted host:port")
    return host, int(port)


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Read the file that `EDGE_CONFIG` names; other environment variables take precedence over it.

    With `again`, on a reload, the file takes precedence over `EDGE_DISCOVERY`, which still has the address from
    the start of the process.
    """
    path = environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            values = json.load(file)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: no JSON: {error}") from None
    if not isinstance(values, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: wanted an object")
    for key, variable in (
        ("name", "EDGE_NAME"),
        ("listen", "EDGE_LISTEN"),
        ("discovery", "EDGE_DISCOVERY"),
        ("operator", "EDGE_OPERATOR"),
    ):
        if environ.get(variable) and not (again and values.get(key) and key == "discovery"):
            values[key] = environ[variable]
    try:
        return parse(values)
    except ConfigError:
        raise
    except (ValueError, TypeError, KeyError, OverflowError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None


def parse(document: Mapping[str, Any]) -> Config:
    """Parse the configuration from its JSON object."""
    nested = document.get("settings")
    if not isinstance(nested, dict):
        raise ConfigError("settings are missing")
    values = dict(flatten(nested))
    settings, _ = simulator_wire.read_settings(values)
    reader = simulator_wire.SettingsReader(values)
    counter = document.get("counter")
    if settings.has_counter and not counter:
        raise ConfigError("counter is missing, though the settings require one")
    limits = document.get("limits") or {}
    listen, operator = address(document.get("listen"), "listen"), document.get("operator")
    if operator and address(operator, "operator") == listen:
        raise ConfigError(f"operator is {operator!r}: wanted another address than listen")
    try:
        seed = int(str(document.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError(f"seed is {document.get('seed')!r}: wanted hex digits") from None
    return Config(
        name=str(document.get("name") or f"gateway {settings.rank}"),
        listen=listen,
        discovery=address(document.get("discovery"), "discovery"),
        counter=address(counter, "counter") if counter else None,
        seed=seed,
        max_sockets=int(limits.get("sockets") or 1024),
        memory_bytes=int(float(limits.get("memory_mb") or DEFAULT_MEMORY_MB) * 2**20),
        known_list=document.get("known"),
        settings=settings,
        classes=_names(reader, "profiles", len(settings.classes)),
        plans=_names(reader, "packages", len(settings.plans)),
        zones=_string_list(nested.get("zones")),
        kinds=_string_list(nested.get("kinds")),
        connect_timeout_us=reader.integer("permissions.connect_timeout_us", "250000"),
        keepalive_us=reader.integer("permissions.keepalive_us", "30000000"),
        routes=_routes(document.get("routes")),
        operator=address(operator, "operator") if operator else None,
        report_path=_report(document.get("report")),
    )


def _report(value: object) -> str | None:
    if value is None:
        return None
    if (
        not isinstance(value, str)
        or not value.startswith("/")
        or len(os.fsencode(value)) > MAX_SOCKET_PATH_BYTES
    ):
        raise ConfigError(
            f"report is {value!r}: wanted an absolute path of {MAX_SOCKET_PATH_BYTES} bytes at most"
        )
    return value


def _routes(value: object) -> Routes | None:
    if value is None:
        return None
    if not isinstance(value, dict) or not isinstance(value.get("file"), str) or not value["file"]:
        raise ConfigError(f"routes is {value!r}: wanted an object with file")
    if unknown := set(value) - {"file", "watch_ms"}:
        raise ConfigError(f"routes.{min(unknown)}: no such key: wanted file, watch_ms")
    watch = value.get("watch_ms", 1000)
    number = isinstance(watch, int | float) and not isinstance(watch, bool)
    if not (number and (watch == 0 or 10 <= watch <= 3_600_000)):
        raise ConfigError(f"routes.watch_ms is {watch!r}: wanted 0, or 10 to 3600000")
    return Routes(value["file"], round(watch * 1000))


def flatten(value: object, path: str = "") -> Iterable[tuple[str, str]]:
    """Flatten nested JSON to the dotted paths and text values of the simulator's settings."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and value and all(isinstance(inner, dict) for inner in value):
        yield f"{path}.count", str(len(value))
        for n, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{n}")
    elif isinstance(value, list):
        yield path, ",".join(_text(inner) for inner in value)
    else:
        yield path, _text(value)


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)


def _names(reader: simulator_wire.SettingsReader, path: str, count: int) -> tuple[str, ...]:
    return tuple(reader.text(f"{path}.{n}.name") for n in range(count))


def _string_list(value: object) -> tuple[str, ...]:
    return tuple(str(v) for v in (value if isinstance(value, list) else str(value or "").split(",")) if v)
