"""Operators' calls, metrics and bans of backends. No I/O."""
