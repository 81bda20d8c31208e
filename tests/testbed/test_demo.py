"""Tests of the demo with real front door processes: output, shutdown, and cleanup."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import uvloop

from irisdeal.demo.deployment import DemoError, Deployment, find_deployment
from irisdeal.demo.processes import FrontDoorProcesses
from irisdeal.testbed.audit import audit
from irisdeal.testbed.load_generator import LoadGenerator
from irisdeal.testbed.platform import Platform
from irisdeal.testbed.request_log import Attempt, End
from irisdeal.testbed.scenario_files import parse
from irisdeal.testbed.workload import draw
from tests.support.front_door_rig import SMALL

ROOT = Path(__file__).parents[2]
HERE = Deployment(ROOT, f"exec {sys.executable} -m irisdeal")


def deploy_file(folder: Path, run: str = HERE.run) -> Path:
    """Write a deployment file whose front doors run on the interpreter of the tests."""
    (folder / "deploy").mkdir()
    path = folder / "deploy" / "balancer.toml"
    path.write_text(f'run = "cd {ROOT} && {run}"\n')
    return path


def demo(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "irisdeal.cli.main", "demo", *arguments]
    return subprocess.run(command, cwd=ROOT, text=True, capture_output=True, timeout=60, check=False)


def exists(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_a_short_day_is_played_and_reported_and_leaves_no_process(tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    scenario = tmp_path / "small.toml"
    scenario.write_text('about = "small"\n' + SMALL)
    done = demo(
        "--scenario",
        str(scenario),
        "--seconds",
        "2",
        "--seed",
        "3",
        "--json",
        str(out),
        "--deploy",
        str(deploy_file(tmp_path)),
    )
    assert done.returncode == 0, done.stdout + done.stderr
    output = json.loads(out.read_text())
    assert output["kept"] and output["service"]["whole"] > 0.5 and output["interrupted_after"] is None
    assert output["rules"]["answers"]["looked_at"] > 100
    assert len(output["doors_used"]) == 2
    for used in output["doors_used"]:
        assert used["requests"] > 20 and not any(exists(pid) for pid in used["pids"])
        if sys.platform == "linux":
            assert used["cpu_us_per_request"] > 0 and used["memory_bytes"] > 1e6 and used["descriptors"] > 5
    assert output["stores"] and all(s["units_sent"] > 0 for s in output["stores"])
    overs = [s["overshoot_units"] for s in output["stores"]]
    assert overs == sorted(overs, reverse=True)
    for words in ("Over their quotas", "whole", "worst 10 s", "mall", "CPU", "no request is lost", "kept"):
        assert words in done.stdout


def test_ctrl_c_shuts_down_gracefully_and_reports_the_results_so_far(tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "irisdeal.cli.main",
            "demo",
            "--seconds",
            "300",
            "--doors",
            "2",
            "--json",
            str(out),
            "--deploy",
            str(deploy_file(tmp_path)),
        ],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    bystander = subprocess.Popen([sys.executable, "-c", "input()"], stdin=subprocess.PIPE)
    assert process.stderr is not None
    line = process.stderr.readline()
    assert line.startswith("2 doors are ready: processes ")
    pids = [int(word) for word in line.rpartition("processes ")[2].split(", ")]
    assert all(exists(pid) for pid in pids)
    os.killpg(process.pid, signal.SIGINT)  # as a terminal does, to the foreground process group
    stdout, stderr = process.communicate(timeout=30)
    assert process.returncode == 0, stdout + stderr
    output = json.loads(out.read_text())
    assert "Interrupted after" in stdout and 0 <= output["interrupted_after"] < 60
    assert not any(exists(pid) for pid in pids)
    assert bystander.poll() is None
    bystander.communicate(b"\n")


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["--scenario", "nothing"], "nothing: no such scenario: wanted a file, or one of calm"),
        (["--scenario", "nowhere/x.toml"], "nowhere/x.toml: No such file"),
        (["--doors", "0"], "0 is not in the range 1<=x<=64"),
        (["--seconds", "soon"], "'soon' is not a valid float"),
        (["--deploy", "nowhere.toml"], "nowhere.toml: no such file"),
        (["--json", "nowhere/out.json"], "cannot be written"),
    ],
)
def test_an_invalid_argument_is_one_error_without_a_traceback(arguments: list[str], expected: str) -> None:
    done = demo(*arguments)
    assert done.returncode == 2 and expected in done.stderr and "Traceback" not in done.stderr + done.stdout


def test_a_front_door_that_does_not_start_is_reported_with_its_last_output(tmp_path: Path) -> None:
    path = deploy_file(tmp_path, "echo no luck today >&2; exit 3")
    done = demo("--deploy", str(path))
    assert done.returncode == 2 and "exit code 3" in done.stderr and "no luck today" in done.stderr


def test_a_front_door_that_ends_by_itself_is_a_crash(tmp_path: Path) -> None:
    program = (
        "import sys; sys.argv = ['x']; import asyncio, threading, os;"
        "threading.Timer(1.5, lambda: os._exit(9)).start();"
        "from irisdeal.front_door.server.program import main; main()"
    )
    path = deploy_file(tmp_path, f'exec {sys.executable} -c \\"{program}\\"')
    done = demo("--deploy", str(path), "--seconds", "3", "--doors", "1", "--json", "-")
    assert done.returncode == 1, done.stderr
    assert any("ended by itself with exit code 9" in text for text in json.loads(done.stdout)["crashes"])


def test_the_list_names_every_scenario() -> None:
    done = demo("--list")
    assert done.returncode == 0 and "hall-cut" in done.stdout and "rolling-restart" in done.stdout


def test_the_deployment_is_found_above_or_is_this_interpreter(tmp_path: Path) -> None:
    inner = tmp_path / "a" / "b"
    inner.mkdir(parents=True)
    assert find_deployment(inner).run.endswith("-m irisdeal")
    deploy_file(tmp_path)
    assert find_deployment(inner).root == tmp_path
    (tmp_path / "deploy" / "balancer.toml").write_text("run = 3\n")
    with pytest.raises(DemoError, match="run: wanted the command that starts a front door"):
        find_deployment(inner)


def test_a_request_whose_front_door_is_killed_before_it_forwards_the_answer_is_excused(
    tmp_path: Path,
) -> None:
    """The front door is stopped while the backend answers, then killed: the answer is never forwarded."""
    text = SMALL.replace("share = 0.6", "share = 0.001").replace("share = 0.2", "share = 1", 1)
    text = text.replace("window_ms = 600", "window_ms = 5000")

    async def run() -> None:
        platform = Platform(draw(parse(text), 1))
        await platform.start()
        front_doors = FrontDoorProcesses(platform, HERE, tmp_path, 1)
        load_generator = LoadGenerator(
            platform.day, platform.request_log, platform.now, front_doors.addresses
        )
        front_doors.load_generator = load_generator
        try:
            await front_doors.start()
            unforwarded: list[Attempt] = []

            async def kill_after_answer() -> None:
                process = front_doors.front_doors[0].process
                assert process is not None
                while not any(
                    a.front_door == 0 and a.kind == "claim" and a.end is End.OPEN
                    for a in platform.request_log.attempts
                ):
                    await asyncio.sleep(0.001)
                os.kill(process.pid, signal.SIGSTOP)
                pending = [
                    a for a in platform.request_log.attempts if a.front_door == 0 and a.end is End.OPEN
                ]
                while not any(a.end is End.SERVED for a in pending):
                    await asyncio.sleep(0.001)
                unforwarded.extend(a for a in pending if a.end is End.SERVED)
                await front_doors.kill(0, 0.1)

            killing = asyncio.ensure_future(kill_after_answer())
            await load_generator.run(platform.now())
            await killing
            await front_doors.stop()
        finally:
            front_doors.kill_all()
            load_generator.close()
            platform.close()
        verdict = audit(platform.request_log, platform.figures)
        assert [b.text() for b in verdict.breaches] == []
        assert unforwarded and verdict.excused >= 1
        lost = [t for t in platform.request_log.client_attempts if t.trace == unforwarded[0].trace]
        assert lost and not lost[0].answers and lost[0].disconnected_at
        assert [
            incarnation.killed > 0
            for incarnation in platform.request_log.front_doors
            if incarnation.front_door == 0
        ] == [True, False]

    uvloop.run(run())


def test_a_platform_front_door_imports_nothing_of_the_tool() -> None:
    code = (
        "import sys, irisdeal.front_door.server.program, irisdeal.__main__;"
        "print([m for m in sys.modules if m.partition('.')[0] in "
        "('click', 'rich', 'tomllib', 'yaml', 'referencing') or m.startswith(("
        "'irisdeal.testbed', 'irisdeal.demo', 'irisdeal.cli', 'irisdeal.front_door.routes', "
        "'irisdeal.front_door.sources', "
        "'irisdeal.front_door.server.routed', 'irisdeal.front_door.server.report', "
        "'irisdeal.front_door.queueing.queue_statistics', "
        "'irisdeal.front_door.queueing.reports', 'irisdeal.front_door.queueing.heavy_hitters'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_help_has_an_example() -> None:
    done = demo("--help")
    assert done.returncode == 0 and "Example: irisdeal demo" in done.stdout


@pytest.mark.parametrize(
    "what",
    [["backend"], ["counter"], ["discovery", "--member", "127.0.0.1:9"], ["relay", "--to", "127.0.0.1:9"]],
)
def test_each_service_runs_alone(what: list[str]) -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", "irisdeal.testbed", *what], cwd=ROOT, text=True, stdout=subprocess.PIPE
    )
    assert process.stdout is not None
    assert json.loads(process.stdout.readline())["addresses"][0].startswith("127.0.0.1:")
    process.send_signal(signal.SIGINT)
    report, _ = process.communicate(timeout=20)
    assert process.returncode == 0 and isinstance(json.loads(report), dict)


def test_a_service_that_cannot_start_reports_why() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "irisdeal.testbed", "backend", "--scenario", "none"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and done.stderr.startswith("testbed: none: no such scenario")


def test_concurrent_runs_have_different_addresses() -> None:
    """On a shared address, another run could bind a free port between its discovery and its use."""
    code = "from irisdeal.demo.deployment import own_address\nprint(own_address(), own_address())\ninput()"
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(3)
    ]
    try:
        output = [run.stdout.readline() for run in runs if run.stdout is not None]
    finally:
        for run in runs:
            run.communicate("\n")
    hosts = {line.split("'")[1] for line in output}
    if hosts == {"127.0.0.1"}:
        pytest.skip("this system has a single loopback address")
    assert len(hosts) == 3 and all(host.startswith("127.") for host in hosts)
