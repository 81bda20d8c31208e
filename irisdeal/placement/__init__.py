"""Placement of attempts on backends by a registry, for all proxies that ask it. No input or output here."""
