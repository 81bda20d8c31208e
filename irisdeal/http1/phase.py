"""Where a request stands on its way through a process."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """What a request waits for. The values are those of the metrics' label `phase`."""

    PIPELINED = "pipelined"  # an earlier request of its connection
    STARTED = "started"  # nothing yet, or a first configuration
    TENANT_QUEUE = "tenant_queue"  # a place within its tenant's bound
    PLACEMENT = "placement"  # a registry's permit and place
    CONNECTING = "connecting"  # a connection to a backend
    BACKEND = "backend"  # a backend that may be at work on it
    ANSWERED = "answered"  # its answer has been written
