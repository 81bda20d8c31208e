"""On-disk record of the limits under which a registry has issued permits.

A registry that restarts within a window of a change of a limit must know the former limit, whose permits may still
be in use (`irisdeal/permits/limit_history.py`). The record holds each tenant's limit, and the former ones that are
relevant. It is written after a change is applied: a process that ends before that finds another limit in the record
than in the configuration, so the recorded one is the former. A missing or damaged record leaves the limits of the
configuration alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import cast

from irisdeal.permits.allowance import Limit
from irisdeal.permits.issuer import PermitIssuer
from irisdeal.registry.checked_file import CheckedFile
from irisdeal.runtime.tasks import Tasks

FILE_NAME = "limits.json"
RecordedLimits = Mapping[str, list[Limit]]  # by tenant: the limit, and former ones


def to_json(limits: RecordedLimits) -> object:
    """Return the limits as a value of JSON."""
    return {
        tenant: [[limit.rate_per_s, limit.burst] for limit in recorded] for tenant, recorded in limits.items()
    }


def from_json(value: object) -> RecordedLimits:
    """Return the limits in a value of JSON. Raises ValueError or TypeError if it has another shape."""
    if not isinstance(value, dict):
        raise ValueError("wanted an object")
    entries = cast(dict[str, list[tuple[float, float]]], value)
    return {
        tenant: [Limit(float(rate), float(burst)) for rate, burst in limits]
        for tenant, limits in entries.items()
    }


class LimitRecorder:
    """Keeps the record of one registry up to date. Writes run in the background, because the disk may be slow."""

    def __init__(self, issuer: PermitIssuer, file: CheckedFile | None, tasks: Tasks) -> None:
        """`file`: None on a machine without a disk."""
        self.issuer, self.file, self.tasks = issuer, file, tasks
        self.loop = asyncio.get_running_loop()
        self.is_saving = self.must_save = False
        self.former_expire_at = float("inf")  # when the former limits in the record are not relevant any more

    async def restore(self) -> None:
        """Load the limits that an earlier process on this machine recorded."""
        if self.file is None:
            return
        value = await self.loop.run_in_executor(None, self.file.load)
        if value is not None:
            try:
                self.issuer.restore_limits(from_json(value), self.loop.time())
            except (ValueError, TypeError):  # of a later version: as if it were missing
                return

    def on_limits_changed(self) -> None:
        """Record the limits that were applied just now."""
        self.must_save = self.file is not None
        if self.file is not None and not self.is_saving:
            self.tasks.start(self._save(self.file))

    def check(self) -> None:
        """Remove former limits from the record once they are not relevant any more."""
        if self.loop.time() > self.former_expire_at:
            self.on_limits_changed()

    async def _save(self, file: CheckedFile) -> None:
        self.is_saving = True
        try:
            while self.must_save:
                self.must_save = False
                now = self.loop.time()
                limits = self.issuer.limits_to_record(now)
                has_former = any(len(recorded) > 1 for recorded in limits.values())
                self.former_expire_at = now + self.issuer.retention_s if has_former else float("inf")
                await self.loop.run_in_executor(None, file.save, to_json(limits))
        finally:
            self.is_saving = False
