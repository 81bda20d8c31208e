"""Routing by a description, on sockets: requests by route, and replacing the route table under load."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
import uvloop

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    AttemptEnded,
    ClassesChanged,
    Event,
    Idempotency,
    RejectRequest,
    RequestArrived,
    RequestClassChanged,
    Result,
    ServerList,
    ServerListKind,
    StartAttempt,
)
from irisdeal.front_door.server.config import ConfigError, parse
from irisdeal.front_door.server.program import Program
from irisdeal.front_door.server.routed import Router
from irisdeal.testbed.fault_proxy import Relay
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import Attempt, End
from tests.front_door.test_loop import free_port, start
from tests.support.decisions_rig import KEYED, UNSAFE, server_entry
from tests.support.decisions_rig import make_settings as desk_settings
from tests.support.fake_peers import (
    LIMIT,
    Peer,
    Running,
    Script,
    answer,
    config,
    member,
    read_message,
    send_all,
    settings,
    whole_list,
)
from tests.support.front_door_rig import SMALL, run_on_sockets

HEAD = "openapi: 3.1.0\ninfo: {title: refund, version: '1'}\n"
PATHS = (
    HEAD
    + """
paths:
  /check/{id}:
    get: {x-irisdeal: {class: check, units: {query: n, cap: 4}}}
  /claim:
    post: {x-irisdeal: {class: claim, repeat: {keyed: {header: X-Claim}}, units: {body: /n, cap: 4}}}
  /file:
    post: {x-irisdeal: {customer: {query: shop}, plan: {query: plan}}}
    put: {}
"""
)


def request(method: str = "GET", target: str = "/check/7", body: bytes = b"", **headers: str | None) -> bytes:
    fields: dict[str, str | None] = {
        "Host": "svc",
        "X-Trace-Id": "ab12",
        "Plan": "basic",
        "Account": "00000000b4d65521",
    }
    fields |= {key.replace("_", "-"): value for key, value in headers.items()}
    if method not in ("GET", "HEAD"):
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{key}: {value}\r\n" for key, value in fields.items() if value is not None)
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


@asynccontextmanager
async def routed(file: Path, decider: Any = None, watch: int = 0, **changes: Any) -> AsyncIterator[Running]:
    made = config(routes={"file": str(file), "watch_ms": watch}, **changes)
    loop = asyncio.get_running_loop()
    program = Program(made, loop, decider or Gateway(made.settings, made.seed))
    assert program.router is not None
    await program.router.load_first()
    program.start()
    run = Running(program)
    try:
        yield run
    finally:
        program.discovery.stop()
        program.clients.stop_listening()
        program.router.routes = type(program.router.routes)(str(file), 0)  # no further checks
        for writer in run.writers:
            writer.transport.abort()


def router_of(front_door: Running) -> Router:
    assert front_door.program.router is not None
    return front_door.program.router


async def replaced_table(front_door: Running, file: Path, text: str) -> bool:
    """Replace the description by a rename and load it; whether it was accepted."""
    router = router_of(front_door)
    before = router.table.number
    replace(file, text)
    settled = asyncio.Event()
    router.on_loaded = settled.set
    router.load()
    await settled.wait()
    return router.table.number > before


def replace(file: Path, text: str) -> None:
    new = file.with_suffix(".new")
    new.write_text(text)
    new.replace(file)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    made = tmp_path / "api.yaml"
    made.write_text(PATHS)
    return made


def on_loop(test: Any) -> None:
    async def limited() -> None:
        async with asyncio.timeout(LIMIT):
            await test()

    uvloop.run(limited())


def test_requests_take_class_cost_and_identity_from_their_route(file: Path) -> None:
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )

    async def run() -> None:
        async with routed(file, script) as front_door:
            for n, text in enumerate(
                (
                    request(target="/check/7?n=3"),
                    request(target="/check/7?n=99"),
                    request("POST", "/claim", b'{"n":2}', X_Claim="k"),
                    request("POST", "/file?shop=Mall%20of%20Asia&plan=metered", Account=None, Plan=None),
                    request(target="http://svc/check/%37", X_Trace_Id=None),
                )
            ):
                status = (await front_door.call(text.replace(b"ab12", b"t%d" % n)))[0].split()[1]
                assert status == "429", n
            arrivals = await script.wait_for(RequestArrived, 5)
            changed = (await script.wait_for(ClassesChanged))[0]
            kinds = [changed.classes[a.class_index].idempotency for a in arrivals]
            assert kinds == [
                Idempotency.SAFE,
                Idempotency.SAFE,
                Idempotency.KEYED,
                Idempotency.UNSAFE,
                Idempotency.SAFE,
            ]
            assert [a.units for a in arrivals] == [3.0, 4.0, 2.0, 1.0, 1.0]
            assert [a.plan_index for a in arrivals] == [0, 0, 0, 1, 0]
            assert arrivals[0].account_id == 0xB4D65521 and arrivals[3].account_id not in (0, 0xB4D65521)
            assert all(a.class_index >= 2 for a in arrivals)  # the classes of the settings keep their numbers

    on_loop(run)


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (request(target="/none"), "404"),
        (request("PATCH", "/file"), "405"),
        (request(target="/../file"), "400"),
        (request(target="/check/7?n=-1"), "400"),
        (request(target="/check/7?n=1&n=2"), "400"),
        (request("POST", "/claim", b"{}"), "400"),
        (request("POST", "/claim", b"{", X_Claim="k"), "400"),
        (request("POST", "/claim", b'{"n":1e400}', X_Claim="k"), "400"),
        (request(Plan="gold"), "400"),
        (request(Account=None), "400"),
        (request(X_Expires_In="soon"), "400"),
        (request(Quota_Info="spread=9,first=0"), "400"),
        (request("POST", "/file?plan=basic"), "400"),
        (request(target="*"), "404"),
        (request(X_Trace_Id="a b"), "400"),
        (request("POST", "/claim", b"{}", X_Claim="k").replace(b"X-Claim", b"x-claim: k\r\nX-Claim"), "400"),
        (
            request("POST", "/claim", b"{}", X_Claim="k").replace(b"Plan: basic", b"Plan: basic\r\nPlan: x"),
            "400",
        ),
    ],
)
def test_requests_that_match_no_route_are_rejected_at_once(file: Path, text: bytes, status: str) -> None:
    script = Script(lambda event: [])

    async def run() -> None:
        async with routed(file, script) as front_door:
            line, headers, _ = await front_door.call(text)
            assert line.split()[1] == status
            assert status != "405" or headers["allow"] == "POST, PUT"
            assert not any(isinstance(e, RequestArrived) for e in script.seen)

    on_loop(run)


def test_path_query_and_body_are_forwarded_unchanged_and_head_has_no_body(file: Path) -> None:
    async def run() -> None:
        async with (
            Peer() as backend,
            routed(file, Script(send_all), known=whole_list(member("s-1", backend.port))) as front_door,
        ):
            client, to_front_door = await front_door.client()
            to_front_door.write(request("POST", "http://svc/claim?a=%2F&n", b'{"n":2}', X_Claim="k"))
            reader, writer = await backend.connection()
            line, headers, body = await read_message(reader)
            assert (line, headers["x-claim"], body) == ("POST /claim?a=%2F&n HTTP/1.1", "k", b'{"n":2}')
            writer.write(answer(200, b"filed"))
            assert (await read_message(client))[2] == b"filed"
            to_front_door.write(request("HEAD", "/check/7", X_Trace_Id="t2"))
            reader, writer = await backend.connection()
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HEAD /check/7 HTTP/1.1\r\n")
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 99999999\r\n\r\n")  # no body follows
            head = await client.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200") and b"content-length" not in head.lower()
            to_front_door.write(request(X_Trace_Id="t3"))
            await backend.connection()  # a connection is not reused after a response to HEAD

    on_loop(run)


def test_an_error_response_to_head_has_no_body(file: Path) -> None:
    """The client would parse a body as the next response."""
    script = Script(
        lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
    )

    async def run() -> None:
        async with routed(file, script) as front_door:
            client, to_front_door = await front_door.client()
            cases = (("/check/7", b"429"), ("/none", b"404"), ("/_health", b"503"))
            for n, (target, status) in enumerate(cases):
                to_front_door.write(request("HEAD", target, X_Trace_Id=f"t{n}"))
                assert (await client.readuntil(b"\r\n\r\n")).split()[1] == status
            to_front_door.write(request(target="/none"))
            assert (await read_message(client))[0].split()[1] == "404"

    on_loop(run)


def test_a_start_with_an_invalid_description_fails(file: Path) -> None:
    file.write_text(HEAD + "paths: {/a: {get: 3}}\n")

    async def run() -> None:
        with pytest.raises(ConfigError, match=r"routes: .*api\.yaml: #/paths/~1a/get: wanted an operation"):
            async with routed(file):
                pass

    on_loop(run)


@pytest.mark.parametrize(
    ("routes", "message"),
    [
        ("x", "wanted an object with file"),
        ({"file": ""}, "wanted an object with file"),
        ({"file": "a", "every": 1}, "routes.every: no such key"),
        ({"file": "a", "watch_ms": 3}, "wanted 0, or 10"),
        ({"file": "a", "watch_ms": True}, "wanted 0, or 10"),
    ],
)
def test_the_routes_setting_is_checked(routes: object, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        parse({"listen": "a:1", "discovery": "a:1", "settings": settings(), "routes": routes})


# Replacing the table


def test_invalid_descriptions_are_rejected_and_the_former_routes_stay(file: Path) -> None:
    async def run() -> None:
        script = Script(
            lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
        )
        async with routed(file, script) as front_door:
            for text in (
                PATHS.replace("get:", "get: {"),
                PATHS.replace("/claim", "/claims"),
                PATHS.replace("    put: {}\n", ""),
                PATHS[: len(PATHS) // 2],
                "",
                PATHS.replace("put: {}", "put: {x-irisdeal: {repeat: safe}}"),
            ):
                assert not await replaced_table(front_door, file, text), text
            assert router_of(front_door).rejected_count == 6 and router_of(front_door).table.number == 1
            assert (await front_door.call(request()))[0].split()[1] == "429"
            allowed_change = PATHS.replace("paths:", "x-irisdeal: {allow: [weaken, remove]}\npaths:")
            allowed_change = allowed_change.replace("put: {}", "put: {x-irisdeal: {repeat: safe}}")
            assert await replaced_table(front_door, file, allowed_change.replace("/claim", "/claims"))
            assert (await front_door.call(request("POST", "/claim", b"", X_Claim="k")))[0].split()[1] == "404"

    on_loop(run)


def test_a_watched_file_is_loaded_after_renames_and_changed_links(file: Path, tmp_path: Path) -> None:
    link, other = tmp_path / "link.yaml", tmp_path / "other.yaml"
    link.symlink_to(file)
    allowed = PATHS.replace("paths:", "x-irisdeal: {allow: [remove]}\npaths:")
    other.write_text(allowed.replace("/file", "/files"))

    async def run() -> None:
        async with routed(link, Script(lambda event: []), watch=10) as front_door:
            router = router_of(front_door)

            async def generation(number: int) -> None:
                while router.table.number < number:
                    await asyncio.sleep(0.005)

            replace(file, PATHS + "  /new: {get: {}}\n")
            await generation(2)
            (tmp_path / "next").symlink_to(other)
            os.replace(tmp_path / "next", link)
            await generation(3)
            assert ("POST", "/files") in router.table.routes
            file.write_text("half")  # no longer the target of the link
            other.write_text(other.read_text()[:200])  # half-written
            while not router.rejected_count:
                await asyncio.sleep(0.005)
            assert router.table.number == 3

    on_loop(run)


def test_the_former_routes_stay_if_the_reader_process_hangs_or_fails(
    file: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        script = Script(
            lambda event: [RejectRequest(event.request_id)] if isinstance(event, RequestArrived) else []
        )
        async with routed(file, script) as front_door:
            router, loaded = router_of(front_door), asyncio.Event()
            router.on_loaded = loaded.set
            monkeypatch.setattr("irisdeal.front_door.server.routed.READ_TIMEOUT_S", 0.5)
            file.unlink()
            os.mkfifo(file)  # opening it blocks until a writer opens it, which never happens
            router.load()
            await loaded.wait()
            monkeypatch.setattr("irisdeal.front_door.server.routed.READ_TIMEOUT_S", 15.0)
            monkeypatch.setattr("irisdeal.front_door.server.routed.sys.executable", "/bin/false")
            loaded.clear()
            router.load()
            await loaded.wait()
            assert (router.rejected_count, router.table.number) == (2, 1)
            assert (await front_door.call(request()))[0].split()[1] == "429"

    on_loop(run)


def test_an_open_request_keeps_its_cost_and_gets_the_stricter_rule(file: Path) -> None:
    """The route of an open keyed request becomes unsafe, then is removed: it keeps cost and times."""
    script = Script(send_all)

    async def run() -> None:
        async with (
            Peer() as backend,
            routed(file, script, known=whole_list(member("s-1", backend.port))) as front_door,
        ):
            _, to_front_door = await front_door.client()
            to_front_door.write(request("POST", "/claim", b'{"n":2}', X_Claim="k"))
            await backend.connection()
            arrival = (await script.wait_for(RequestArrived))[0]
            unsafe = PATHS.replace("repeat: {keyed: {header: X-Claim}}", "repeat: unsafe")
            assert await replaced_table(front_door, file, unsafe)
            restricted = (await script.wait_for(RequestClassChanged))[0]
            changed = (await script.wait_for(ClassesChanged, 2))[-1]
            old, new = (changed.classes[n] for n in (arrival.class_index, restricted.class_index))
            assert restricted.request_id == arrival.request_id
            assert (old.idempotency, new.idempotency) == (Idempotency.KEYED, Idempotency.UNSAFE)
            assert (old.latency_target_us, old.deadline_us, old.value) == (
                new.latency_target_us,
                new.deadline_us,
                new.value,
            )
            gone = PATHS.replace("paths:", "x-irisdeal: {allow: [remove]}\npaths:")
            gone = gone.replace("/claim", "/claims")
            assert await replaced_table(front_door, file, gone)
            assert router_of(front_door).classes.rules[restricted.class_index] is not None  # still in use

    on_loop(run)


def test_an_open_request_follows_its_route_when_a_path_parameter_is_renamed(file: Path) -> None:
    script = Script(send_all)
    keyed = PATHS + "  /claims/{shop}: {put: {x-irisdeal: {repeat: keyed}}}\n"

    async def run() -> None:
        file.write_text(keyed)
        async with (
            Peer() as backend,
            routed(file, script, known=whole_list(member("s-1", backend.port))) as front_door,
        ):
            _, to_front_door = await front_door.client()
            to_front_door.write(request("PUT", "/claims/a%2Fb", Idempotency_Key="k"))
            await backend.connection()
            arrival = (await script.wait_for(RequestArrived))[0]
            assert await replaced_table(
                front_door,
                file,
                keyed.replace("{shop}", "{store}").replace("repeat: keyed}", "repeat: unsafe}"),
            )
            restricted = (await script.wait_for(RequestClassChanged))[0]
            changed = (await script.wait_for(ClassesChanged, 2))[-1]
            assert restricted.request_id == arrival.request_id
            assert changed.classes[restricted.class_index].idempotency is Idempotency.UNSAFE

    on_loop(run)


def test_no_further_attempt_is_sent_once_the_rule_is_stricter() -> None:
    made = desk_settings()
    gateway = Gateway(made, seed=1)
    servers = tuple(server_entry(n, zone=0) for n in range(1, 5))
    start = 100_000_000  # long after the start of the servers
    gateway.handle(start, [ServerList(ServerListKind.COMPLETE, 1, servers)])

    def sent(restrict: bool) -> list[type]:
        number = 100 + restrict
        found = gateway.handle(start + 1000, [RequestArrived(number, number, 0, KEYED, 3_000_000, 1.0, 0, 3)])
        first = next(a for a in found if isinstance(a, StartAttempt))
        events: list[Event] = [RequestClassChanged(number, UNSAFE)] if restrict else []
        lost = AttemptEnded(number, 0, first.server_id, Result.CONNECTION_LOST, 1000, False)
        return [type(a) for a in gateway.handle(start + 2000, [*events, lost]) if isinstance(a, StartAttempt)]

    assert sent(False) == [StartAttempt] and sent(True) == []


def test_new_classes_do_not_reset_the_statistics_of_the_others() -> None:
    made = desk_settings()
    gateway = Gateway(made, seed=1)
    gateway.mean_duration_us[0] = 123.0
    new = (*made.classes, made.classes[2])
    gateway.handle(0, [ClassesChanged(new)])
    assert gateway.mean_duration_us[0] == 123.0 and len(gateway.mean_duration_us) == len(new) == len(
        gateway.settings.classes
    )
    with pytest.raises(ValueError, match="wanted at least the 4 known ones"):
        gateway.handle(1, [ClassesChanged(new[:1])])
    with pytest.raises(ValueError, match="at least one class"):
        ClassesChanged(())


def test_a_weaker_rule_for_an_open_request_is_rejected() -> None:
    gateway = Gateway(desk_settings(), seed=1)
    gateway.handle(0, [RequestArrived(1, 7, 0, 2, 3_000_000, 1.0, 0, 3)])
    with pytest.raises(ValueError, match="wanted no weaker rule"):
        gateway.handle(1, [RequestClassChanged(1, 0)])


# Under load

LOADED = (
    HEAD
    + """
x-irisdeal: {aim_ms: 400, deadline_ms: 900, allow: [weaken, remove]}
paths:
  /refund/check: {get: {x-irisdeal: {class: check, units: 1}}}
  /refund/claim: {post: {x-irisdeal: {class: claim, repeat: CLAIM}}}
  /refund/file: {post: {x-irisdeal: {class: file}}}
  /refund/extra{n}: {get: {}}
"""
)
KEYED_RULE = "{keyed: {group: zone, window_ms: 600}}"
TROUBLE = (
    SMALL.replace("use = 0.25", "use = 0.15")
    + """
[[at]]
at_s = 0.4
do = "box-drain"
boxes = 1
for_s = 2
[[at]]
at_s = 0.5
do = "box-crash"
boxes = 1
for_s = 0.2
[[at]]
at_s = 0
do = "hall-slow"
hall = "hall-a"
ms = 0
for_s = 0
"""
)


def swapping(file: Path, rules: list[str], swaps: list[int]) -> Any:
    """Replace the description of all front doors repeatedly; each time, reset all backend connections."""

    def begin(platform: Platform, programs: list[Program]) -> None:
        async def go() -> None:
            while not platform.closed:
                for rule in rules:
                    units = (
                        f"units: {1 + len(swaps) % 2}"  # so that each description differs from the one before
                    )
                    replace(file, LOADED.replace("CLAIM", rule).replace("units: 1", units))
                    waits = []
                    for program in programs:
                        assert program.router is not None
                        settled = asyncio.Event()
                        program.router.on_loaded = settled.set
                        program.router.load()
                        waits.append(settled.wait())
                    await asyncio.gather(*waits)
                    swaps.append(platform.now())
                    assert isinstance(platform.relay, Relay)
                    for link in platform.relay.links:
                        link.reset()
                    await asyncio.sleep(0.15)  # limits the CPU time of the reader processes

        task = asyncio.get_running_loop().create_task(go())
        platform.tasks.add(task)

    return begin


def resent(attempts: list[Attempt], kind: str, since: int) -> list[str]:
    """Trace ids of requests with an attempt after `since` although an earlier one may have been executed."""
    by_trace: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.kind == kind:
            by_trace[attempt.trace].append(attempt)
    return [
        trace
        for trace, tries in by_trace.items()
        if any(
            later.first_byte > since and earlier.end is not End.REJECTED
            for n, later in enumerate(tries)
            for earlier in tries[:n]
        )
    ]


def test_replacing_the_table_under_load_with_resets_and_drains_resends_no_claim(file: Path) -> None:
    """Keyed claims become unsafe while attempts are in progress, whose connections are reset afterwards."""
    file.write_text(LOADED.replace("CLAIM", KEYED_RULE))
    swaps: list[int] = []
    run = uvloop.run(run_on_sockets(TROUBLE, routes=file, started=swapping(file, ["unsafe"], swaps)))
    assert [b.text() for b in run.verdict.breaches] == []
    assert len(swaps) >= 2 and all(
        p.router is not None and p.router.rejected_count == 0 for p in run.programs
    )
    claims = [a for a in run.request_log.attempts if a.kind == "claim"]
    assert len(claims) > 50 and any(a.end is End.BROKEN for a in claims)
    assert resent(run.request_log.attempts, "claim", swaps[0]) == []
    assert resent(run.request_log.attempts, "file", 0) == []


def test_the_same_load_with_keyed_claims_does_resend_them(file: Path) -> None:
    """Shows that the test above can fail: with unchanged rules claims are sent again."""
    file.write_text(LOADED.replace("CLAIM", KEYED_RULE))
    swaps: list[int] = []
    run = uvloop.run(run_on_sockets(TROUBLE, routes=file, started=swapping(file, [KEYED_RULE], swaps)))
    assert [b.text() for b in run.verdict.breaches] == []
    assert resent(run.request_log.attempts, "claim", swaps[0]) != []
    assert resent(run.request_log.attempts, "file", 0) == []
    assert all(p.router is not None and len(p.router.classes.rules) < 16 for p in run.programs)


def test_the_event_loop_runs_while_a_big_table_is_built(file: Path) -> None:
    paths = "".join(f"  /thing{n}/{{id}}: {{get: {{}}}}\n" for n in range(2_000))

    async def run() -> None:
        async with routed(file, Script(lambda event: [])) as front_door:
            turns = [0]

            def turn() -> None:
                turns[0] += 1
                asyncio.get_running_loop().call_soon(turn)

            turn()
            before = turns[0]
            assert await replaced_table(front_door, file, PATHS + paths)
            assert (
                turns[0] - before > 2 * 2_000 // 16
            )  # a slice for every few lines, and for every few routes
            assert len(router_of(front_door).table.routes) == 2_004

    on_loop(run)


def test_sighup_reloads_the_description_in_a_real_process(file: Path, tmp_path: Path) -> None:
    async def run() -> None:
        path, port = tmp_path / "config.json", await free_port()
        document = {
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:9",
            "settings": settings(),
            "known": whole_list(member("s-1", 9)),
            "routes": {"file": str(file), "watch_ms": 0},
        }
        front_door = await start(path, document)
        assert front_door.stderr is not None
        while b"generation 1 " not in await front_door.stderr.readline():
            pass
        replace(file, PATHS + "  /new: {get: {}}\n")
        front_door.send_signal(signal.SIGHUP)
        while b"generation 2 replaces 1, 5 routes" not in await front_door.stderr.readline():
            pass
        replace(file, "openapi: 4\n")
        front_door.send_signal(signal.SIGHUP)
        while b"routes rejected, keeping generation 2" not in await front_door.stderr.readline():
            pass
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for target, status in (("/new", b"400"), ("/gone", b"404")):
            writer.write(request(target=target, Account=None))
            assert status in await reader.readuntil(b"\r\n")
            await reader.readuntil(b"\n\r\n")
            await reader.readuntil(b"\n")
        writer.close()
        front_door.send_signal(signal.SIGTERM)
        await front_door.communicate()
        assert front_door.returncode == 0

    asyncio.run(run())


def test_a_real_process_with_an_invalid_description_prints_one_line_and_exits_with_2(
    file: Path, tmp_path: Path
) -> None:
    file.write_text("openapi: 4\n")

    async def run() -> None:
        listen = f"127.0.0.1:{await free_port()}"
        document = {
            "listen": listen,
            "discovery": "127.0.0.1:9",
            "settings": settings(),
            "routes": {"file": str(file)},
        }
        front_door = await start(tmp_path / "config.json", document)
        _, errors = await front_door.communicate()
        assert front_door.returncode == 2
        assert errors.decode().startswith("irisdeal: routes: ") and errors.count(b"\n") == 1

    asyncio.run(run())
