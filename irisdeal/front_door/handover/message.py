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
HEADER = struct.Struct("<4sIII")
MAX_REQUEST_BYTES = 2_048  # bytes
MAX_BODY_BYTES = 8 << 20  # bytes: 4,096 customers at some 1 kB, 200 backends, and room to spare
ACCEPTING = b"accepting\n"


class HandoverError(ValueError):
    """Not a message of ours, or damaged; the text says how."""


def encode_request(name: str, listen: str) -> bytes:
    return json.dumps({"version": VERSION, "name": name, "listen": listen}).encode() + b"\n"


def check_request(line: bytes, name: str, listen: str) -> None:
    """Unreadable where it is none, or asks for another door's state."""
    told = _object(line)
    if told.get("version") != VERSION:
        raise HandoverError(f"version is {told.get('version')!r}: wanted {VERSION}")
    if (told.get("name"), told.get("listen")) != (name, listen):
        asked = f"{told.get('name')!r} at {told.get('listen')!r}"
        raise HandoverError(f"asked for {asked}: this is {name} at {listen}")


def encode_message(told: dict[str, Any]) -> bytes:
    """Head and body. Unreadable where it is over the bound."""
    text = json.dumps(told, separators=(",", ":")).encode()
    if len(text) > MAX_BODY_BYTES:
        raise HandoverError(f"state of {len(text)} bytes: wanted {MAX_BODY_BYTES} at most")
    return HEADER.pack(MAGIC, VERSION, len(text), zlib.crc32(text)) + text


def decode_header(head: bytes) -> tuple[int, int]:
    """Length and CRC-32 of the body. Unreadable where it is no head of this version."""
    if len(head) != HEADER.size:
        raise HandoverError("the head is cut short")
    magic, version, length, crc = HEADER.unpack(head)
    if magic != MAGIC:
        raise HandoverError("no message of a handover")
    if version != VERSION:
        raise HandoverError(f"version is {version}: wanted {VERSION}")
    if length > MAX_BODY_BYTES:
        raise HandoverError(f"state of {length} bytes: wanted {MAX_BODY_BYTES} at most")
    return length, crc


def decode_body(text: bytes, length: int, crc: int) -> dict[str, Any]:
    if len(text) != length:
        raise HandoverError(f"state of {len(text)} bytes: wanted {length}")
    if zlib.crc32(text) != crc:
        raise HandoverError("the state is damaged")
    return _object(text)


def _object(text: bytes) -> dict[str, Any]:
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"no JSON: {error}") from None
    if not isinstance(told, dict):
        raise HandoverError("wanted an object")
    return told
