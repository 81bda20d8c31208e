"""What a customer's account asks of the count keeper: the calls, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Purpose(Enum):
    """What a call is for."""

    CLAIM = "units for a request, and what is asked"
    READ = "how far the last name was drawn"
    LIFT = "the figure is brought to where it should be"
    RETURN = "units or a lift are given back"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to the keeper: add `amount` to `name`, which lives `life` µs if it is new.

    `index` is the number of the claim's name, `quanta` what is added to the store's figure, `units` and
    `asked` what a claim stands for, and `expected` the total that a lift should lead to.
    """

    purpose: Purpose
    name: int
    amount: float
    life: int
    index: int
    quanta: int = 0
    units: float = 0.0
    asked: float = 0.0
    expected: float = 0.0
