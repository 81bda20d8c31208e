"""Every call between our processes and to and from outside, as data: a kind that is not here cannot be sent.

A call is known by its number on its connection, and its answer by the same two: numbers only rise on one
connection and a connection ends with either process, so no answer of an earlier life, of another connection or
that comes twice is taken for this one. A link never sends a call again: whether it may be sent again, and by whom,
is what stands here. No input or output.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum


class RetryRule(Enum):
    """Who may send a call again after a reset or a silence."""

    ANYONE = "anyone, at any time"  # to be told twice is to be told once
    ASKER = "who asked, or another door that it is sent to"  # the body names it, and the answer is the same
    NEVER = "nobody"  # what it takes is taken each time
    UNRUN = "the door, where it has not run"


@dataclass(frozen=True, slots=True)
class Call:
    """One kind. `version`: may be told one way, without an answer."""

    kind: str
    asker: str
    answerer: str
    again: RetryRule
    named: str  # what names it, for whom it comes to twice
    reset: str  # what is known after a reset once the first byte was sent
    silence: str  # what whoever asked does after its time
    version: bool = False
    ends_with_asker: bool = False  # cancelled where who asked has given it up, or its connection has ended


CANCEL = "cancel"  # the word of a link itself that gives up a call; its body is the call's number

NUMBER = "number of the call, connection"  # what each answer between our processes is matched by

ENDS = "; the work ends with who asked"

_NOTHING = "nothing: it is asked anew"
_ANEW = "asks the next one, from what it has"

CALLS = {
    call.kind: call
    for call in (
        # Between stores
        Call(
            "state",
            "config_store",
            "config_store",
            RetryRule.ANYONE,
            "the seat in the report",
            _NOTHING,
            "asks again next round",
        ),
        Call(
            "prepare",
            "config_store",
            "config_store",
            RetryRule.ASKER,
            "the ballot",
            "the promise may stand",
            "goes on with those that answered, else a higher ballot",
        ),
        Call(
            "accept",
            "config_store",
            "config_store",
            RetryRule.ASKER,
            "the ballot, with its one value",
            "it may be accepted",
            "goes on with those that answered, else a higher ballot",
        ),
        Call(
            "bring",
            "config_store",
            "config_store",
            RetryRule.ANYONE,
            "number and digest of the body",
            "it may be held",
            "brings it again with the next round",
        ),
        Call(
            "fetch",
            "config_store",
            "config_store",
            RetryRule.ANYONE,
            "number and digest of the body",
            _NOTHING,
            "asks the next one that has it",
        ),
        Call(
            "decided",
            "config_store",
            "config_store",
            RetryRule.ANYONE,
            "the ballot, with its one value",
            _NOTHING,
            "the next `state` tells it",
            version=True,
        ),
        # The registry at the store
        Call(
            "watch",
            "registry",
            "config_store",
            RetryRule.ANYONE,
            "what the asker has",
            _NOTHING,
            _ANEW,
            ends_with_asker=True,
        ),
        Call(
            "put",
            "registry",
            "config_store",
            RetryRule.ASKER,
            "number and digest of the body",
            "it may be decided",
            "503: the operator sends it again",
        ),
        Call(
            "read",
            "registry",
            "config_store",
            RetryRule.ANYONE,
            "-",
            _NOTHING,
            "503: the operator asks again",
        ),
        # Doors at registries
        Call(
            "news",
            "proxy",
            "registry",
            RetryRule.ANYONE,
            "what the door has, and the registry's life",
            _NOTHING,
            _ANEW,
            ends_with_asker=True,
        ),
        Call(
            "lives",
            "proxy",
            "registry",
            RetryRule.ANYONE,
            "each life's id, state and count",
            "they may be known",
            "nothing: another source has them, and beats come",
        ),
        Call(
            "count",
            "proxy",
            "registry",
            RetryRule.ANYONE,
            "the door and the interval's number; of what it holds, a number that rises",
            "it may be counted, and permits may be granted that come nowhere",
            "tells the next one: counted twice in one total at most",
        ),
        Call(
            "place",
            "proxy",
            "registry",
            RetryRule.NEVER,
            "-",
            "a permit, a repeat and a place may be taken: the place is free once its connection ends",
            "asks another or goes by its own view; the place of a late answer is told as ended",
        ),
        Call(
            "wait",
            "proxy",
            "registry",
            RetryRule.NEVER,
            "-",
            "a place may be taken: free once its connection ends",
            "chooses by itself; the place of a late answer is told as ended",
            ends_with_asker=True,
        ),
        Call(
            "ended",
            "proxy",
            "registry",
            RetryRule.ANYONE,
            "the place's number, which begins elsewhere in each life",
            "the place may count until its time is over",
            "-",
            version=True,
        ),
        # Between registries
        Call(
            "told",
            "registry",
            "registry",
            RetryRule.ANYONE,
            "each life's id, state and count",
            "they may be known",
            "tells it again with the next beat; an end is not acknowledged",
        ),
        Call("all", "registry", "registry", RetryRule.ANYONE, "-", _NOTHING, "asks again 0.5 s later"),
        Call("all_lives", "registry", "registry", RetryRule.ANYONE, "-", _NOTHING, "asks again 0.25 s later"),
        Call(
            "sums",
            "registry",
            "registry",
            RetryRule.ANYONE,
            "the registry and the interval's number",
            "it may be heard",
            "the next one counts",
            version=True,
        ),
        Call(
            "loads",
            "registry",
            "registry",
            RetryRule.ANYONE,
            "the registry; the newest counts, for 1.5 s",
            "it may be heard",
            "the next one counts",
            version=True,
        ),
        Call(
            "lend",
            "registry",
            "registry",
            RetryRule.NEVER,
            "-",
            "permits may be gone there, and come nowhere",
            "goes without: they are lost until they refill, and never doubled",
        ),
    )
}

OUTSIDE = (
    Call(
        "a request",
        "client",
        "proxy",
        RetryRule.UNRUN,
        "X-Irisdeal-Attempt-Id, one for each try",
        "the client's own rules: the door answers one connection's requests in their order",
        "the client's; all work for a client that has left ends, but an attempt that runs once and may have begun",
    ),
    Call(
        "an attempt",
        "proxy",
        "backend",
        RetryRule.UNRUN,
        "X-Irisdeal-Attempt-Id, with X-Irisdeal-Target-Backend the life",
        "it may have run: sent again only where the route is idempotent, and never promised",
        "likewise; the connection is done with, so a late answer meets nobody",
    ),
    Call(
        "POST heartbeat",
        "backend",
        "registry",
        RetryRule.ANYONE,
        "the life's id and `call_count`",
        "it may be known",
        "the backend calls the next door",
    ),
    Call(
        "POST deregister",
        "backend",
        "registry",
        RetryRule.ANYONE,
        "the life's id",
        "it may be known",
        "the backend calls the next door",
    ),
    Call(
        "POST /config/replace",
        "operator",
        "registry",
        RetryRule.ASKER,
        "the version and the body's digest",
        "it may be decided",
        "the operator sends it again, to any door",
    ),
    Call(
        "GET /config/read", "operator", "registry", RetryRule.ANYONE, "-", _NOTHING, "the operator asks again"
    ),
    Call("GET /status", "anyone", "registry", RetryRule.ANYONE, "-", _NOTHING, "-"),
    Call(
        "GET /readiness",
        "platform",
        "proxy",
        RetryRule.ANYONE,
        "-",
        _NOTHING,
        "two misses, and the door is out",
    ),
)


def name_of(peer: str) -> str:
    """Who a peer is, whichever of its connections this is: `proxy 10.1.0.3` of `proxy 10.1.0.3#17`."""
    return peer.partition("#")[0]


def ends_with_asker(kind: str) -> bool:
    """Whether a call of this kind is worked on for who asked alone, and is cancelled with it."""
    call = CALLS.get(kind)
    return call is not None and call.ends_with_asker


def may_send(kind: str, is_one_way: bool) -> str | None:
    """Why this cannot be sent, None where it can."""
    call = CALLS.get(kind)
    if call is None:
        return f"no call {kind!r}"
    return f"{kind!r} wants an answer" if is_one_way and not call.version else None


def table(calls: Iterable[Call], matched: str) -> str:
    """These calls as a table of a page. `matched`: what an answer is matched by."""
    heads = (
        "call",
        "from, to",
        "again by",
        "named by",
        "answer matched by",
        "a reset after the first byte",
        "a silence",
    )
    lines = [f"| {' | '.join(heads)} |", "| --- " * len(heads) + "|"]
    lines += [
        f"| `{call.kind}`{', a version' if call.version else ''} | {call.asker}, {call.answerer} "
        f"| {call.again.value} | {call.named} | {'no answer' if call.version else matched} "
        f"| {call.reset} | {call.silence}{ENDS if call.ends_with_asker else ''} |"
        for call in calls
    ]
    return "\n".join(lines) + "\n"


def page() -> str:
    """The tables in docs/design/control.md."""
    return (
        table(CALLS.values(), NUMBER)
        + "\nFrom and to outside:\n\n"
        + table(OUTSIDE, "order on its connection; to a backend its id as well")
    )


if __name__ == "__main__":
    print(page(), end="")
