"""Metrics of a configuration store replica."""

from __future__ import annotations

from irisdeal.runtime.metrics import Metrics


class StoreMetrics(Metrics):
    """Counters of one replica."""

    def __init__(self) -> None:
        super().__init__()
        self.decisions = self.counter(
            "decisions",
            "Ballots of ours that decided, by how many seats had synced the value by then.",
            "seats",
        )
        self.unanswered_calls = self.counter(
            "cut_calls", "Calls of other processes without an answer at the end."
        )
