"""Errors are values that carry the step and the peer at which they arose."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OperationError:
    """What went wrong, where, and with whom.

    `step` names the act ("connect", "keep", "settings"), `peer` whom it was with ("10.1.0.3:7340", a path, a
    key), `detail` what was wanted or found. `never_sent` says that no byte of the act has left this process.
    """

    step: str
    peer: str
    detail: str
    never_sent: bool = False

    def __str__(self) -> str:
        return f"{self.step} {self.peer}: {self.detail}"
