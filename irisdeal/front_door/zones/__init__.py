"""How a fleet of doors leaves a zone of backends that is lost, and comes back. Pure."""
