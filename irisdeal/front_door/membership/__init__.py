"""When a front door polls the discovery service for the list of backends, and for what.

No I/O; the caller passes the time.
"""
