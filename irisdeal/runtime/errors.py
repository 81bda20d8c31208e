"""Error types shared by the gateway's programs.

`IrisdealError` is the base class. Its subclasses may be raised, or returned in the `Failure` of a
`returns.result.Result`, as RPC calls and the loading of settings do. Each type states whether the operation may be
retried, as the errors of aiokafka do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


class IrisdealError(Exception):
    """Base class of the gateway's errors.

    `is_retriable`: whether the fault is transient, so that a retry of the same operation may succeed. Whether a
    retry is safe depends on the call's `RetryRule` (`irisdeal.rpc.calls`) and on `OperationError.never_sent`.
    """

    is_retriable: ClassVar[bool] = False


@dataclass(unsafe_hash=True)
class OperationError(IrisdealError):
    """An operation that failed.

    `step`: the operation ("connect", "settings", the kind of a call); `peer`: what it was performed on
    ("10.1.0.3:7340", a path, a key in a file); `detail`: the cause, such as the value found and the value expected;
    `never_sent`: whether no byte of the operation has left this process, so that a retry is safe.
    """

    step: str
    peer: str
    detail: str
    never_sent: bool = False

    def __str__(self) -> str:
        return f"{self.step} {self.peer}: {self.detail}"


class ConnectError(OperationError):
    """No connection to the peer could be opened in time; nothing was sent."""

    is_retriable = True


class ConnectionLostError(OperationError):
    """The connection closed before the answer arrived; the peer may have run the call."""

    is_retriable = True


class CallTimeoutError(OperationError):
    """No answer arrived before the call's deadline; the peer may have run the call, and may still answer."""

    is_retriable = True


class MessageTooLongError(OperationError):
    """The message exceeds the maximum frame length; nothing was sent."""


class RemoteError(OperationError):
    """The peer answered with an error; `detail` is its text."""


class SettingsError(OperationError):
    """The settings file cannot be read, or one of its fields is invalid; `peer` is the file or the field."""


class AddressUnavailableError(OperationError):
    """A listening socket could not be opened in time, as its address is in use or not assigned to the machine."""
