"""A request's attempts, in virtual time: what may go on and what is promised. Backends are scripts."""

from __future__ import annotations

import asyncio
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
from irisdeal.proxy.route_table import Route
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.settings import Bind, Settings
from irisdeal.simulation.cpu import Core, Costs
from irisdeal.simulation.machine import Machine
from irisdeal.simulation.network import Network
from irisdeal.simulation.world import START, World

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
GOOD = AttemptOutcome(AttemptEnd.RESPONSE, "", 200, [(b"X-Irisdeal-Backend-Seal", b"s")], b"body")
OWN_500 = AttemptOutcome(AttemptEnd.RESPONSE, "", 500, [], b"")
LOST, UNSENT = (
    AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, "cut"),
    AttemptOutcome(AttemptEnd.NOT_SENT, "refused"),
)
PROMISE = AttemptOutcome(AttemptEnd.NOT_EXECUTED, "full", 503)
LATE = AttemptOutcome(AttemptEnd.MAY_HAVE_EXECUTED, "no answer in time", is_timed_out=True)
Script = list[tuple[float, AttemptOutcome]]  # s, and the end of each attempt in turn


class Play:
    """One proxy, its table and three backends; `sent` are the attempts, by backend."""

    def __init__(
        self,
        kind: str,
        script: Script,
        tries: int = 2,
        keys: bool = False,
        rate: float = 0.0,
        held: int = 0,
    ) -> None:
        """`rate`: the tenant's limit; `held`: permits that the proxy holds ahead."""
        self.world = World(1)
        self.machine = Machine(self.world, Network(self.world), "proxy", Core(), Costs())
        self.kind, self.script, self.tries, self.keys = kind, list(script), tries, keys or rate > 0
        self.rate, self.held = rate, held
        self.sent: list[tuple[str, float]] = []
        self.messages: list[bytes] = []
        self.left = False
        self.prepare: Callable[[Proxy], None] = lambda proxy: None

    def proxy(self) -> Proxy:
        proxy = Proxy(SETTINGS)
        proxy.watcher.has_answered.set()
        proxy.admission.max_reported_proxies, proxy.retry_budgets.slack_from = 8, 0.0  # it runs since long
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

        if self.held:
            reply = PrefetchReply(1, True, {"t": self.held})
            proxy.admission.prefetched.receive_reply("g", reply, self.machine.time(), self.machine.time())
        proxy.pool.send = send  # type: ignore[method-assign]
        self.prepare(proxy)
        return proxy

    def ask(self, **headers: str) -> Response:
        """The answer to one request; virtual time goes on for 3 s behind it."""
        answers: list[Response] = []
        self.made: Proxy | None = None

        async def run() -> int:
            self.made = proxy = self.proxy()
            named = {"Host": "h", "X-Irisdeal-Attempt-Id": "1", "X-Irisdeal-Deadline-Ms": "1500", **headers}
            fields = [(name.encode(), value.encode()) for name, value in named.items()]
            request = Request(b"POST", b"/a/x", fields, b"text", self.machine.time())
            request.disconnected_at = self.machine.time() if self.left else None
            work: Awaitable[Response] = proxy.handler.serve(request)
            answers.append(await work)
            self.took = self.machine.time() - request.received_at
            return 0

        self.machine.start(run())
        self.world.run(lambda: bool(answers), START + 10_000_000)
        return answers[0]


KEY = {"Authorization": "Bearer k"}


@pytest.mark.parametrize("held", [0, 1])
def test_a_tenant_with_a_limit_runs_on_what_is_held_alone_while_no_registry_answers(held: int) -> None:
    play = Play("mutating", [(0.01, GOOD)], rate=5.0, held=held)
    answer = play.ask(**KEY)
    assert (answer.status, len(play.sent)) == ((200, 1) if held else (503, 0))
    assert held or any(name == b"Retry-After" for name, _ in answer.headers)
    assert held or play.took < 0.2, "a quarter of the aim is 0.1 s, and it was given up before half of it"
    assert play.made is not None and play.made.admission.prefetched.count("t", 0.0) == 0


def test_a_tenant_without_a_limit_needs_no_permit() -> None:
    play = Play("mutating", [(0.01, GOOD)], keys=True)
    assert play.ask(**KEY).status == 200


@pytest.mark.parametrize(
    ("first", "held", "status", "attempts"),
    [
        (LOST, 1, 502, 1),  # it may have run: a second one is a run of its own
        (LOST, 2, 200, 2),
        (PROMISE, 1, 200, 2),  # it has not run, so its permit serves once more
        (UNSENT, 1, 200, 2),
    ],
)
def test_each_run_takes_a_permit_of_its_own(
    first: AttemptOutcome, held: int, status: int, attempts: int
) -> None:
    play = Play("idempotent", [(0.01, first), (0.01, GOOD)], rate=5.0, held=held)
    assert play.ask(**KEY).status == status and len(play.sent) == attempts


def test_a_permit_is_not_used_late() -> None:
    play = Play("mutating", [(0.4, PROMISE), (0.01, GOOD)], rate=5.0, held=1)
    assert play.ask(**KEY).status == 503 and len(play.sent) == 1


@pytest.mark.parametrize(
    ("first", "status", "attempts"),
    [
        (LOST, 502, 1),  # it may have run: never again, and no promise
        (OWN_500, 500, 1),  # it has run
        (PROMISE, 200, 2),
        (UNSENT, 200, 2),
    ],
)
def test_a_mutating_request_goes_on_only_where_it_has_not_run(
    first: AttemptOutcome,
    status: int,
    attempts: int,
) -> None:
    play = Play("mutating", [(0.01, first), (0.01, GOOD)])
    assert play.ask().status == status
    assert len(play.sent) == attempts and len({id_ for id_, _ in play.sent}) == attempts


@pytest.mark.parametrize("first", [LOST, OWN_500, PROMISE, UNSENT])
def test_an_idempotent_one_goes_on_after_any_failure(first: AttemptOutcome) -> None:
    play = Play("idempotent", [(0.01, first), (0.01, GOOD)])
    assert play.ask().status == 200 and len(play.sent) == 2


@pytest.mark.parametrize("kind", ["mutating", "idempotent"])
def test_what_ran_nowhere_is_promised_at_once_with_when_to_come_back(kind: str) -> None:
    play = Play(kind, [(0.01, PROMISE), (0.01, PROMISE), (0.0, GOOD)])
    answer = play.ask()
    assert answer.status == 503 and any(name == b"Retry-After" for name, _ in answer.headers)
    assert len(play.sent) == 2 and play.took < 0.1


def test_what_may_have_run_is_not_promised_after_a_later_promise() -> None:
    assert Play("idempotent", [(0.01, LOST), (0.01, PROMISE)]).ask().status == 502


def test_a_second_is_asked_beside_a_silent_one_and_the_first_answer_counts() -> None:
    play = Play("idempotent", [(1.4, GOOD), (0.05, GOOD)])
    assert play.ask().status == 200
    assert len(play.sent) == 2 and play.took < 0.7


def test_a_mutating_one_has_no_second_beside_it() -> None:
    play = Play("mutating", [(1.4, GOOD)])
    assert play.ask().status == 200 and len(play.sent) == 1


def test_no_second_where_all_are_busy() -> None:
    play = Play("idempotent", [(1.4, GOOD)])

    def busy(proxy: Proxy) -> None:
        for backend in proxy.directory.backends.values():
            backend.in_flight_elsewhere = 2.0

    play.prepare = busy
    assert play.ask().status == 200 and len(play.sent) == 1


def test_a_backend_whose_queue_took_too_long_is_not_left_out() -> None:
    play = Play("mutating", [(0.2, LATE)])
    play.ask()
    assert play.made is not None
    assert all(backend.ejected_until < 0 for backend in play.made.directory.backends.values())


def test_nothing_is_sent_for_a_client_that_has_left() -> None:
    play = Play("mutating", [(0.01, GOOD)])
    play.left = True
    play.ask()
    assert not play.sent


def test_the_retries_of_a_proxy_end_with_its_budget() -> None:
    play = Play("idempotent", [(0.01, LOST), (0.01, GOOD)])
    play.prepare = lambda proxy: setattr(proxy.retry_budgets, "slack", 0.0)
    assert play.ask().status == 502 and len(play.sent) == 1


def test_a_backend_receives_the_tenant_and_never_the_key() -> None:
    play = Play("mutating", [(0.01, GOOD)], keys=True)
    answer = play.ask(
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
    assert answer.status == 200
    text = play.messages[0].lower()
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
def test_what_the_configuration_does_not_allow_is_sent_nowhere(headers: dict[str, str], status: int) -> None:
    play = Play("mutating", [(0.01, GOOD)], keys=True)
    assert play.ask(**headers).status == status and not play.sent


def test_each_part_of_a_weighted_route_gets_its_share_of_any_hundred_requests() -> None:
    play = Play("idempotent", [(0.01, GOOD)])
    drawn: list[str] = []

    def draw(proxy: Proxy) -> None:
        shares = (("small", 10.0), ("middle", 40.0), ("large", 100.0))
        route = Route("weighted", b"/a/", False, 0.4, 2.0, 2, 0, False, shares, 100.0)
        drawn.extend(proxy.handler._service(route) for _ in range(2000))

    play.prepare = draw
    assert play.ask().status == 200
    for first in range(0, 1900, 7):
        part = drawn[first : first + 100]
        for name, share in (("small", 10), ("middle", 30), ("large", 60)):
            assert abs(part.count(name) - share) <= 3, (first, name)


def test_a_draining_incarnation_gets_nothing_and_a_late_report_does_not_bring_it_back() -> None:
    play = Play("mutating", [(0.01, GOOD)])

    def drain(proxy: Proxy) -> None:
        for number in range(3):
            if number != 1:
                for state in (BackendState.DRAINING, BackendState.READY):
                    proxy._on_incarnation(
                        BackendIncarnation(f"i-{number}", "s", "10.9.0.1:80", "z", 2, state, 9, 0.0), False
                    )

    play.prepare = drain
    assert play.ask().status == 200 and [id_ for id_, _ in play.sent] == ["i-1"]
