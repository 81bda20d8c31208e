"""What a customer's account asks of the count keeper: the calls, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Purpose(Enum):
    """What a call is for."""

    CLAIM = "units for a request"
    READ = "what the last slot leaves, for a request that waits for it"
    CARRY = "what the last slot leaves is told in this one"
    RETURN = "units are given back"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the keeper: add `amount` to `name`, which lives `life` µs if it is new.

    `index` is the number of the claim's slot, `quanta` and `units` what is added for it and what it stands
    for, `drawn` the units of that slot with it.
    """

    purpose: Purpose
    name: int
    amount: float
    life: int
    index: int
    quanta: float = 0
    units: float = 0.0
    drawn: float = 0.0
