"""The specification of every call between our processes; a call that is not specified here cannot be sent.

A call is identified by its request id on its connection, and so is its answer. Request ids only rise on one
connection, and a connection ends with either process: an answer to an earlier incarnation, one over another
connection or a second one is never taken for the answer to this call. A client sends each call once; whether it may
be sent again, and by whom, is the call's `RetryRule`. This module does no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetryRule(Enum):
    """Who may send a call again after a connection reset or a time-out. The values are the page's text."""

    ANYONE = "anyone, at any time"  # idempotent: the second one changes nothing
    CALLER = (
        "the caller, or another registry that it is sent to"  # the body identifies it; the answer is the same
    )
    NEVER = "nobody"  # each one takes something
    PROXY_IF_NOT_RUN = "the proxy, where it has not run"


@dataclass(frozen=True, slots=True)
class CallSpec:
    """One call: who makes it, who answers it, and what holds where its answer does not come."""

    kind: str  # as on the wire: fixed, since versions stand side by side in a rolling upgrade
    caller: str
    callee: str
    retry: RetryRule
    identified_by: str  # by what the callee recognizes a second one
    after_reset: str  # what is known after a reset once the first byte was sent
    after_timeout: str  # what the caller does once its time is over
    is_one_way: bool = False  # may be sent as a notification, without an answer
    ends_with_caller: bool = False  # cancelled once the caller gives it up, or its connection has ended


CANCEL = "cancel"  # the notification of a client that gives up a call; its body is the call's request id

_NOTHING = "nothing: it is sent anew"
_NEXT = "calls the next one, from its own state"
_BY_BALLOT = "goes on with those that answered, else with a higher ballot"
_BY_BODY = "number and digest of the body"
_BY_INCARNATION = "each incarnation's id, state and count"


_STORE_CALLS = (
    CallSpec(
        kind="state",  # report on the members, the ballots and the versions
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="the acceptor's identity in the report",
        after_reset=_NOTHING,
        after_timeout="calls again in the next round",
    ),
    CallSpec(
        kind="prepare",  # phase 1 of a ballot
        caller="config_store",
        callee="config_store",
        retry=RetryRule.CALLER,
        identified_by="the ballot",
        after_reset="the ballot may have been promised",
        after_timeout=_BY_BALLOT,
    ),
    CallSpec(
        kind="accept",  # phase 2 of a ballot
        caller="config_store",
        callee="config_store",
        retry=RetryRule.CALLER,
        identified_by="the ballot, with its one value",
        after_reset="the value may have been accepted",
        after_timeout=_BY_BALLOT,
    ),
    CallSpec(
        kind="bring",  # push a chunk of a version
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by=_BY_BODY,
        after_reset="it may have been stored",
        after_timeout="pushes it again in the next round",
    ),
    CallSpec(
        kind="fetch",  # ask for a chunk of a version
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by=_BY_BODY,
        after_reset=_NOTHING,
        after_timeout="calls the next one that has it",
    ),
    CallSpec(
        kind="decided",  # a value was committed
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="the ballot, with its one value",
        after_reset=_NOTHING,
        after_timeout="the next `state` reports it",
        is_one_way=True,
    ),
    CallSpec(
        kind="watch",  # long poll for what is committed
        caller="registry",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="the caller's sync state",
        after_reset=_NOTHING,
        after_timeout=_NEXT,
        ends_with_caller=True,
    ),
    CallSpec(
        kind="put",  # have a version committed
        caller="registry",
        callee="config_store",
        retry=RetryRule.CALLER,
        identified_by=_BY_BODY,
        after_reset="it may have been committed",
        after_timeout="503: the operator sends it again",
    ),
    CallSpec(
        kind="read",  # linearizable read
        caller="registry",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset=_NOTHING,
        after_timeout="503: the operator sends it again",
    ),
)

_REGISTRY_CALLS = (
    CallSpec(
        kind="news",  # long poll for backends and versions
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the proxy's sync state, and the registry's incarnation",
        after_reset=_NOTHING,
        after_timeout=_NEXT,
        ends_with_caller=True,
    ),
    CallSpec(
        kind="lives",  # incarnations that the registry may have forgotten
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by=_BY_INCARNATION,
        after_reset="they may have been received",
        after_timeout="nothing: another registry has them, and heartbeats follow",
    ),
    CallSpec(
        kind="count",  # usage in an interval
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the proxy and the interval's number; a rising number for the permits that it has reserved",
        after_reset="it may have been counted, and permits may have been granted that reach nobody",
        after_timeout="reports to the next one: counted twice in one total at most",
    ),
    CallSpec(
        kind="place",  # reserve a slot at a backend
        caller="proxy",
        callee="registry",
        retry=RetryRule.NEVER,
        identified_by="-",
        after_reset="a permit, a retry and a slot may have been taken: the slot is free once its connection ends",
        after_timeout="calls another or goes by its own view; the slot of a late answer is released",
    ),
    CallSpec(
        kind="wait",  # likewise, queued until one is free
        caller="proxy",
        callee="registry",
        retry=RetryRule.NEVER,
        identified_by="-",
        after_reset="a slot may have been taken: free once its connection ends",
        after_timeout="chooses by itself; the slot of a late answer is released",
        ends_with_caller=True,
    ),
    CallSpec(
        kind="ended",  # release a slot
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the reservation's number, which starts elsewhere in each incarnation",
        after_reset="the slot may count until its time is over",
        after_timeout="-",
        is_one_way=True,
    ),
    CallSpec(
        kind="told",  # replicate incarnations
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by=_BY_INCARNATION,
        after_reset="they may have been received",
        after_timeout="sends it again with the next heartbeat; the end of an incarnation is not acknowledged",
    ),
    CallSpec(
        kind="all",  # list the backends; of the version before
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset=_NOTHING,
        after_timeout="calls again 0.5 s later",
    ),
    CallSpec(
        kind="all_lives",  # list the incarnations
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset=_NOTHING,
        after_timeout="calls again 0.25 s later",
    ),
    CallSpec(
        kind="sums",  # usage in an interval, of all proxies
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the registry and the interval's number",
        after_reset="it may have been received",
        after_timeout="the next one counts",
        is_one_way=True,
    ),
    CallSpec(
        kind="loads",  # loads of the backends
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the registry; the newest counts, for 1.5 s",
        after_reset="it may have been received",
        after_timeout="the next one counts",
        is_one_way=True,
    ),
    CallSpec(
        kind="lend",  # borrow permits
        caller="registry",
        callee="registry",
        retry=RetryRule.NEVER,
        identified_by="-",
        after_reset="permits may be gone there, and reach nobody",
        after_timeout="goes without: they are lost until they refill, and never doubled",
    ),
)

CALLS: dict[str, CallSpec] = {call.kind: call for call in (*_STORE_CALLS, *_REGISTRY_CALLS)}


def process_name(peer: str) -> str:
    """Return the process of a peer, over whichever connection: `proxy 10.1.0.3` of `proxy 10.1.0.3#17`."""
    return peer.partition("#")[0]


def ends_with_caller(kind: str) -> bool:
    """Return whether a call of this kind is worked on for its caller alone, and is cancelled with it."""
    call = CALLS.get(kind)
    return call is not None and call.ends_with_caller


def invalid_call_reason(kind: str, is_one_way: bool) -> str | None:
    """Return why a call of this kind cannot be sent, None where it can. A peer gets the text as an error."""
    call = CALLS.get(kind)
    if call is None:
        return f"no call {kind!r}"
    return f"{kind!r} wants an answer" if is_one_way and not call.is_one_way else None
