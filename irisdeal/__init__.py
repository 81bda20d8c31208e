"""A quota gateway: front doors on real sockets round `irisdeal.front_door.decisions`, and their tools."""

__version__ = "0.3.0"
