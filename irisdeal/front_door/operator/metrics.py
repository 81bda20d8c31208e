"""Metrics of a front door in the Prometheus text format 0.0.4.

The rules:

1. A metric is read when the exposition is requested, never stored ahead: it is as recent as the request.
2. Every label value that can occur is exposed from the start, at 0: a counter that appears late has no rate.
3. Names and labels are those of the operators' page; help texts are not fixed.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "edge_"
CLASS_LABEL = "lane"

Number = int | float


class MetricType(Enum):
    """A metric's type, as the format names it."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric: `read` returns its value, or one for each value of `label`, in the order of `values`."""

    name: str
    kind: MetricType
    help: str
    read: Callable[[], Number | Sequence[Number]]
    label: str = ""
    values: tuple[str, ...] = ()


class MetricRegistry:
    """All metrics of a front door, in the order in which they were added."""

    def __init__(self) -> None:
        self.metrics: dict[str, Metric] = {}

    def add(self, metric: Metric) -> None:
        """Add a metric. Raises ValueError where its name is in use."""
        if metric.name in self.metrics:
            raise ValueError(f"metric {metric.name} is registered already")
        self.metrics[metric.name] = metric

    def text(self) -> bytes:
        """Return the exposition. Raises ValueError where a metric returns a wrong number of values."""
        return "".join(line for metric in self.metrics.values() for line in _lines(metric)).encode()


def _lines(metric: Metric) -> list[str]:
    name = PREFIX + metric.name
    lines = [f"# HELP {name} {_escape_help(metric.help)}\n", f"# TYPE {name} {metric.kind.value}\n"]
    reading = metric.read()
    if not metric.label:
        if isinstance(reading, Sequence):
            raise ValueError(f"{metric.name} has no label: wanted one number")
        return [*lines, f"{name} {_number(reading)}\n"]
    if not isinstance(reading, Sequence) or len(reading) != len(metric.values):
        raise ValueError(f"{metric.name}: wanted {len(metric.values)} numbers, one for each {metric.label}")
    return lines + [
        f'{name}{{{metric.label}="{_escape(value)}"}} {_number(number)}\n'
        for value, number in zip(metric.values, reading, strict=True)
    ]


def _number(value: Number) -> str:
    return str(value) if isinstance(value, int) else repr(float(value))


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape(value: str) -> str:
    """Escape backslash, quote and line feed in a label's value, as the format requires."""
    return _escape_help(value).replace('"', '\\"')
