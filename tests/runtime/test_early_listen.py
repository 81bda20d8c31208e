"""Opening of the listening sockets before the program's other modules are imported."""

import socket
from pathlib import Path

import pytest

from irisdeal.runtime.early_listen import bind_addresses, listen


def test_only_the_section_bind_is_read_and_invalid_lines_are_skipped() -> None:
    text = (
        'front = "1.1.1.1:1"\n[bind]\nfront = "10.1.0.30:8782"\nreadiness = "odd"\n'
        '[limits]\nreadiness = "10.1.0.30:8789"\n'
    )
    assert bind_addresses(text, ("front", "readiness")) == {"front": ("10.1.0.30", 8782)}


def test_a_client_that_connects_before_the_program_is_loaded_waits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = tmp_path / "settings.toml"
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    settings.write_text(f'[bind]\nfront = "127.0.0.1:{port}"\n')
    monkeypatch.setenv("IRISDEAL_SETTINGS", str(settings))
    listening = listen("front", "readiness")
    with socket.create_connection(("127.0.0.1", port), 5), listening["front"]:
        assert list(listening) == ["front"]


def test_missing_settings_are_left_to_the_loading_of_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("IRISDEAL_SETTINGS", "/nowhere/settings.toml")
    assert listen("front") == {}


# Guards against Fault: an address in use kept a proxy from listening early at its others, too.
def test_an_address_in_use_is_left_to_the_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    settings = tmp_path / "settings.toml"
    with socket.socket() as holder, socket.socket() as free:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
        free.close()
        settings.write_text(
            f'[bind]\nfront = "127.0.0.1:{holder.getsockname()[1]}"\nreadiness = "127.0.0.1:{port}"\n'
        )
        monkeypatch.setenv("IRISDEAL_SETTINGS", str(settings))
        listening = listen("front", "readiness")
        assert list(listening) == ["readiness"]
        listening["readiness"].close()
