"""The errors of the server side of HTTP/1.1."""

from __future__ import annotations

from irisdeal.runtime.errors import IrisdealError


class MalformedRequestError(IrisdealError):
    """A request that cannot be read, or exceeds a limit; it is answered with `status` and `text`.

    Nothing behind it on its connection can be read, so that the connection ends with the answer.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text
