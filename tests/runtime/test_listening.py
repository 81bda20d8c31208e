"""Listening waits for an address, and gives up with an error that names it."""

from __future__ import annotations

import asyncio
import errno

import pytest

from irisdeal.runtime import listening
from irisdeal.runtime.errors import AddressUnavailableError
from irisdeal.runtime.listening import listen_when_available

ADDRESS = ("10.0.0.1", 7340)


class Listener:
    """Fails with each of these error numbers, then listens."""

    def __init__(self, *failures: int) -> None:
        self.failures = list(failures)
        self.is_listening = False

    async def listen(self) -> None:
        """Listen, or raise the next error."""
        if self.failures:
            raise OSError(self.failures.pop(0), "cannot listen")
        self.is_listening = True


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listening, "RETRY_INTERVAL_S", 0.0)


def test_an_address_in_use_or_late_is_tried_again_and_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    listener = Listener(errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EADDRINUSE)
    asyncio.run(listen_when_available(listener.listen, ADDRESS, 10.0))
    assert listener.is_listening
    assert [record.message[:4] for record in caplog.records] == ["E107"]
    assert "10.0.0.1:7340" in caplog.text


def test_the_wait_is_bounded() -> None:
    listener = Listener(*[errno.EADDRINUSE] * 1000)
    with pytest.raises(AddressUnavailableError, match=r"10\.0\.0\.1:7340"):
        asyncio.run(listen_when_available(listener.listen, ADDRESS, 0.0))


def test_another_error_is_not_waited_for() -> None:
    listener = Listener(errno.EACCES)
    with pytest.raises(PermissionError):
        asyncio.run(listen_when_available(listener.listen, ADDRESS, 10.0))
