"""Placement of attempts on backends by a registry, for all proxies that send it requests. Does no I/O."""
