"""The messages of a handover: a request line, then a message of a binary header and a JSON body.

    new: {"version": 1, "name": "n0", "listen": "10.0.0.4:9000"} LF
    old: 16 bytes of header (magic, version, length, CRC-32), and `length` bytes of JSON
    new: accepting LF

A body with the key `refused` gives the reason why no state is sent. If `later` is true in it, the new process
may send its request again.
"""

from __future__ import annotations

import json
import struct
import zlib
from typing import Any

VERSION = 1
MAGIC = b"IRDH"
HEADER = struct.Struct("<4sIII")
MAX_REQUEST_BYTES = 2_048
MAX_BODY_BYTES = 8 << 20  # 4,096 customers at about 1 kB, 200 backends, and a margin
ACCEPTING = b"accepting\n"


class HandoverError(ValueError):
    """A message that is not one of this protocol, is damaged, or comes from another front door or user."""


def encode_request(name: str, listen: str) -> bytes:
    """Return the request line of the front door with this name and listening address."""
    return json.dumps({"version": VERSION, "name": name, "listen": listen}).encode() + b"\n"


def check_request(line: bytes, name: str, listen: str) -> None:
    """Raise `HandoverError` unless the line requests the state of the front door with this name and address."""
    request = _decode_object(line)
    if request.get("version") != VERSION:
        raise HandoverError(f"version is {request.get('version')!r}: wanted {VERSION}")
    if (request.get("name"), request.get("listen")) != (name, listen):
        requested = f"{request.get('name')!r} at {request.get('listen')!r}"
        raise HandoverError(f"asked for {requested}: this is {name} at {listen}")


def encode_message(content: dict[str, Any]) -> bytes:
    """Return header and body. Raises `HandoverError` where the body exceeds its maximum."""
    text = json.dumps(content, separators=(",", ":")).encode()
    if len(text) > MAX_BODY_BYTES:
        raise HandoverError(f"state of {len(text)} bytes: wanted {MAX_BODY_BYTES} at most")
    return HEADER.pack(MAGIC, VERSION, len(text), zlib.crc32(text)) + text


def decode_header(header: bytes) -> tuple[int, int]:
    """Return length and CRC-32 of the body. Raises `HandoverError` for anything but a header of this version."""
    if len(header) != HEADER.size:
        raise HandoverError("the handover header is cut short")
    magic, version, length, crc = HEADER.unpack(header)
    if magic != MAGIC:
        raise HandoverError("not a handover message: its magic number is wrong")
    if version != VERSION:
        raise HandoverError(f"version is {version}: wanted {VERSION}")
    if length > MAX_BODY_BYTES:
        raise HandoverError(f"state of {length} bytes: wanted {MAX_BODY_BYTES} at most")
    return length, crc


def decode_body(text: bytes, length: int, crc: int) -> dict[str, Any]:
    """Return the body's object. Raises `HandoverError` where it doesn't match its header or is not an object."""
    if len(text) != length:
        raise HandoverError(f"state of {len(text)} bytes: wanted {length}")
    if zlib.crc32(text) != crc:
        raise HandoverError("the state does not match its CRC-32")
    return _decode_object(text)


def _decode_object(text: bytes) -> dict[str, Any]:
    try:
        content = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"no JSON: {error}") from None
    if not isinstance(content, dict):
        raise HandoverError("wanted an object")
    return content
