"""The backends as all registries in use report them: incarnations never go back. No input or output."""

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

ENDED_KEPT_S = 120.0  # that an ended incarnation is remembered, to be reported to a registry that forgot it


class BackendView:
    """What this proxy knows of each incarnation of a backend."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_incarnation: Callable[[BackendIncarnation, bool], None],
    ) -> None:
        """`on_incarnation`: called with each state, and whether all registries in use report it as overdue."""
        self.loop, self.on_incarnation = loop, on_incarnation
        self.incarnations: dict[str, BackendIncarnation] = {}
        self.ended_at: dict[str, float] = {}
        self.overdue: dict[str, dict[str, bool]] = {}  # incarnation -> registry -> are its heartbeats overdue

    def receive(self, registry: str, reported: Sequence[IncarnationStatus]) -> None:
        """Take in a registry's report."""
        for incarnation, is_unresponsive in reported:
            self._merge(registry, incarnation, is_unresponsive)
        self._forget_ended(self.loop.time())

    def _forget_ended(self, now: float) -> None:
        for id_, ended_at in list(self.ended_at.items()):
            if now - ended_at > ENDED_KEPT_S:
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

    def end(self, id_: str) -> None:
        """Note that the backend itself showed that this incarnation is over."""
        incarnation = self.incarnations.get(id_)
        if incarnation is None or incarnation.state is BackendState.GONE:
            return
        gone = replace(incarnation, state=BackendState.GONE)
        self.incarnations[id_] = gone
        self.ended_at.setdefault(id_, self.loop.time())
        self.on_incarnation(gone, True)

    def leave(self, registry: str) -> None:
        """Forget which heartbeats this registry reported as overdue: it is no longer in use."""
        for overdue in self.overdue.values():
            overdue.pop(registry, None)

    def report(self) -> IncarnationReport:
        """Return all incarnations, each as just received, for a registry that may have forgotten them."""
        known = self.incarnations.values()
        return IncarnationReport([ObservedIncarnation(incarnation, 0) for incarnation in known])


def _is_superseded(incarnation: BackendIncarnation, known: BackendIncarnation) -> bool:
    """Return whether what is known is newer: a later state, or more heartbeats in the same one."""
    has_fewer_heartbeats = incarnation.count < known.count and incarnation.state == known.state
    return has_fewer_heartbeats or known.state > incarnation.state
