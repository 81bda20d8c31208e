"""Overload protection of a front door: connection slots, accept backlog, event loop lag.

No I/O; the caller passes the time.
"""
