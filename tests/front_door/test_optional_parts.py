"""What a door without `operator` must not pay for: no import, no listener, no budget."""

import json
import subprocess
import sys
from pathlib import Path

from tests.support.fake_peers import settings

ASK = """
import json, sys
import asyncio
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.server.config import parse
from irisdeal.front_door.server.program import Program
config = parse(json.loads(sys.argv[1]))
async def made():
    Program(config, asyncio.get_running_loop(), Gateway(config.settings, 1))
asyncio.run(made())
print(json.dumps(sorted(name for name in sys.modules if name.startswith("irisdeal"))))
"""
NEW = (
    "irisdeal.front_door.operator",
    "irisdeal.front_door.handover",
    "irisdeal.front_door.streaming",
    "irisdeal.front_door.server.operator",
    "irisdeal.front_door.server.handover",
    "irisdeal.front_door.server.flows",
)


def modules(**more: str) -> list[str]:
    told = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings(), **more}
    done = subprocess.run(
        [sys.executable, "-c", ASK, json.dumps(told)],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parents[2],
        env={"TMPDIR": "/nowhere"},
    )
    found: list[str] = json.loads(done.stdout)
    return found


def test_a_door_without_operators_imports_none_of_what_is_theirs() -> None:
    assert not [name for name in modules() if name.startswith(NEW)]
    assert {name for name in modules(operator="127.0.0.1:2")} >= set(NEW)
