"""How a fleet of front doors stops sending to a zone of backends that is lost, and returns.

No I/O; the caller passes the time.
"""
