"""From the environment and its JSON file to `Config`. What is wrong is told in one plain line."""

from __future__ import annotations

import json
import os
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from irisdeal.front_door.decisions import simulator_wire
from irisdeal.front_door.decisions.interface import Settings

Address = tuple[str, int]
DEFAULT_MEMORY_MB = 192  # MB, where none is told: the most on the days that are scored (DEPLOY, Limits)
MAX_SOCKET_PATH_BYTES = 107  # bytes; unix(7): 108 with the null that ends it


class ConfigError(ValueError):
    """A configuration that cannot be used; the text says where and why."""


@dataclass(frozen=True, slots=True)
class Routes:
    """A description of routes, and how often to look whether it has changed (µs; 0: on SIGHUP alone)."""

    file: str
    watch_interval_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Config:
    """All that a front door is told at its start. Times are microseconds."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    max_sockets: int
    memory_bytes: int  # bytes
    known_list: object | None
    settings: Settings
    classes: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_us: int
    keepalive_us: int
    routes: Routes | None = None
    operator: Address | None = None  # where operators call
    report_path: str | None = None  # where the door's own report is to be had: a socket of the file system


def address(text: object, what: str) -> Address:
    """`host:port` in its two parts."""
    host, colon, port = str(text).rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"{what} is {text!r}: wanted host:port")
    return host, int(port)


def load(environ: Mapping[str, str], again: bool = False) -> Config:
    """Read what `EDGE_CONFIG` names; the other variables go before the file where both speak.

    Read `again`, the file goes before `EDGE_DISCOVERY`, which still names where discovery was at the start.
    """
    path = environ.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: no JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigError(f"EDGE_CONFIG: {path}: wanted an object")
    for key, variable in (
        ("name", "EDGE_NAME"),
        ("listen", "EDGE_LISTEN"),
        ("discovery", "EDGE_DISCOVERY"),
        ("operator", "EDGE_OPERATOR"),
    ):
        if environ.get(variable) and not (again and told.get(key) and key == "discovery"):
            told[key] = environ[variable]
    try:
        return parse(told)
    except ConfigError:
        raise
    except (ValueError, TypeError, KeyError, OverflowError) as error:
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None


def parse(told: Mapping[str, Any]) -> Config:
    """The configuration from its JSON object."""
    nested = told.get("settings")
    if not isinstance(nested, dict):
        raise ConfigError("settings are missing")
    values = dict(flatten(nested))
    settings, _ = simulator_wire.read_settings(values)
    reader = simulator_wire.SettingsReader(values)
    counter = told.get("counter")
    if settings.has_counter and not counter:
        raise ConfigError("counter is missing, though the settings tell of one")
    limits = told.get("limits") or {}
    listen, operator = address(told.get("listen"), "listen"), told.get("operator")
    if operator and address(operator, "operator") == listen:
        raise ConfigError(f"operator is {operator!r}: wanted another address than listen")
    try:
        seed = int(str(told.get("seed") or "0"), 16)
    except ValueError:
        raise ConfigError(f"seed is {told.get('seed')!r}: wanted hex digits") from None
    return Config(
        name=str(told.get("name") or f"gateway {settings.rank}"),
        listen=listen,
        discovery=address(told.get("discovery"), "discovery"),
        counter=address(counter, "counter") if counter else None,
        seed=seed,
        max_sockets=int(limits.get("sockets") or 1024),
        memory_bytes=int(float(limits.get("memory_mb") or DEFAULT_MEMORY_MB) * 2**20),
        known_list=told.get("known"),
        settings=settings,
        classes=_names(reader, "profiles", len(settings.classes)),
        plans=_names(reader, "packages", len(settings.plans)),
        zones=_string_list(nested.get("zones")),
        kinds=_string_list(nested.get("kinds")),
        connect_timeout_us=reader.integer("permissions.connect_timeout_us", "250000"),
        keepalive_us=reader.integer("permissions.keepalive_us", "30000000"),
        routes=_routes(told.get("routes")),
        operator=address(operator, "operator") if operator else None,
        report_path=_report(told.get("report")),
    )


def _report(told: object) -> str | None:
    if told is None:
        return None
    if (
        not isinstance(told, str)
        or not told.startswith("/")
        or len(os.fsencode(told)) > MAX_SOCKET_PATH_BYTES
    ):
        raise ConfigError(
            f"report is {told!r}: wanted an absolute path of {MAX_SOCKET_PATH_BYTES} bytes at most"
        )
    return told


def _routes(told: object) -> Routes | None:
    if told is None:
        return None
    if not isinstance(told, dict) or not isinstance(told.get("file"), str) or not told["file"]:
        raise ConfigError(f"routes is {told!r}: wanted an object with file")
    if unknown := set(told) - {"file", "watch_ms"}:
        raise ConfigError(f"routes.{min(unknown)}: no such key: wanted file, watch_ms")
    watch = told.get("watch_ms", 1000)
    number = isinstance(watch, int | float) and not isinstance(watch, bool)
    if not (number and (watch == 0 or 10 <= watch <= 3_600_000)):
        raise ConfigError(f"routes.watch_ms is {watch!r}: wanted 0, or 10 to 3600000")
    return Routes(told["file"], round(watch * 1000))


def flatten(value: object, path: str = "") -> Iterable[tuple[str, str]]:
    """Nested JSON as the paths and texts of the simulator's settings."""
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
