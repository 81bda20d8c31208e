"""Audit of the five rules (BRIEF 11 to 15), from the testbed's request logs alone. Pure: no I/O, no clock.

A breach of each rule, in terms of the request logs:

| rule | a breach is |
| --- | --- |
| answers (11) | no final answer in time, two answers, a body that no backend made, or attempts after the answer |
| effects (12) | a retry or a rejection that the class forbids while an earlier attempt may have run |
| drains (13) | an attempt that reached a backend later than the grace after its front door's notice |
| cold (14) | work over a backend's slow start budget in any window, sent by front doors notified of the start |
| ceilings (15) | a tenant's token bucket at the ceiling's rate is below the allowed slack |

The protocol excuses the requests that were pending at a front door when it was killed (BRIEF 11), and a client
attempt on a reused connection that closed before the front door can have read it (PROTOCOL, Clients to front
doors). On sockets, time limits are extended by 50 ms (PROTOCOL, The rules on sockets), and by the stalls of the
testbed's event loop in that time, so that its lag does not count as a breach.
"""

from __future__ import annotations

from irisdeal.testbed.audit.answers import answers
from irisdeal.testbed.audit.ceilings import ceilings
from irisdeal.testbed.audit.drains import drains
from irisdeal.testbed.audit.effects import effects
from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, Ceiling, Figures, KindRule, Rule, Verdict
from irisdeal.testbed.audit.slow_start import slow_start
from irisdeal.testbed.request_log import RequestLog

__all__ = ["Breach", "Ceiling", "Figures", "KindRule", "Rule", "Verdict", "audit"]


def audit(request_log: RequestLog, figures: Figures, timed: bool = True) -> Verdict:
    """Check one run against all rules. The request log must contain all attempts of clients and at backends.

    With `timed` false, only the check for late answers is skipped. This is for a front door that shares the event
    loop of the test services, where lateness depends on them and on the machine.
    """
    verdict = Verdict({rule: 0 for rule in Rule}, {rule: 0 for rule in Rule}, [])
    evidence = Evidence(request_log, figures, verdict)
    breaches = (
        *answers(evidence, timed),
        *effects(evidence),
        *drains(evidence),
        *slow_start(evidence),
        *ceilings(evidence),
    )
    for breach in breaches:
        verdict.record(breach)
    return verdict
