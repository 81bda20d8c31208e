"""HTTP/1.1 server: passes complete requests to a handler, and sends its responses in the order of the requests."""
