"""Parsing of the configurations that one process receives one after the other, which shares work between them."""

from __future__ import annotations

from returns.result import Failure, Result, Success

from irisdeal.config_store.configuration.incremental_reading import read_incrementally
from irisdeal.config_store.configuration.model import Configuration
from irisdeal.config_store.configuration.outline import ParsedConfiguration
from irisdeal.config_store.configuration.stepwise import run_to_completion
from irisdeal.runtime.errors import OperationError


class _ParsingCache:
    """The last valid configuration of this process, from which the next one is parsed. It changes cost alone."""

    def __init__(self) -> None:
        self.last: ParsedConfiguration | None = None

    def parse(self, body: bytes) -> Result[ParsedConfiguration, OperationError]:
        """Return the valid configuration in these bytes, or what makes it invalid."""
        found = run_to_completion(read_incrementally(body, self.last))
        if isinstance(found, Success):
            self.last = found.unwrap()
        return found


_cache = _ParsingCache()


def parse_cached(body: bytes) -> Result[Configuration, OperationError]:
    """Return the valid configuration in these bytes, or an error that names all that is wrong."""
    found = _cache.parse(body)
    return Failure(found.failure()) if isinstance(found, Failure) else Success(found.unwrap().configuration)
