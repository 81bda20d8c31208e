"""When a front door polls the discovery service for the list of backends, and for what. No I/O, no own clock."""
