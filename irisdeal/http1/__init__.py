"""The server side of HTTP/1.1: whole requests are handed to a handler, its answers go out in their order."""
