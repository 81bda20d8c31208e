"""The messages of a handover: a request line, then a head and a body of JSON.

    new: {"version": 1, "name": "n0", "listen": "10.0.0.4:9000"} LF
    old: 16 bytes of head (magic, version, length, CRC-32), and as many bytes of JSON
    new: accepting LF

A body that is an object with `refused` says why there is no state; `later` True beside it: ask again.
"""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

VERSION = 1
MAGIC = b"IRDH"
HEAD = struct.Struct("<4sIII")
MOST_REQUEST = 2_048  # bytes
MOST_BODY = 8 << 20  # bytes: 4,096 customers at some 1 kB, 200 backends, and room to spare
ACCEPTING = b"accepting\n"


class Unreadable(ValueError):
    """Not a message of ours, or damaged; the text says how."""


def request(name: str, listen: str) -> bytes:
    return json.dumps({"version": VERSION, "name": name, "listen": listen}).encode() + b"\n"


def read_request(line: bytes, name: str, listen: str) -> None:
    """Unreadable where it is none, or asks for another door's state."""
    told = _object(line)
    if told.get("version") != VERSION:
        raise Unreadable(f"version is {told.get('version')!r}: wanted {VERSION}")
    if (told.get("name"), told.get("listen")) != (name, listen):
        asked = f"{told.get('name')!r} at {told.get('listen')!r}"
        raise Unreadable(f"asked for {asked}: this is {name} at {listen}")


def body(told: dict[str, Any]) -> bytes:
    """Head and body. Unreadable where it is over the bound."""
    text = json.dumps(told, separators=(",", ":")).encode()
    if len(text) > MOST_BODY:
        raise Unreadable(f"state of {len(text)} bytes: wanted {MOST_BODY} at most")
    return HEAD.pack(MAGIC, VERSION, len(text), zlib.crc32(text)) + text


def read_head(head: bytes) -> tuple[int, int]:
    """Length and CRC-32 of the body. Unreadable where it is no head of this version."""
    if len(head) != HEAD.size:
        raise Unreadable("the head is cut short")
    magic, version, length, crc = HEAD.unpack(head)
    if magic != MAGIC:
        raise Unreadable("no message of a handover")
    if version != VERSION:
        raise Unreadable(f"version is {version}: wanted {VERSION}")
    if length > MOST_BODY:
        raise Unreadable(f"state of {length} bytes: wanted {MOST_BODY} at most")
    return length, crc


def read_body(text: bytes, length: int, crc: int) -> dict[str, Any]:
    if len(text) != length:
        raise Unreadable(f"state of {len(text)} bytes: wanted {length}")
    if zlib.crc32(text) != crc:
        raise Unreadable("the state is damaged")
    return _object(text)


def _object(text: bytes) -> dict[str, Any]:
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Unreadable(f"no JSON: {error}") from None
    if not isinstance(told, dict):
        raise Unreadable("wanted an object")
    return told
