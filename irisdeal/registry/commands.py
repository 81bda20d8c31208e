"""Calls from outside, decoded into command objects that are run elsewhere. No input or output here."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.cached_reading import read
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.runtime.errors import OperationError
from irisdeal.runtime.settings import parse_address

MOST_BEAT = 4096  # bytes of a beat
ID = re.compile(r"[\x21-\x7e]{1,200}")


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A backend says that it is there."""

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
    """A backend says that it is gone."""

    id: str


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """The operator gives a configuration, checked."""

    version: ConfigVersion


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """The operator asks for the newest configuration."""


@dataclass(frozen=True, slots=True)
class ListBackends:
    """Somebody asks how this program is."""


Command = Heartbeat | Deregister | PutConfiguration | ReadConfiguration | ListBackends


@dataclass(frozen=True, slots=True)
class Refusal:
    """A call that is no command: the status and the reason."""

    status: int
    trouble: OperationError


def decode(method: bytes, target: bytes, body: bytes) -> Result[Command, Refusal]:
    """The command in a call, or why it is none."""
    path = target.partition(b"?")[0].decode("ascii", "replace")
    parts = path.strip("/").split("/")
    match method, parts:
        case b"POST", ["backends", id_, "heartbeat"]:
            return _heartbeat(id_, body)
        case b"POST", ["backends", id_, "deregister"]:
            if ID.fullmatch(id_):
                return Success(Deregister(id_))
            return Failure(Refusal(400, OperationError("deregister", id_, "the id cannot be used")))
        case b"POST", ["config", "replace"]:
            return _put(body)
        case b"GET", ["config", "read"]:
            return Success(ReadConfiguration())
        case b"GET", ["status"]:
            return Success(ListBackends())
    return Failure(Refusal(404, OperationError("call", path, "nothing is served here")))


def _heartbeat(id_: str, body: bytes) -> Result[Command, Refusal]:
    try:
        data: Any = json.loads(body) if len(body) <= MOST_BEAT else None
        if not isinstance(data, dict) or not ID.fullmatch(id_):
            raise ValueError(f"wanted an object of at most {MOST_BEAT} bytes and a printable id")
        heartbeat = dacite.from_dict(Heartbeat, {**data, "id": id_}, dacite.Config(type_hooks={float: float}))
        if heartbeat.state not in ("ready", "draining"):
            raise ValueError(f"state: wanted ready or draining, got {heartbeat.state!r}")
        parse_address(heartbeat.address)
    except (dacite.DaciteError, ValueError, TypeError) as error:
        return Failure(Refusal(400, OperationError("heartbeat", id_, str(error))))
    return Success(heartbeat)


def _put(body: bytes) -> Result[Command, Refusal]:
    checked = read(body)
    if isinstance(checked, Failure):
        return Failure(Refusal(400, checked.failure()))
    return Success(PutConfiguration(ConfigVersion.of(checked.unwrap().generation, body)))
