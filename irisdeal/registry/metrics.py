"""Metrics of a registry process."""

from __future__ import annotations

from irisdeal.runtime.metrics import Metrics


class RegistryMetrics(Metrics):
    """Metrics of acknowledged drains, the operators' configuration calls, and the shutdown."""

    def __init__(self) -> None:
        super().__init__()
        self.acknowledged_ends = self.counter(
            "acknowledged_backend_ends",
            "Acknowledged drains and ends of backends, by how many of the core knew by then.",
            "machines",
        )
        self.unacknowledged_ends = self.counter(
            "unacknowledged_backend_ends",
            "Drains and ends of backends that too few of the core were told in time.",
        )
        self.config_calls = self.counter(
            "orders",
            "Configuration calls of the operator, by the status answered.",
            "status",
        )
        self.unanswered_calls = self.counter("cut_calls", "Calls from outside without an answer at the end.")
