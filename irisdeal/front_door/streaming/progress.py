"""Progress rules: whether a slow peer still makes progress, instead of one time-out for the whole message.

Times are seconds on the caller's clock, sizes bytes.
"""

from __future__ import annotations

HEAD_TIMEOUT_S = 2.5  # a head may take 2 s (operators' page, Size); the rest is for a busy event loop
BODY_IDLE_TIMEOUT_S = 2.5  # a client may send no byte of its body for this long
MIN_BODY_BYTES_PER_S = 16_000.0  # a quarter of what slow clients send
RESPONSE_IDLE_TIMEOUT_S = 10.0  # a streamed response may make no progress for this long, on either side
# A small response may pause for this long between two reads; the time-out of its attempt applies as well.
SMALL_RESPONSE_IDLE_TIMEOUT_S = 2.0
MAX_BODY_BYTES = (32 << 20) + (64 << 10)  # 32 MB, with either meaning of MB
MAX_REPLAY_BYTES = 256 << 10  # of a body that are kept for a retry


class ReceiveProgress:
    """Progress of one message that is being received: its head, then its body."""

    __slots__ = ("in_body", "last_received_at", "received_bytes", "started_at")

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.last_received_at = now
        self.in_body = False
        self.received_bytes = 0

    def head_complete(self, now: float) -> None:
        """Record that the head is complete: the body's time starts."""
        self.in_body = True
        self.started_at = now
        self.last_received_at = now
        self.received_bytes = 0

    def received(self, size: int, now: float) -> None:
        """Record `size` bytes of the body."""
        if size:
            self.last_received_at = now
            self.received_bytes += size

    def reading_resumed(self, now: float) -> None:
        """Record that reading was paused until now: that pause does not make the peer slow."""
        self.started_at = max(self.started_at, now - self.received_bytes / MIN_BODY_BYTES_PER_S)
        self.last_received_at = now

    def is_too_slow(self, now: float) -> bool:
        """Return whether the head took too long, or the body pauses or arrives below the minimum rate."""
        if not self.in_body:
            return now - self.started_at > HEAD_TIMEOUT_S
        if now - self.last_received_at > BODY_IDLE_TIMEOUT_S:
            return True
        return now - self.started_at > BODY_IDLE_TIMEOUT_S + self.received_bytes / MIN_BODY_BYTES_PER_S
