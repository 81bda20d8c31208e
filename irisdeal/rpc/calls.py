"""Specification of every call between the gateway's processes; a call that is not listed here cannot be sent.

A call and its answer are identified by the request id on their connection. Request ids increase on each connection,
and a connection ends with either process, so an answer to an earlier incarnation, from another connection or
received twice is never matched to this call. A client sends each call once; whether it may be sent again, and by
which process, is the call's `RetryRule`. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RetryRule(Enum):
    """Which process may retry a call after a connection reset or a timeout. The values are printed in the docs."""

    ANYONE = "anyone, at any time"  # idempotent: a repetition changes nothing
    # The body identifies the call, so a repetition gets the same answer.
    CALLER = "the caller, or another registry that it is sent to"
    NEVER = "nobody"  # not idempotent: each call consumes something, such as a permit or a slot
    PROXY_IF_NOT_RUN = "the proxy, where it has not run"


@dataclass(frozen=True, slots=True)
class CallSpec:
    """One call: its caller and callee, and what is known when no answer arrives."""

    kind: str  # the name on the wire: fixed, because versions run side by side during a rolling upgrade
    caller: str
    callee: str
    retry: RetryRule
    identified_by: str  # how the callee recognizes a repeated call
    after_reset: str  # what may have happened if the connection is reset after the first byte was sent
    after_timeout: str  # what the caller does after a timeout
    is_one_way: bool = False  # may be sent as a notification, which is not answered
    ends_with_caller: bool = False  # cancelled when the caller abandons it or its connection closes


CANCEL = "cancel"  # notification that a client has abandoned a call; the body is the request id of that call

# Texts of `after_reset`, `after_timeout` and `identified_by` that several calls share
_NO_EFFECT = "no effect: the call is sent again"
_CALL_NEXT = "calls the next one with its own sync state"
_HIGHER_BALLOT = "continues if a quorum answered, otherwise retries with a higher ballot"
_BY_BODY = "version number and digest of the body"
_BY_INCARNATION = "each incarnation's id, state and heartbeat count"


_STORE_CALLS = (
    CallSpec(
        kind="state",  # report the members, ballots and versions
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="the acceptor's identity in the report",
        after_reset=_NO_EFFECT,
        after_timeout="calls again in the next round",
    ),
    CallSpec(
        kind="prepare",  # phase 1 of a ballot
        caller="config_store",
        callee="config_store",
        retry=RetryRule.CALLER,
        identified_by="the ballot",
        after_reset="the ballot may have been promised",
        after_timeout=_HIGHER_BALLOT,
    ),
    CallSpec(
        kind="accept",  # phase 2 of a ballot
        caller="config_store",
        callee="config_store",
        retry=RetryRule.CALLER,
        identified_by="the ballot, which has exactly one value",
        after_reset="the value may have been accepted",
        after_timeout=_HIGHER_BALLOT,
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
        kind="fetch",  # request a chunk of a version
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by=_BY_BODY,
        after_reset=_NO_EFFECT,
        after_timeout="calls the next store that has it",
    ),
    CallSpec(
        kind="decided",  # announce a committed value
        caller="config_store",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="the ballot, which has exactly one value",
        after_reset=_NO_EFFECT,
        after_timeout="the next `state` call reports the value",
        is_one_way=True,
    ),
    CallSpec(
        kind="watch",  # long poll for committed values
        caller="registry",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="the caller's sync state",
        after_reset=_NO_EFFECT,
        after_timeout=_CALL_NEXT,
        ends_with_caller=True,
    ),
    CallSpec(
        kind="put",  # commit a version
        caller="registry",
        callee="config_store",
        retry=RetryRule.CALLER,
        identified_by=_BY_BODY,
        after_reset="it may have been committed",
        after_timeout="answers 503; the operator retries",
    ),
    CallSpec(
        kind="read",  # linearizable read
        caller="registry",
        callee="config_store",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset=_NO_EFFECT,
        after_timeout="answers 503; the operator retries",
    ),
)

_REGISTRY_CALLS = (
    CallSpec(
        kind="news",  # long poll for backends and configuration versions
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the proxy's sync state, and the registry's incarnation",
        after_reset=_NO_EFFECT,
        after_timeout=_CALL_NEXT,
        ends_with_caller=True,
    ),
    CallSpec(
        kind="lives",  # report incarnations that the registry may have lost
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by=_BY_INCARNATION,
        after_reset="they may have been received",
        after_timeout="nothing: another registry has them, and heartbeats report them again",
    ),
    CallSpec(
        kind="count",  # report the usage of an interval
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the proxy and the interval number; an increasing number for its prefetched permits",
        after_reset="it may have been counted, and permits may have been granted and lost",
        after_timeout="reports to the next registry: counted twice in at most one total",
    ),
    CallSpec(
        kind="place",  # reserve a slot at a backend
        caller="proxy",
        callee="registry",
        retry=RetryRule.NEVER,
        identified_by="-",
        after_reset="a permit, a retry and a slot may have been taken; the slot is released with the connection",
        after_timeout="calls another registry or chooses a backend itself; the slot of a late answer is released",
    ),
    CallSpec(
        kind="wait",  # reserve a slot, queued until one is free
        caller="proxy",
        callee="registry",
        retry=RetryRule.NEVER,
        identified_by="-",
        after_reset="a slot may have been taken; it is released with the connection",
        after_timeout="chooses a backend itself; the slot of a late answer is released",
        ends_with_caller=True,
    ),
    CallSpec(
        kind="ended",  # release a slot
        caller="proxy",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the reservation's number; each incarnation starts at a different number",
        after_reset="the slot may stay reserved until the reservation expires",
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
        after_timeout="sends it again with the next heartbeat; a drain or an end is not acknowledged",
    ),
    CallSpec(
        kind="all",  # list the backends; sent by registries of the previous version
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset=_NO_EFFECT,
        after_timeout="calls again 0.5 s later",
    ),
    CallSpec(
        kind="all_lives",  # list the incarnations
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="-",
        after_reset=_NO_EFFECT,
        after_timeout="calls again 0.25 s later",
    ),
    CallSpec(
        kind="sums",  # share the usage of all its proxies in an interval
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the registry and the interval number",
        after_reset="it may have been received",
        after_timeout="nothing: the next report replaces it",
        is_one_way=True,
    ),
    CallSpec(
        kind="loads",  # share the loads of the backends
        caller="registry",
        callee="registry",
        retry=RetryRule.ANYONE,
        identified_by="the registry; its newest report is valid for 1.5 s",
        after_reset="it may have been received",
        after_timeout="nothing: the next report replaces it",
        is_one_way=True,
    ),
    CallSpec(
        kind="lend",  # borrow permits
        caller="registry",
        callee="registry",
        retry=RetryRule.NEVER,
        identified_by="-",
        after_reset="permits may have been deducted at the lender and lost",
        after_timeout="continues without a loan: lost permits refill at the lender and are never issued twice",
    ),
)

CALLS: dict[str, CallSpec] = {call.kind: call for call in (*_STORE_CALLS, *_REGISTRY_CALLS)}


def process_name(peer: str) -> str:
    """Return the process name of a peer without its connection number: `proxy 10.1.0.3` of `proxy 10.1.0.3#17`."""
    return peer.partition("#")[0]


def ends_with_caller(kind: str) -> bool:
    """Return whether a call of this kind is cancelled when its caller abandons it or disconnects."""
    call = CALLS.get(kind)
    return call is not None and call.ends_with_caller


def invalid_call_reason(kind: str, is_one_way: bool) -> str | None:
    """Return why a call of this kind cannot be sent, or None if it can. The text is sent to peers as an error."""
    call = CALLS.get(kind)
    if call is None:
        return f"no call {kind!r}"
    return f"{kind!r} wants an answer" if is_one_way and not call.is_one_way else None
