"""Every loss of power between and amid the disk operations of an acceptor, on a folder in memory."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterator
from typing import Any

from behave import given, then, when

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.register import NO_BALLOT, AcceptorState, Ballot, Value, put
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members
from irisdeal.runtime.process import Tasks
from irisdeal.simulation.disk import MemoryDisk

START = Value.initial(Members.initial(["a", "b", "c"]))


def version(number: int, size: int = 40) -> ConfigVersion:
    body = json.dumps({"generation": f"r{number}", "text": "x" * size}).encode()
    return ConfigVersion.of(f"r{number}", body)


def after(count: int) -> Value:
    value = START
    for number in range(1, count + 1):
        value = put(version(number).version_id)(value)
    return value


async def opened(disk: MemoryDisk, first: Value | None = None) -> Acceptor:
    acceptor = Acceptor("a", "", disk, Tasks())
    await acceptor.open(first)
    return acceptor


async def vote(acceptor: Acceptor, number: int, answered: list[AcceptorState]) -> None:
    """Prepare a ballot, store a version, accept it; add each answered state to `answered`."""
    ballot = Ballot(number, "a")
    is_granted, _ = await acceptor.prepare(ballot)
    assert is_granted
    answered.append(acceptor.state)
    if not await acceptor.save_version(version(number)):
        raise OSError("refused")
    result = await acceptor.accept(ballot, after(number))
    assert result == (True, ballot)
    answered.append(acceptor.state)


def interrupted(
    disk: MemoryDisk,
    act: Callable[[MemoryDisk, list[AcceptorState]], Any],
) -> Iterator[tuple[MemoryDisk, list[AcceptorState]]]:
    """Yield the disk and what was answered, with `act` failing at each disk operation in turn; complete at
    last.
    """
    step = 0
    while True:
        copy, answered = disk.copy(), list[AcceptorState]()
        copy.operations, copy.fail_at = 0, step
        done = True
        try:
            asyncio.run(act(copy, answered))
        except OSError:
            done = False
        copy.fail_at = -1
        yield copy, answered
        if done:
            return
        step += 1


@given("an acceptor on a disk that has accepted {count:d} versions")
def _(context: Any, count: int) -> None:
    context.disk, context.count = MemoryDisk(), count

    async def run() -> None:
        acceptor = await opened(context.disk, START)
        for number in range(1, count + 1):
            await vote(acceptor, number, [])

    asyncio.run(run())


@given("an empty disk")
def _(context: Any) -> None:
    context.disk = MemoryDisk()


def judge(context: Any, disk: MemoryDisk, least: AcceptorState) -> None:
    """Check that this disk has the answered state, or a later one."""
    context.opened += 1

    async def run() -> None:
        acceptor = await opened(disk)
        state = acceptor.state
        is_good = (
            acceptor.disk_id == INITIAL_DISK_ID
            and state.promised >= least.promised
            and state.accepted >= least.accepted
            and state.value.change >= least.value.change
            and acceptor.has_version(state.value.version_id)
        )
        if not is_good:
            context.found.append((least, state, acceptor.disk_id))

    asyncio.run(run())


def least(context: Any, answered: list[AcceptorState]) -> AcceptorState:
    before = Ballot(context.count, "a") if context.count else NO_BALLOT
    return answered[-1] if answered else AcceptorState(before, before, after(context.count))


async def one_more(disk: MemoryDisk, answered: list[AcceptorState], number: int) -> None:
    await vote(await opened(disk), number, answered)


@when("power is lost at every disk operation of one more")
def _(context: Any) -> None:
    context.opened, context.found = 0, []
    for disk, answered in interrupted(
        context.disk, lambda disk, answered: one_more(disk, answered, context.count + 1)
    ):
        for lost in disk.outcomes():
            judge(context, lost, least(context, answered))


@when("it is killed at every disk operation of one more, starts again and then loses power")
def _(context: Any) -> None:
    """The state that the new process reports at its start counts as answered."""
    context.opened, context.found = 0, []
    for disk, _ in interrupted(
        context.disk, lambda disk, answered: one_more(disk, answered, context.count + 1)
    ):
        reported = asyncio.run(opened(disk)).state
        for lost in disk.outcomes():
            judge(context, lost, reported)


@when("power is lost at every disk operation of the first start")
def _(context: Any) -> None:
    """An identity that was reported is on the disk for good, or no disk ever has it again."""
    context.opened, context.found = 0, []
    reported: set[str] = set()

    async def start(disk: MemoryDisk, answered: list[AcceptorState]) -> None:
        acceptor = await opened(disk, START)
        answered.append(acceptor.state)

    for disk, answered in interrupted(context.disk, start):
        for lost in disk.outcomes():
            context.opened += 1
            name = asyncio.run(opened(lost)).disk_id
            if (answered and name != INITIAL_DISK_ID) or (name != INITIAL_DISK_ID and name in reported):
                context.found.append(name)
            reported.add(name)


@then("over {least:d} disks were opened and none has lost what was answered")
@then("over {least:d} disks were opened and none reports an identity that was reported before")
def _(context: Any, least: int) -> None:
    assert context.opened > least, context.opened
    assert not context.found, context.found[:3]


def flipped(disk: MemoryDisk, name: str) -> Iterator[MemoryDisk]:
    data = disk.read(name)
    chance = random.Random(4)
    for offset in [0, 3, 20, len(data) - 1, *(chance.randrange(len(data)) for _ in range(40))]:
        damaged = disk.copy()
        damaged.files[name].visible = data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :]
        yield damaged


@when("a byte of its file is flipped, wherever it is")
def _(context: Any) -> None:
    context.acceptors = [asyncio.run(opened(disk)) for disk in flipped(context.disk, "kept")]


@then("its disk counts as lost and has another identity")
def _(context: Any) -> None:
    names = {acceptor.disk_id for acceptor in context.acceptors}
    assert INITIAL_DISK_ID not in names and len(names) == len(context.acceptors), names
    assert all(acceptor.decided.change == -1 for acceptor in context.acceptors)


@when("a byte of the newest version's file is flipped, wherever it is")
def _(context: Any) -> None:
    name = max(name for name in context.disk.list_files() if name.endswith(".word"))
    context.acceptors = [asyncio.run(opened(disk)) for disk in flipped(context.disk, name)]


@then("that version is missing and the ones before it are there")
def _(context: Any) -> None:
    for acceptor in context.acceptors:
        present = [
            acceptor.version_files.has(version(number).version_id) for number in range(1, context.count + 1)
        ]
        assert not acceptor.has_version(version(context.count).version_id)
        assert present == [True] * (context.count - 1) + [False], present


@when("the disk is full")
def _(context: Any) -> None:
    context.disk.full = False
    context.refused = []

    async def run() -> None:
        acceptor = await opened(context.disk)
        context.disk.full = True
        before = acceptor.state
        try:
            await acceptor.prepare(Ballot(99, "b"))
        except OSError:
            context.refused.append("prepare")
        if not await acceptor.save_version(version(99)):
            context.refused.append("version")
        assert acceptor.state == before
        context.disk.full = False

    asyncio.run(run())


@then("a prepare and a version are refused and nothing is lost")
def _(context: Any) -> None:
    assert context.refused == ["prepare", "version"], context.refused
    acceptor = asyncio.run(opened(context.disk))
    assert acceptor.state.value == after(context.count) and acceptor.has_version(
        acceptor.state.value.version_id
    )


@then("at most {most:d} files are on it")
def _(context: Any, most: int) -> None:
    assert len(context.disk.list_files()) <= most, context.disk.list_files()
