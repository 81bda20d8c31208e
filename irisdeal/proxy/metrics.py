"""Metrics of a proxy: requests whose clients disconnected, abandoned attempts, and the shutdown."""

from __future__ import annotations

from irisdeal.runtime.metrics import Metrics


class ProxyMetrics(Metrics):
    """The counters and summaries of one proxy."""

    def __init__(self) -> None:
        super().__init__()
        self.departures = self.counter(
            "client_departures",
            "Requests whose client left before the answer, by what they waited for.",
            "phase",
        )
        self.work_after_departure = self.summary(
            "work_after_departure_seconds", "Seconds from a client's leaving to the end of all work for it."
        )
        self.abandoned = self.counter(
            "attempts_abandoned", "Attempts at backends that were given up, by the reason.", "reason"
        )
        self.drained = self.counter(
            "drained_requests",
            "Requests that came after the signal to end, by what became of them.",
            "outcome",
        )
        self.unanswered = self.counter(
            "cut_requests", "Requests without an answer at the end, by phase.", "phase"
        )
        self.unsent = self.counter("unsent_bytes", "Bytes of answers that were not out at the end.")
