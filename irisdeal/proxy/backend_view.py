"""The backends by the reports of all watched registries; an incarnation never returns to an earlier state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from irisdeal.registry.incarnation import (
    BackendIncarnation,
    BackendState,
    IncarnationStatus,
    ObservedIncarnation,
)
from irisdeal.registry.messages import IncarnationReport

ENDED_RETENTION_S = 120.0  # for which ended incarnations are stored, to be sent to registries that lost them


class BackendView:
    """This proxy's view of each incarnation of a backend."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_incarnation: Callable[[BackendIncarnation, bool], None],
    ) -> None:
        """`on_incarnation`: called with each state, and whether all watched registries report it as overdue."""
        self.loop, self.on_incarnation = loop, on_incarnation
        self.incarnations: dict[str, BackendIncarnation] = {}
        self.ended_at: dict[str, float] = {}
        # incarnation -> registry -> whether the heartbeats are overdue
        self.overdue: dict[str, dict[str, bool]] = {}

    def receive(self, registry: str, reported: Sequence[IncarnationStatus]) -> None:
        """Apply a registry's report."""
        for incarnation, is_unresponsive in reported:
            self._merge(registry, incarnation, is_unresponsive)
        self._remove_expired(self.loop.time())

    def _remove_expired(self, now: float) -> None:
        for id_, ended_at in list(self.ended_at.items()):
            if now - ended_at > ENDED_RETENTION_S:
                del self.ended_at[id_]
                self.incarnations.pop(id_, None)
                self.overdue.pop(id_, None)

    def _merge(self, registry: str, incarnation: BackendIncarnation, is_unresponsive: bool) -> None:
        known = self.incarnations.get(incarnation.id)
        if known is not None and _is_superseded(incarnation, known):
            incarnation = known
        self.incarnations[incarnation.id] = incarnation
        if incarnation.state is BackendState.GONE:
            self.ended_at.setdefault(incarnation.id, self.loop.time())
        overdue = self.overdue.setdefault(incarnation.id, {})
        overdue[registry] = is_unresponsive
        self.on_incarnation(incarnation, all(overdue.values()))

    def set_gone(self, id_: str) -> None:
        """Mark an incarnation as gone after another one answered at its address."""
        incarnation = self.incarnations.get(id_)
        if incarnation is None or incarnation.state is BackendState.GONE:
            return
        gone = replace(incarnation, state=BackendState.GONE)
        self.incarnations[id_] = gone
        self.ended_at.setdefault(id_, self.loop.time())
        self.on_incarnation(gone, True)

    def forget_registry(self, registry: str) -> None:
        """Discard a registry's reports of overdue heartbeats, as it is no longer watched."""
        for overdue in self.overdue.values():
            overdue.pop(registry, None)

    def report(self) -> IncarnationReport:
        """Return all incarnations, as if just received, for a registry that may have lost its state."""
        known = self.incarnations.values()
        return IncarnationReport([ObservedIncarnation(incarnation, 0) for incarnation in known])


def _is_superseded(incarnation: BackendIncarnation, known: BackendIncarnation) -> bool:
    """Return whether the known report is newer: a later state, or more heartbeats in the same state."""
    has_fewer_heartbeats = incarnation.count < known.count and incarnation.state == known.state
    return has_fewer_heartbeats or known.state > incarnation.state
