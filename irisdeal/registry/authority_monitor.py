"""Monitors a registry's authority to issue permits: logs when it comes and goes, and records its issuer list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from irisdeal.permits.authority import IssuerList, IssuingAuthority
from irisdeal.registry.issuer_list_record import IssuerListRecord
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks


class AuthorityMonitor:
    """One registry's authority and its record. The disk may be slow, and nothing waits for it."""

    def __init__(
        self,
        authority: IssuingAuthority,
        record: IssuerListRecord | None,
        age: Callable[[], float | None],
        tasks: Tasks,
    ) -> None:
        """`record`: None on a machine without a disk; `age`: s, of the store's state that is known here."""
        self.authority, self.record, self.age, self.tasks = authority, record, age, tasks
        self.loop = asyncio.get_running_loop()
        self.is_saving = self.was_issuing = False

    async def restore(self) -> None:
        """Read the list that an earlier process of this machine recorded."""
        if self.record is None:
            return
        recorded = await self.loop.run_in_executor(None, self.record.load)
        if recorded is not None:
            self.authority.restore_recorded(recorded, self.loop.time())

    def check(self) -> None:
        """Log when the authority was gained or lost, and record the list once it may be relied on."""
        now = self.loop.time()
        is_issuing = self.authority.may_issue(self.age(), now)
        if is_issuing != self.was_issuing:
            self.was_issuing = is_issuing
            log_event(
                Event.PERMITS_RESUMED if is_issuing else Event.PERMITS_SUSPENDED,
                age=self.age(),
                issuers=self.authority.issuers(now),
            )
        listed = self.authority.to_record(now)
        if listed is not None and self.record is not None and not self.is_saving:
            self.tasks.start(self._save(self.record, listed))

    async def _save(self, record: IssuerListRecord, listed: IssuerList) -> None:
        self.is_saving = True
        try:
            if await self.loop.run_in_executor(None, record.save, listed):
                self.authority.recorded_list = listed
                log_event(Event.ISSUER_LIST_STORED, list=listed.number, machines=len(listed.machines))
        finally:
            self.is_saving = False
