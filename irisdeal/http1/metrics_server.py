"""Serves the metrics of a process over HTTP, if the settings enable it."""

from __future__ import annotations

import asyncio
import math

from irisdeal.http1.messages import Request, Response
from irisdeal.http1.server import HttpServer
from irisdeal.runtime.listening import listen_when_available
from irisdeal.runtime.metrics import CONTENT_TYPE, Metrics, parse_metrics_address
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks


class MetricsServer:
    """Serves the metrics as text at the path of the `metrics` setting; does nothing if that is empty."""

    def __init__(self, settings: Settings, metrics: Metrics, loop: asyncio.AbstractEventLoop) -> None:
        self.metrics = metrics
        self.address = parse_metrics_address(settings.metrics) if settings.metrics else None
        self.ip = settings.ip
        self.http = HttpServer(self._answer, loop)
        self.tasks = Tasks()

    def start(self) -> None:
        """Listen, in the background: a process serves without its metrics while their port is in use."""
        if self.address is not None:
            address = self.ip, self.address.port
            self.tasks.start(listen_when_available(lambda: self.http.listen(address), address, math.inf))

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.tasks.cancel()
        self.http.close()

    async def _answer(self, request: Request) -> Response:
        assert self.address is not None
        if request.target.partition(b"?")[0] != self.address.path.encode():
            return Response(404, b"no such page\n")
        if request.method not in (b"GET", b"HEAD"):
            return Response(405, b"wanted GET\n", [(b"Allow", b"GET, HEAD")])
        return Response(200, self.metrics.text(), [(b"Content-Type", CONTENT_TYPE)])
