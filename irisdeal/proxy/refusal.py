"""A final answer of the proxy's own, with when to come back where the request has not run."""

from __future__ import annotations

from irisdeal.http1.messages import Answer

FLOODED_AGAIN_S = 1.0  # after which a client of a tenant that is far over its limit may come back
AGAIN_S = 0.05  # likewise of one that is not: another proxy may have a permit
UNKNOWN_AGAIN_S = (
    1.0  # likewise while no total is known: registries that start again have little to give at first
)
LEAVING_AGAIN_S = 0.05  # likewise where this process ends: another serves at once
NO_PERMIT_AGAIN_S = 0.6  # likewise where no registry gives permits: one that starts again is back in a second


class Refused(Exception):
    """A final answer of our own."""

    def __init__(self, status: int, text: str, after: float | None = None) -> None:
        """`after`: s until the client may come back."""
        super().__init__(text)
        self.status, self.text, self.after = status, text, after

    def answer(self) -> Answer:
        """As the client gets it."""
        headers = [(b"Content-Type", b"text/plain")]
        if self.after is not None:
            headers.append((b"Retry-After", b"%.2f" % self.after))
        return Answer(self.status, self.text.encode() + b"\n", headers)


def over_quota(is_flooded: bool, is_known: bool) -> Refused:
    """The answer to what is beyond a tenant's limit. `is_flooded`: coming back at once is of no use;
    `is_known`: whether there are totals that tell so."""
    after = FLOODED_AGAIN_S if is_flooded else AGAIN_S if is_known else UNKNOWN_AGAIN_S
    return Refused(429, "over the quota", after)


def without_permits() -> Refused:
    """The answer where no registry gives permits and none is held."""
    return Refused(503, "no registry gives permits", NO_PERMIT_AGAIN_S)


def leaving() -> Refused:
    """The answer of a process that ends to what it could not finish: it has not run."""
    return Refused(503, "this proxy ends", LEAVING_AGAIN_S)


def client_left() -> Refused:
    """The answer to who has left, should it still read: its request has not run."""
    return Refused(503, "its client has left")
