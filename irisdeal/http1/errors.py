"""Errors of the HTTP/1.1 server."""

from __future__ import annotations

from irisdeal.runtime.errors import IrisdealError


class MalformedRequestError(IrisdealError):
    """A request that cannot be parsed, or exceeds a limit; it is answered with `status` and `text`.

    Nothing after it on its connection can be parsed, so the connection is closed after the response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text
