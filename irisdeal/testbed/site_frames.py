"""Frames between a parent and its site processes.

A frame is a length (4 bytes, big-endian) and a pickled tuple. Parent to site: (number, call, arguments), with
number 0 for a notification. Site to parent: (number, value), or (0, notification). Pickle is safe here, since
both ends are this package.
"""

from __future__ import annotations

import asyncio
import pickle
from dataclasses import dataclass

from irisdeal.testbed.workload import Day

MAX_FRAME_BYTES = 1 << 30  # a larger length is treated as corrupt
COUNTER_SITE = "keeper"  # the site of the counter service, and the target name of its links


class SiteError(Exception):
    """A process of a site failed, or did not answer in time."""


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """The site of one process: a zone, or the counter service. `offset` (ns) is that of the run's clock."""

    day: Day
    name: str
    offset: int


def encode_frame(value: object) -> bytes:
    """Return the frame of a value: its length in 4 bytes, big-endian, and its pickled form."""
    text = pickle.dumps(value)
    return len(text).to_bytes(4, "big") + text


async def read_frame(reader: asyncio.StreamReader) -> object:
    """Read the next frame. Raises IncompleteReadError at the end of the stream."""
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > MAX_FRAME_BYTES:
        raise SiteError(f"a frame of {size} bytes")
    value: object = pickle.loads(await reader.readexactly(size))
    return value
