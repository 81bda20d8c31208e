"""Parsing of a configuration's JSON into the model, by `dacite`. No input or output here."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, TypeVar

import dacite
from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.model import Configuration, Pool, Rule, Share, Socket, Tenant
from irisdeal.config_store.configuration.validation import validate
from irisdeal.runtime.errors import OperationError

T = TypeVar("T")

REQUIRED = ("generation", "sockets", "pools")


def _check_list(value: object) -> object:
    """Refuse what is no list.

    Else dacite makes a tuple of a text's letters, or of the text of a generator, which no two processes agree on.
    """
    if value is not None and not isinstance(value, list | tuple):
        raise dacite.DaciteError(f"wanted a list, got {type(value).__name__}")
    return value


def _check_texts(value: object) -> object:
    """Refuse what is no list: a text by itself would be taken for a list of its characters."""
    if not isinstance(value, list | tuple):
        raise dacite.DaciteError(f"wanted a list of texts, got {value!r}")
    return value


def _read_number(value: object) -> float:
    """Return the number; JSON may have an integer where the model has a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise dacite.DaciteError(f"wanted a number, got {value!r}")
    return float(value)


LIST_TYPES: tuple[Any, ...] = (  # types as annotations name them, which have no common type
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
    """Return the entry of this type. Raises `dacite.DaciteError` where the data has another shape."""
    return dacite.from_dict(kind, data, DACITE_CONFIG)


def parse_configuration(body: bytes) -> Result[Configuration, OperationError]:
    """Return the valid configuration in these bytes, or an error that names all that is wrong."""
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
    """Return the JSON object. Raises ValueError where it is none, or a key is missing."""
    data = json.loads(body)
    if not isinstance(data, dict):
        raise ValueError("wanted an object")
    for key in REQUIRED:
        if key not in data:
            raise ValueError(f"{key}: missing")
    return data
