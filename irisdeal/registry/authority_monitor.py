"""Monitors a registry's authority to issue permits: logs its changes, and records the issuer list on disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from irisdeal.permits.authority import IssuerList, IssuingAuthority
from irisdeal.registry.issuer_list_record import IssuerListRecord
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.tasks import Tasks


class AuthorityMonitor:
    """One registry's authority and its record. Writes run in the background, because the disk may be slow."""

    def __init__(
        self,
        authority: IssuingAuthority,
        record: IssuerListRecord | None,
        state_age_s: Callable[[], float | None],
        tasks: Tasks,
    ) -> None:
        """`record`: None on a machine without a disk; `state_age_s`: returns the age of the local store state."""
        self.authority, self.record, self.state_age_s, self.tasks = authority, record, state_age_s, tasks
        self.loop = asyncio.get_running_loop()
        self.is_saving = self.was_issuing = False

    async def restore(self) -> None:
        """Load the list that an earlier process on this machine recorded."""
        if self.record is None:
            return
        recorded = await self.loop.run_in_executor(None, self.record.load)
        if recorded is not None:
            self.authority.restore_recorded(recorded, self.loop.time())

    def check(self) -> None:
        """Log if the authority was gained or lost, and record the issuer list once it is established."""
        now = self.loop.time()
        is_issuing = self.authority.may_issue(self.state_age_s(), now)
        if is_issuing != self.was_issuing:
            self.was_issuing = is_issuing
            log_event(
                Event.PERMITS_RESUMED if is_issuing else Event.PERMITS_SUSPENDED,
                state_age_s=self.state_age_s(),
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
