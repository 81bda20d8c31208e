"""The tables of calls in docs/design/control.md, generated from the specification of the calls.

Printed by `python -m irisdeal.rpc.call_tables`.
"""

from __future__ import annotations

from collections.abc import Iterable

from irisdeal.rpc.calls import CALLS, CallSpec, RetryRule

COLUMNS = (
    "call",
    "from, to",
    "retried by",
    "identified by",
    "answer matched by",
    "a reset after the first byte",
    "a time-out",
)
BY_REQUEST_ID = "request id, connection"  # what each answer between our processes is matched by
BY_ORDER = "order on its connection; to a backend its id as well"  # what an answer of HTTP/1.1 is matched by

OUTSIDE_CALLS = (
    CallSpec(
        kind="a request",
        caller="client",
        callee="proxy",
        retry=RetryRule.PROXY_IF_NOT_RUN,
        identified_by="X-Irisdeal-Attempt-Id, one for each attempt",
        after_reset="the client's own rules: the proxy answers one connection's requests in their order",
        after_timeout="the client's; all work for a client that has left ends, "
        "but an attempt that runs once and may have begun",
    ),
    CallSpec(
        kind="an attempt",
        caller="proxy",
        callee="backend",
        retry=RetryRule.PROXY_IF_NOT_RUN,
        identified_by="X-Irisdeal-Attempt-Id, with X-Irisdeal-Target-Backend the incarnation",
        after_reset="it may have run: sent again only where the route is idempotent, and never reported as not run",
        after_timeout="likewise; the connection is closed, so that a late answer reaches nobody",
    ),
    CallSpec(
        kind="POST heartbeat",
        caller="backend",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the incarnation's id and `call_count`",
        after_reset="it may have been received",
        after_timeout="the backend calls the next registry",
    ),
    CallSpec(
        kind="POST deregister",
        caller="backend",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the incarnation's id",
        after_reset="it may have been received",
        after_timeout="the backend calls the next registry",
    ),
    CallSpec(
        kind="POST /config/replace",
        caller="operator",
        callee="registry",
        retry=RetryRule.CALLER,
        identified_by="the version and the body's digest",
        after_reset="it may have been committed",
        after_timeout="the operator sends it again, to any registry",
    ),
    CallSpec(
        kind="GET /config/read",
        caller="operator",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset="nothing: it is sent anew",
        after_timeout="the operator sends it again",
    ),
    CallSpec(
        kind="GET /status",
        caller="anyone",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset="nothing: it is sent anew",
        after_timeout="-",
    ),
    CallSpec(
        kind="GET /readiness",
        caller="platform",
        callee="proxy",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset="nothing: it is sent anew",
        after_timeout="after two misses the proxy is taken out",
    ),
)


def row(call: CallSpec, matched_by: str) -> str:
    """Return one call as a line of a Markdown table. `matched_by`: what its answer is matched by."""
    cells = (
        f"`{call.kind}`{', a notification' if call.is_one_way else ''}",
        f"{call.caller}, {call.callee}",
        call.retry.value,
        call.identified_by,
        "no answer" if call.is_one_way else matched_by,
        call.after_reset,
        f"{call.after_timeout}{'; cancelled with its caller' if call.ends_with_caller else ''}",
    )
    return f"| {' | '.join(cells)} |"


def table(calls: Iterable[CallSpec], matched_by: str) -> str:
    """Return these calls as a Markdown table. `matched_by`: what an answer is matched by."""
    lines = [f"| {' | '.join(COLUMNS)} |", "| --- " * len(COLUMNS) + "|"]
    lines += [row(call, matched_by) for call in calls]
    return "\n".join(lines) + "\n"


def page() -> str:
    """Return the tables of docs/design/control.md: calls between our processes, then from and to outside."""
    between_processes = table(CALLS.values(), BY_REQUEST_ID)
    return between_processes + "\nFrom and to outside:\n\n" + table(OUTSIDE_CALLS, BY_ORDER)


if __name__ == "__main__":
    print(page(), end="")
