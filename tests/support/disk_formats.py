"""Folders in all on-disk formats of the store and the registry, and what the program reads from each at a
start.

`python -m tests.support.disk_formats --write` regenerates `tests/data/folders/`: one folder for each case,
and `expected.json` with what is read from it. The committed data guard the format of existing disks: if they
must be regenerated, the format on users' disks has changed.

Only the adapters at the top of each part use names of the program; the expected data are plain JSON.
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
from irisdeal.runtime.tasks import Tasks

T = TypeVar("T")
DATA = Path(__file__).parent.parent / "data" / "folders"
EXPECTED = "expected.json"
REGISTRY = "registry"  # the registry's folder within that of a machine
IP = "10.0.0.1"
MACHINES = (IP, "10.1.0.1", "10.2.0.1")
# Prefixes of the names of cases.
STORE = "store-"
REGISTRY_CASE = "registry-"
MACHINE = "machine-"


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run the coroutine in a new event loop."""
    return asyncio.run(coroutine)


def fixed_identities(byte: str) -> AbstractContextManager[Any]:
    """Return a context in which new disk identities repeat this byte."""
    return mock.patch("secrets.token_hex", lambda size: byte * size)


# The store: adapters


async def open_acceptor(path: Path, initial: Value | None = None) -> Acceptor:
    """Open the store's acceptor as at a start of the process."""
    acceptor = Acceptor(IP, str(path), None, Tasks())
    await acceptor.open(initial)
    return acceptor


def initial_value() -> Value:
    """Return the value at the first start of the cluster."""
    return Value.initial(Members.initial(MACHINES))


def version(number: int, text: str = "body") -> ConfigVersion:
    return ConfigVersion.of(f"r{number}", f"{text} {number}\n".encode() * 3)


def ballot(count: int, ip: str = IP) -> Ballot:
    return Ballot(count, format_seat(ip, INITIAL_DISK_ID))


async def accept_value(
    acceptor: Acceptor, count: int, value: Value, body: ConfigVersion | None, ip: str = IP
) -> None:
    """Run a ballot of that machine on this acceptor: promise, body and accept."""
    is_granted, _ = await acceptor.prepare(ballot(count, ip))
    assert is_granted
    assert body is None or await acceptor.save_version(body)
    result = await acceptor.accept(ballot(count, ip), value)
    assert result is not None and result[0]


async def save_decided(acceptor: Acceptor, value: Value) -> None:
    """Record the value as decided, and write that to the disk."""
    acceptor.learn(value)
    await acceptor.save_decided()


def next_value(value: Value, body: ConfigVersion) -> Value:
    return Value(value.change + 1, body.version_id, value.members)


def value_as_json(value: Value) -> dict[str, Any]:
    members = value.members
    return {
        "change": value.change,
        "number": value.version_id.number,
        "digest": value.version_id.digest.hex(),
        "list": {"number": members.number, "seats": list(members.seats), "former": list(members.former)},
    }


def version_as_json(body: ConfigVersion) -> dict[str, Any]:
    return {
        "number": body.version_id.number,
        "digest": body.version_id.digest.hex(),
        "length": len(body.body),
        "sha256": hashlib.sha256(body.body).hexdigest(),
    }


async def read_store(path: Path) -> dict[str, Any]:
    """Return what a start reads. A disk that counts as new gets an identity of repeated `5a`."""
    with fixed_identities("5a"):
        acceptor = await open_acceptor(path)
    state = acceptor.state
    version_ids: list[VersionId] = sorted(acceptor.version_files.version_ids.values())
    bodies = [acceptor.get_version(version_id) for version_id in version_ids]
    return {
        "identity": acceptor.disk_id,
        "seat": acceptor.seat,
        "promised": [state.promised.count, state.promised.seat],
        "accepted": [state.accepted.count, state.accepted.seat],
        "value": value_as_json(state.value),
        "decided": value_as_json(acceptor.decided),
        "holds_value": acceptor.has_version(state.value.version_id),
        "holds_decided": acceptor.has_version(acceptor.decided.version_id),
        "on_disk": [[version_id.number, version_id.digest.hex()] for version_id in version_ids],
        "bodies": [version_as_json(body) for body in bodies if body is not None],
    }


def copy_store(source: Path, to: Path) -> None:
    """Read the state and its bodies, and write them to another folder."""
    state = AcceptorStateFile(DiskFolder(str(source))).open()
    assert state is not None
    AcceptorStateFile(DiskFolder(str(to))).write(state)
    files = VersionFiles(DiskFolder(str(to)))
    bodies = VersionFiles(DiskFolder(str(source))).open()
    for body in bodies:
        files.save(body, [other.version_id for other in bodies])


# The registry: adapters


def incarnations() -> list[BackendIncarnation]:
    """Return a draining one that is not warmed up, one that is gone, and one with nothing but a tombstone."""
    return [
        BackendIncarnation("i-1", "checkout", "10.9.0.1:8080", "z1", 40, BackendState.DRAINING, 12, 3.25),
        BackendIncarnation("i-2", "search", "10.9.0.2:8080", "z2", 8, BackendState.GONE, 903, 0.0),
        BackendIncarnation("i-3", "", "", "", 0, BackendState.GONE, 0, 0.0),
    ]


def ready_incarnation() -> BackendIncarnation:
    """Return a ready incarnation, which is not stored on disk."""
    return BackendIncarnation("i-4", "search", "10.9.0.4:8080", "z2", 8, BackendState.READY, 4, 0.0)


def issuers() -> IssuerList:
    return IssuerList(7, frozenset(MACHINES))


def tombstone_record(path: Path) -> TombstoneRecord:
    return TombstoneRecord(DiskFolder(str(path / REGISTRY)))


async def write_tombstones(path: Path, ended: list[BackendIncarnation]) -> None:
    record = tombstone_record(path)
    if ended:
        assert await record.save(ended, lambda: [*ended, ready_incarnation()])
    else:
        assert await record.initialize(lambda: [ready_incarnation()])


def write_issuers(path: Path, issuer_list: IssuerList) -> None:
    assert IssuerListRecord(str(path)).save(issuer_list)


def incarnation_as_json(incarnation: BackendIncarnation) -> dict[str, Any]:
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


async def read_registry(path: Path) -> dict[str, Any]:
    """Return what a start reads; None for a file that is missing or damaged."""
    record = tombstone_record(path)
    ended = await record.load()
    listed = IssuerListRecord(str(path)).load()
    return {
        "ended": [incarnation_as_json(incarnation) for incarnation in ended] if ended is not None else None,
        "on_disk": {id_: int(state) for id_, state in sorted(record.recorded.items())},
        "issuers": [listed.number, sorted(listed.machines)] if listed is not None else None,
    }


async def copy_registry(source: Path, to: Path) -> None:
    """Read the records, and write them to another folder."""
    ended, listed = await tombstone_record(source).load(), IssuerListRecord(str(source)).load()
    if ended is not None:
        await write_tombstones(to, ended)
    if listed is not None:
        write_issuers(to, listed)


# Complete folders


async def store_first(path: Path) -> None:
    """The first start of a cluster, before any put."""
    await open_acceptor(path, initial_value())


async def store_new_disk(path: Path) -> None:
    """A disk that was empty at the start."""
    with fixed_identities("c3"):
        await open_acceptor(path)


async def store_complete(path: Path) -> None:
    """After six puts by several proposers; bodies that are not needed are removed."""
    acceptor, value = await open_acceptor(path, initial_value()), initial_value()
    for number in range(1, 7):
        body = version(number)
        value = next_value(value, body)
        await accept_value(acceptor, 3 * number, value, body, MACHINES[number % 3])
        await save_decided(acceptor, value)


async def store_ahead(path: Path) -> None:
    """r2 is accepted but not known to be decided, and a higher ballot is promised."""
    acceptor = await open_acceptor(path, initial_value())
    one = next_value(initial_value(), version(1))
    await accept_value(acceptor, 1, one, version(1))
    await save_decided(acceptor, one)
    await accept_value(acceptor, 4, next_value(one, version(2)), version(2), MACHINES[1])
    is_granted, _ = await acceptor.prepare(ballot(9, MACHINES[2]))
    assert is_granted


async def store_joint(path: Path) -> None:
    """A membership change is in progress."""
    acceptor, first = await open_acceptor(path, initial_value()), initial_value()
    joint = first.members.enter_joint([*first.members.seats[:2], format_seat("10.3.0.1", "5b" * 8)])
    value = Value(first.change + 1, first.version_id, joint)
    await accept_value(acceptor, 2, value, None)
    await save_decided(acceptor, value)


async def store_adopted(path: Path) -> None:
    """An operator adopted a new member list from this disk."""
    await store_ahead(path)
    folder = DiskFolder(str(path))
    with fixed_identities("e1"):
        adoption.adopt(folder, adoption.plan_adoption(inspect_folder(folder), IP))


async def registry_complete(path: Path) -> None:
    """Tombstones and an issuer list."""
    await write_tombstones(path, incarnations())
    write_issuers(path, issuers())


async def registry_initial(path: Path) -> None:
    """No tombstones yet."""
    await write_tombstones(path, [])
    write_issuers(path, IssuerList(0, frozenset(MACHINES[:1])))


async def machine_complete(path: Path) -> None:
    """The folder of a core machine: a store and a registry."""
    await store_ahead(path)
    await registry_complete(path)


COMPLETE: dict[str, Callable[[Path], Coroutine[Any, Any, None]]] = {
    "store-first": store_first,
    "store-new-disk": store_new_disk,
    "store-whole": store_complete,
    "store-ahead": store_ahead,
    "store-joint": store_joint,
    "store-adopted": store_adopted,
    "registry-whole": registry_complete,
    "registry-begun": registry_initial,
    "machine-whole": machine_complete,
}


# Damaged and partially written folders


def torn(path: Path) -> None:
    """Remove the second half of the file."""
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2])


def zeroed(path: Path) -> None:
    """Overwrite the second half with zeros, as after a power loss that saved only the length."""
    data = path.read_bytes()
    path.write_bytes(data[: len(data) // 2] + bytes(len(data) - len(data) // 2))


def emptied(path: Path) -> None:
    path.write_bytes(b"")


def missing(path: Path) -> None:
    path.unlink()


def flipped(path: Path) -> None:
    """Flip one bit of the last byte."""
    data = path.read_bytes()
    path.write_bytes(data[:-1] + bytes([data[-1] ^ 1]))


def half_new(path: Path) -> None:
    """Add a partially written temporary file."""
    data = path.read_bytes()
    path.with_name(path.name + ".new").write_bytes(data[: len(data) // 2])


def only_new(path: Path) -> None:
    """Leave only a complete temporary file, as before its first rename."""
    path.rename(path.with_name(path.name + ".new"))


DAMAGES: dict[str, Callable[[Path], None]] = {
    "torn": torn,
    "zeroed": zeroed,
    "empty": emptied,
    "missing": missing,
    "flipped": flipped,
    "half-new": half_new,
    "only-new": only_new,
}
DAMAGED_FILES = {  # complete folder, and pattern of the file to damage; bodies are found by their number
    "store-kept": ("store-ahead", "kept"),
    "store-body": ("store-ahead", f"r{2:018d}-*.word"),
    "store-older-body": ("store-ahead", f"r{1:018d}-*.word"),
    "registry-ended": ("registry-whole", f"{REGISTRY}/ended"),
    "registry-issuers": ("registry-whole", f"{REGISTRY}/issuers.json"),
}


def write_folders(root: Path) -> None:
    """Write all folders, complete and damaged."""
    for name, make in COMPLETE.items():
        run(make(root / name))
    for label, (complete, pattern) in DAMAGED_FILES.items():
        for suffix, damage in DAMAGES.items():
            folder = root / f"{label}-{suffix}"
            shutil.copytree(root / complete, folder)
            (file,) = folder.glob(pattern)
            damage(file)


# Reading


def cases() -> list[str]:
    """Return the names of the committed folders."""
    return sorted(path.name for path in DATA.iterdir() if path.is_dir())


def files_of(path: Path) -> dict[str, str]:
    """Return the digests of all files by relative path."""
    return {
        str(file.relative_to(path)): hashlib.sha256(file.read_bytes()).hexdigest()
        for file in sorted(path.rglob("*"))
        if file.is_file()
    }


def read_folder(name: str, path: Path) -> dict[str, Any]:
    """Return what a start reads of a case, and the files before and after. Changes the folder like a
    start.
    """
    before = files_of(path)
    readings: dict[str, Any] = {}
    if name.startswith((STORE, MACHINE)):
        readings["store"] = run(read_store(path))
    if name.startswith((REGISTRY_CASE, MACHINE)):
        readings["registry"] = run(read_registry(path))
    return {**readings, "files": before, "files_after": files_of(path)}


def copy_state(name: str, source: Path, to: Path) -> None:
    """Read a complete folder, and write what was read to another."""
    if name.startswith((STORE, MACHINE)):
        copy_store(source, to)
    if name.startswith((REGISTRY_CASE, MACHINE)):
        run(copy_registry(source, to))


def expected() -> dict[str, Any]:
    """Return the committed expectations by case."""
    readings: dict[str, Any] = json.loads((DATA / EXPECTED).read_text("utf-8"))
    return readings


def write() -> None:
    """Regenerate the committed data."""
    shutil.rmtree(DATA, ignore_errors=True)
    write_folders(DATA)
    readings = {}
    with tempfile.TemporaryDirectory() as scratch:
        for name in cases():
            copy = Path(scratch) / name
            shutil.copytree(DATA / name, copy)
            readings[name] = read_folder(name, copy)
    (DATA / EXPECTED).write_text(json.dumps(readings, indent=1, sort_keys=True) + "\n", "utf-8")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", required=True, help="regenerate the committed data")
    parser.parse_args()
    write()


if __name__ == "__main__":
    main()
