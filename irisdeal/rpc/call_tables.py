"""Generates the tables of calls in docs/design/control.md: `python -m irisdeal.rpc.call_tables`."""

from __future__ import annotations

from collections.abc import Iterable

from irisdeal.rpc.calls import CALLS, CallSpec, RetryRule

COLUMNS = (
    "call",
    "from, to",
    "retried by",
    "identified by",
    "answer matched by",
    "after a reset that follows the first byte",
    "after a timeout",
)
# How an answer is matched to its call
BY_REQUEST_ID = "request id, connection"  # between processes of the gateway
BY_ORDER = "order on the connection; with a backend also the attempt id"  # over HTTP/1.1

OUTSIDE_CALLS = (
    CallSpec(
        kind="a request",
        caller="client",
        callee="proxy",
        retry=RetryRule.PROXY_IF_NOT_RUN,
        identified_by="X-Irisdeal-Attempt-Id, a different one for each attempt",
        after_reset="left to the client: the proxy answers the requests of a connection in order",
        after_timeout="left to the client; the work for a client that disconnected is cancelled, "
        "except an attempt that must run only once and may have started",
    ),
    CallSpec(
        kind="an attempt",
        caller="proxy",
        callee="backend",
        retry=RetryRule.PROXY_IF_NOT_RUN,
        identified_by="X-Irisdeal-Attempt-Id, with X-Irisdeal-Target-Backend the incarnation",
        after_reset="it may have run: retried only if the route is idempotent, and never reported as not run",
        after_timeout="the same; the connection is closed, so a late answer is discarded",
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
        after_timeout="the operator retries, at any registry",
    ),
    CallSpec(
        kind="GET /config/read",
        caller="operator",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset="no effect: the call is sent again",
        after_timeout="the operator retries",
    ),
    CallSpec(
        kind="GET /status",
        caller="anyone",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset="no effect: the call is sent again",
        after_timeout="-",
    ),
    CallSpec(
        kind="GET /readiness",
        caller="platform",
        callee="proxy",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset="no effect: the call is sent again",
        after_timeout="after two failures the proxy is removed from service",
    ),
)


def row(call: CallSpec, matched_by: str) -> str:
    """Return one call as a row of a Markdown table. `matched_by`: how its answer is matched to it."""
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
    """Return these calls as a Markdown table. `matched_by`: how an answer is matched to its call."""
    lines = [f"| {' | '.join(COLUMNS)} |", "| --- " * len(COLUMNS) + "|"]
    lines += [row(call, matched_by) for call in calls]
    return "\n".join(lines) + "\n"


def page() -> str:
    """Return the tables of docs/design/control.md: internal calls, then calls from and to outside."""
    between_processes = table(CALLS.values(), BY_REQUEST_ID)
    return between_processes + "\nFrom and to outside:\n\n" + table(OUTSIDE_CALLS, BY_ORDER)


if __name__ == "__main__":
    print(page(), end="")
