"""The phases of a request on its way through a process."""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """What a request waits for. The values are those of the metrics' label `phase`."""

    PIPELINED = "pipelined"  # the answer to an earlier request of its connection
    STARTED = "started"  # nothing yet, or the first configuration
    TENANT_QUEUE = "tenant_queue"  # its turn within the bound of its tenant
    PLACEMENT = "placement"  # a registry's permit and choice of a backend
    CONNECTING = "connecting"  # a connection to a backend
    BACKEND = "backend"  # a backend, which may be at work on it
    ANSWERED = "answered"  # nothing more: its answer has been written
