"""Calls of a quota account to the counter service, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class CallPurpose(Enum):
    """What a call is for."""

    CLAIM = "claim units for a request"
    READ = "read what the previous slot leaves, for a request that waits for it"
    CARRY = "publish what the previous slot leaves"
    RETURN = "return claimed units"


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter service: add `amount` to `name`, which expires after `lifetime_us` if it is new.

    `slot_index` is the claim's slot, `quanta` what is added for the claim, `units` the quota units that it stands
    for, `slot_claimed` all units claimed in that slot, this claim included.
    """

    purpose: CallPurpose
    name: int
    amount: float
    lifetime_us: int
    slot_index: int
    quanta: float = 0
    units: float = 0.0
    slot_claimed: float = 0.0


class ClaimResult(NamedTuple):
    """The effect of the counter service's answer.

    `holds` is whether the claim succeeded, None where a further READ decides that; `calls` are to be made next.
    """

    holds: bool | None
    calls: list[CounterCall]
