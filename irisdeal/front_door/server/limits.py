"""How the descriptors are shared out, in one place."""

from __future__ import annotations

from dataclasses import dataclass

# Loop, signals, listener and streams; discovery and counter, each twice while they move; and connections that
# are being closed, which hold their descriptor until the end of the turn.
OWN_DESCRIPTORS = 40
# Of a door with operators: callers at once. An answer is one turn away, so only silent ones stay; they hold
# their place for 4 s, and a new one takes the place of the oldest.
MAX_OPERATOR_CONNECTIONS = 16
OPERATOR_DESCRIPTORS = MAX_OPERATOR_CONNECTIONS + 4  # with the listener, and callers that are being closed


# Of what clients and backends share: connections beyond the clients' places, which are heard and refused. One
# stays for the milliseconds of a request, so these few pass hundreds a second.
RESERVE_RATIO, MIN_RESERVE_SLOTS = 1 / 16, 4


@dataclass(frozen=True, slots=True)
class Limits:
    """The most connections of each kind; with our own they stay under the descriptors we may hold."""

    clients: int
    reserve: int
    backends: int


def share_descriptors(sockets: int, has_operator: bool = False) -> Limits:
    """Even halves: a third of all is asked for by clients' requests, and each of those needs a backend.

    The reserve is of the backends' half: connections there are opened anew at need.
    """
    rest = max(16, sockets - OWN_DESCRIPTORS - (OPERATOR_DESCRIPTORS if has_operator else 0))
    reserve = max(MIN_RESERVE_SLOTS, int(rest * RESERVE_RATIO))
    return Limits(clients=rest // 2, reserve=reserve, backends=rest - rest // 2 - reserve)
