"""A process's own figures, as text in the format that Prometheus reads (`metrics` = "PORT/PATH" of the settings).

Figures are counted always, since events tell some of them; the library that writes them as text is loaded with
the first question alone, as most machines are never asked.
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
    """What only grows, apart by the value of one label. `name`: without the prefix; `label`: none where empty."""

    name: str
    help: str
    label: str = ""
    values: dict[str, float] = field(default_factory=dict)

    def add(self, value: str = "", amount: float = 1.0) -> None:
        """Count `amount` more for this value of the label."""
        self.values[value] = self.values.get(value, 0.0) + amount

    def total(self) -> float:
        """Over all values of the label."""
        return sum(self.values.values())


@dataclass(slots=True)
class Summary:
    """How often something was measured, and the sum of it. `name` ends with its unit."""

    name: str
    help: str
    count: int = 0
    sum: float = 0.0
    most: float = 0.0

    def observe(self, value: float) -> None:
        """One more measurement."""
        self.count += 1
        self.sum += value
        self.most = max(self.most, value)


@dataclass(frozen=True, slots=True)
class MetricsAddress:
    """Where a process tells its figures."""

    port: int
    path: str


def parse_address(text: str) -> MetricsAddress:
    """`PORT/PATH`. ValueError where it is none."""
    port, slash, path = text.partition("/")
    if not (slash and port.isdigit() and 0 < int(port) < 65536):
        raise ValueError(f"metrics: wanted PORT/PATH, got {text!r}")
    return MetricsAddress(int(port), f"/{path}")


class Metrics:
    """The figures of one process."""

    def __init__(self) -> None:
        self.counters: list[Counter] = []
        self.summaries: list[Summary] = []

    def counter(self, name: str, text: str, label: str = "") -> Counter:
        """A new counter; `text` says what is counted."""
        counter = Counter(name, text, label)
        self.counters.append(counter)
        return counter

    def summary(self, name: str, text: str) -> Summary:
        """A new summary; `text` says what is measured, and the unit."""
        summary = Summary(name, text)
        self.summaries.append(summary)
        return summary

    def collect(self) -> Iterator[Metric]:
        """All figures, as the library takes them."""
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
                f"{PREFIX}{summary.name}_max", f"{summary.help}; the most so far", summary.most
            )

    def text(self) -> bytes:
        """All figures, as they are told."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)
