"""Processing phases of a request."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """What a request is waiting for. The values are those of the metric label `phase`."""

    PIPELINED = "pipelined"  # waits for the response to an earlier request on its connection
    STARTED = "started"  # does not wait, or waits for the first configuration
    TENANT_QUEUE = "tenant_queue"  # waits for the concurrency limit of its tenant
    PLACEMENT = "placement"  # waits for a permit and a backend from a registry
    CONNECTING = "connecting"  # waits for a connection to a backend
    BACKEND = "backend"  # waits for a backend, which may be running it
    ANSWERED = "answered"  # its response has been written
