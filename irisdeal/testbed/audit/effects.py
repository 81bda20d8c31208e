"""Rule 12: no request takes effect twice, according to the repeat rule of its class."""

from __future__ import annotations

from collections.abc import Iterator

from irisdeal.testbed.audit.evidence import Evidence
from irisdeal.testbed.audit.model import Breach, KindRule, Rule
from irisdeal.testbed.request_log import Attempt, ClientAttempt, End

REJECTIONS = (429, 503)  # statuses that allow a client to retry any request


def effects(evidence: Evidence) -> Iterator[Breach]:
    """Find the breaches of rule 12: forbidden attempts, and rejections of requests that may have run."""
    for trace, attempts in evidence.attempts.items():
        rule = evidence.figures.kinds.get(attempts[0].kind)
        if rule is None or rule.repeat == "safe":
            continue
        evidence.verdict.checked[Rule.EFFECTS] += 1
        for number, later in enumerate(attempts):
            # A lagging event loop can record two attempts in the reverse of the order in which they were sent.
            may_have_run = [a for a in attempts[:number] if _may_have_run(a, later.last_byte)]
            yield from _first_forbidden(evidence, trace, rule, may_have_run, later)
    for client_attempt in evidence.request_log.client_attempts:
        yield from _check_rejection(evidence, client_attempt)


def _first_forbidden(
    evidence: Evidence, trace: str, rule: KindRule, may_have_run: list[Attempt], later: Attempt
) -> Iterator[Breach]:
    """Report `later` as a breach against the first earlier attempt that forbids it."""
    for earlier in may_have_run:
        found = _forbidden_reason(evidence, rule, earlier, later)
        if found is not None:
            what, figure = found
            times, backends = (earlier.last_byte, later.last_byte), (earlier.backend, later.backend)
            yield Breach(Rule.EFFECTS, what, trace, backends, times, figure)
            return


def _forbidden_reason(
    evidence: Evidence, rule: KindRule, earlier: Attempt, later: Attempt
) -> tuple[str, str] | None:
    """Return the breach of `later` and the rule's limit as texts; None if the attempt is allowed."""
    if rule.repeat == "unsafe":
        return "an unsafe request was sent again", "only when each earlier attempt is known not to have run"
    if not _is_same_group(earlier, later, rule, evidence.figures.cells):
        return "a keyed request was sent outside its group", f"group {rule.group}"
    sent = evidence.sent(later)
    if sent > earlier.first_byte + rule.window + evidence.slack.near(earlier.first_byte, sent):
        return "a keyed request was sent after its window", f"{rule.window / 1e6:.1f} s"
    return None


def _check_rejection(evidence: Evidence, client_attempt: ClientAttempt) -> Iterator[Breach]:
    rule = evidence.figures.kinds.get(client_attempt.kind)
    if rule is None or not client_attempt.answers or client_attempt.answers[0].status not in REJECTIONS:
        return
    if rule.repeat == "safe" or (rule.repeat == "keyed" and rule.group == "all"):
        return
    answer = client_attempt.answers[0]
    evidence.verdict.checked[Rule.EFFECTS] += 1
    for attempt in evidence.attempts.get(client_attempt.trace, []):
        if _may_have_run(attempt, answer.at):
            yield Breach(
                Rule.EFFECTS,
                "refused, though it may have run",
                client_attempt.trace,
                (attempt.backend,),
                (attempt.last_byte, answer.at),
                "a refusal promises that a retry is harmless",
            )
            return


def _may_have_run(earlier: Attempt, at: int) -> bool:
    """Whether no rejection of this attempt had been sent by `at`."""
    return earlier.end is not End.REJECTED or earlier.ended > at


def _is_same_group(one: Attempt, other: Attempt, rule: KindRule, cells: dict[str, int]) -> bool:
    if rule.group == "all":
        return True
    if rule.group == "zone":
        return one.zone == other.zone
    return cells.get(one.backend) is not None and cells.get(one.backend) == cells.get(other.backend)
