"""The roster (discovery): PROTOCOL, Discovery. One agent for each door, that answers with what it was sent.

`Ledger` is the pure part: the list, its revisions, and what each agent has. `Roster` puts the agents on
sockets. What an agent wrote to its door is in `books.told`.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from irisdeal.testbed.http import Request, ServerConnection
from irisdeal.testbed.request_log import Books, Now, Told
from irisdeal.testbed.scenario import RosterSpec
from irisdeal.testbed.workload import stream

LONGEST_WATCH = 60_000  # ms; PROTOCOL, Discovery
KEPT_CHANGES = 1_000  # revisions that an agent can tell as changes; who is further behind gets the whole list
MOVED_PATIENCE = 1.5  # s that an old address keeps its connections (LATER, New configurations)


@dataclass(frozen=True, slots=True)
class Member:
    """One line of the list. `ports` gives the box's port for each door."""

    box: str
    hall: str
    kind: str
    cell: int
    phase: str
    started: int  # µs; 0 for long ago
    ports: tuple[int, ...]
    weight: float = 1.0

    def told(self, door: int) -> dict[str, Any]:
        """The line as one door is told it."""
        return {
            "id": self.box,
            "host_port": f"127.0.0.1:{self.ports[door]}",
            "locality": self.hall,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": self.phase,
            "size": self.weight,
            "up_since_ms": self.started // 1000,
        }


@dataclass(slots=True)
class Ledger:
    """The list by revisions, and how far each door's agent has come."""

    members: dict[str, tuple[int, Member]] = field(default_factory=dict)  # with its last change's revision
    revision: int = 1
    reached: dict[int, int] = field(default_factory=dict)  # by door
    history: list[tuple[int, Member]] = field(default_factory=list)
    views: dict[int, dict[str, Member]] = field(default_factory=dict)  # by door, without those gone

    def change(self, *members: Member) -> int:
        """Entries change; the new revision."""
        self.revision += 1
        for member in members:
            self.members[member.box] = (self.revision, member)
            self.history.append((self.revision, member))
            if member.phase == "Gone":
                del self.members[member.box]
        del self.history[:-KEPT_CHANGES]
        return self.revision

    def push(self, door: int, revision: int) -> bool:
        """The agent of a door has been sent everything up to that revision; whether that was news."""
        if revision <= self.reached.get(door, 0):
            return False
        view = self.views.setdefault(door, {})
        for number, member in self.history:
            if self.reached.get(door, 0) < number <= revision:
                if member.phase == "Gone":
                    view.pop(member.box, None)
                else:
                    view[member.box] = member
        self.reached[door] = revision
        return True

    def fill(self, doors: range) -> None:
        """At the start every agent has the whole list."""
        for door in doors:
            self.reached[door] = self.revision
            self.views[door] = {name: member for name, (_, member) in self.members.items()}

    def whole(self, door: int) -> tuple[int, list[Member]]:
        return self.reached.get(door, 0), list(self.views.get(door, {}).values())

    def since(self, door: int, index: int) -> tuple[int, list[Member], bool]:
        """Revision, entries, and whether they are the whole list: what a watch after `index` is answered."""
        reached = self.reached.get(door, 0)
        oldest = self.history[0][0] if self.history else self.revision + 1
        if index > reached or (index < reached and index < oldest - 1):
            return *self.whole(door), True
        latest = {member.box: member for number, member in self.history if index < number <= reached}
        return reached, list(latest.values()), False


@dataclass(slots=True, eq=False)
class _Watch:
    connection: ServerConnection
    index: int
    timer: asyncio.TimerHandle | None = None


class _Agent:
    """The address of one door's agent."""

    def __init__(self, roster: Roster, door: int) -> None:
        self.roster, self.door = roster, door
        self.server: asyncio.Server | None = None
        self.connections: dict[ServerConnection, None] = {}
        self.watches: list[_Watch] = []
        self.opened_count = 0

    def now(self) -> int:
        return self.roster.now()

    def opened(self, connection: ServerConnection) -> None:
        self.connections[connection] = None

    def closed(self, connection: ServerConnection) -> None:
        self.connections.pop(connection, None)
        for watch in [w for w in self.watches if w.connection is connection]:
            self._end(watch)

    def _end(self, watch: _Watch) -> None:
        if watch.timer is not None:
            watch.timer.cancel()
        self.watches.remove(watch)

    def asked(self, connection: ServerConnection, request: Request) -> None:
        target = urlsplit(request.target)
        if request.method != "GET" or target.path != "/catalog/members":
            connection.reply(404)
            return
        if self.roster.silent:
            return  # the call is never answered
        query = parse_qs(target.query)
        try:
            index = int(query["index"][0]) if "index" in query else None
            wait = min(int(query.get("wait", ["0"])[0]), LONGEST_WATCH)
        except ValueError:
            connection.reply(400)
            return
        if index is None:
            revision, members = self.roster.ledger.whole(self.door)
            return self._answer(connection, revision, members, True)
        revision, members, whole = self.roster.ledger.since(self.door, index)
        if members or whole or wait <= 0:
            return self._answer(connection, revision, members, whole)
        loop = asyncio.get_running_loop()
        watch = _Watch(connection, index)
        watch.timer = loop.call_later(wait / 1000, self._over, watch)
        self.watches.append(watch)

    def _over(self, watch: _Watch) -> None:
        if watch in self.watches:
            self._end(watch)
            if not self.roster.silent:
                revision, members, whole = self.roster.ledger.since(self.door, watch.index)
                self._answer(watch.connection, revision, members, whole)

    def news(self) -> None:
        """Answer every watch that waits."""
        for watch in list(self.watches):
            self._over(watch)

    def _answer(
        self,
        connection: ServerConnection,
        revision: int,
        members: list[Member],
        whole: bool,
    ) -> None:
        told = {"revision": revision, "complete": whole, "members": [m.told(self.door) for m in members]}
        if connection.reply(200, json.dumps(told).encode(), "Content-Type: application/json\r\n"):
            self.roster.wrote(self.door, members, whole)


class Roster:
    """All agents. `change` publishes; each agent hears of it late, or with the next change."""

    def __init__(self, spec: RosterSpec, books: Books, now: Now, seed: int) -> None:
        self.spec, self.books, self.now = spec, books, now
        self.random: random.Random = stream(seed, "roster")
        self.ledger = Ledger()
        self.agents: dict[int, _Agent] = {}
        self.ports: dict[int, int] = {}
        self.silent = False
        self.later = 0.0  # s more than usual
        self.lose = 0.0  # share of pushes that never come
        self.known: dict[int, set[str]] = {}  # by door: what it has been told is there

    async def start(self, doors: range) -> None:
        self.ledger.fill(doors)
        await self._listen(doors)

    async def _listen(self, doors: range) -> None:
        loop = asyncio.get_running_loop()
        for door in doors:
            agent = self.agents[door] = _Agent(self, door)

            def made(agent: _Agent = agent) -> ServerConnection:
                agent.opened_count += 1
                return ServerConnection(agent, agent.door, agent.opened_count)

            agent.server = await loop.create_server(made, "127.0.0.1", 0)
            self.ports[door] = int(agent.server.sockets[0].getsockname()[1])

    def change(self, *members: Member) -> None:
        """Publish; each door's agent hears it after its own delay, unless that push is lost."""
        revision = self.ledger.change(*members)
        loop = asyncio.get_running_loop()
        for door in self.agents:
            delay = self.spec.notice_s + self.later + self.random.random() * self.spec.spread_ms / 1000
            if self.random.random() >= self.lose:
                loop.call_later(delay, self._arrive, door, revision)

    def _arrive(self, door: int, revision: int) -> None:
        if self.ledger.push(door, revision) and not self.silent:
            self.agents[door].news()

    def set_silent(self, silent: bool) -> None:
        self.silent = silent
        if not silent:
            for agent in self.agents.values():
                agent.news()
                for connection in [c for c in agent.connections if c.busy]:
                    if not any(w.connection is connection for w in agent.watches):
                        connection.abort()  # a call that came meanwhile will not be answered

    async def move(self, doors: range) -> None:
        """Other addresses; the old ones take no new connection and close what is open after 1.5 s."""
        old = list(self.agents.values())
        for agent in old:
            if agent.server is not None:
                agent.server.close()
        await self._listen(doors)
        loop = asyncio.get_running_loop()
        for agent in old:
            loop.call_later(MOVED_PATIENCE, _close, agent)

    def wrote(self, door: int, members: list[Member], whole: bool) -> None:
        """What an agent has just written counts as told."""
        now = self.now()
        named = {m.box for m in members}
        known = self.known.setdefault(door, set())
        if whole:  # a box that is absent from a whole list has been removed
            for box in sorted(known - named):
                self.books.told.append(Told(door, now, box, "Gone", 0))
            known.clear()
        for member in members:
            self.books.told.append(Told(door, now, member.box, member.phase, member.started))
            if member.phase == "Gone":
                known.discard(member.box)
            else:
                known.add(member.box)

    def close(self) -> None:
        for agent in self.agents.values():
            _close(agent)


def _close(agent: _Agent) -> None:
    if agent.server is not None:
        agent.server.close()
    for connection in list(agent.connections):
        connection.abort()
