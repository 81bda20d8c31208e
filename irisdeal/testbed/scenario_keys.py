"""Keys of scenario files beside the names that the code uses for them: the one place of translation.

Scenario files are the users' format, so their keys stay; the code uses the field's standard terms. A field
that is not listed here has its own name as its key.
"""

from __future__ import annotations

KEY_OF_FIELD = {
    "attempt_share": "try_share",
    "backends": "boxes",
    "beyond_value": "beyond_worth",
    "counter": "keeper",
    "direction": "way",
    "discovery": "roster",
    "front_door": "door",
    "front_doors": "doors",
    "initial_capacity": "cold_from",
    "late_value": "late_worth",
    "latency_target_ms": "aim_ms",
    "shards": "parts",
    "slow_start_s": "cold_s",
    "tenants": "stores",
    "value": "worth",
    "zone": "hall",
    "zones": "halls",
}
FIELD_OF_KEY = {key: name for name, key in KEY_OF_FIELD.items()}


def key_of(name: str) -> str:
    """Return the key in a scenario file of the field called `name`."""
    return KEY_OF_FIELD.get(name, name)


def field_of(key: str) -> str:
    """Return the name of the field that a scenario file sets by `key`."""
    return FIELD_OF_KEY.get(key, key)
