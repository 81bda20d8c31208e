"""Counts frames by kind inside a real process, by wrapping the encoder and the reader of its connections.

    python -m benchmarks.capacity.tally registry

runs the registry (or `config_store`, the store) unchanged. For each line on standard input it prints the counts so
far as JSON: `in KIND` and `out KIND` for calls and notifications, `answer KIND` for sent answers, `in answer` for
received ones; each is [messages, bytes], including the four bytes of length.
"""

from __future__ import annotations

import importlib
import json
import os
import signal
import sys
import threading
from collections.abc import Iterator
from typing import Any

from irisdeal.rpc import client, frames, server
from irisdeal.runtime.process import run_process
from irisdeal.runtime.signals import install_signal_handlers

Counts = dict[str, list[int]]


class FrameCounter:
    """Messages and bytes by kind of frame."""

    def __init__(self) -> None:
        self.counts: Counts = {}
        self.answered_kind = "?"  # the kind of the call being answered

    def add(self, kind: str, size: int) -> None:
        entry = self.counts.setdefault(kind, [0, 0])
        entry[0] += 1
        entry[1] += size

    def install(self) -> None:
        """Count all frames of this process from now on."""
        counter = self

        class FrameReader(frames.FrameReader):
            """Counts received frames, and keeps the kind of each call until it is answered."""

            def __init__(self) -> None:
                super().__init__()
                self.kinds: dict[int, str] = {}

            def feed(self, data: bytes) -> Iterator[Any]:
                before = len(self.buffer) + len(data)
                for item in super().feed(data):
                    size, before = before - len(self.buffer), len(self.buffer)
                    if isinstance(item[1], str):
                        counter.add(f"in {item[1]}", size)
                        self.kinds[item[0]] = item[1]
                    else:
                        counter.add("in answer", size)
                    yield item

        def encode(item: Any) -> bytes:
            data = frames.encode(item)
            counter.add(
                f"out {item[1]}" if isinstance(item[1], str) else f"answer {counter.answered_kind}", len(data)
            )
            return data

        original: Any = server._ServerConnection._write

        def write(answers: Any, *arguments: Any) -> None:
            number = arguments[0][0] if isinstance(arguments[0], list) else arguments[0]
            counter.answered_kind = answers.reader.kinds.pop(number, "?")
            original(answers, *arguments)

        names: dict[str, Any] = {"FrameReader": FrameReader, "encode": encode}
        for name, value in names.items():
            setattr(client, name, value)
            setattr(server, name, value)
        server._ServerConnection._write = write  # type: ignore[method-assign, assignment]


def print_counts(counter: FrameCounter) -> None:
    """Print the counts for each line of standard input, in its own thread; at its end, terminate the process."""
    for _ in sys.stdin:
        print(json.dumps(dict(counter.counts)), flush=True)
    os.kill(os.getpid(), signal.SIGTERM)


PROGRAMS = {
    "registry": ("irisdeal.registry.server", "RegistryServer"),
    "config_store": ("irisdeal.config_store.replica", "StoreReplica"),
}

if __name__ == "__main__":
    frame_counter = FrameCounter()
    frame_counter.install()
    threading.Thread(target=print_counts, args=(frame_counter,), daemon=True).start()
    module, name = PROGRAMS[sys.argv[1]]
    run_process(getattr(importlib.import_module(module), name), install_signal_handlers())
