"""Numbered events: what the logs say. The catalogue in docs/operate/events.md is made from `CATALOGUE`."""

from __future__ import annotations

import logging

log = logging.getLogger("irisdeal")

INFO, WARNING, ERROR = logging.INFO, logging.WARNING, logging.ERROR

# Hundreds: 1 process, 2 almanac, 3 gauge, 4 vane, 5 telegraph, 9 invariants.
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
    205: (INFO, "has caught up and votes"),
    206: (INFO, "starts without knowledge and does not vote"),
    207: (INFO, "the roster of the core has grown"),
    300: (INFO, "a backend is new"),
    301: (INFO, "a backend drains"),
    302: (INFO, "a backend is gone"),
    303: (WARNING, "a backend is silent"),
    304: (WARNING, "a drain could not be told to enough of the core"),
    320: (WARNING, "stood still: tokens, parts and places of before are dropped"),
    321: (WARNING, "tokens were asked or lent under an older term and do not count"),
    322: (INFO, "takes its part of the quotas again"),
    400: (INFO, "a configuration is in force"),
    401: (INFO, "ready"),
    402: (INFO, "not ready"),
    403: (WARNING, "a source is silent and is left"),
    404: (WARNING, "an answer of a backend is none of this request"),
    405: (WARNING, "a backend is left out for a while"),
    406: (ERROR, "a configuration that was told cannot be read"),
    407: (WARNING, "connections that outlasted the time to end were cut"),
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
