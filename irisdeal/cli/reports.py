"""Fetch the report of a gateway from the Unix socket that its configuration names as `report`."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

TIMEOUT_S = 2.0
MAX_REPORT_BYTES = 1 << 20  # a report of 50 stores has about 15,000 bytes


async def fetch_report(path: Path) -> dict[str, object] | str:
    """Return the report, or the reason why there is none."""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_unix_connection(str(path))
            try:
                text = await reader.read(MAX_REPORT_BYTES)
                while not reader.at_eof() and len(text) < MAX_REPORT_BYTES:
                    text += await reader.read(MAX_REPORT_BYTES - len(text))
            finally:
                writer.close()
    except TimeoutError:
        return f"no answer within {TIMEOUT_S:g} s"
    except OSError as error:
        return f"{error.strerror or error}: wanted the socket that a door's configuration names as report"
    try:
        report = json.loads(text)
    except ValueError:
        return "its answer is no JSON" if text else "it closed without an answer"
    return report if isinstance(report, dict) else "its answer is no report"
