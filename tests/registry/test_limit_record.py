"""The record of limits survives a process, is damaged or missing without harm, and forgets former limits."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from irisdeal.permits.allowance import Limit, QuotaRule
from irisdeal.permits.authority import IssuingAuthority
from irisdeal.permits.issuer import PermitIssuer
from irisdeal.registry.checked_file import CheckedFile
from irisdeal.registry.limit_record import FILE_NAME, LimitRecorder, from_json
from irisdeal.runtime.tasks import Tasks

FORMER, NEXT = Limit(5.0, 275.0), Limit(60.0)


class Registry:
    """What a registry needs for its record."""

    def __init__(self, folder: Path) -> None:
        now = asyncio.get_running_loop().time()
        self.issuer = PermitIssuer(1, QuotaRule(), IssuingAuthority("a"), now)
        self.tasks = Tasks()
        self.file = CheckedFile(str(folder), FILE_NAME)
        self.recorder = LimitRecorder(self.issuer, self.file, self.tasks)

    async def apply(self, limits: dict[str, Limit]) -> None:
        """Apply limits, issue permits of each tenant, and wait until they are recorded."""
        self.issuer.configure(limits)
        for tenant in limits:
            self.issuer.bucket(tenant, self.recorder.loop.time())
        self.recorder.on_limits_changed()
        await asyncio.gather(*self.tasks.running)


def test_a_restarted_registry_knows_the_limit_before_the_last_change(tmp_path: Path) -> None:
    async def scenario() -> None:
        first = Registry(tmp_path)
        await first.apply({"t": FORMER, "other": FORMER})
        await first.apply({"t": NEXT, "other": FORMER})
        second = Registry(tmp_path)
        await second.recorder.restore()
        second.issuer.configure({"t": NEXT, "other": FORMER})
        second.issuer.bucket("t", second.recorder.loop.time())
        second.issuer.bucket("other", second.recorder.loop.time())
        assert [former.limit for former in second.issuer.histories["t"].former] == [FORMER]
        assert second.issuer.histories["other"].former == []

    asyncio.run(scenario())


def test_former_limits_leave_the_record_once_they_are_not_relevant(tmp_path: Path) -> None:
    async def scenario() -> None:
        registry = Registry(tmp_path)
        await registry.apply({"t": FORMER})
        await registry.apply({"t": NEXT})
        assert from_json(registry.file.load()) == {"t": [NEXT, FORMER]}
        registry.issuer.histories["t"].former.clear()
        registry.recorder.former_expire_at = 0.0
        registry.recorder.check()
        await asyncio.gather(*registry.tasks.running)
        assert from_json(registry.file.load()) == {"t": [NEXT]}

    asyncio.run(scenario())


@pytest.mark.parametrize("content", [b"", b"odd", b'{"t": [[1, 2]]}\n'])
def test_a_damaged_record_is_as_none(tmp_path: Path, content: bytes) -> None:
    async def scenario() -> None:
        registry = Registry(tmp_path)
        await registry.apply({"t": FORMER})
        (registry.file.path / FILE_NAME).write_bytes(content)
        second = Registry(tmp_path)
        await second.recorder.restore()
        assert second.issuer.restored_limits == {}

    asyncio.run(scenario())


@pytest.mark.parametrize("value", [[], {"t": 5}, {"t": [[1]]}, {"t": [["a", "b"]]}])
def test_a_record_of_another_shape_is_as_none(tmp_path: Path, value: object) -> None:
    async def scenario() -> None:
        registry = Registry(tmp_path)
        await registry.apply({"t": FORMER})
        registry.file.save(value)
        await registry.recorder.restore()
        assert registry.issuer.restored_limits == {}

    asyncio.run(scenario())
