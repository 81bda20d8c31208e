"""The build of the deploy file installs dependencies for the machine that it runs on."""

from __future__ import annotations

import os
import shutil
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

# Stands in for the interpreter: tells the platform of the test, and records what would be installed.
STAND_IN = """#!/bin/sh
case "$*" in
    *sysconfig*) echo "$PLATFORM 3.11.6" ;;
    *"pip install"*) echo "$PLATFORM" >> installs.txt; mkdir -p target/deps; touch "target/deps/$PLATFORM" ;;
esac
"""


class Checkout:
    """A folder with what the build needs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        shutil.copytree(ROOT / "deploy", folder / "deploy")
        shutil.copy(ROOT / "requirements-system.txt", folder)
        interpreter = folder / "bin" / "python3"
        interpreter.parent.mkdir()
        interpreter.write_text(STAND_IN)
        interpreter.chmod(0o755)

    def build(self, platform: str) -> None:
        """Build as on a machine of this kind."""
        command = tomllib.loads((self.folder / "deploy/system.toml").read_text())["build"]
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "-c", command], cwd=self.folder, env={"PATH": path, "PLATFORM": platform}, check=True
        )

    def installs(self) -> list[str]:
        """Return the platforms for which dependencies were installed, in order."""
        return (self.folder / "installs.txt").read_text().split()


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return Checkout(tmp_path)


# Guards against Fault: a build folder of another kind of machine was taken as it is, and no program started.
def test_dependencies_of_another_kind_of_machine_are_installed_again(checkout: Checkout) -> None:
    checkout.build("linux-x86_64")
    checkout.build("linux-x86_64")
    checkout.build("linux-aarch64")
    assert checkout.installs() == ["linux-x86_64", "linux-aarch64"]
    assert [path.name for path in (checkout.folder / "target/deps").iterdir()] == ["linux-aarch64"]


def test_a_changed_list_of_dependencies_is_installed(checkout: Checkout) -> None:
    checkout.build("linux-x86_64")
    with (checkout.folder / "requirements-system.txt").open("a") as file:
        file.write("another==1.0\n")
    checkout.build("linux-x86_64")
    assert len(checkout.installs()) == 2
