"""How the descriptors are shared out, in one place."""

from __future__ import annotations

from dataclasses import dataclass

# Loop, signals, listener and streams; discovery and counter, each twice while they move; and connections that
# are being closed, which hold their descriptor until the end of the turn.
OWN = 40


@dataclass(frozen=True, slots=True)
class Limits:
    """The most connections of each kind; with our own they stay under the descriptors we may hold."""

    clients: int
    backends: int


def share(sockets: int) -> Limits:
    """Even halves: a third of all is asked for by clients' requests, and each of those needs a backend."""
    rest = max(16, sockets - OWN)
    return Limits(clients=rest // 2, backends=rest - rest // 2)
