"""Text form of drawn days and logged records, from which their digests are computed.

The digest of a day's schedule is part of the JSON output of `irisdeal demo`, and the digest of a run part of the
output of the fault search. They are compared between versions, so the text uses the type, field and enum member
names of the first version, regardless of later renames. All other values are formatted by `repr`.
"""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from enum import Enum

TYPE_NAMES = {
    "Tenant": "Store",
    "ClientAttempt": "Taken",
    "EndpointNotice": "Told",
    "BackendIncarnation": "Life",
    "FrontDoorIncarnation": "DoorLife",
    "LinkFault": "Hold",
}
MEMBER_NAMES = {"REJECTED": "TURNED_AWAY"}
FIELD_NAMES = {
    "backend": "box",
    "front_door": "door",
    "zone": "hall",
    "incarnation": "life",
    "initial_capacity": "cold_from",
    "slow_start": "cold",
    "tenant": "store",
    "disconnected_at": "cut",
    "request_number": "ask",
    "honors_retry_after": "honours",
    "flood_at": "once",
}


def digest_text(value: object) -> str:
    """Return the text of a value: dataclasses, enum members, lists and tuples of them, or plain values."""
    if isinstance(value, Enum):
        name = MEMBER_NAMES.get(value.name, value.name)
        return f"<{type(value).__name__}.{name}: {value.value!r}>"
    if is_dataclass(value) and not isinstance(value, type):
        name = type(value).__name__
        inner = (
            f"{FIELD_NAMES.get(f.name, f.name)}={digest_text(getattr(value, f.name))}" for f in fields(value)
        )
        return f"{TYPE_NAMES.get(name, name)}({', '.join(inner)})"
    if isinstance(value, list):
        return f"[{', '.join(map(digest_text, value))}]"
    if isinstance(value, tuple):
        return f"({', '.join(map(digest_text, value))}{',' if len(value) == 1 else ''})"
    return repr(value)
