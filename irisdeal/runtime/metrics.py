"""Metrics of a process in the Prometheus text format (`metrics` = "PORT/PATH" in the settings).

Metrics are always recorded, because log events report some of them. The library that formats them is imported at
the first scrape, because most machines are never scraped.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client.core import Metric

PREFIX = "irisdeal_"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


@dataclass(slots=True)
class Counter:
    """A counter with at most one label. `name`: without the prefix; `label`: name of the label, empty for none."""

    name: str
    help: str
    label: str = ""
    values: dict[str, float] = field(default_factory=dict)

    def add(self, value: str = "", amount: float = 1.0) -> None:
        """Add `amount` to the count of this value of the label."""
        self.values[value] = self.values.get(value, 0.0) + amount

    def total(self) -> float:
        """Return the sum over all values of the label."""
        return sum(self.values.values())


@dataclass(slots=True)
class Summary:
    """Number, sum and maximum of observations. `name`: without the prefix; ends with the unit."""

    name: str
    help: str
    count: int = 0
    sum: float = 0.0
    maximum: float = 0.0

    def observe(self, value: float) -> None:
        """Record one observation."""
        self.count += 1
        self.sum += value
        self.maximum = max(self.maximum, value)


@dataclass(frozen=True, slots=True)
class MetricsAddress:
    """The port and path at which a process serves its metrics; `path` begins with a slash."""

    port: int
    path: str


def parse_metrics_address(text: str) -> MetricsAddress:
    """Parse `PORT/PATH`. Raises ValueError if the text is malformed."""
    port, slash, path = text.partition("/")
    if not (slash and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"metrics: wanted PORT/PATH, got {text!r}")
    return MetricsAddress(int(port), f"/{path}")


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.counters: list[Counter] = []
        self.summaries: list[Summary] = []

    def counter(self, name: str, text: str, label: str = "") -> Counter:
        """Register a new counter; `text`: description of what is counted."""
        counter = Counter(name, text, label)
        self.counters.append(counter)
        return counter

    def summary(self, name: str, text: str) -> Summary:
        """Register a new summary; `text`: description of the observations and their unit."""
        summary = Summary(name, text)
        self.summaries.append(summary)
        return summary

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics as metric families of prometheus_client."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily

        for counter in self.counters:
            labels = [counter.label] if counter.label else []
            family = CounterMetricFamily(PREFIX + counter.name, counter.help, labels=labels)
            values = counter.values or ({} if labels else {"": 0.0})
            for value, count in sorted(values.items()):
                family.add_metric([value] if labels else [], count)
            yield family
        for summary in self.summaries:
            yield SummaryMetricFamily(PREFIX + summary.name, summary.help, summary.count, summary.sum)
            yield GaugeMetricFamily(
                f"{PREFIX}{summary.name}_max", f"{summary.help}; the most so far", summary.maximum
            )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)
