"""Parses configuration JSON into the model with `dacite`. No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration import strict_json
from irisdeal.config_store.configuration.model import Configuration, Pool, Rule, Share, Socket, Tenant
from irisdeal.config_store.configuration.validation import validate
from irisdeal.runtime.errors import OperationError

T = TypeVar("T")

REQUIRED_KEYS = ("generation", "sockets", "pools")


def _check_list(value: object) -> object:
    """Reject values that are not lists.

    Otherwise dacite converts a string to a tuple of its characters, or of those of a generator's repr, which
    differs between processes.
    """
    if value is not None and not isinstance(value, list | tuple):
        raise dacite.DaciteError(f"wanted a list, got {type(value).__name__}")
    return value


def _check_texts(value: object) -> object:
    """Reject values that are not lists: a string would become a tuple of its characters."""
    if not isinstance(value, list | tuple):
        raise dacite.DaciteError(f"wanted a list of texts, got {value!r}")
    return value


def _read_number(value: object) -> float:
    """Return the number as a float; JSON integers are allowed for float fields, and all must be finite."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise dacite.DaciteError(f"wanted a number, got {value!r}")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise dacite.DaciteError("wanted a finite number")
    return number


LIST_TYPES: tuple[Any, ...] = (  # list types as annotated in the model; `Any`, as they have no common type
    tuple[Share, ...],
    tuple[Rule, ...],
    tuple[Socket, ...],
    tuple[Pool, ...],
    tuple[Tenant, ...],
    tuple[Tenant, ...] | None,
)
DACITE_CONFIG = dacite.Config(
    cast=[tuple],
    type_hooks={
        float: _read_number,
        tuple[str, ...]: _check_texts,
        **dict.fromkeys(LIST_TYPES, _check_list),
    },
)


def parse_entry(kind: type[T], data: Mapping[str, object]) -> T:
    """Return the data as an entry of this type. Raises `dacite.DaciteError` if its shape does not match."""
    return dacite.from_dict(kind, data, DACITE_CONFIG)


def parse_configuration(body: bytes) -> Result[Configuration, OperationError]:
    """Return the valid configuration in these bytes, or the error that lists its faults."""
    try:
        configuration = parse_entry(Configuration, _load_object(body))
    except dacite.DaciteError as error:
        path = getattr(error, "field_path", None) or "configuration"
        return Failure(OperationError("read", path, str(error)))
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        return Failure(OperationError("read", "configuration", str(error)))
    errors = validate(configuration)
    if errors:
        return Failure(OperationError("check", configuration.generation, "; ".join(map(str, errors))))
    return Success(configuration)


def _load_object(body: bytes) -> dict[str, object]:
    """Return the JSON object. Raises ValueError if it is not an object or lacks a required key."""
    data = strict_json.loads(body)
    if not isinstance(data, dict):
        raise ValueError("wanted an object")
    for key in REQUIRED_KEYS:
        if key not in data:
            raise ValueError(f"{key}: missing")
    return data
