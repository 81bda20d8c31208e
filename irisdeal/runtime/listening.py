"""Listening at an address that is not available yet.

Another socket may hold an address for a while: a former process that still ends, or an outgoing connection whose
port the kernel chose. A machine may also get its address late.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable

from irisdeal.runtime.errors import AddressUnavailableError
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.settings import Address, Settings

DEFAULT_RECOVERY_S = 15.0  # if the settings have no `recovery_s`
RETRY_INTERVAL_S = 0.1
UNAVAILABLE_ERRNOS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)


async def listen_when_available(
    listen: Callable[[], Awaitable[None]], address: Address, max_wait_s: float
) -> None:
    """Call `listen`, repeatedly while its address is unavailable.

    Raises AddressUnavailableError after `max_wait_s`, and OSError at once if listening fails for another reason.
    """
    loop = asyncio.get_running_loop()
    started_at, is_logged = loop.time(), False
    text = f"{address[0]}:{address[1]}"
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in UNAVAILABLE_ERRNOS:
                raise
            if loop.time() - started_at >= max_wait_s:
                raise AddressUnavailableError("listen", text, f"{error}, for {max_wait_s:g} s") from None
            if not is_logged:
                log_event(Event.ADDRESS_UNAVAILABLE, address=text, error=error)
            is_logged = True
        await asyncio.sleep(RETRY_INTERVAL_S)


def max_listen_wait_s(settings: Settings) -> float:
    """Return how long a start waits for an address: as long as a loss may last."""
    return settings.bound("recovery_s", DEFAULT_RECOVERY_S)
