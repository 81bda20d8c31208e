"""Shared by all programs of the gateway: settings, errors, log events, metrics, ports, process startup."""
