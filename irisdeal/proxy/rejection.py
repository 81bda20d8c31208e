"""Final responses of the proxy's own, with when to come back where the request was not executed.

429 is raised in two places: `request_handler.py` (shed by chance) and `attempt_placer.py` (a registry has no
permit).
"""

from __future__ import annotations

from irisdeal.http1.messages import Response

FLOODED_RETRY_S = 1.0  # after which a client of a tenant that is far over its limit may come back
RETRY_S = 0.05  # likewise of one that is not: another proxy may have a permit
UNKNOWN_RETRY_S = 1.0  # likewise while no total is known: restarting registries have few permits at first
SHUTDOWN_RETRY_S = 0.05  # likewise where this process ends: another one serves at once
NO_PERMIT_RETRY_S = 0.6  # likewise where no registry issues permits: a restarting one is back in a second


class RejectionError(Exception):
    """A request is answered by the proxy itself.

    `status`: of the response; `text`: its body; `retry_after_s`: until the client may come back, None where coming
    back is of no use or the request may have been executed.
    """

    def __init__(self, status: int, text: str, retry_after_s: float | None = None) -> None:
        super().__init__(text)
        self.status, self.text, self.retry_after_s = status, text, retry_after_s

    def response(self) -> Response:
        """Return the response for the client."""
        headers = [(b"Content-Type", b"text/plain")]
        if self.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % self.retry_after_s))
        return Response(self.status, self.text.encode() + b"\n", headers)


def over_quota(is_flooded: bool, is_known: bool) -> RejectionError:
    """Return the rejection of what is beyond a tenant's limit.

    `is_flooded`: coming back at once is of no use; `is_known`: there are totals that say so.
    """
    if is_flooded:
        return RejectionError(429, "over the quota", FLOODED_RETRY_S)
    return RejectionError(429, "over the quota", RETRY_S if is_known else UNKNOWN_RETRY_S)


def permits_unavailable() -> RejectionError:
    """Return the rejection where no registry issues permits and none was prefetched."""
    return RejectionError(503, "no registry gives permits", NO_PERMIT_RETRY_S)


def shutting_down() -> RejectionError:
    """Return the rejection by a process that ends of what it could not finish: it was not executed."""
    return RejectionError(503, "this proxy ends", SHUTDOWN_RETRY_S)


def client_disconnected() -> RejectionError:
    """Return the rejection for a client that has disconnected, should it still read: it was not executed."""
    return RejectionError(503, "its client has left")
