"""The backends that this proxy may send requests to, by service."""

from __future__ import annotations

from collections.abc import Callable

from irisdeal.load_balancing.backend_choice import Backend
from irisdeal.placement.load_reports import short_key
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.settings import Settings, parse_address

# Values of `Backend.zone_distance`
SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


class BackendDirectory:
    """The incarnations that are ready or draining, with this proxy's estimates of each."""

    def __init__(
        self, settings: Settings, on_retired: Callable[[str], None], on_added: Callable[[], None]
    ) -> None:
        """`on_retired`: called with an incarnation that is draining or gone; `on_added`: after one is added."""
        self.settings, self.on_retired, self.on_added = settings, on_retired, on_added
        self.backends: dict[str, Backend] = {}
        self.services: dict[str, dict[str, Backend]] = {}

    def update(self, incarnation: BackendIncarnation, is_unresponsive: bool) -> None:
        """Apply an incarnation's state. `is_unresponsive`: its heartbeats are overdue at all watched registries."""
        if incarnation.state is BackendState.GONE:
            self._remove(incarnation)
            return
        backend = self.backends.get(incarnation.id)
        if backend is None:
            backend = self._add(incarnation)
        backend.warm_at = incarnation.warm_at
        backend.is_unresponsive = is_unresponsive
        backend.is_draining = backend.is_draining or incarnation.state is BackendState.DRAINING
        if backend.is_draining:
            self.on_retired(incarnation.id)

    def _add(self, incarnation: BackendIncarnation) -> Backend:
        backend = Backend(
            incarnation.id,
            incarnation.service,
            parse_address(incarnation.address),
            incarnation.zone,
            self._distance(incarnation.zone),
            max(1, incarnation.capacity),
            incarnation.warm_at,
            key=short_key(incarnation.id),
        )
        self.backends[incarnation.id] = backend
        self.services.setdefault(incarnation.service, {})[incarnation.id] = backend
        self.on_added()
        return backend

    def _distance(self, zone: str) -> int:
        if zone == self.settings.zone:
            return SAME_ZONE
        is_same_region = self.settings.zones.get(zone) == self.settings.region
        return SAME_REGION if is_same_region else OTHER_REGION

    def _remove(self, incarnation: BackendIncarnation) -> None:
        backend = self.backends.pop(incarnation.id, None)
        if backend is None:
            return
        backend.is_draining = True
        # A registry that does not know the backend reports its end without a service.
        self.services[backend.service].pop(backend.id, None)
        self.on_retired(incarnation.id)

    def slots(self) -> int:
        """Return the number of requests that all usable backends serve concurrently."""
        return sum(
            backend.capacity
            for backend in self.backends.values()
            if not (backend.is_draining or backend.is_unresponsive)
        )
