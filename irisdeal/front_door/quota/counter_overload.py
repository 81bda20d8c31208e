"""Rate of claims at an overloaded counter service, and decisions without an answer.

Two signals, which call for opposite reactions:

1. *Rejected*: the service is up and overloaded. Fewer claims are made. Most retries of clients exceed their
   quotas, so a retry without a claim is rejected. A first attempt without a claim is rejected too while few
   lack one, since its client retries and a claim is made then; the more lack one, the more are admitted locally.
2. *No answer, no connection*: the service is lost, wholly or in part. Few claims are made: each costs the wait.

The ratio of attempts to claims moves up and down by factors and settles where both balance: late, as a rejected
call costs the service little, and a short queue rejects long before its capacity is used up.
"""

from __future__ import annotations

from enum import Enum

# Factors for a rejected call and for an answered one: in equilibrium nearly half are rejected.
RATIO_INCREASE = 1.3
RATIO_DECREASE = 0.8
MAX_ATTEMPTS_PER_CLAIM = 20.0  # the remaining claims show when the service has capacity again
# First attempts without a claim are admitted locally with the share of attempts without one, to the power of 1
# plus this many times the share of attempts with one.
LOCAL_ADMISSION_STEEPNESS = 4
UNANSWERED_SMOOTHING = 0.25  # weight of a new call in the share without an answer: four suffice
# Share of attempts that still claim at a lost service: with ten attempts a second its return shows within one.
MIN_CLAIM_SHARE = 0.1


class AdmissionPath(Enum):
    """How an attempt is decided."""

    CLAIM = "by a claim at the counter service"
    LOCAL = "by what this front door may admit on its own"
    REJECT = "rejected without a claim"


class CounterOverload:
    """The counter service's load, as observed by one front door."""

    def __init__(self) -> None:
        self.attempts_per_claim = 1.0  # for which the service seems to have capacity
        self.unanswered_share = 0.0  # of recent calls

    def answered(self) -> None:
        """Record an answered call."""
        self.attempts_per_claim = max(1.0, self.attempts_per_claim * RATIO_DECREASE)
        self.unanswered_share -= UNANSWERED_SMOOTHING * self.unanswered_share

    def rejected(self) -> None:
        """Record a call that the service rejected."""
        self.attempts_per_claim = min(MAX_ATTEMPTS_PER_CLAIM, self.attempts_per_claim * RATIO_INCREASE)
        self.unanswered_share -= UNANSWERED_SMOOTHING * self.unanswered_share

    def unanswered(self) -> None:
        """Record a call without an answer."""
        self.unanswered_share += UNANSWERED_SMOOTHING * (1.0 - self.unanswered_share)

    def admission_path(self, is_retry: bool, random_unit: float) -> AdmissionPath:
        """Return how the next attempt, a client's first or a retry, is decided. `random_unit` is from 0 to 1."""
        reachable_share = max(MIN_CLAIM_SHARE, 1.0 - self.unanswered_share)
        if random_unit >= reachable_share:
            return AdmissionPath.LOCAL
        claim_share = 1.0 / self.attempts_per_claim
        random_unit /= reachable_share
        if random_unit < claim_share:
            return AdmissionPath.CLAIM
        if is_retry:
            return AdmissionPath.REJECT
        exponent = 1.0 + LOCAL_ADMISSION_STEEPNESS * claim_share
        if random_unit < claim_share + (1.0 - claim_share) ** exponent:
            return AdmissionPath.LOCAL
        return AdmissionPath.REJECT
