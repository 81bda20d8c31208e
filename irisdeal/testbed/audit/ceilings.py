"""Rule 15: no tenant gets beyond the hard ceiling of its plan."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Rule
from irisdeal.testbed.request_log import Attempt

CEILING_SLACK = 0.150  # s of the ceiling's rate; PROTOCOL, The rules on sockets


def ceilings(evidence: Evidence) -> Iterator[Breach]:
    """Find the breaches of rule 15, the first of each tenant."""
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
        for before, attempt in pairwise([None, *attempts]):
            assert attempt is not None
            flown = attempt.last_byte - before.last_byte if before is not None else 0
            level = min(ceiling.depth, level + ceiling.rate * flown / 1e6) - attempt.units
            heap = evidence.slack.stalled(attempt.last_byte) / 1e6  # s of attempts that came in one heap
            least = -ceiling.slack - ceiling.rate * (CEILING_SLACK + heap)
            if level < least:
                yield Breach(
                    Rule.CEILINGS,
                    f"store {customer:016x} of plan {plan} stands at {level:.1f} units",
                    attempt.trace,
                    (attempt.backend,),
                    (attempt.last_byte,),
                    f"{ceiling.rate:g} units a second, {ceiling.depth:g} at most, down to {least:.1f}",
                )
                break  # from here on each one counts the same excess again
