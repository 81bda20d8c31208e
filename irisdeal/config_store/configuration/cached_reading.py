"""Parses successive configurations of one process, each incrementally from the previous one."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.model import Configuration
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.stepwise import run_to_completion
from irisdeal.runtime.errors import OperationError


class _ParsingCache:
    """The last valid configuration of this process; it speeds up the next parse without changing its result."""

    def __init__(self) -> None:
        self.last: ParsedConfiguration | None = None

    def parse(self, body: bytes) -> Result[ParsedConfiguration, OperationError]:
        """Return the valid configuration in these bytes, or the error that lists its faults."""
        result = run_to_completion(read_incrementally(body, self.last))
        if isinstance(result, Success):
            self.last = result.unwrap()
        return result


_cache = _ParsingCache()


def parse_cached(body: bytes) -> Result[Configuration, OperationError]:
    """Return the valid configuration in these bytes, or the error that lists its faults."""
    result = _cache.parse(body)
    return (
        Failure(result.failure()) if isinstance(result, Failure) else Success(result.unwrap().configuration)
    )
