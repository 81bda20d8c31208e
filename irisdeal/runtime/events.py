"""Numbered log events. The page docs/operate/events.md is generated from `CATALOGUE`."""

from __future__ import annotations

import logging
from enum import IntEnum

log = logging.getLogger("irisdeal")

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR


class Event(IntEnum):
    """Every event that a process logs. The number is stable and appears in the line as `E416`.

    Hundreds: 1 process, 2 configuration store, 3 registry, 4 proxy, 5 calls between processes, 9 invariants.
    """

    STARTED = 100
    STOP_REQUESTED = 101
    STOPPED = 102
    SETTINGS_RELOADED = 103
    SETTINGS_INVALID = 104
    TASK_FAILED = 105
    VERSION_STORED = 200
    VERSION_REJECTED = 201
    VERSION_NOT_REPLICATED = 202
    DISK_WRITE_FAILED = 203
    FILE_DAMAGED = 204
    DECIDED_VERSION_STORED = 205
    STARTED_AS_LEARNER = 206
    BALLOT_RETRIED = 208
    VALUE_DECIDED = 209
    ACCEPTOR_CAUGHT_UP = 210
    DISK_IDENTITY_ASSIGNED = 211
    ACCEPTOR_STATE_DAMAGED = 212
    REQUEST_WITHOUT_CONTACT = 213
    PROCESS_STALLED = 214
    MEMBERSHIP_CHANGE_PROPOSED = 215
    PUT_BACKLOG_FULL = 216
    MEMBERSHIP_JOINT = 220
    MEMBERSHIP_SETTLED = 221
    MEMBER_SILENT = 222
    LEARNER_READY = 223
    QUORUM_CONTACT_LOST = 224
    QUORUM_CONTACT_REGAINED = 225
    QUORUM_UNREACHABLE = 226
    MEMBER_HANDED_OVER = 227
    MEMBER_LEFT_EARLY = 228
    MEMBERSHIP_ADOPTED = 229
    STORE_CALLS_CUT = 230
    ACCEPTED_VALUE_RECOVERED = 240
    BACKEND_ADDED = 300
    BACKEND_DRAINING = 301
    BACKEND_GONE = 302
    BACKEND_SILENT = 303
    DRAIN_NOT_ACKNOWLEDGED = 304
    REMOTE_STORE_FOLLOWED = 310
    LOCAL_STORE_FOLLOWED = 311
    STORE_CONTACT_LOST = 312
    STORE_CONTACT_REGAINED = 313
    STORE_STATE_STALE = 314
    CORE_MEMBERSHIP_CHANGED = 315
    BACKENDS_LEARNED = 316
    BACKENDS_LEARNED_PARTIALLY = 317
    PERMITS_SUSPENDED = 320
    PERMITS_RESUMED = 321
    ISSUER_LIST_STORED = 322
    REGISTRY_CALLS_CUT = 323
    CONFIGURATION_APPLIED = 400
    READY = 401
    NOT_READY = 402
    SOURCE_SILENT = 403
    RESPONSE_MISMATCH = 404
    BACKEND_EJECTED = 405
    CONFIGURATION_UNREADABLE = 406
    RESPONSES_CUT = 407
    SOURCE_WITHOUT_CONTACT = 410
    CONTACT_LOST = 411
    CONTACT_REGAINED = 412
    SOURCES_CHANGED = 413
    PERMITS_UNAVAILABLE = 414
    PERMITS_AVAILABLE = 415
    DRAIN_SUMMARY = 416
    FRAME_INVALID = 500
    UNEXPECTED_ANSWER = 510
    DUPLICATE_CALL = 511
    DUPLICATE_RESPONSE = 512
    INVARIANT_VIOLATED = 900


# Level and text of each event, as they appear in the log.
CATALOGUE: dict[Event, tuple[int, str]] = {
    Event.STARTED: (INFO, "started"),
    Event.STOP_REQUESTED: (INFO, "told to end"),
    Event.STOPPED: (INFO, "ended"),
    Event.SETTINGS_RELOADED: (INFO, "settings read again"),
    Event.SETTINGS_INVALID: (ERROR, "settings cannot be used"),
    Event.TASK_FAILED: (ERROR, "a task failed"),
    Event.VERSION_STORED: (INFO, "a version is held, synced"),
    Event.VERSION_REJECTED: (WARNING, "a version was refused as invalid"),
    Event.VERSION_NOT_REPLICATED: (WARNING, "no majority holds a version in time"),
    Event.DISK_WRITE_FAILED: (WARNING, "the disk refused a write"),
    Event.FILE_DAMAGED: (WARNING, "a file on disk is torn or strange and is passed over"),
    Event.DECIDED_VERSION_STORED: (INFO, "what is decided is held here"),
    Event.STARTED_AS_LEARNER: (INFO, "starts without knowledge and does not count"),
    Event.BALLOT_RETRIED: (INFO, "a ballot did not get through and is begun anew"),
    Event.VALUE_DECIDED: (INFO, "a value is decided"),
    Event.ACCEPTOR_CAUGHT_UP: (INFO, "what others accepted is accepted here: the acceptor has caught up"),
    Event.DISK_IDENTITY_ASSIGNED: (INFO, "a disk without knowledge has got its identity"),
    Event.ACCEPTOR_STATE_DAMAGED: (
        ERROR,
        "what the acceptor kept is damaged: the disk counts as lost and gets another identity",
    ),
    Event.REQUEST_WITHOUT_CONTACT: (WARNING, "an order or a read has come without contact with a majority"),
    Event.PROCESS_STALLED: (WARNING, "the process stood still: what it had heard counts no more"),
    Event.MEMBERSHIP_CHANGE_PROPOSED: (INFO, "a change of the list of members is proposed"),
    Event.PUT_BACKLOG_FULL: (WARNING, "orders wait beyond the bound: one more is sent elsewhere"),
    Event.MEMBERSHIP_JOINT: (
        INFO,
        "a change of the list of members is decided, joint with the list before it",
    ),
    Event.MEMBERSHIP_SETTLED: (INFO, "the list of members is settled"),
    Event.MEMBER_SILENT: (WARNING, "a member has been silent for too long"),
    Event.LEARNER_READY: (INFO, "a learner has caught up and is ready"),
    Event.QUORUM_CONTACT_LOST: (
        WARNING,
        "no quorum of the list is in contact: nothing is confirmed, read or refused",
    ),
    Event.QUORUM_CONTACT_REGAINED: (INFO, "a quorum of the list is in contact again"),
    Event.QUORUM_UNREACHABLE: (
        ERROR,
        "so many disks are lost that no quorum can be: `irisdeal store adopt` begins a new list",
    ),
    Event.MEMBER_HANDED_OVER: (INFO, "a member that leaves has handed over"),
    Event.MEMBER_LEFT_EARLY: (
        WARNING,
        "a member leaves though too few others are known to hold what it holds",
    ),
    Event.MEMBERSHIP_ADOPTED: (
        WARNING,
        "a new first list was written by hand: what other disks alone held is given up",
    ),
    Event.STORE_CALLS_CUT: (WARNING, "calls of other processes without an answer were cut at the end"),
    Event.ACCEPTED_VALUE_RECOVERED: (
        WARNING,
        "what is accepted and not known as decided is ended by a ballot",
    ),
    Event.BACKEND_ADDED: (INFO, "a backend is new"),
    Event.BACKEND_DRAINING: (INFO, "a backend drains"),
    Event.BACKEND_GONE: (INFO, "a backend is gone"),
    Event.BACKEND_SILENT: (WARNING, "a backend is silent"),
    Event.DRAIN_NOT_ACKNOWLEDGED: (WARNING, "a drain could not be told to enough of the core"),
    Event.REMOTE_STORE_FOLLOWED: (
        WARNING,
        "the store of this machine is silent or out of contact: another member's is followed",
    ),
    Event.LOCAL_STORE_FOLLOWED: (INFO, "the store of this machine is followed again"),
    Event.STORE_CONTACT_LOST: (
        WARNING,
        "no store has contact with a quorum: doors are told so, orders are answered with 503",
    ),
    Event.STORE_CONTACT_REGAINED: (INFO, "a store in contact with a quorum is followed"),
    Event.STORE_STATE_STALE: (
        ERROR,
        "a store in contact tells of older state than was decided: it is not followed",
    ),
    Event.CORE_MEMBERSHIP_CHANGED: (
        INFO,
        "the list of the core has changed: machines that left are forgotten",
    ),
    Event.BACKENDS_LEARNED: (INFO, "enough of the core has told which backends there are"),
    Event.BACKENDS_LEARNED_PARTIALLY: (
        WARNING,
        "too few of the core have told which backends there are; goes on without",
    ),
    Event.PERMITS_SUSPENDED: (
        WARNING,
        "issues no permits: not in contact, or not long enough in the list of the core",
    ),
    Event.PERMITS_RESUMED: (INFO, "issues permits"),
    Event.ISSUER_LIST_STORED: (INFO, "the list of the core under which permits are issued is on the disk"),
    Event.REGISTRY_CALLS_CUT: (
        WARNING,
        "calls from outside or of other processes without an answer were cut at the end",
    ),
    Event.CONFIGURATION_APPLIED: (INFO, "a configuration is in force"),
    Event.READY: (INFO, "ready"),
    Event.NOT_READY: (INFO, "not ready"),
    Event.SOURCE_SILENT: (WARNING, "a source is silent and is left"),
    Event.RESPONSE_MISMATCH: (WARNING, "an answer of a backend is none of this request"),
    Event.BACKEND_EJECTED: (WARNING, "a backend is left out for a while"),
    Event.CONFIGURATION_UNREADABLE: (ERROR, "a configuration that was told cannot be read"),
    Event.RESPONSES_CUT: (WARNING, "requests without an answer, or bytes of answers, were cut at the end"),
    Event.SOURCE_WITHOUT_CONTACT: (WARNING, "a source has no contact with the core and is left"),
    Event.CONTACT_LOST: (WARNING, "no source has contact with the core: what is held goes on"),
    Event.CONTACT_REGAINED: (INFO, "in contact with the core again"),
    Event.SOURCES_CHANGED: (INFO, "the sources are others: those that left the core are forgotten"),
    Event.PERMITS_UNAVAILABLE: (
        WARNING,
        "no registry gives permits: tenants with a limit have what is held ahead",
    ),
    Event.PERMITS_AVAILABLE: (INFO, "a registry gives permits again"),
    Event.DRAIN_SUMMARY: (INFO, "requests since the signal to end, by what became of them"),
    Event.FRAME_INVALID: (WARNING, "a peer sent a frame that cannot be read"),
    Event.UNEXPECTED_ANSWER: (WARNING, "a peer answered what was not asked; its connection ends"),
    Event.DUPLICATE_CALL: (WARNING, "a call came twice; it is not run, and its connection ends"),
    Event.DUPLICATE_RESPONSE: (WARNING, "a backend answered more than once; the connection ends"),
    Event.INVARIANT_VIOLATED: (ERROR, "an invariant does not hold"),
}


def log_event(event: Event, **fields: object) -> None:
    """Log `event` at its level: its number, its text, then the fields as `key=value`."""
    level, text = CATALOGUE[event]
    if log.isEnabledFor(level):
        log.log(level, "E%d %s%s", event, text, "".join(f" {key}={value}" for key, value in fields.items()))


def invariant(holds: bool, rule: str, **fields: object) -> bool:
    """Whether `holds`; a violation is logged as `Event.INVARIANT_VIOLATED`."""
    if not holds:
        log_event(Event.INVARIANT_VIOLATED, rule=rule, **fields)
    return holds
