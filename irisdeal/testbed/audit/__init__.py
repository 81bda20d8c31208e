"""The five rules (BRIEF 11 to 15), judged by the testbed's request logs alone. Pure: no I/O, no clock.

What a breach of each rule is in the request logs:

| rule | a breach is |
| --- | --- |
| answers (11) | an accepted request with no final answer in time, two, a forged one, or more sent after it |
| effects (12) | a further attempt, or a refusal, that the class forbids while an earlier one may have run |
| drains (13) | an attempt whose first byte came to a backend later than the grace after its front door's notice |
| cold (14) | work sent to a backend in slow start, in any window, over its budget, by front doors that knew |
| ceilings (15) | a tenant's bucket of the ceiling below its slack |

Excused, by the protocol: what a front door had pending when it was killed (BRIEF 11), and a client attempt on a
reused connection that closed before the front door can have read it (PROTOCOL, Clients to front doors). Time
limits are 50 ms longer on sockets (PROTOCOL, The rules on sockets), and longer by the stalls of the testbed's own
event loop meanwhile: its lag must not be a front door's breach.
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
    """Judge one run. The request logs must be complete: all attempts of clients and at backends are in them.

    Not `timed`, how late an answer came is left out, and that alone: for a front door in the test services' own
    loop, whose lateness is theirs and the machine's.
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
