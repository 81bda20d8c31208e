"""Numbered log events. The page docs/operate/events.md is generated from `CATALOGUE`."""

from __future__ import annotations

import logging
from enum import IntEnum

log = logging.getLogger("irisdeal")

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR


class Event(IntEnum):
    """All log events. The number of an event is stable and appears in the log line, for example as `E416`.

    Hundreds: 1 process, 2 configuration store, 3 registry, 4 proxy, 5 calls between processes, 9 invariants.
    """

    STARTED = 100  # E100
    STOP_REQUESTED = 101  # E101
    STOPPED = 102  # E102
    SETTINGS_RELOADED = 103  # E103
    SETTINGS_INVALID = 104  # E104
    TASK_FAILED = 105  # E105
    BODY_REJECTED = 106  # E106
    ADDRESS_UNAVAILABLE = 107  # E107
    ADDRESS_WAIT_ENDED = 108  # E108
    PROCESS_FAILED = 109  # E109
    MEMORY_HIGH = 110  # E110
    VERSION_STORED = 200  # E200
    VERSION_REJECTED = 201  # E201
    VERSION_NOT_REPLICATED = 202  # E202
    DISK_WRITE_FAILED = 203  # E203
    FILE_DAMAGED = 204  # E204
    DECIDED_VERSION_STORED = 205  # E205
    STARTED_AS_LEARNER = 206  # E206
    BALLOT_RETRIED = 208  # E208
    VALUE_DECIDED = 209  # E209
    ACCEPTOR_CAUGHT_UP = 210  # E210
    DISK_IDENTITY_ASSIGNED = 211  # E211
    ACCEPTOR_STATE_DAMAGED = 212  # E212
    REQUEST_WITHOUT_CONTACT = 213  # E213
    PROCESS_STALLED = 214  # E214
    MEMBERSHIP_CHANGE_PROPOSED = 215  # E215
    PUT_BACKLOG_FULL = 216  # E216
    MEMBERSHIP_JOINT = 220  # E220
    MEMBERSHIP_CHANGE_COMPLETED = 221  # E221
    MEMBER_UNRESPONSIVE = 222  # E222
    LEARNER_READY = 223  # E223
    QUORUM_CONTACT_LOST = 224  # E224
    QUORUM_CONTACT_REGAINED = 225  # E225
    QUORUM_UNREACHABLE = 226  # E226
    MEMBER_HANDED_OVER = 227  # E227
    MEMBER_LEFT_EARLY = 228  # E228
    MEMBERSHIP_ADOPTED = 229  # E229
    STORE_CALLS_UNANSWERED = 230  # E230
    ACCEPTED_VALUE_RECOVERED = 240  # E240
    BACKEND_ADDED = 300  # E300
    BACKEND_DRAINING = 301  # E301
    BACKEND_GONE = 302  # E302
    BACKEND_UNRESPONSIVE = 303  # E303
    DRAIN_NOT_ACKNOWLEDGED = 304  # E304
    REMOTE_STORE_FOLLOWED = 310  # E310
    LOCAL_STORE_FOLLOWED = 311  # E311
    STORE_CONTACT_LOST = 312  # E312
    STORE_CONTACT_REGAINED = 313  # E313
    STORE_STATE_STALE = 314  # E314
    CORE_MEMBERSHIP_CHANGED = 315  # E315
    BACKENDS_LEARNED = 316  # E316
    BACKENDS_LEARNED_PARTIALLY = 317  # E317
    PERMITS_SUSPENDED = 320  # E320
    PERMITS_RESUMED = 321  # E321
    ISSUER_LIST_STORED = 322  # E322
    REGISTRY_CALLS_UNANSWERED = 323  # E323
    CONFIGURATION_APPLIED = 400  # E400
    READY = 401  # E401
    NOT_READY = 402  # E402
    SOURCE_UNRESPONSIVE = 403  # E403
    RESPONSE_MISMATCH = 404  # E404
    BACKEND_EJECTED = 405  # E405
    CONFIGURATION_UNREADABLE = 406  # E406
    RESPONSES_UNFINISHED = 407  # E407
    SOURCE_WITHOUT_CONTACT = 410  # E410
    CONTACT_LOST = 411  # E411
    CONTACT_REGAINED = 412  # E412
    SOURCES_CHANGED = 413  # E413
    PERMITS_UNAVAILABLE = 414  # E414
    PERMITS_AVAILABLE = 415  # E415
    DRAIN_SUMMARY = 416  # E416
    FRAME_INVALID = 500  # E500
    UNEXPECTED_ANSWER = 510  # E510
    DUPLICATE_CALL = 511  # E511
    DUPLICATE_RESPONSE = 512  # E512
    INVARIANT_VIOLATED = 900  # E900


# Level and text of each event, as they appear in the log.
CATALOGUE: dict[Event, tuple[int, str]] = {
    Event.STARTED: (INFO, "started"),
    Event.STOP_REQUESTED: (INFO, "stop requested by a signal"),
    Event.STOPPED: (INFO, "stopped"),
    Event.SETTINGS_RELOADED: (INFO, "settings reloaded"),
    Event.SETTINGS_INVALID: (ERROR, "settings are invalid"),
    Event.TASK_FAILED: (ERROR, "a task failed"),
    Event.BODY_REJECTED: (
        WARNING,
        "a request with a long body was rejected while it arrived: the memory for bodies is in use",
    ),
    Event.ADDRESS_UNAVAILABLE: (
        WARNING,
        "an address is in use or not assigned to this machine: listening is tried again",
    ),
    Event.ADDRESS_WAIT_ENDED: (ERROR, "an address did not become available in time: the process ends"),
    Event.PROCESS_FAILED: (ERROR, "an unexpected exception ends the process"),
    Event.MEMORY_HIGH: (WARNING, "the process is near its memory limit, at which the platform ends it"),
    Event.VERSION_STORED: (INFO, "a configuration version was stored and synced to disk"),
    Event.VERSION_REJECTED: (WARNING, "a configuration was rejected as invalid"),
    Event.VERSION_NOT_REPLICATED: (WARNING, "a configuration version did not reach a majority in time"),
    Event.DISK_WRITE_FAILED: (WARNING, "a write to the disk failed"),
    Event.FILE_DAMAGED: (WARNING, "a file on disk is truncated or unreadable and is skipped"),
    Event.DECIDED_VERSION_STORED: (INFO, "the committed value is stored on this machine"),
    Event.STARTED_AS_LEARNER: (
        INFO,
        "started without state as a learner, which does not count toward a quorum",
    ),
    Event.BALLOT_RETRIED: (INFO, "a ballot failed and is retried"),
    Event.VALUE_DECIDED: (INFO, "a value was committed"),
    Event.ACCEPTOR_CAUGHT_UP: (INFO, "the acceptor has caught up with the values that its peers accepted"),
    Event.DISK_IDENTITY_ASSIGNED: (INFO, "an empty disk was assigned a new identity"),
    Event.ACCEPTOR_STATE_DAMAGED: (
        ERROR,
        "the acceptor's state on disk is damaged: the disk is treated as lost and gets a new identity",
    ),
    Event.REQUEST_WITHOUT_CONTACT: (WARNING, "a put or a read was received without contact with a quorum"),
    Event.PROCESS_STALLED: (
        WARNING,
        "the process was stalled: contact with its peers must be confirmed again",
    ),
    Event.MEMBERSHIP_CHANGE_PROPOSED: (INFO, "a membership change is proposed"),
    Event.PUT_BACKLOG_FULL: (WARNING, "the queue of puts is full: a put is forwarded to another store"),
    Event.MEMBERSHIP_JOINT: (
        INFO,
        "a membership change is committed: decisions need a quorum of the old and of the new list",
    ),
    Event.MEMBERSHIP_CHANGE_COMPLETED: (
        INFO,
        "a membership change is complete: only the new list is in force",
    ),
    Event.MEMBER_UNRESPONSIVE: (WARNING, "a member has stopped answering"),
    Event.LEARNER_READY: (INFO, "a learner has caught up and is ready to vote"),
    Event.QUORUM_CONTACT_LOST: (
        WARNING,
        "contact with a quorum is lost: puts and reads cannot be answered",
    ),
    Event.QUORUM_CONTACT_REGAINED: (INFO, "contact with a quorum is restored"),
    Event.QUORUM_UNREACHABLE: (
        ERROR,
        "too many disks are lost for a quorum: `irisdeal store adopt` starts a new list of members",
    ),
    Event.MEMBER_HANDED_OVER: (INFO, "a leaving member has handed over its state"),
    Event.MEMBER_LEFT_EARLY: (
        WARNING,
        "a member leaves before enough peers are confirmed to store its state",
    ),
    Event.MEMBERSHIP_ADOPTED: (
        WARNING,
        "an operator has started a new list of members: state stored only on other disks is discarded",
    ),
    Event.STORE_CALLS_UNANSWERED: (WARNING, "calls from other processes were unanswered at shutdown"),
    Event.ACCEPTED_VALUE_RECOVERED: (
        WARNING,
        "an accepted value that may not be committed is resolved by a new ballot",
    ),
    Event.BACKEND_ADDED: (INFO, "a backend was added"),
    Event.BACKEND_DRAINING: (INFO, "a backend is draining"),
    Event.BACKEND_GONE: (INFO, "a backend is gone"),
    Event.BACKEND_UNRESPONSIVE: (WARNING, "heartbeats of a backend have stopped"),
    Event.DRAIN_NOT_ACKNOWLEDGED: (
        WARNING,
        "a drain or an end was not recorded by a majority of the core in time",
    ),
    Event.REMOTE_STORE_FOLLOWED: (
        WARNING,
        "the local configuration store does not answer or has no quorum: the store of another machine is followed",
    ),
    Event.LOCAL_STORE_FOLLOWED: (INFO, "the local configuration store is followed again"),
    Event.STORE_CONTACT_LOST: (
        WARNING,
        "no configuration store is in contact with a quorum: proxies are notified, puts are answered with 503",
    ),
    Event.STORE_CONTACT_REGAINED: (INFO, "a configuration store in contact with a quorum is followed"),
    Event.STORE_STATE_STALE: (
        ERROR,
        "a configuration store in contact with a quorum reports older state than was committed: it is not followed",
    ),
    Event.CORE_MEMBERSHIP_CHANGED: (
        INFO,
        "the membership of the core has changed: the state of machines that left is discarded",
    ),
    Event.BACKENDS_LEARNED: (INFO, "the backend table is synchronized with enough of the core"),
    Event.BACKENDS_LEARNED_PARTIALLY: (
        WARNING,
        "too few registries answered the synchronization of the backend table: the table may be incomplete",
    ),
    Event.PERMITS_SUSPENDED: (
        WARNING,
        "issuing of permits is suspended: no contact with a quorum, or not a member of the core for long enough",
    ),
    Event.PERMITS_RESUMED: (INFO, "issuing of permits is resumed"),
    Event.ISSUER_LIST_STORED: (INFO, "the core membership under which permits are issued is stored on disk"),
    Event.REGISTRY_CALLS_UNANSWERED: (
        WARNING,
        "requests over HTTP or calls from other processes were unanswered at shutdown",
    ),
    Event.CONFIGURATION_APPLIED: (INFO, "a configuration version was applied"),
    Event.READY: (INFO, "ready"),
    Event.NOT_READY: (INFO, "not ready"),
    Event.SOURCE_UNRESPONSIVE: (WARNING, "a registry does not answer: the proxy switches to another"),
    Event.RESPONSE_MISMATCH: (WARNING, "a backend's response does not belong to the request"),
    Event.BACKEND_EJECTED: (WARNING, "a backend is temporarily ejected"),
    Event.CONFIGURATION_UNREADABLE: (ERROR, "a received configuration cannot be parsed"),
    Event.RESPONSES_UNFINISHED: (
        WARNING,
        "requests were unanswered, or bytes of responses unsent, at shutdown",
    ),
    Event.SOURCE_WITHOUT_CONTACT: (
        WARNING,
        "a registry has no contact with a quorum: the proxy switches to another",
    ),
    Event.CONTACT_LOST: (
        WARNING,
        "no registry is in contact with a quorum: the last state received stays in force",
    ),
    Event.CONTACT_REGAINED: (INFO, "a registry is in contact with a quorum again"),
    Event.SOURCES_CHANGED: (
        INFO,
        "the list of registries has changed: those that left the core are no longer used",
    ),
    Event.PERMITS_UNAVAILABLE: (
        WARNING,
        "no registry grants permits: tenants with a rate limit can use only prefetched permits",
    ),
    Event.PERMITS_AVAILABLE: (INFO, "a registry grants permits again"),
    Event.DRAIN_SUMMARY: (INFO, "numbers of requests since the stop was requested, by outcome"),
    Event.FRAME_INVALID: (WARNING, "a peer sent an invalid frame"),
    Event.UNEXPECTED_ANSWER: (WARNING, "a peer answered a call that was not made: the connection is closed"),
    Event.DUPLICATE_CALL: (WARNING, "a call was received twice: it is not run, and the connection is closed"),
    Event.DUPLICATE_RESPONSE: (WARNING, "a backend sent more than one response; its connection is closed"),
    Event.INVARIANT_VIOLATED: (ERROR, "an invariant is violated"),
}


def log_event(event: Event, **fields: object) -> None:
    """Log `event` at its level: number, text, then the fields as `key=value`."""
    level, text = CATALOGUE[event]
    if log.isEnabledFor(level):
        log.log(level, "E%d %s%s", event, text, "".join(f" {key}={value}" for key, value in fields.items()))


def check_invariant(is_true: bool, rule: str, **fields: object) -> bool:
    """Return `is_true`; if it is false, log `Event.INVARIANT_VIOLATED` with the rule and the fields."""
    if not is_true:
        log_event(Event.INVARIANT_VIOLATED, rule=rule, **fields)
    return is_true
