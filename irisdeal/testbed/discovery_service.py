"""The discovery service (PROTOCOL, Discovery): an agent for each front door serves the revisions it has received.

`EndpointList` is the pure part: the list, its revisions, and the revision of each agent. `DiscoveryServer` puts
the agents on sockets. Entries that an agent wrote to its front door are in `RequestLog.endpoint_notices`.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from irisdeal.testbed.http import Request, ServerConnection
from irisdeal.testbed.request_log import EndpointNotice, Now, RequestLog
from irisdeal.testbed.scenario import DiscoverySpec
from irisdeal.testbed.workload import stream

MAX_WATCH_MS = 60_000  # PROTOCOL, Discovery
MAX_KEPT_CHANGES = 1_000  # a watch from before the oldest kept change gets the complete list
MOVED_CLOSE_DELAY_S = 1.5  # until connections to an old address are closed (LATER, New configurations)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the list. `ports` gives the backend's port for each front door."""

    backend: str
    zone: str
    kind: str
    cell: int
    phase: str
    started: int  # µs; 0 for long ago
    ports: tuple[int, ...]
    weight: float = 1.0

    def to_json(self, front_door: int) -> dict[str, Any]:
        """Return the endpoint as the protocol's JSON object for one front door."""
        return {
            "id": self.backend,
            "host_port": f"127.0.0.1:{self.ports[front_door]}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": self.phase,
            "size": self.weight,
            "up_since_ms": self.started // 1000,
        }


@dataclass(slots=True)
class EndpointList:
    """The list with its revisions, and the revision that each front door's agent has received."""

    # With the revision of the last change.
    members: dict[str, tuple[int, Endpoint]] = field(default_factory=dict)
    revision: int = 1
    agent_revisions: dict[int, int] = field(default_factory=dict)  # by front door
    history: list[tuple[int, Endpoint]] = field(default_factory=list)
    # By front door, without removed backends.
    views: dict[int, dict[str, Endpoint]] = field(default_factory=dict)

    def change(self, *members: Endpoint) -> int:
        """Change entries; returns the new revision."""
        self.revision += 1
        for member in members:
            self.members[member.backend] = (self.revision, member)
            self.history.append((self.revision, member))
            if member.phase == "Gone":
                del self.members[member.backend]
        del self.history[:-MAX_KEPT_CHANGES]
        return self.revision

    def push(self, front_door: int, revision: int) -> bool:
        """Update the agent of a front door to a revision; False if it had that revision already."""
        if revision <= self.agent_revisions.get(front_door, 0):
            return False
        view = self.views.setdefault(front_door, {})
        for number, member in self.history:
            if self.agent_revisions.get(front_door, 0) < number <= revision:
                if member.phase == "Gone":
                    view.pop(member.backend, None)
                else:
                    view[member.backend] = member
        self.agent_revisions[front_door] = revision
        return True

    def fill(self, front_doors: range) -> None:
        """Give every agent the complete list, at the start."""
        for front_door in front_doors:
            self.agent_revisions[front_door] = self.revision
            self.views[front_door] = {name: member for name, (_, member) in self.members.items()}

    def complete_list(self, front_door: int) -> tuple[int, list[Endpoint]]:
        """Return the agent's revision and its complete list."""
        return self.agent_revisions.get(front_door, 0), list(self.views.get(front_door, {}).values())

    def since(self, front_door: int, index: int) -> tuple[int, list[Endpoint], bool]:
        """Return the answer to a watch after `index`: revision, entries, and whether they are the complete list."""
        agent_revision = self.agent_revisions.get(front_door, 0)
        oldest = self.history[0][0] if self.history else self.revision + 1
        if index > agent_revision or (index < agent_revision and index < oldest - 1):
            return *self.complete_list(front_door), True
        latest = {
            member.backend: member for number, member in self.history if index < number <= agent_revision
        }
        return agent_revision, list(latest.values()), False


@dataclass(slots=True, eq=False)
class _Watch:
    connection: ServerConnection
    index: int
    timer: asyncio.TimerHandle | None = None


class _Agent:
    """The agent of one front door, at an address of its own."""

    def __init__(self, discovery: DiscoveryServer, front_door: int) -> None:
        self.discovery, self.front_door = discovery, front_door
        self.server: asyncio.Server | None = None
        self.connections: dict[ServerConnection, None] = {}
        self.watches: list[_Watch] = []
        self.connection_count = 0

    def now(self) -> int:
        """Return the time, µs."""
        return self.discovery.now()

    def opened(self, connection: ServerConnection) -> None:
        """Register a connection."""
        self.connections[connection] = None

    def closed(self, connection: ServerConnection) -> None:
        """Remove a connection and its watches."""
        self.connections.pop(connection, None)
        for watch in [w for w in self.watches if w.connection is connection]:
            self._end(watch)

    def _end(self, watch: _Watch) -> None:
        if watch.timer is not None:
            watch.timer.cancel()
        self.watches.remove(watch)

    def asked(self, connection: ServerConnection, request: Request) -> None:
        """Answer a call, or keep it as a watch until there is a change or its wait has elapsed."""
        target = urlsplit(request.target)
        if request.method != "GET" or target.path != "/catalog/members":
            connection.reply(404)
            return
        if self.discovery.unresponsive:
            return  # the call is never answered
        query = parse_qs(target.query)
        try:
            index = int(query["index"][0]) if "index" in query else None
            wait = min(int(query.get("wait", ["0"])[0]), MAX_WATCH_MS)
        except ValueError:
            connection.reply(400)
            return
        if index is None:
            revision, members = self.discovery.endpoints.complete_list(self.front_door)
            return self._answer(connection, revision, members, True)
        revision, members, complete = self.discovery.endpoints.since(self.front_door, index)
        if members or complete or wait <= 0:
            return self._answer(connection, revision, members, complete)
        loop = asyncio.get_running_loop()
        watch = _Watch(connection, index)
        watch.timer = loop.call_later(wait / 1000, self._answer_watch, watch)
        self.watches.append(watch)

    def _answer_watch(self, watch: _Watch) -> None:
        if watch in self.watches:
            self._end(watch)
            if not self.discovery.unresponsive:
                revision, members, complete = self.discovery.endpoints.since(self.front_door, watch.index)
                self._answer(watch.connection, revision, members, complete)

    def answer_watches(self) -> None:
        """Answer all pending watches."""
        for watch in list(self.watches):
            self._answer_watch(watch)

    def _answer(
        self,
        connection: ServerConnection,
        revision: int,
        members: list[Endpoint],
        complete: bool,
    ) -> None:
        to_json = {
            "revision": revision,
            "complete": complete,
            "members": [m.to_json(self.front_door) for m in members],
        }
        if connection.reply(200, json.dumps(to_json).encode(), "Content-Type: application/json\r\n"):
            self.discovery.log_notices(self.front_door, members, complete)


class DiscoveryServer:
    """All agents. `change` publishes to each after a delay; a lost push is covered by the next one."""

    def __init__(self, spec: DiscoverySpec, request_log: RequestLog, now: Now, seed: int) -> None:
        self.spec, self.request_log, self.now = spec, request_log, now
        self.random: random.Random = stream(seed, "roster")
        self.endpoints = EndpointList()
        self.agents: dict[int, _Agent] = {}
        self.ports: dict[int, int] = {}
        self.unresponsive = False
        self.extra_delay_s = 0.0  # added to the usual delay
        self.push_loss_ratio = 0.0  # share of pushes that are lost
        # By front door: backends it was notified of and that are not gone.
        self.notified: dict[int, set[str]] = {}

    async def start(self, front_doors: range) -> None:
        """Give every agent the complete list, and listen."""
        self.endpoints.fill(front_doors)
        await self._listen(front_doors)

    async def _listen(self, front_doors: range) -> None:
        loop = asyncio.get_running_loop()
        for front_door in front_doors:
            agent = self.agents[front_door] = _Agent(self, front_door)

            def make_connection(agent: _Agent = agent) -> ServerConnection:
                agent.connection_count += 1
                return ServerConnection(agent, agent.front_door, agent.connection_count)

            agent.server = await loop.create_server(make_connection, "127.0.0.1", 0)
            self.ports[front_door] = int(agent.server.sockets[0].getsockname()[1])

    def change(self, *members: Endpoint) -> None:
        """Publish; each front door's agent receives it after a random delay, unless the push is lost."""
        revision = self.endpoints.change(*members)
        loop = asyncio.get_running_loop()
        for front_door in self.agents:
            delay = (
                self.spec.notice_s + self.extra_delay_s + self.random.random() * self.spec.spread_ms / 1000
            )
            if self.random.random() >= self.push_loss_ratio:
                loop.call_later(delay, self._arrive, front_door, revision)

    def _arrive(self, front_door: int, revision: int) -> None:
        if self.endpoints.push(front_door, revision) and not self.unresponsive:
            self.agents[front_door].answer_watches()

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Stop answering calls, or resume and answer the pending watches."""
        self.unresponsive = unresponsive
        if not unresponsive:
            for agent in self.agents.values():
                agent.answer_watches()
                for connection in [c for c in agent.connections if c.busy]:
                    if not any(w.connection is connection for w in agent.watches):
                        connection.abort()  # a call received while unresponsive is never answered

    async def move(self, front_doors: range) -> None:
        """Move to new addresses. Open connections to the old ones are closed after `MOVED_CLOSE_DELAY_S`."""
        old = list(self.agents.values())
        for agent in old:
            if agent.server is not None:
                agent.server.close()
        await self._listen(front_doors)
        loop = asyncio.get_running_loop()
        for agent in old:
            loop.call_later(MOVED_CLOSE_DELAY_S, _close, agent)

    def log_notices(self, front_door: int, members: list[Endpoint], complete: bool) -> None:
        """Record the notices that an agent has just written."""
        now = self.now()
        named = {m.backend for m in members}
        notified = self.notified.setdefault(front_door, set())
        if complete:  # a backend that is absent from a complete list has been removed
            for backend in sorted(notified - named):
                self.request_log.endpoint_notices.append(EndpointNotice(front_door, now, backend, "Gone", 0))
            notified.clear()
        for member in members:
            self.request_log.endpoint_notices.append(
                EndpointNotice(front_door, now, member.backend, member.phase, member.started)
            )
            if member.phase == "Gone":
                notified.discard(member.backend)
            else:
                notified.add(member.backend)

    def close(self) -> None:
        """Stop serving."""
        for agent in self.agents.values():
            _close(agent)


def _close(agent: _Agent) -> None:
    if agent.server is not None:
        agent.server.close()
    for connection in list(agent.connections):
        connection.abort()
