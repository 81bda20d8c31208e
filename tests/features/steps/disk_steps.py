"""Power losses before, during and after each disk operation of an acceptor, on a folder in memory."""

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
from irisdeal.runtime.tasks import Tasks
from irisdeal.simulation.disk import MemoryDisk

INITIAL_VALUE = Value.initial(Members.initial(["a", "b", "c"]))


def version(number: int, size: int = 40) -> ConfigVersion:
    body = json.dumps({"generation": f"r{number}", "text": "x" * size}).encode()
    return ConfigVersion.of(f"r{number}", body)


def value_after(count: int) -> Value:
    """Return the value after so many puts."""
    value = INITIAL_VALUE
    for number in range(1, count + 1):
        value = put(version(number).version_id)(value)
    return value


async def open_acceptor(disk: MemoryDisk, initial_value: Value | None = None) -> Acceptor:
    acceptor = Acceptor("a", "", disk, Tasks())
    await acceptor.open(initial_value)
    return acceptor


async def vote(acceptor: Acceptor, number: int, reported_states: list[AcceptorState]) -> None:
    """Prepare a ballot, store a version and accept it; append each reported state to `reported_states`."""
    ballot = Ballot(number, "a")
    is_granted, _ = await acceptor.prepare(ballot)
    assert is_granted
    reported_states.append(acceptor.state)
    if not await acceptor.save_version(version(number)):
        raise OSError("refused")
    result = await acceptor.accept(ballot, value_after(number))
    assert result == (True, ballot)
    reported_states.append(acceptor.state)


def interrupted(
    disk: MemoryDisk,
    act: Callable[[MemoryDisk, list[AcceptorState]], Any],
) -> Iterator[tuple[MemoryDisk, list[AcceptorState]]]:
    """Yield the disk and the reported states, with `act` failing at each disk operation in turn, then
    complete.
    """
    step = 0
    while True:
        copy, reported_states = disk.copy(), list[AcceptorState]()
        copy.operations, copy.fail_at = 0, step
        is_complete = True
        try:
            asyncio.run(act(copy, reported_states))
        except OSError:
            is_complete = False
        copy.fail_at = -1
        yield copy, reported_states
        if is_complete:
            return
        step += 1


@given("an acceptor on a disk that has accepted {count:d} versions")
def _(context: Any, count: int) -> None:
    context.disk, context.count = MemoryDisk(), count

    async def run() -> None:
        acceptor = await open_acceptor(context.disk, INITIAL_VALUE)
        for number in range(1, count + 1):
            await vote(acceptor, number, [])

    asyncio.run(run())


@given("an empty disk")
def _(context: Any) -> None:
    context.disk = MemoryDisk()


def check_disk(context: Any, disk: MemoryDisk, least: AcceptorState) -> None:
    """Check that this disk has the reported state, or a later one."""
    context.opened += 1

    async def run() -> None:
        acceptor = await open_acceptor(disk)
        state = acceptor.state
        is_preserved = (
            acceptor.disk_id == INITIAL_DISK_ID
            and state.promised >= least.promised
            and state.accepted >= least.accepted
            and state.value.change >= least.value.change
            and acceptor.has_version(state.value.version_id)
        )
        if not is_preserved:
            context.failures.append((least, state, acceptor.disk_id))

    asyncio.run(run())


def last_reported(context: Any, reported_states: list[AcceptorState]) -> AcceptorState:
    """Return the last reported state, or that of the versions accepted before."""
    before = Ballot(context.count, "a") if context.count else NO_BALLOT
    return (
        reported_states[-1] if reported_states else AcceptorState(before, before, value_after(context.count))
    )


async def one_more(disk: MemoryDisk, reported_states: list[AcceptorState], number: int) -> None:
    await vote(await open_acceptor(disk), number, reported_states)


@when("power is lost at every disk operation of accepting one more version")
def _(context: Any) -> None:
    context.opened, context.failures = 0, []
    for disk, reported_states in interrupted(
        context.disk, lambda disk, reported_states: one_more(disk, reported_states, context.count + 1)
    ):
        for lost in disk.outcomes():
            check_disk(context, lost, last_reported(context, reported_states))


@when("it is killed at every disk operation of accepting one more version, restarts and then loses power")
def _(context: Any) -> None:
    """The state that the new process reads at its start counts as reported."""
    context.opened, context.failures = 0, []
    for disk, _ in interrupted(
        context.disk, lambda disk, reported_states: one_more(disk, reported_states, context.count + 1)
    ):
        reported = asyncio.run(open_acceptor(disk)).state
        for lost in disk.outcomes():
            check_disk(context, lost, reported)


@when("power is lost at every disk operation of the first start")
def _(context: Any) -> None:
    """A reported identity is durable, or is never reported again."""
    context.opened, context.failures = 0, []
    reported: set[str] = set()

    async def start(disk: MemoryDisk, reported_states: list[AcceptorState]) -> None:
        acceptor = await open_acceptor(disk, INITIAL_VALUE)
        reported_states.append(acceptor.state)

    for disk, reported_states in interrupted(context.disk, start):
        for lost in disk.outcomes():
            context.opened += 1
            disk_id = asyncio.run(open_acceptor(lost)).disk_id
            if (reported_states and disk_id != INITIAL_DISK_ID) or (
                disk_id != INITIAL_DISK_ID and disk_id in reported
            ):
                context.failures.append(disk_id)
            reported.add(disk_id)


@then("over {least:d} disks were opened and none has lost a state that it had reported")
@then("over {least:d} disks were opened and none reports an identity that was reported before")
def _(context: Any, least: int) -> None:
    assert context.opened > least, context.opened
    assert not context.failures, context.failures[:3]


def flip_bytes(disk: MemoryDisk, name: str) -> Iterator[MemoryDisk]:
    """Yield copies of the disk with one bit of this file flipped, at several offsets."""
    data = disk.read(name)
    rng = random.Random(4)
    for offset in [0, 3, 20, len(data) - 1, *(rng.randrange(len(data)) for _ in range(40))]:
        damaged = disk.copy()
        damaged.files[name].visible = data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :]
        yield damaged


@when("a byte of its file is flipped at any position")
def _(context: Any) -> None:
    context.acceptors = [asyncio.run(open_acceptor(disk)) for disk in flip_bytes(context.disk, "kept")]


@then("its disk counts as lost and has another identity")
def _(context: Any) -> None:
    disk_ids = {acceptor.disk_id for acceptor in context.acceptors}
    assert INITIAL_DISK_ID not in disk_ids and len(disk_ids) == len(context.acceptors), disk_ids
    assert all(acceptor.decided.change == -1 for acceptor in context.acceptors)


@when("a byte of the newest version's file is flipped at any position")
def _(context: Any) -> None:
    name = max(name for name in context.disk.list_files() if name.endswith(".word"))
    context.acceptors = [asyncio.run(open_acceptor(disk)) for disk in flip_bytes(context.disk, name)]


@then("that version is missing and the older ones are available")
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
    context.rejected = []

    async def run() -> None:
        acceptor = await open_acceptor(context.disk)
        context.disk.full = True
        before = acceptor.state
        try:
            await acceptor.prepare(Ballot(99, "b"))
        except OSError:
            context.rejected.append("prepare")
        if not await acceptor.save_version(version(99)):
            context.rejected.append("version")
        assert acceptor.state == before
        context.disk.full = False

    asyncio.run(run())


@then("a prepare and a version are rejected and nothing is lost")
def _(context: Any) -> None:
    assert context.rejected == ["prepare", "version"], context.rejected
    acceptor = asyncio.run(open_acceptor(context.disk))
    assert acceptor.state.value == value_after(context.count) and acceptor.has_version(
        acceptor.state.value.version_id
    )


@then("at most {max_files:d} files are on it")
def _(context: Any, max_files: int) -> None:
    assert len(context.disk.list_files()) <= max_files, context.disk.list_files()
