"""Folders on disk in every form that the store and the registry leave, and what a start reads of each.

`python -m tests.support.disk_formats --write` makes `tests/data/folders/` anew: a folder a case, and
`expected.json` with what a start reads of it. Both were made before the packages were renamed: whoever needs
to make them anew changes what is on users' disks.

The adapters at the top of each part are all that knows the program's own names; readings are plain JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import shutil
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

from irisdeal.config_store.configuration.version import ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.register import Ballot, Value
from irisdeal.config_store.membership import adoption
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat
from irisdeal.config_store.storage.acceptor_state import AcceptorStateFile
from irisdeal.config_store.storage.folder import DiskFolder
from irisdeal.config_store.storage.inspection import inspect_folder
from irisdeal.config_store.storage.version_files import VersionFiles
from irisdeal.permits.authority import IssuerList
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.registry.issuer_list_record import IssuerListRecord
from irisdeal.registry.tombstone_record import TombstoneRecord
from irisdeal.runtime.process import Tasks

T = TypeVar("T")
DATA = Path(__file__).parent.parent / "data" / "folders"
EXPECTED = "expected.json"
REGISTRY = "registry"  # the registry's folder in a machine's
IP = "10.0.0.1"
MACHINES = (IP, "10.1.0.1", "10.2.0.1")
STORE, REGISTRY_CASE, MACHINE = "store-", "registry-", "machine-"  # how the names of cases begin


def run(work: Coroutine[Any, Any, T]) -> T:
    """To its end, in a loop of its own."""
    return asyncio.run(work)


def fixed_identities(byte: str) -> AbstractContextManager[Any]:
    """New disks get this byte, over and over, as identity."""
    return mock.patch("secrets.token_hex", lambda size: byte * size)


# The store: adapters


async def opened(path: Path, first: Value | None = None) -> Acceptor:
    """The store's acceptor as a start opens it."""
    acceptor = Acceptor(IP, str(path), None, Tasks())
    await acceptor.open(first)
    return acceptor


def first_value() -> Value:
    """With which the whole system begins."""
    return Value.initial(Members.initial(MACHINES))


def version(number: int, text: str = "body") -> ConfigVersion:
    return ConfigVersion.of(f"r{number}", f"{text} {number}\n".encode() * 3)


def ballot(count: int, ip: str = IP) -> Ballot:
    return Ballot(count, format_seat(ip, INITIAL_DISK_ID))


async def accepted(
    acceptor: Acceptor, count: int, value: Value, body: ConfigVersion | None, ip: str = IP
) -> None:
    """A ballot of that machine gets its promise, its body and its accept here."""
    good, _ = await acceptor.prepare(ballot(count, ip))
    assert good
    assert body is None or await acceptor.save_version(body)
    given = await acceptor.accept(ballot(count, ip), value)
    assert given is not None and given[0]


async def decided(acceptor: Acceptor, value: Value) -> None:
    """It is known here that this was decided, and on the disk."""
    acceptor.learn(value)
    await acceptor.save_decided()


def next_value(value: Value, body: ConfigVersion) -> Value:
    return Value(value.change + 1, body.version_id, value.members)


def value_told(value: Value) -> dict[str, Any]:
    members = value.members
    return {
        "change": value.change,
        "number": value.version_id.number,
        "digest": value.version_id.digest.hex(),
        "list": {"number": members.number, "seats": list(members.seats), "former": list(members.former)},
    }


def body_told(body: ConfigVersion) -> dict[str, Any]:
    return {
        "number": body.version_id.number,
        "digest": body.version_id.digest.hex(),
        "length": len(body.body),
        "sha256": hashlib.sha256(body.body).hexdigest(),
    }


async def store_read(path: Path) -> dict[str, Any]:
    """What a start reads. The identity of a disk that counts as new is made of `5a`."""
    with fixed_identities("5a"):
        acceptor = await opened(path)
    state = acceptor.state
    version_ids: list[VersionId] = sorted(acceptor.version_files.version_ids.values())
    bodies = [acceptor.get_version(version_id) for version_id in version_ids]
    return {
        "identity": acceptor.disk_id,
        "seat": acceptor.seat,
        "promised": [state.promised.count, state.promised.seat],
        "accepted": [state.accepted.count, state.accepted.seat],
        "value": value_told(state.value),
        "decided": value_told(acceptor.decided),
        "holds_value": acceptor.has_version(state.value.version_id),
        "holds_decided": acceptor.has_version(acceptor.decided.version_id),
        "on_disk": [[version_id.number, version_id.digest.hex()] for version_id in version_ids],
        "bodies": [body_told(body) for body in bodies if body is not None],
    }


def store_copied(source: Path, to: Path) -> None:
    """Write the state that is read here anew, with its bodies."""
    state = AcceptorStateFile(DiskFolder(str(source))).open()
    assert state is not None
    AcceptorStateFile(DiskFolder(str(to))).write(state)
    files = VersionFiles(DiskFolder(str(to)))
    bodies = VersionFiles(DiskFolder(str(source))).open()
    for body in bodies:
        files.save(body, [other.version_id for other in bodies])


# The registry: adapters


def incarnations() -> list[BackendIncarnation]:
    """One that drains and is not warm yet, one that is gone, one of which nothing but the end is known."""
    return [
        BackendIncarnation("i-1", "checkout", "10.9.0.1:8080", "z1", 40, BackendState.DRAINING, 12, 3.25),
        BackendIncarnation("i-2", "search", "10.9.0.2:8080", "z2", 8, BackendState.GONE, 903, 0.0),
        BackendIncarnation("i-3", "", "", "", 0, BackendState.GONE, 0, 0.0),
    ]


def ready_life() -> BackendIncarnation:
    """Which has no place on the disk."""
    return BackendIncarnation("i-4", "search", "10.9.0.4:8080", "z2", 8, BackendState.READY, 4, 0.0)


def issuers() -> IssuerList:
    return IssuerList(7, frozenset(MACHINES))


def ended_record(path: Path) -> TombstoneRecord:
    return TombstoneRecord(DiskFolder(str(path / REGISTRY)))


async def ended_written(path: Path, ended: list[BackendIncarnation]) -> None:
    record = ended_record(path)
    if ended:
        assert await record.save(ended, [*ended, ready_life()])
    else:
        assert await record.initialize([ready_life()])


def issuers_written(path: Path, told: IssuerList) -> None:
    assert IssuerListRecord(str(path)).save(told)


def life_told(incarnation: BackendIncarnation) -> dict[str, Any]:
    return {
        "id": incarnation.id,
        "service": incarnation.service,
        "address": incarnation.address,
        "zone": incarnation.zone,
        "capacity": incarnation.capacity,
        "state": int(incarnation.state),
        "count": incarnation.count,
        "warm_ms": round(incarnation.warm_at * 1000),
    }


async def registry_read(path: Path) -> dict[str, Any]:
    """What a start reads; None for what is not there whole."""
    record = ended_record(path)
    ended = await record.load()
    listed = IssuerListRecord(str(path)).load()
    return {
        "ended": [life_told(incarnation) for incarnation in ended] if ended is not None else None,
        "on_disk": {id_: int(state) for id_, state in sorted(record.recorded.items())},
        "issuers": [listed.number, sorted(listed.machines)] if listed is not None else None,
    }


async def registry_copied(source: Path, to: Path) -> None:
    """Write what is read here anew."""
    ended, listed = await ended_record(source).load(), IssuerListRecord(str(source)).load()
    if ended is not None:
        await ended_written(to, ended)
    if listed is not None:
        issuers_written(to, listed)


# Whole folders


async def store_first(path: Path) -> None:
    """The first start of a system, before any order."""
    await opened(path, first_value())


async def store_new_disk(path: Path) -> None:
    """A disk that came empty."""
    with fixed_identities("c3"):
        await opened(path)


async def store_whole(path: Path) -> None:
    """After six orders, one of another proposer: bodies that are not needed have gone."""
    acceptor, value = await opened(path, first_value()), first_value()
    for number in range(1, 7):
        body = version(number)
        value = next_value(value, body)
        await accepted(acceptor, 3 * number, value, body, MACHINES[number % 3])
        await decided(acceptor, value)


async def store_ahead(path: Path) -> None:
    """r2 is accepted and not known as decided, and a ballot over it is promised."""
    acceptor = await opened(path, first_value())
    one = next_value(first_value(), version(1))
    await accepted(acceptor, 1, one, version(1))
    await decided(acceptor, one)
    await accepted(acceptor, 4, next_value(one, version(2)), version(2), MACHINES[1])
    good, _ = await acceptor.prepare(ballot(9, MACHINES[2]))
    assert good


async def store_joint(path: Path) -> None:
    """A change of the list is under way."""
    acceptor, first = await opened(path, first_value()), first_value()
    joint = first.members.enter_joint([*first.members.seats[:2], format_seat("10.3.0.1", "5b" * 8)])
    value = Value(first.change + 1, first.version_id, joint)
    await accepted(acceptor, 2, value, None)
    await decided(acceptor, value)


async def store_adopted(path: Path) -> None:
    """A new first list was begun by hand from this disk."""
    await store_ahead(path)
    folder = DiskFolder(str(path))
    with fixed_identities("e1"):
        adoption.adopt(folder, adoption.plan_adoption(inspect_folder(folder), IP))


async def registry_whole(path: Path) -> None:
    """Ends and a list."""
    await ended_written(path, incarnations())
    issuers_written(path, issuers())


async def registry_begun(path: Path) -> None:
    """Nothing has ended yet."""
    await ended_written(path, [])
    issuers_written(path, IssuerList(0, frozenset(MACHINES[:1])))


async def machine_whole(path: Path) -> None:
    """A core machine's: a store and a registry."""
    await store_ahead(path)
    await registry_whole(path)


WHOLE: dict[str, Callable[[Path], Coroutine[Any, Any, None]]] = {
    "store-first": store_first,
    "store-new-disk": store_new_disk,
    "store-whole": store_whole,
    "store-ahead": store_ahead,
    "store-joint": store_joint,
    "store-adopted": store_adopted,
    "registry-whole": registry_whole,
    "registry-begun": registry_begun,
    "machine-whole": machine_whole,
}


# Half-written folders


def torn(path: Path) -> None:
    """The second half is missing."""
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2])


def zeroed(path: Path) -> None:
    """Its length is there, its second half is not."""
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2] + bytes(len(data) - len(data) // 2))


def emptied(path: Path) -> None:
    path.write_bytes(b"")


def missing(path: Path) -> None:
    path.unlink()


def flipped(path: Path) -> None:
    """One bit of the last byte is another."""
    data = path.read_bytes()
    path.write_bytes(data[:-1] + bytes([data[-1] ^ 1]))


def half_new(path: Path) -> None:
    """The next one was half written beside it."""
    data = path.read_bytes()
    path.with_name(path.name + ".new").write_bytes(data[: len(data) // 2])


def only_new(path: Path) -> None:
    """Written whole beside it for the first time, and not renamed."""
    path.rename(path.with_name(path.name + ".new"))


SPOILS: dict[str, Callable[[Path], None]] = {
    "torn": torn,
    "zeroed": zeroed,
    "empty": emptied,
    "missing": missing,
    "flipped": flipped,
    "half-new": half_new,
    "only-new": only_new,
}
SPOILT = {  # the whole folder, and the file of it that is spoilt; a body's is found by its number
    "store-kept": ("store-ahead", "kept"),
    "store-body": ("store-ahead", f"r{2:018d}-*.word"),
    "store-older-body": ("store-ahead", f"r{1:018d}-*.word"),
    "registry-ended": ("registry-whole", f"{REGISTRY}/ended"),
    "registry-issuers": ("registry-whole", f"{REGISTRY}/issuers.json"),
}


def write_folders(root: Path) -> None:
    """All folders, whole and half-written."""
    for name, make in WHOLE.items():
        run(make(root / name))
    for what, (whole, pattern) in SPOILT.items():
        for how, spoil in SPOILS.items():
            folder = root / f"{what}-{how}"
            shutil.copytree(root / whole, folder)
            (file,) = folder.glob(pattern)
            spoil(file)


# Reading


def cases() -> list[str]:
    """The committed folders."""
    return sorted(path.name for path in DATA.iterdir() if path.is_dir())


def files_of(path: Path) -> dict[str, str]:
    """Digests of all files, by their place."""
    return {
        str(file.relative_to(path)): hashlib.sha256(file.read_bytes()).hexdigest()
        for file in sorted(path.rglob("*"))
        if file.is_file()
    }


def read_folder(name: str, path: Path) -> dict[str, Any]:
    """What a start reads of a case, and the files before and after it; changes the folder as a start does."""
    before = files_of(path)
    told: dict[str, Any] = {}
    if name.startswith((STORE, MACHINE)):
        told["store"] = run(store_read(path))
    if name.startswith((REGISTRY_CASE, MACHINE)):
        told["registry"] = run(registry_read(path))
    return {**told, "files": before, "files_after": files_of(path)}


def copy_state(name: str, source: Path, to: Path) -> None:
    """Read a whole folder, and write what was read to another."""
    if name.startswith((STORE, MACHINE)):
        store_copied(source, to)
    if name.startswith((REGISTRY_CASE, MACHINE)):
        run(registry_copied(source, to))


def expected() -> dict[str, Any]:
    """What is committed, by case."""
    told: dict[str, Any] = json.loads((DATA / EXPECTED).read_text("utf-8"))
    return told


def write() -> None:
    """Make the committed data anew."""
    shutil.rmtree(DATA, ignore_errors=True)
    write_folders(DATA)
    told = {}
    with tempfile.TemporaryDirectory() as scratch:
        for name in cases():
            copy = Path(scratch) / name
            shutil.copytree(DATA / name, copy)
            told[name] = read_folder(name, copy)
    (DATA / EXPECTED).write_text(json.dumps(told, indent=1, sort_keys=True) + "\n", "utf-8")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", required=True, help="make the committed data anew")
    parser.parse_args()
    write()


if __name__ == "__main__":
    main()
