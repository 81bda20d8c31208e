"""A version of the operator's word, whole; which one holds is decided in `register.py`. No input or output here."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from functools import total_ordering

GENERATION = re.compile(r"r([0-9]{1,18})")


def number(generation: object) -> int:
    """The number of `r12`. ValueError where it is none."""
    found = GENERATION.fullmatch(generation) if isinstance(generation, str) else None
    if found is None:
        raise ValueError(f"generation: wanted r and a number, got {generation!r}")
    return int(found[1])


@total_ordering
@dataclass(frozen=True, slots=True)
class VersionId:
    """What two words are compared by: the number, and where two operators gave one number, the digest."""

    number: int
    digest: bytes

    def __lt__(self, other: VersionId) -> bool:
        return (self.number, self.digest) < (other.number, other.digest)


NO_VERSION = VersionId(-1, b"")


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """A whole configuration, byte for byte as the operator sent it."""

    version_id: VersionId
    body: bytes

    @staticmethod
    def of(generation: object, body: bytes) -> ConfigVersion:
        """ValueError where the generation is none."""
        return ConfigVersion(VersionId(number(generation), hashlib.sha256(body).digest()), body)

    def is_whole(self) -> bool:
        return hashlib.sha256(self.body).digest() == self.version_id.digest
