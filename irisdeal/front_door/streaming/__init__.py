"""Byte budget and progress rules for bodies that are streamed through a front door.

No I/O; the caller passes the time.
"""
