"""The text of drawn days and logged records that their digests are taken of.

The digest of a day's schedule stands in the JSON of `irisdeal demo`, and that of a run in the output of the
fault search: people compare them between versions. So the text spells types, fields and enum members as the
first version did, whatever the code calls them today. Everything else is spelled as by `repr`.
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
