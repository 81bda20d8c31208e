"""Decides whether this registry may issue permits, and among how many registries an allowance is divided.

The issuers are the members of the core group, by the membership list that the configuration store has decided.
Rules:

1. Each registry in the decided list issues 1/n of each allowance, where n is the list's length; no other process
   issues permits.
2. A registry issues only while its last confirmation of the decided list is at most `MAX_AGE_S` old. So a
   registry that was removed from the list while partitioned stops within that time, whatever it is partitioned
   from.
3. A registry that is new in the list, or cannot prove that its membership was continuous, issues nothing for
   `GUARD_S`: by then the member that it replaces has stopped, and the others have reduced their shares.
4. After the list became shorter, its former length is used for `GUARD_S`, and for `RESERVE_GUARD_S` for
   prefetched permits, by when the leases granted under the former list have expired.
5. A restarted process whose recorded list is the decided one, or its direct predecessor, was a member
   continuously.
"""

from __future__ import annotations

from dataclasses import dataclass

from irisdeal.permits.outstanding import LEASE_GUARD_S

# Maximum age of the last confirmation of the list; registries contact the store several times a second.
MAX_AGE_S = 2.0
NOT_ENTITLED = float("inf")
# Entitled since before this process started, by a list under which a former process of this machine issued
# permits.
ENTITLED_BEFORE_START = float("-inf")
# Time by which a removed registry has stopped by rule 2, with clocks 2% off and messages in flight.
GUARD_S = 1.05 * MAX_AGE_S + 0.3
# Time by which the leases that a removed registry granted have expired, too.
RESERVE_GUARD_S = GUARD_S + LEASE_GUARD_S


@dataclass(frozen=True, slots=True)
class IssuerList:
    """A decided membership list of the core group.

    `number`: increases by one with each change; `machines`: the members' addresses, including those of the former
    list during a change (joint consensus).
    """

    number: int
    machines: frozenset[str]


class IssuingAuthority:
    """One registry's authority to issue permits. Times are in s of its monotonic clock."""

    def __init__(self, own_address: str) -> None:
        self.own_address = own_address
        self.issuer_list: IssuerList | None = None
        self.observed_at: float | None = None  # when the current list was first observed
        self.former_lists: list[tuple[float, int]] = []  # time at which a list was superseded, and its length
        self.entitled_at = NOT_ENTITLED
        self.recorded_list: IssuerList | None = None  # as stored on the disk
        self.epochs = 0  # number of new entitlements; earlier permits are unknown to this process

    def observe_list(self, observed: IssuerList, now: float) -> None:
        """Apply the list that is decided as of `now`."""
        before, self.issuer_list = self.issuer_list or self.recorded_list, observed
        if before == observed:
            if self.observed_at is None:
                self.observed_at = now
                self.entitled_at = (
                    ENTITLED_BEFORE_START if self.own_address in observed.machines else NOT_ENTITLED
                )
            return
        self.observed_at = now
        if before is not None:
            self._record_former_length(before, observed, now)
        if self.own_address not in observed.machines:
            self.entitled_at = NOT_ENTITLED
        elif before is None or not self._is_member_throughout(before, observed):
            self.epochs += 1
            self.entitled_at = now + GUARD_S
        elif self.entitled_at == NOT_ENTITLED:
            self.entitled_at = ENTITLED_BEFORE_START

    def restore_recorded(self, recorded: IssuerList, now: float) -> None:
        """Apply the list that was on the disk when this process started.

        As the disk may be slow, the decided list may have been observed before this call.
        """
        self.recorded_list = recorded
        if (
            self.issuer_list is None
            or self.epochs != 1
            or not self._is_member_throughout(recorded, self.issuer_list)
        ):
            return
        self.entitled_at = ENTITLED_BEFORE_START
        if recorded != self.issuer_list:
            self._record_former_length(recorded, self.issuer_list, now)

    def _record_former_length(self, before: IssuerList, observed: IssuerList, now: float) -> None:
        self.former_lists = [(at, length) for at, length in self.former_lists if at + RESERVE_GUARD_S > now]
        self.former_lists.append((now, len(before.machines | observed.machines)))

    def _is_member_throughout(self, before: IssuerList, observed: IssuerList) -> bool:
        """Whether this machine is in both lists, and no other list was decided between them."""
        is_successor = before.number <= observed.number <= before.number + 1
        return is_successor and self.own_address in before.machines and self.own_address in observed.machines

    def _is_recorded(self) -> bool:
        return self.issuer_list is not None and self.issuer_list == self.recorded_list

    def may_issue(self, age_s: float | None, now: float) -> bool:
        """Whether this registry may issue permits now.

        `age_s`: age of its last confirmation of the decided list; None without contact to the store.
        """
        return age_s is not None and age_s <= MAX_AGE_S and now >= self.entitled_at

    def issuers(self, now: float) -> int:
        """Return the number of registries among which the refill and the ready permits are divided."""
        return self._max_length(now - GUARD_S)

    def reserve_issuers(self, now: float) -> int:
        """Return the number of registries among which the permits for prefetching are divided."""
        return self._max_length(now - RESERVE_GUARD_S)

    def _max_length(self, since: float) -> int:
        former = max((length for at, length in self.former_lists if at > since), default=0)
        return max(1, former, len(self.issuer_list.machines) if self.issuer_list is not None else 0)

    def to_record(self, now: float) -> IssuerList | None:
        """Return the list to write to the disk once it has been in force for `GUARD_S`; None if none is due."""
        if self.issuer_list is None or self.observed_at is None or self._is_recorded():
            return None
        if now < max(self.observed_at + GUARD_S, self.entitled_at):
            return None
        return self.issuer_list
