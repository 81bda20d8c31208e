"""How file descriptors are divided between clients, backends and internal use."""

from __future__ import annotations

from dataclasses import dataclass

# Event loop, signals, listener and standard streams; discovery and counter, each twice while they move; and
# connections being closed, which keep their descriptor until the end of the loop iteration.
OWN_DESCRIPTORS = 40
# Responses take one loop iteration, so only connections without a request stay open; they keep their slot for
# 4 s, and a new connection replaces the oldest.
MAX_OPERATOR_CONNECTIONS = 16
OPERATOR_DESCRIPTORS = MAX_OPERATOR_CONNECTIONS + 4  # including the listener and connections being closed

# Reserve slots, beyond the regular slots of clients, accept connections only to reject their requests. A connection
# keeps one for the milliseconds of a request, so these few handle hundreds per second.
RESERVE_RATIO = 1 / 16
MIN_RESERVE_SLOTS = 4


@dataclass(frozen=True, slots=True)
class Limits:
    """Maximum connections of each kind; with the internal ones they fit the limit of descriptors."""

    clients: int
    reserve: int
    backends: int


def share_descriptors(sockets: int, has_operator: bool = False) -> Limits:
    """Divide `sockets` descriptors equally between clients and backends: each client request needs a backend.

    The reserve is taken from the backends' half, where connections can be reopened when needed.
    """
    shared = max(16, sockets - OWN_DESCRIPTORS - (OPERATOR_DESCRIPTORS if has_operator else 0))
    reserve = max(MIN_RESERVE_SLOTS, int(shared * RESERVE_RATIO))
    return Limits(clients=shared // 2, reserve=reserve, backends=shared - shared // 2 - reserve)
