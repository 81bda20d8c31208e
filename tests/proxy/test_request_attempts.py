"""A request's attempts, in virtual time: what is retried, and which response is returned. Backends are
scripted.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.http1.messages import Request, Response
from irisdeal.permits.messages import PrefetchReply
from irisdeal.proxy.attempt_outcome import AttemptEnd, AttemptOutcome
from irisdeal.proxy.backend_request import BackendRequest
from irisdeal.proxy.process import Proxy
from irisdeal.proxy.request_attempts import RequestAttempts
from irisdeal.proxy.route_table import Route
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.settings import Bind, Settings
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.errors import SimulationStalledError
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.world import START_US, World

SETTINGS = Settings(
    node_name="d",
    role="proxy",
    ip="10.1.0.3",
    zone="z",
    port_range=(7340, 7355),
    seed_peers=("10.1.0.4:1",),
    zones={"z": "r"},
    region="r",
    bounds=("retry_slack=56",),
    bind=Bind(front="10.1.0.3:80", readiness="10.1.0.3:81"),
)
GOOD = AttemptOutcome(AttemptEnd.RESPONSE, "", 200, [(b"X-Irisdeal-Backend-Seal", b"s")], (b"body",))
SERVER_ERROR = AttemptOutcome(AttemptEnd.RESPONSE, "", 500)
LOST = AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, "cut")
UNSENT = AttemptOutcome(AttemptEnd.NOT_SENT, "refused")
NOT_EXECUTED = AttemptOutcome(AttemptEnd.NOT_EXECUTED, "full", 503)
TIMED_OUT = AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, "no answer in time", is_timed_out=True)
Script = list[tuple[float, AttemptOutcome]]  # duration in s and outcome of each attempt


class ProxyRun:
    """One proxy with a route and three backends; `sent`: the backend and time of each attempt."""

    def __init__(
        self,
        kind: str,
        script: Script,
        tries: int = 2,
        keys: bool = False,
        rate: float = 0.0,
        prefetched: int = 0,
    ) -> None:
        """`rate`: the tenant's limit; `prefetched`: prefetched permits."""
        self.world = World(1)
        self.machine = Machine(self.world, Network(self.world), "proxy", Core(), Costs())
        self.kind, self.script, self.tries, self.keys = kind, list(script), tries, keys or rate > 0
        self.rate, self.prefetched = rate, prefetched
        self.sent: list[tuple[str, float]] = []
        self.messages: list[bytes] = []
        self.has_disconnected = False
        self.prepare: Callable[[Proxy], None] = lambda proxy: None

    def proxy(self) -> Proxy:
        proxy = Proxy(SETTINGS)
        proxy.watcher.has_answered.set()
        proxy.admission.max_reported_proxies, proxy.retry_budgets.slack_from = 8, 0.0  # not just started
        rule = {
            "name": "r",
            "kind": self.kind,
            "target_ms": 400,
            "pattern": {"path_prefix": "/a/"},
            "effect": {"service": "s", "timeout_ms": 2000, "max_tries": self.tries},
        }
        body = {"generation": "r1", "pools": [{"name": "s"}], "sockets": [{"hostname": "h", "rules": [rule]}]}
        if self.keys:
            body["tenants"] = [{"name": "t", "api_keys": ["k"], "priority": 1, "rate_per_s": self.rate}]
        proxy._on_version(ConfigVersion.of("r1", json.dumps(body).encode()))
        for number in range(3):
            proxy._on_incarnation(
                BackendIncarnation(
                    f"i-{number}", "s", f"10.9.0.{number}:80", "z", 2, BackendState.READY, 1, 0.0
                ),
                False,
            )

        async def send(backend: Any, request: BackendRequest) -> AttemptOutcome:
            self.sent.append((backend.id, self.machine.time()))
            self.messages.append(request.message)
            request.is_sent = True
            seconds, outcome = self.script.pop(0)
            await asyncio.sleep(seconds)
            return outcome

        if self.prefetched:
            reply = PrefetchReply(1, True, {"t": self.prefetched})
            proxy.admission.prefetched.receive_reply("g", reply, self.machine.time(), self.machine.time())
        proxy.pool.send = send  # type: ignore[method-assign]
        self.prepare(proxy)
        return proxy

    def send_request(self, **headers: str) -> Response:
        """Return the response to one request."""
        responses: list[Response] = []
        self.started_proxy: Proxy | None = None

        async def run() -> int:
            self.started_proxy = proxy = self.proxy()
            named = {"Host": "h", "X-Irisdeal-Attempt-Id": "1", "X-Irisdeal-Deadline-Ms": "1500", **headers}
            fields = [(name.encode(), value.encode()) for name, value in named.items()]
            request = Request(b"POST", b"/a/x", fields, b"text", self.machine.time())
            request.disconnected_at = self.machine.time() if self.has_disconnected else None
            work: Awaitable[Response] = proxy.handler.serve(request)
            responses.append(await work)
            self.duration_s = self.machine.time() - request.received_at
            return 0

        self.machine.start(run())
        self.world.run(lambda: bool(responses), START_US + 10_000_000)
        return responses[0]


KEY = {"Authorization": "Bearer k"}


@pytest.mark.parametrize("prefetched", [0, 1])
def test_a_tenant_with_a_limit_uses_only_prefetched_permits_while_no_registry_replies(
    prefetched: int,
) -> None:
    proxy_run = ProxyRun("mutating", [(0.01, GOOD)], rate=5.0, prefetched=prefetched)
    response = proxy_run.send_request(**KEY)
    assert (response.status, len(proxy_run.sent)) == ((200, 1) if prefetched else (503, 0))
    assert prefetched or any(name == b"Retry-After" for name, _ in response.headers)
    assert prefetched or proxy_run.duration_s < 0.2, "rejected within half of the latency target of 0.4 s"
    assert (
        proxy_run.started_proxy is not None
        and proxy_run.started_proxy.admission.prefetched.count("t", 0.0) == 0
    )


def test_a_tenant_without_a_limit_needs_no_permit() -> None:
    proxy_run = ProxyRun("mutating", [(0.01, GOOD)], keys=True)
    assert proxy_run.send_request(**KEY).status == 200


@pytest.mark.parametrize(
    ("first", "prefetched", "status", "attempts"),
    [
        (LOST, 1, 502, 1),  # it may have been executed, so a retry needs another permit
        (LOST, 2, 200, 2),
        (NOT_EXECUTED, 1, 200, 2),  # its permit is used again
        (UNSENT, 1, 200, 2),
    ],
)
def test_each_execution_consumes_its_own_permit(
    first: AttemptOutcome, prefetched: int, status: int, attempts: int
) -> None:
    proxy_run = ProxyRun("idempotent", [(0.01, first), (0.01, GOOD)], rate=5.0, prefetched=prefetched)
    assert proxy_run.send_request(**KEY).status == status and len(proxy_run.sent) == attempts


def test_a_permit_is_not_used_after_it_expired() -> None:
    proxy_run = ProxyRun("mutating", [(0.4, NOT_EXECUTED), (0.01, GOOD)], rate=5.0, prefetched=1)
    assert proxy_run.send_request(**KEY).status == 503 and len(proxy_run.sent) == 1


@pytest.mark.parametrize(
    ("first", "status", "attempts"),
    [
        (LOST, 502, 1),  # it may have been executed
        (SERVER_ERROR, 500, 1),  # it was executed
        (NOT_EXECUTED, 200, 2),
        (UNSENT, 200, 2),
    ],
)
def test_a_mutating_request_is_retried_only_if_it_was_not_executed(
    first: AttemptOutcome,
    status: int,
    attempts: int,
) -> None:
    proxy_run = ProxyRun("mutating", [(0.01, first), (0.01, GOOD)])
    assert proxy_run.send_request().status == status
    assert len(proxy_run.sent) == attempts and len({id_ for id_, _ in proxy_run.sent}) == attempts


@pytest.mark.parametrize("first", [LOST, SERVER_ERROR, NOT_EXECUTED, UNSENT])
def test_an_idempotent_request_is_retried_after_any_failure(first: AttemptOutcome) -> None:
    proxy_run = ProxyRun("idempotent", [(0.01, first), (0.01, GOOD)])
    assert proxy_run.send_request().status == 200 and len(proxy_run.sent) == 2


@pytest.mark.parametrize("kind", ["mutating", "idempotent"])
def test_a_request_that_was_not_executed_is_rejected_at_once_with_retry_after(kind: str) -> None:
    proxy_run = ProxyRun(kind, [(0.01, NOT_EXECUTED), (0.01, NOT_EXECUTED), (0.0, GOOD)])
    response = proxy_run.send_request()
    assert response.status == 503 and any(name == b"Retry-After" for name, _ in response.headers)
    assert len(proxy_run.sent) == 2 and proxy_run.duration_s < 0.1


def test_a_request_that_may_have_been_executed_gets_no_503_after_a_later_rejection() -> None:
    assert ProxyRun("idempotent", [(0.01, LOST), (0.01, NOT_EXECUTED)]).send_request().status == 502


def test_a_hedged_request_is_sent_beside_a_slow_one_and_the_first_response_counts() -> None:
    proxy_run = ProxyRun("idempotent", [(1.4, GOOD), (0.05, GOOD)])
    assert proxy_run.send_request().status == 200
    assert len(proxy_run.sent) == 2 and proxy_run.duration_s < 0.7


# Guards against Fault: bodies of ended requests were held, beside a full budget, until a garbage collection.
def test_a_request_whose_attempt_was_abandoned_is_freed_without_the_garbage_collector() -> None:
    def held() -> int:
        return sum(isinstance(held, RequestAttempts) for held in gc.get_objects())

    gc.collect()
    before = held()
    gc.disable()
    try:
        run = ProxyRun("idempotent", [(1.5, GOOD), (0.01, GOOD)])
        assert run.send_request().status == 200
        assert len(run.sent) == 2
        with contextlib.suppress(SimulationStalledError):  # until the abandoned attempt has ended, too
            run.world.run(lambda: False, START_US + 11_000_000)
        assert held() == before
    finally:
        gc.enable()


def test_a_mutating_request_is_not_hedged() -> None:
    proxy_run = ProxyRun("mutating", [(1.4, GOOD)])
    assert proxy_run.send_request().status == 200 and len(proxy_run.sent) == 1


def test_no_hedged_request_is_sent_if_all_backends_are_busy() -> None:
    proxy_run = ProxyRun("idempotent", [(1.4, GOOD)])

    def busy(proxy: Proxy) -> None:
        for backend in proxy.directory.backends.values():
            backend.in_flight_elsewhere = 2.0

    proxy_run.prepare = busy
    assert proxy_run.send_request().status == 200 and len(proxy_run.sent) == 1


def test_a_backend_whose_queue_took_too_long_is_not_ejected() -> None:
    proxy_run = ProxyRun("mutating", [(0.2, TIMED_OUT)])
    proxy_run.send_request()
    assert proxy_run.started_proxy is not None
    assert all(backend.ejected_until < 0 for backend in proxy_run.started_proxy.directory.backends.values())


def test_nothing_is_sent_for_a_client_that_has_disconnected() -> None:
    proxy_run = ProxyRun("mutating", [(0.01, GOOD)])
    proxy_run.has_disconnected = True
    proxy_run.send_request()
    assert not proxy_run.sent


def test_a_proxy_does_not_retry_when_its_budget_is_exhausted() -> None:
    proxy_run = ProxyRun("idempotent", [(0.01, LOST), (0.01, GOOD)])
    proxy_run.prepare = lambda proxy: setattr(proxy.retry_budgets, "slack", 0.0)
    assert proxy_run.send_request().status == 502 and len(proxy_run.sent) == 1


def test_a_backend_receives_the_tenant_and_never_the_key() -> None:
    proxy_run = ProxyRun("mutating", [(0.01, GOOD)], keys=True)
    response = proxy_run.send_request(
        **{
            "Authorization": "Bearer k",
            "X-Irisdeal-Tenant": "other",
            "X_Irisdeal_Tenant": "other",
            "X-Irisdeal-Target-Backend": "i-9",
            "Connection": "close, X-Hop",
            "X-Hop": "1",
            "X-Own": "kept",
        }
    )
    assert response.status == 200
    text = proxy_run.messages[0].lower()
    assert text.count(b"tenant") == 1 and b"x-irisdeal-tenant: t\r\n" in text
    assert b"bearer" not in text and b"i-9" not in text and b"x-hop" not in text and b"x-own: kept" in text
    assert text.count(b"x-irisdeal-target-backend: ") == 1 and text.endswith(b"\r\n\r\ntext")


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({"Authorization": "Bearer wrong"}, 401),
        ({}, 401),
        ({"Authorization": "Bearer k", "Host": "other"}, 404),
        ({"Authorization": "Bearer k", "X-Irisdeal-Deadline-Ms": "soon"}, 400),
    ],
)
def test_a_request_that_the_configuration_does_not_allow_is_not_sent(
    headers: dict[str, str], status: int
) -> None:
    proxy_run = ProxyRun("mutating", [(0.01, GOOD)], keys=True)
    assert proxy_run.send_request(**headers).status == status and not proxy_run.sent


def test_each_service_of_a_weighted_route_gets_its_share_of_any_100_requests() -> None:
    proxy_run = ProxyRun("idempotent", [(0.01, GOOD)])
    drawn: list[str] = []

    def draw(proxy: Proxy) -> None:
        cumulative_weights = (("small", 10.0), ("middle", 40.0), ("large", 100.0))
        route = Route("weighted", b"/a/", False, 0.4, 2.0, 2, 0, False, cumulative_weights, 100.0)
        drawn.extend(proxy.handler._pick_service(route) for _ in range(2000))

    proxy_run.prepare = draw
    assert proxy_run.send_request().status == 200
    for first in range(0, 1900, 7):
        part = drawn[first : first + 100]
        for name, share in (("small", 10), ("middle", 30), ("large", 60)):
            assert abs(part.count(name) - share) <= 3, (first, name)


def test_a_draining_incarnation_gets_no_requests_even_after_an_outdated_report() -> None:
    proxy_run = ProxyRun("mutating", [(0.01, GOOD)])

    def drain(proxy: Proxy) -> None:
        for number in range(3):
            if number != 1:
                for state in (BackendState.DRAINING, BackendState.READY):
                    proxy._on_incarnation(
                        BackendIncarnation(f"i-{number}", "s", "10.9.0.1:80", "z", 2, state, 9, 0.0), False
                    )

    proxy_run.prepare = drain
    assert proxy_run.send_request().status == 200 and [id_ for id_, _ in proxy_run.sent] == ["i-1"]
