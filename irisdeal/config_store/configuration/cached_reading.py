"""The configuration as the operator writes it, read; what one process reads one after the other shares its work."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.incremental_reading import Reading, reading
from irisdeal.config_store.configuration.index import run
from irisdeal.config_store.configuration.schema import (
    KINDS,
    MOST_FAULTS,
    MOST_OVER_MS,
    Configuration,
    Effect,
    Limits,
    Pattern,
    Pool,
    Rule,
    Share,
    Socket,
    Tenant,
    faults,
    read_whole,
)
from irisdeal.runtime.errors import OperationError

__all__ = [
    "KINDS",
    "MOST_FAULTS",
    "MOST_OVER_MS",
    "Configuration",
    "Effect",
    "Limits",
    "Pattern",
    "Pool",
    "Rule",
    "Share",
    "Socket",
    "Tenant",
    "faults",
    "read",
    "read_whole",
]


class _Last:
    """The last valid reading of this process: what the next one takes over. It changes cost alone, no result."""

    def __init__(self) -> None:
        self.reading: Reading | None = None

    def read(self, body: bytes) -> Result[Reading, OperationError]:
        found = run(reading(body, self.reading))
        if isinstance(found, Success):
            self.reading = found.unwrap()
        return found


_last = _Last()


def read(body: bytes) -> Result[Configuration, OperationError]:
    """The valid configuration in these bytes, or what makes it invalid."""
    found = _last.read(body)
    return Failure(found.failure()) if isinstance(found, Failure) else Success(found.unwrap().configuration)
