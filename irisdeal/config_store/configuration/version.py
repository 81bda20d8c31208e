"""A version of the configuration, complete, and its identity. No input or output here.

Which version is in force is decided by the register (`consensus/register.py`).
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from functools import total_ordering

GENERATION = re.compile(r"r([0-9]{1,18})")  # 18 digits fit in a signed integer of 64 bits


def generation_number(generation: object) -> int:
    """Return the number of a generation, 12 of `r12`. Raises ValueError where it is none."""
    found = GENERATION.fullmatch(generation) if isinstance(generation, str) else None
    if found is None:
        raise ValueError(f"generation: wanted r and a number, got {generation!r}")
    return int(found[1])


@total_ordering
@dataclass(frozen=True, slots=True)
class VersionId:
    """Identity and order of a version.

    Attributes:
        number: the number of its generation.
        digest: SHA-256 of its body; decides where two operators gave one number to different bodies.
    """

    number: int
    digest: bytes

    def __lt__(self, other: VersionId) -> bool:
        return (self.number, self.digest) < (other.number, other.digest)


NO_VERSION = VersionId(-1, b"")  # before any: lower than all there are


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """A complete version: its identity, and its body byte for byte as the operator sent it."""

    version_id: VersionId
    body: bytes

    @staticmethod
    def of(generation: object, body: bytes) -> ConfigVersion:
        """Return the version of this generation with this body. Raises ValueError where the generation is none."""
        return ConfigVersion(VersionId(generation_number(generation), hashlib.sha256(body).digest()), body)

    def is_intact(self) -> bool:
        """Whether the body has the digest that the identity names."""
        return hashlib.sha256(self.body).digest() == self.version_id.digest
