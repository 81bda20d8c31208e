"""The typed errors that the gateway's programs share.

`IrisdealError` is the root. An error of this tree may be raised, or stand as a value in the `Failure` of a
`returns.result.Result`; the calls between processes and the reading of settings return it as a value. Each type
knows whether it is worth another attempt, as those of aiokafka do.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar


class IrisdealError(Exception):
    """Root of the typed errors.

    `is_retriable`: whether the fault is transient, so that another attempt of the same operation may succeed.
    It does not say that a repetition is safe: that is decided by the call's `RetryRule` (`irisdeal.rpc.calls`), or
    by `OperationError.never_sent`.
    """

    is_retriable: ClassVar[bool] = False


@dataclass(unsafe_hash=True)
class OperationError(IrisdealError):
    """An operation that failed: at which step, with whom and why.

    `step` names the operation ("connect", "settings", the kind of a call), `peer` its other side ("10.1.0.3:7340",
    a path, a key of a file), `detail` what was found and what was wanted. `never_sent` says that no byte of the
    operation has left this process, so that it is safe to repeat.
    """

    step: str
    peer: str
    detail: str
    never_sent: bool = False

    def __str__(self) -> str:
        return f"{self.step} {self.peer}: {self.detail}"


class ConnectError(OperationError):
    """No connection to the peer came up in time; nothing was sent."""

    is_retriable = True


class ConnectionLostError(OperationError):
    """The connection ended before the answer came; the peer may have run the call."""

    is_retriable = True


class CallTimeoutError(OperationError):
    """No answer came within the call's time; the peer may have run the call, and may still answer."""

    is_retriable = True


class MessageTooLongError(OperationError):
    """The message is longer than a frame may be; nothing was sent."""


class RemoteError(OperationError):
    """The peer answered with an error; `detail` is its text."""


class SettingsError(OperationError):
    """The settings file cannot be read, or one of its fields is wrong; `peer` is the file or the field."""
