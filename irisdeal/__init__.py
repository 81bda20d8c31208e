"""A quota gateway: front doors on real sockets round `cresspulley`, and their tools."""

__version__ = "0.3.0"
