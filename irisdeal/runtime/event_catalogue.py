"""`python -m irisdeal.runtime.event_catalogue`: the page of events, made from the code."""

from __future__ import annotations

import logging

from irisdeal.runtime.events import CATALOGUE

HEAD = """# Events of the gateway's logs

Each line on standard error is `E`, the number, the text and fields (`name=value`). This page is made by
`python -m irisdeal.runtime.event_catalogue` and compared with the code in CI.

| number | level | text |
| --- | --- | --- |
"""


def page() -> str:
    """The whole page."""
    rows = (
        f"| E{number} | {logging.getLevelName(level).lower()} | {text} |\n"
        for number, (level, text) in sorted(CATALOGUE.items())
    )
    return HEAD + "".join(rows)


if __name__ == "__main__":
    print(page(), end="")
