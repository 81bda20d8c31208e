"""Recorded frames of every call between processes, and the recorded messages of a handover.

`python -m tests.support.wire_formats --write` regenerates `tests/data/frames.json`: sample bodies of each
call, the frames of a real exchange (`exchange.py`), and a handover. The committed file dates from before the
packages were renamed. A change that requires regenerating it makes processes of two versions incompatible.

Only the tables in this module refer to names in the program. A reader decodes a body with the program's
decoder and encodes it again.
"""

from __future__ import annotations

import argparse
import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    UNKNOWN_VALUE,
    AcceptorState,
    Ballot,
    PutOutcome,
    Value,
)
from irisdeal.config_store.membership.members import INITIAL_DISK_ID, Members, format_seat
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.storage.chunk_assembler import ChunkAssembler
from irisdeal.config_store.storage.chunks import CHUNK_BYTES, SyncState
from irisdeal.config_store.storage.version_store import VersionStore
from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import (
    CeilingShareChanged,
    ServerAdminStateChanged,
    ServerList,
    ServerListKind,
)
from irisdeal.front_door.handover.message import (
    ACCEPTING,
    HEADER,
    check_request,
    decode_body,
    decode_header,
    encode_message,
    encode_request,
)
from irisdeal.front_door.handover.roles import HALF_SHARE
from irisdeal.front_door.handover.state import export_state, import_state
from irisdeal.permits.messages import LendRequest, PrefetchReply, PrefetchReport
from irisdeal.placement.attempt_result import AttemptResult
from irisdeal.ratelimit.messages import Usage
from irisdeal.registry.incarnation import (
    BackendIncarnation,
    BackendState,
    IncarnationStatus,
    ObservedIncarnation,
)
from irisdeal.registry.messages import (
    BackendSnapshot,
    BackendUpdate,
    IncarnationReport,
    IntervalReply,
    IntervalReport,
    IntervalSum,
    LoadReport,
    PlacementReply,
    PlacementRequest,
    PlacementResult,
    ReservationEnd,
    WatchReply,
    WatchRequest,
)
from irisdeal.rpc.calls import CALLS, CANCEL
from irisdeal.rpc.frames import HELLO_REQUEST_ID, NOTIFICATION_REQUEST_ID, FrameReader, encode
from tests.front_door.test_handover import used_gateway
from tests.support.exchange import Call, record_exchange

DATA = Path(__file__).parent.parent / "data" / "frames.json"
DOOR = ("n0", "127.0.0.1:9000")  # name and address of the front door whose state is handed over
Again = Callable[[Any], Any]  # decodes a body and encodes it again


# Readers: the program's decoders and encoders, by call


def as_is(decoded: Any) -> Any:
    """Return a body for which the program has no class."""
    return decoded


def nothing(decoded: Any) -> None:
    assert decoded is None


def maybe(again: Again) -> Again:
    return lambda decoded: None if decoded is None else again(decoded)


def each(*agains: Again) -> Again:
    """Return a reader of a list with one reader for each element."""
    return lambda decoded: [again(part) for again, part in zip(agains, decoded, strict=True)]


def every(again: Again) -> Again:
    return lambda decoded: [again(part) for part in decoded]


def number(decoded: Any) -> int:
    assert type(decoded) is int
    return decoded


def ballot(decoded: Any) -> Any:
    return Ballot.decode(decoded).encode()


def kept(decoded: Any) -> Any:
    return AcceptorState.decode(decoded).encode()


def value(decoded: Any) -> Any:
    return Value.decode(decoded).encode()


def report(decoded: Any) -> Any:
    return ReplicaStatus.decode(decoded).encode()


def sync_state(decoded: Any) -> Any:
    return SyncState.decode(decoded).encode()


def outcome(decoded: Any) -> int:
    return int(PutOutcome(decoded))


def incarnation(decoded: Any) -> Any:
    return BackendIncarnation.decode(decoded, 0.0).encode(0.0)


def accepted(decoded: Any) -> Any:
    """Read the answer to an accept: whether it is accepted, and the promised ballot.

    If the acceptor lacks the body, the answer is None and its sync state.
    """
    return [decoded[0], (sync_state if decoded[0] is None else ballot)(decoded[1])]


AGED = every(each(incarnation, number))  # incarnations, each with the age of its last heartbeat in ms
READERS: dict[str, tuple[Again, Again]] = {
    "state": (maybe(report), report),
    "prepare": (each(str, ballot), maybe(each(bool, kept))),
    "accept": (each(str, ballot, value), maybe(accepted)),
    "bring": (as_is, each(bool, sync_state)),
    "fetch": (each(sync_state, number, bytes), maybe(as_is)),
    "decided": (each(ballot, value), nothing),
    "watch": (each(sync_state, number), each(as_is, value, every(str), number)),
    "put": (each(number, bytes, bytes), outcome),
    "read": (nothing, each(bool, maybe(bytes))),
    "news": (
        lambda decoded: WatchRequest.decode(decoded).encode(),
        lambda decoded: WatchReply.decode(decoded, 0.0).encode(0.0),
    ),
    "lives": (lambda decoded: IncarnationReport.decode(decoded, 0.0).encode(0.0), nothing),
    "count": (
        lambda decoded: IntervalReport.decode(decoded).encode(),
        lambda decoded: IntervalReply.decode(decoded).encode(),
    ),
    "place": (
        lambda decoded: PlacementRequest.decode(decoded).encode(),
        lambda decoded: PlacementReply.decode(decoded).encode(),
    ),
    "wait": (
        lambda decoded: PlacementRequest.decode(decoded).encode(),
        lambda decoded: PlacementReply.decode(decoded).encode(),
    ),
    "ended": (lambda decoded: ReservationEnd.decode(decoded).encode(), nothing),
    "told": (lambda decoded: BackendUpdate.decode(decoded, 0.0).encode(0.0), nothing),
    "all": (nothing, AGED),
    "all_lives": (nothing, lambda decoded: BackendSnapshot.decode(decoded, 0.0).encode(0.0)),
    "sums": (lambda decoded: IntervalSum.decode(decoded).encode(), nothing),
    "loads": (lambda decoded: LoadReport.decode(decoded).encode(), nothing),
    "lend": (lambda decoded: LendRequest.decode(decoded).encode(), number),
}


# Samples


@dataclass(frozen=True)
class Sample:
    """A call with bodies from the program's encoders. `name`: distinguishes the samples of a kind."""

    kind: str
    name: str
    ask: Any
    answer: Any = None

    def frames(self) -> list[str]:
        """Return in hex: the call, its answer, and the call as a notification if that is allowed."""
        frames = [encode([7, self.kind, self.ask]), encode([7, True, self.answer])]
        if CALLS[self.kind].is_one_way:
            frames.append(encode([NOTIFICATION_REQUEST_ID, self.kind, self.ask]))
        return [frame.hex() for frame in frames]


def versions() -> tuple[ConfigVersion, ConfigVersion, ConfigVersion]:
    """Return two versions with a small difference, and one of several chunks."""
    lines = [hashlib.sha256(b"%d" % at).hexdigest().encode() for at in range(200)]
    first, second = b"\n".join(lines), b"\n".join([*lines[:100], b"another", *lines[101:]])
    long = b"".join(b"%08d;" % (at // 900) for at in range((2 * CHUNK_BYTES) // 9 + 900))
    return ConfigVersion.of("r1", first), ConfigVersion.of("r2", second), ConfigVersion.of("r3", long)


def chunks() -> dict[str, Any]:
    """Return each kind of chunk: a complete body, a difference, and the first two chunks of a long body."""
    first, second, long = versions()
    version_store, assembler = VersionStore(), ChunkAssembler(VersionStore())
    version_store.add(first)
    whole = version_store.next_chunk(SyncState(), first.version_id)
    version_store.add(second)
    difference = version_store.next_chunk(SyncState(first.version_id), second.version_id)
    version_store.add(long)
    piece = version_store.next_chunk(SyncState(), long.version_id)
    assert piece is not None
    assembler.add_chunk(piece.encode())
    goes_on = version_store.next_chunk(assembler.sync_state(NO_VERSION), long.version_id)
    made = {"whole": whole, "difference": difference, "first piece": piece, "next piece": goes_on}
    return {name: chunk.encode() if chunk is not None else None for name, chunk in made.items()}


def _store_samples() -> list[Sample]:
    ips = ("10.0.0.1", "10.1.0.1", "10.2.0.1")
    first, second, long = versions()
    members = Members.initial(ips)
    begun, now = Value.initial(members), Value(300, second.version_id, members)
    joint = Value(
        301, second.version_id, members.enter_joint([*members.seats[:2], format_seat("10.3.0.1", "5b" * 8)])
    )
    here, there = format_seat(ips[0], INITIAL_DISK_ID), format_seat(ips[1], INITIAL_DISK_ID)
    low, high = Ballot(3, here), Ballot(70_000, there)
    arriving = SyncState(first.version_id, long.version_id, CHUNK_BYTES).encode()
    decoded = ReplicaStatus(here, "z0", low, now, now, True).encode()
    samples = [
        Sample(
            "state",
            "of a member",
            decoded,
            ReplicaStatus(there, "z1", high, joint, now, False, True).encode(),
        ),
        Sample(
            "state",
            "of nobody",
            None,
            ReplicaStatus(there, "", NO_BALLOT, UNKNOWN_VALUE, UNKNOWN_VALUE, False).encode(),
        ),
        Sample("prepare", "promised", [there, high.encode()], [True, AcceptorState(high, low, now).encode()]),
        Sample(
            "prepare",
            "refused",
            [there, low.encode()],
            [False, AcceptorState(high, NO_BALLOT, begun).encode()],
        ),
        Sample("prepare", "of a disk that is gone", [there, low.encode()]),
        Sample("accept", "accepted", [there, high.encode(), joint.encode()], [True, high.encode()]),
        Sample("accept", "refused", [there, low.encode(), now.encode()], [False, high.encode()]),
        Sample(
            "accept",
            "without the body",
            [there, low.encode(), now.encode()],
            [None, SyncState(first.version_id).encode()],
        ),
        Sample("decided", "a value", [high.encode(), now.encode()]),
        Sample(
            "watch",
            "held",
            [SyncState(second.version_id).encode(), 300],
            [None, now.encode(), ["10.4.0.1"], 125],
        ),
        Sample("watch", "without contact", [SyncState().encode(), -2], [None, begun.encode(), [], -1]),
        Sample("read", "what holds", None, [True, first.body]),
        Sample("read", "nothing yet", None, [True, None]),
        Sample("read", "not known", None, [False, None]),
    ]
    order = [first.version_id.number, first.version_id.digest, first.body]
    # The names of the samples are keys of the recorded data.
    outcomes = {"later": PutOutcome.UNDECIDED, "confirmed": PutOutcome.DECIDED, "other": PutOutcome.CONFLICT}
    assert set(outcomes.values()) == set(PutOutcome)
    samples += [Sample("put", name, order, int(outcome)) for name, outcome in outcomes.items()]
    asked = [SyncState(first.version_id).encode(), second.version_id.number, second.version_id.digest]
    samples += [Sample("fetch", "not here", asked)]
    for name, chunk in chunks().items():
        samples += [
            Sample("bring", name, chunk, [name != "first piece", arriving]),
            Sample("fetch", name, asked, chunk),
            Sample("watch", name, [arriving, 7], [chunk, joint.encode(), [], 0]),
            Sample("news", name, [arriving, 1 << 40, 9, 300], [chunk, 1 << 40, 9, [], {}, -1, -1]),
        ]
    return samples


# Names of these samples in the recorded data, which must not change
PLACEMENT_SAMPLES = {PlacementResult.NO_BACKEND: "no_place"}
ATTEMPT_SAMPLES = {
    AttemptResult.SUCCESS: "good",
    AttemptResult.SERVER_ERROR: "poor",
    AttemptResult.REJECTED: "full",
    AttemptResult.WRONG_INCARNATION: "ended",
}


def _registry_samples() -> list[Sample]:
    incarnations = [
        BackendIncarnation("i-1", "s", "10.9.0.1:80", "z0", 40, BackendState.READY, 12, 3.25),
        BackendIncarnation("i-2", "s", "10.9.0.2:80", "z1", 8, BackendState.DRAINING, 70_000, -1.0),
        BackendIncarnation("i-3", "", "", "", 0, BackendState.GONE, 0, 0.0),
    ]
    aged = [ObservedIncarnation(each, 30 * at) for at, each in enumerate(incarnations)]
    statuses = [IncarnationStatus(each, at == 1) for at, each in enumerate(incarnations)]
    zones = {"10.0.0.1": "z0", "10.1.0.1": ""}
    usages = {"t-1": Usage(17.1234, 1.25, 0.0, 2.0), "t-2": Usage()}
    held = PrefetchReport(77, 5, 1 << 47, {"t-1": 6}, {"t-1": 64, "t-2": 1})
    reserve = PrefetchReply(1 << 47, True, {"t-1": -3})
    asked = PlacementRequest("z0", "s", 0.05, (3, 1 << 23), 2, 0.25, 1.5)
    full = PlacementRequest("z0", "s", 0.05, (), -1, 0.0, 1.5, "t-1", True, True, True, (5, 6))
    placed = PlacementReply(PlacementResult.PLACED, 1_579_233_161, "i-1", 2.15)
    samples = [
        Sample(
            "news",
            "lives",
            WatchRequest(SyncState(), 0, 0, -1).encode(),
            WatchReply(None, 1 << 47, 3, statuses, zones, 1100, 300).encode(0.0),
        ),
        Sample(
            "lives",
            "all kinds",
            IncarnationReport([ObservedIncarnation(each, 0) for each in incarnations]).encode(0.0),
        ),
        Sample("lives", "none", IncarnationReport([]).encode(0.0)),
        Sample(
            "count",
            "with permits",
            IntervalReport(0.25, 70_000, usages, held).encode(),
            IntervalReply(15.0019, 12, 69_999, reserve, usages).encode(),
        ),
        Sample(
            "count",
            "the first",
            IntervalReport(0.0, -1, {}, PrefetchReport(77, 1, 0)).encode(),
            IntervalReply(0.5, 1, -1, PrefetchReply(9)).encode(),
        ),
        Sample("place", "placed", asked.encode(), placed.encode()),
        Sample("wait", "placed", asked.encode(), placed.encode()),
        Sample("wait", "no place", full.encode(), PlacementReply(PlacementResult.NO_BACKEND).encode()),
        Sample("told", "lives", BackendUpdate("10.0.0.1", "z0", "10.0.0.1:8000", aged).encode(0.0)),
        Sample("told", "none", BackendUpdate("10.0.0.1", "", "", []).encode(0.0)),
        Sample("all", "lives", None, IncarnationReport(aged).encode(0.0)),
        Sample("all_lives", "remembers", None, BackendSnapshot(True, aged).encode(0.0)),
        Sample("all_lives", "forgot", None, BackendSnapshot(False, []).encode(0.0)),
        Sample("sums", "a sum", IntervalSum("10.0.0.1", 15.0019, 13, usages, (4, 5)).encode()),
        Sample("loads", "some", LoadReport("10.0.0.1", {1 << 23: 4, 7: 1}).encode()),
        Sample("loads", "none", LoadReport("10.0.0.1", {}).encode()),
        Sample("lend", "a loan", LendRequest("t-1", 64).encode(), 4),
    ]
    samples += [
        Sample(
            "ended",
            ATTEMPT_SAMPLES.get(how, how.name.lower()),
            ReservationEnd(1_579_233_161, int(how), 1.25).encode(),
        )
        for how in AttemptResult
    ]
    results = [
        result
        for result in PlacementResult
        if result not in (PlacementResult.PLACED, PlacementResult.NO_REGISTRY)
    ]
    samples += [
        Sample(
            "place",
            PLACEMENT_SAMPLES.get(result, result.name.lower()),
            full.encode(),
            PlacementReply(result).encode(),
        )
        for result in results
    ]
    return samples


def samples() -> dict[str, list[str]]:
    """Return the frames by name of the sample."""
    return {f"{one.kind}: {one.name}": one.frames() for one in [*_store_samples(), *_registry_samples()]}


def of_the_link() -> dict[str, str]:
    """Return the frames that clients and servers send by themselves."""
    return {
        "hello": encode([HELLO_REQUEST_ID, "hello", "proxy 10.1.0.9"]).hex(),
        "cancel": encode([NOTIFICATION_REQUEST_ID, CANCEL, 70_000]).hex(),
        "refused": encode([7, False, "this process ends"]).hex(),
    }


# The real exchange


def firsts(calls: list[Call]) -> list[dict[str, str | None]]:
    """Return the first call of each kind and shape."""
    chosen: dict[tuple[str, str], Call] = {}
    for call in calls:
        chosen.setdefault((call.kind, call.shape), call)
    return [
        {
            "kind": call.kind,
            "from": call.sender,
            "to": call.receiver,
            "ask": call.ask.hex(),
            "answer": call.answer.hex() if call.answer is not None else None,
        }
        for call in chosen.values()
    ]


def totals(calls: list[Call]) -> dict[str, list[int | str]]:
    """Return for each kind the number of calls and a digest of all of them in order."""
    digests: dict[str, tuple[int, Any]] = {}
    for call in calls:
        count, digest = digests.get(call.kind, (0, hashlib.sha256()))
        digest.update(f"{call.sender}|{call.receiver}|".encode() + call.ask + (call.answer or b""))
        digests[call.kind] = count + 1, digest
    return {kind: [count, digest.hexdigest()] for kind, (count, digest) in sorted(digests.items())}


# Reading


def read_frame(frame: bytes) -> list[Any]:
    """Return the request id, the kind or the success flag, and the body of one frame."""
    (item,) = FrameReader().feed(frame)
    assert isinstance(item, list) and len(item) == 3
    return item


def again(frame: str, kind: str) -> str:
    """Decode a frame of this call or of its answer, and encode it again."""
    head, what, decoded = read_frame(bytes.fromhex(frame))
    ask, answer = READERS[kind]
    return encode([head, what, (answer if what is True else ask)(decoded)]).hex()


# A handover


def handover() -> dict[str, str]:
    """Return in hex the messages of a handover, and the state of the gateway that took over."""
    old = used_gateway()
    decoded = export_state(old.gateway, old.now, HALF_SHARE)
    old.handle(CeilingShareChanged(HALF_SHARE, False))
    state = encode_message({**decoded, "sockets": 300, "ids": ["i-1"], "list": {"members": []}})
    return {
        "request": encode_request(*DOOR).hex(),
        "state": state.hex(),
        "refused": encode_message({"refused": "another process has asked", "later": True}).hex(),
        "accepting": ACCEPTING.hex(),
        "taken over": taken_over(state).hex(),
    }


def read_handover(decoded: bytes) -> dict[str, Any]:
    length, crc = decode_header(decoded[: HEADER.size])
    return decode_body(decoded[HEADER.size :], length, crc)


def read_asked(line: bytes) -> None:
    """Raise if the line is not a request for the state of this front door."""
    check_request(line.strip(), *DOOR)


def taken_over(state: bytes) -> bytes:
    """Return the state that a new gateway would hand over after it received this state and the list."""
    old, decoded = used_gateway(), read_handover(state)
    new = Gateway(old.settings, 99)
    entries = tuple(server.listed_entry() for server in old.gateway.servers.values())
    new.handle(
        old.now, [ServerList(ServerListKind.CACHED, 2, entries), CeilingShareChanged(HALF_SHARE, True)]
    )
    import_state(decoded, new, old.now)
    new.handle(old.now, [ServerAdminStateChanged(server, True) for server in new.disabled_servers])
    return encode_message(export_state(new, old.now, HALF_SHARE))


# The committed data


def made() -> dict[str, Any]:
    """Return all data as the present code encodes it."""
    calls = record_exchange()
    return {
        "link": of_the_link(),
        "samples": samples(),
        "exchange": firsts(calls),
        "totals": totals(calls),
        "handover": handover(),
    }


def expected() -> dict[str, Any]:
    """Return the committed data."""
    decoded: dict[str, Any] = json.loads(DATA.read_text("utf-8"))
    return decoded


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", required=True, help="regenerate the committed data")
    parser.parse_args()
    DATA.write_text(json.dumps(made(), indent=1) + "\n", "utf-8")


if __name__ == "__main__":
    main()
