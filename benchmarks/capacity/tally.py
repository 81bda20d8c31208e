"""Frames counted by kind inside a real process: a wrapper round the encoder and the reader of its links.

    python -m benchmarks.capacity.tally gauge

runs the registry (or `almanac`, the store) as it is. For each line on standard input it prints what was counted
until then, as JSON: `in KIND` and `out KIND` for calls and words, `answer KIND` for our answers, `in answer` for
those of others: [messages, bytes], the four bytes of length included.
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
from irisdeal.runtime.process import main

Counts = dict[str, list[int]]


class Tally:
    """Messages and bytes by kind."""

    def __init__(self) -> None:
        self.counts: Counts = {}
        self.answering = "?"  # the kind of the call that is answered now

    def add(self, kind: str, size: int) -> None:
        entry = self.counts.setdefault(kind, [0, 0])
        entry[0] += 1
        entry[1] += size

    def install(self) -> None:
        """Count all frames of this process from now on."""
        tally = self

        class FrameReader(frames.FrameReader):
            """Counts what comes, and remembers the kind of each call until it is answered."""

            def __init__(self) -> None:
                super().__init__()
                self.kinds: dict[int, str] = {}

            def feed(self, data: bytes) -> Iterator[Any]:
                before = len(self.buffer) + len(data)
                for item in super().feed(data):
                    size, before = before - len(self.buffer), len(self.buffer)
                    if isinstance(item[1], str):
                        tally.add(f"in {item[1]}", size)
                        self.kinds[item[0]] = item[1]
                    else:
                        tally.add("in answer", size)
                    yield item

        def encode(item: Any) -> bytes:
            data = frames.encode(item)
            tally.add(
                f"out {item[1]}" if isinstance(item[1], str) else f"answer {tally.answering}", len(data)
            )
            return data

        original: Any = server._ServerConnection._write

        def write(answers: Any, *told: Any) -> None:
            number = told[0][0] if isinstance(told[0], list) else told[0]
            tally.answering = answers.reader.kinds.pop(number, "?")
            original(answers, *told)

        names: dict[str, Any] = {"FrameReader": FrameReader, "encode": encode}
        for name, value in names.items():
            setattr(client, name, value)
            setattr(server, name, value)
        server._ServerConnection._write = write  # type: ignore[method-assign, assignment]


def report(tally: Tally) -> None:
    """Print the counts at each line of standard input, on a thread of its own; its end is the process's."""
    for _ in sys.stdin:
        print(json.dumps(dict(tally.counts)), flush=True)
    os.kill(os.getpid(), signal.SIGTERM)


PROGRAMS = {
    "registry": ("irisdeal.registry.server", "RegistryServer"),
    "config_store": ("irisdeal.config_store.replica", "StoreReplica"),
}

if __name__ == "__main__":
    counted = Tally()
    counted.install()
    threading.Thread(target=report, args=(counted,), daemon=True).start()
    module, name = PROGRAMS[sys.argv[1]]
    sys.exit(main(getattr(importlib.import_module(module), name)))
