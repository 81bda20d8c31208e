"""Rule 15: no tenant exceeds the hard ceiling of its plan."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Rule
from irisdeal.testbed.request_log import Attempt

CEILING_SLACK_S = 0.150  # allowed excess, as seconds of the ceiling's rate; PROTOCOL, The rules on sockets


def ceilings(evidence: Evidence) -> Iterator[Breach]:
    """Find the breaches of rule 15, only the first of each tenant."""
    ceilings = evidence.figures.ceilings
    firsts: dict[tuple[str, int], list[Attempt]] = defaultdict(list)
    for attempts in evidence.attempts.values():
        first = attempts[0]
        if first.plan in ceilings:
            firsts[first.plan, first.customer].append(first)
    for (plan, customer), attempts in firsts.items():
        ceiling = ceilings[plan]
        evidence.verdict.checked[Rule.CEILINGS] += len(attempts)
        attempts.sort(key=lambda a: a.last_byte)
        level = ceiling.depth
        for previous, attempt in pairwise([None, *attempts]):
            assert attempt is not None
            elapsed = attempt.last_byte - previous.last_byte if previous is not None else 0
            level = min(ceiling.depth, level + ceiling.rate * elapsed / 1e6) - attempt.units
            # A stalled loop reads attempts in a batch.
            stall_s = evidence.slack.stalled(attempt.last_byte) / 1e6
            min_level = -ceiling.slack - ceiling.rate * (CEILING_SLACK_S + stall_s)
            if level < min_level:
                yield Breach(
                    Rule.CEILINGS,
                    f"tenant {customer:016x} of plan {plan} is at {level:.1f} units",
                    attempt.trace,
                    (attempt.backend,),
                    (attempt.last_byte,),
                    f"{ceiling.rate:g} units a second, {ceiling.depth:g} at most, down to {min_level:.1f}",
                )
                break  # each later attempt would report the same excess
