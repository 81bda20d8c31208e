"""Decodes HTTP requests of backends and operators into commands. This module does no I/O."""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from typing import Any

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.cached_reading import parse_cached
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.settings import parse_address

MAX_HEARTBEAT_BYTES = 4096  # much larger than any valid heartbeat
ID_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A backend's heartbeat. The fields are the keys of its JSON body; `call_count`: heartbeats sent so far."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str
    warmup_left_ms: float
    call_count: int
    generation: str = ""


@dataclass(frozen=True, slots=True)
class Deregister:
    """A backend reports that it is gone."""

    id: str


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """An operator puts a configuration; `version` is already validated."""

    version: ConfigVersion


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """An operator reads the newest committed configuration."""


@dataclass(frozen=True, slots=True)
class ListBackends:
    """An operator reads the registry's state and its list of backends."""


Command = Heartbeat | Deregister | PutConfiguration | ReadConfiguration | ListBackends


@dataclass(frozen=True, slots=True)
class RejectedCall:
    """A request that is not a valid command: the HTTP status and the reason."""

    status: int
    error: OperationError


def decode(method: bytes, target: bytes, body: bytes) -> Result[Command, RejectedCall]:
    """Return the command in a request, or the reason for its rejection."""
    path = target.partition(b"?")[0].decode("ascii", "replace")
    segments = path.strip("/").split("/")
    match method, segments:
        case b"POST", ["backends", id_, "heartbeat"]:
            return _heartbeat(id_, body)
        case b"POST", ["backends", id_, "deregister"]:
            return _deregister(id_)
        case b"POST", ["config", "replace"]:
            return _put(body)
        case b"GET", ["config", "read"]:
            return Success(ReadConfiguration())
        case b"GET", ["status"]:
            return Success(ListBackends())
    return Failure(RejectedCall(404, OperationError("call", path, "nothing is served here")))


def _deregister(id_: str) -> Result[Command, RejectedCall]:
    if ID_PATTERN.fullmatch(id_):
        return Success(Deregister(id_))
    return Failure(RejectedCall(400, OperationError("deregister", id_, "the id cannot be used")))


def _heartbeat(id_: str, body: bytes) -> Result[Command, RejectedCall]:
    try:
        data: Any = json.loads(body) if len(body) <= MAX_HEARTBEAT_BYTES else None
        if not isinstance(data, dict) or not ID_PATTERN.fullmatch(id_):
            raise ValueError(f"wanted an object of at most {MAX_HEARTBEAT_BYTES} bytes and a printable id")
        heartbeat = dacite.from_dict(Heartbeat, {**data, "id": id_}, dacite.Config(type_hooks={float: float}))
        if heartbeat.state not in ("ready", "draining"):
            raise ValueError(f"state: wanted ready or draining, got {heartbeat.state!r}")
        if not math.isfinite(heartbeat.warmup_left_ms):
            raise ValueError(f"warmup_left_ms: wanted a finite number, got {heartbeat.warmup_left_ms}")
        parse_address(heartbeat.address)
    except (dacite.DaciteError, ValueError, TypeError) as error:
        return Failure(RejectedCall(400, OperationError("heartbeat", id_, str(error))))
    return Success(heartbeat)


def _put(body: bytes) -> Result[Command, RejectedCall]:
    checked = parse_cached(body)
    if isinstance(checked, Failure):
        return Failure(RejectedCall(400, checked.failure()))
    return Success(PutConfiguration(ConfigVersion.of(checked.unwrap().generation, body)))
