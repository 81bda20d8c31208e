"""Modules for operators, handover and streaming are imported only if `operator` is configured."""

import json
import subprocess
import sys
from pathlib import Path

from tests.support.fake_peers import settings

PRINT_IMPORTED_MODULES = """
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
OPTIONAL_MODULES = (
    "irisdeal.front_door.operator",
    "irisdeal.front_door.handover",
    "irisdeal.front_door.streaming",
    "irisdeal.front_door.server.operator",
    "irisdeal.front_door.server.handover",
    "irisdeal.front_door.server.flows",
)


def imported_modules(**changes: str) -> list[str]:
    document = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": settings(), **changes}
    process = subprocess.run(
        [sys.executable, "-c", PRINT_IMPORTED_MODULES, json.dumps(document)],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parents[2],
        env={"TMPDIR": "/nowhere"},
    )
    found: list[str] = json.loads(process.stdout)
    return found


def test_optional_modules_are_imported_only_with_an_operator() -> None:
    assert not [name for name in imported_modules() if name.startswith(OPTIONAL_MODULES)]
    assert {name for name in imported_modules(operator="127.0.0.1:2")} >= set(OPTIONAL_MODULES)
