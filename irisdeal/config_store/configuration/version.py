"""A complete version of the configuration, and its identity. No I/O.

The register (`consensus/register.py`) decides which version is in force.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from functools import total_ordering

GENERATION_PATTERN = re.compile(r"r([0-9]{1,18})")  # 18 digits fit into a signed 64-bit integer


def generation_number(generation: object) -> int:
    """Return the number of a generation, such as 12 for `r12`. Raises ValueError if malformed."""
    found = GENERATION_PATTERN.fullmatch(generation) if isinstance(generation, str) else None
    if found is None:
        raise ValueError(f"generation: wanted r and a number, got {generation!r}")
    return int(found[1])


@total_ordering
@dataclass(frozen=True, slots=True)
class VersionId:
    """Identity and ordering of a version.

    Attributes:
        number: the number of its generation.
        digest: SHA-256 of its body; breaks ties if two operators used one number for different bodies.
    """

    number: int
    digest: bytes

    def __lt__(self, other: VersionId) -> bool:
        return (self.number, self.digest) < (other.number, other.digest)


NO_VERSION = VersionId(-1, b"")  # before the first version; lower than all others


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """A complete version: its identity, and its body exactly as the operator sent it."""

    version_id: VersionId
    body: bytes

    @staticmethod
    def of(generation: object, body: bytes) -> ConfigVersion:
        """Return the version with this generation and body. Raises ValueError if the generation is malformed."""
        return ConfigVersion(VersionId(generation_number(generation), hashlib.sha256(body).digest()), body)

    def is_intact(self) -> bool:
        """Whether the body matches the digest of the identity."""
        return hashlib.sha256(self.body).digest() == self.version_id.digest
