"""Numbered events: what the logs say. The catalogue in docs/operate/events.md is made from `CATALOGUE`."""

from __future__ import annotations

import logging

log = logging.getLogger("irisdeal")

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

# Hundreds: 1 process, 2 almanac, 3 gauge, 4 proxy, 5 telegraph, 9 invariants.
CATALOGUE: dict[int, tuple[int, str]] = {
    100: (INFO, "started"),
    101: (INFO, "told to end"),
    102: (INFO, "ended"),
    103: (INFO, "settings read again"),
    104: (ERROR, "settings cannot be used"),
    105: (ERROR, "a task failed"),
    200: (INFO, "a version is held, synced"),
    201: (WARNING, "a version was refused as invalid"),
    202: (WARNING, "no majority holds a version in time"),
    203: (WARNING, "the disk refused a write"),
    204: (WARNING, "a file on disk is torn or strange and is passed over"),
    205: (INFO, "what is decided is held here"),
    206: (INFO, "starts without knowledge and does not count"),
    208: (INFO, "a ballot did not get through and is begun anew"),
    209: (INFO, "a value is decided"),
    210: (INFO, "what others accepted is accepted here: the acceptor has caught up"),
    211: (INFO, "a disk without knowledge has got its identity"),
    212: (ERROR, "what the acceptor kept is damaged: the disk counts as lost and gets another identity"),
    213: (WARNING, "an order or a read has come without contact with a majority"),
    214: (WARNING, "the process stood still: what it had heard counts no more"),
    215: (INFO, "a change of the list of members is proposed"),
    216: (WARNING, "orders wait beyond the bound: one more is sent elsewhere"),
    220: (INFO, "a change of the list of members is decided, joint with the list before it"),
    221: (INFO, "the list of members is settled"),
    222: (WARNING, "a member has been silent for too long"),
    223: (INFO, "a learner has caught up and is ready"),
    224: (WARNING, "no quorum of the list is in contact: nothing is confirmed, read or refused"),
    225: (INFO, "a quorum of the list is in contact again"),
    226: (ERROR, "so many disks are lost that no quorum can be: `irisdeal store adopt` begins a new list"),
    227: (INFO, "a member that leaves has handed over"),
    228: (WARNING, "a member leaves though too few others are known to hold what it holds"),
    229: (WARNING, "a new first list was written by hand: what other disks alone held is given up"),
    230: (WARNING, "calls of other processes without an answer were cut at the end"),
    240: (WARNING, "what is accepted and not known as decided is ended by a ballot"),
    300: (INFO, "a backend is new"),
    301: (INFO, "a backend drains"),
    302: (INFO, "a backend is gone"),
    303: (WARNING, "a backend is silent"),
    304: (WARNING, "a drain could not be told to enough of the core"),
    310: (WARNING, "the store of this machine is silent or out of contact: another member's is followed"),
    311: (INFO, "the store of this machine is followed again"),
    312: (WARNING, "no store has contact with a quorum: doors are told so, orders are answered with 503"),
    313: (INFO, "a store in contact with a quorum is followed"),
    314: (ERROR, "a store in contact tells of older state than was decided: it is not followed"),
    315: (INFO, "the list of the core has changed: machines that left are forgotten"),
    316: (INFO, "enough of the core has told which backends there are"),
    317: (WARNING, "too few of the core have told which backends there are; goes on without"),
    320: (WARNING, "issues no permits: not in contact, or not long enough in the list of the core"),
    321: (INFO, "issues permits"),
    322: (INFO, "the list of the core under which permits are issued is on the disk"),
    323: (WARNING, "calls from outside or of other processes without an answer were cut at the end"),
    400: (INFO, "a configuration is in force"),
    401: (INFO, "ready"),
    402: (INFO, "not ready"),
    403: (WARNING, "a source is silent and is left"),
    404: (WARNING, "an answer of a backend is none of this request"),
    405: (WARNING, "a backend is left out for a while"),
    406: (ERROR, "a configuration that was told cannot be read"),
    407: (WARNING, "requests without an answer, or bytes of answers, were cut at the end"),
    410: (WARNING, "a source has no contact with the core and is left"),
    411: (WARNING, "no source has contact with the core: what is held goes on"),
    412: (INFO, "in contact with the core again"),
    414: (WARNING, "no registry gives permits: tenants with a limit have what is held ahead"),
    415: (INFO, "a registry gives permits again"),
    416: (INFO, "requests since the signal to end, by what became of them"),
    413: (INFO, "the sources are others: those that left the core are forgotten"),
    500: (WARNING, "a peer sent a frame that cannot be read"),
    510: (WARNING, "a peer answered what was not asked; its connection ends"),
    511: (WARNING, "a call came twice; it is not run, and its connection ends"),
    512: (WARNING, "a backend answered more than once; the connection ends"),
    900: (ERROR, "an invariant does not hold"),
}


def tell(number: int, **fields: object) -> None:
    """Log event `number` with its fields. KeyError where the catalogue does not have it."""
    level, text = CATALOGUE[number]
    if log.isEnabledFor(level):
        log.log(level, "E%d %s%s", number, text, "".join(f" {key}={value}" for key, value in fields.items()))


def invariant(holds: bool, rule: str, **fields: object) -> bool:
    """Whether it holds; a breach is told as event 900."""
    if not holds:
        tell(900, rule=rule, **fields)
    return holds
