"""Messages of the configuration store: encoding in a fixed order of fields, and decoding."""

from __future__ import annotations

from typing import Any, Protocol

import pytest

from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.consensus.register import AcceptorState, Ballot, Value
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.messages import (
    AcceptReply,
    AcceptRequest,
    DecidedNotice,
    FetchRequest,
    PrepareReply,
    PrepareRequest,
    PushReply,
    PutRequest,
    ReadReply,
    VersionMissingReply,
    WatchReply,
    WatchRequest,
    decode_accept_reply,
)
from irisdeal.config_store.storage.chunks import SyncState

VERSION = ConfigVersion.of("r7", b"{}")
DIGEST = VERSION.version_id.digest
BALLOT = Ballot(3, "a#1")
VALUE = Value(2, VERSION.version_id, Members(1, ("a#1",)))
SYNC_STATE = SyncState(VERSION.version_id)
ENCODED_VALUE = [2, 7, DIGEST, VALUE.members.encode()]
ENCODED_SYNC_STATE = [7, DIGEST, -1, b"", 0]


class Message(Protocol):
    """Any message of the store."""

    def encode(self) -> list[Any]: ...


MESSAGES: list[tuple[Message, list[Any]]] = [
    (PrepareRequest("a#1", BALLOT), ["a#1", [3, "a#1"]]),
    (
        PrepareReply(False, AcceptorState(BALLOT, BALLOT, VALUE)),
        [False, [[3, "a#1"], [3, "a#1"], ENCODED_VALUE]],
    ),
    (AcceptRequest("a#1", BALLOT, VALUE), ["a#1", [3, "a#1"], ENCODED_VALUE]),
    (AcceptReply(True, BALLOT), [True, [3, "a#1"]]),
    (VersionMissingReply(SYNC_STATE), [None, ENCODED_SYNC_STATE]),
    (DecidedNotice(BALLOT, VALUE), [[3, "a#1"], ENCODED_VALUE]),
    (PushReply(True, SYNC_STATE), [True, ENCODED_SYNC_STATE]),
    (FetchRequest(SYNC_STATE, VERSION.version_id), [ENCODED_SYNC_STATE, 7, DIGEST]),
    (PutRequest(VERSION), [7, DIGEST, b"{}"]),
    (ReadReply(True, b"{}"), [True, b"{}"]),
    (ReadReply(False, None), [False, None]),
    (WatchRequest(SYNC_STATE, -2), [ENCODED_SYNC_STATE, -2]),
    (WatchReply(None, VALUE, ("10.0.0.4",), -1), [None, ENCODED_VALUE, ["10.0.0.4"], -1]),
]


def decode_like(message: Message, encoded: list[Any]) -> Message:
    """Decode `encoded` as the type of this message."""
    if isinstance(message, AcceptReply | VersionMissingReply):
        return decode_accept_reply(encoded)
    decoded: Message = getattr(type(message), "decode")(encoded)  # noqa: B009 (the protocol has no `decode`)
    return decoded


@pytest.mark.parametrize(("message", "encoded"), MESSAGES, ids=lambda case: type(case).__name__)
def test_a_message_is_encoded_in_the_order_of_its_fields(message: Message, encoded: list[Any]) -> None:
    assert message.encode() == encoded
    assert decode_like(message, encoded) == message


@pytest.mark.parametrize(("message", "encoded"), MESSAGES, ids=lambda case: type(case).__name__)
def test_a_message_with_a_missing_field_is_rejected(message: Message, encoded: list[Any]) -> None:
    with pytest.raises(ValueError):
        decode_like(message, encoded[:-1])
