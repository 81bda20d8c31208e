"""A door's figures as the Prometheus text format 0.0.4 writes them.

Rules that this file keeps:

1. A figure is read when it is asked for, never copied ahead: it is as old as the call.
2. Every label value that can occur is there from the start, at 0: a counter that appears late has no rate.
3. Names and labels are those of the operators' page; help texts are ours.
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
    """What a figure is, in the format's own words."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclass(frozen=True, slots=True)
class Metric:
    """One figure: `read` gives its number, or one for each value of `label`, in the order of `values`."""

    name: str
    kind: MetricType
    help: str
    read: Callable[[], Number | Sequence[Number]]
    label: str = ""
    values: tuple[str, ...] = ()


class MetricRegistry:
    """All figures of a door, in the order in which they were added."""

    def __init__(self) -> None:
        self.figures: dict[str, Metric] = {}

    def add(self, figure: Metric) -> None:
        """ValueError where the name is taken."""
        if figure.name in self.figures:
            raise ValueError(f"figure {figure.name} is there already")
        self.figures[figure.name] = figure

    def text(self) -> bytes:
        """The exposition. ValueError where a figure reads another number of values than it has labels."""
        return "".join(line for figure in self.figures.values() for line in _lines(figure)).encode()


def _lines(figure: Metric) -> list[str]:
    name = PREFIX + figure.name
    lines = [f"# HELP {name} {_escape_help(figure.help)}\n", f"# TYPE {name} {figure.kind.value}\n"]
    told = figure.read()
    if not figure.label:
        if isinstance(told, Sequence):
            raise ValueError(f"{figure.name} has no label: wanted one number")
        return [*lines, f"{name} {_number(told)}\n"]
    if not isinstance(told, Sequence) or len(told) != len(figure.values):
        raise ValueError(f"{figure.name}: wanted {len(figure.values)} numbers, one for each {figure.label}")
    return lines + [
        f'{name}{{{figure.label}="{_escape(value)}"}} {_number(number)}\n'
        for value, number in zip(figure.values, told, strict=True)
    ]


def _number(value: Number) -> str:
    return str(value) if isinstance(value, int) else repr(float(value))


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape(value: str) -> str:
    """A label's value: backslash, quote and line feed (the format's own three)."""
    return _escape_help(value).replace('"', '\\"')
