"""Status rounds of one replica: it asks all others for their status, and proposes changes of the member list.

From the answers it knows whether it has contact with a quorum, what is decided, and who became a member or left. A
peer that does not answer is waited for beside the rounds. What takes a disk's time or a ballot's runs beside the
rounds, too, one such background task at a time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from returns.result import Success

from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.proposer import BALLOT_TIMEOUT_S, Proposer
from irisdeal.config_store.consensus.register import NO_BALLOT, UNKNOWN_VALUE, Value, set_members
from irisdeal.config_store.membership.contact import QuorumContact
from irisdeal.config_store.membership.decided_value import decided_among
from irisdeal.config_store.membership.goals import ReconfigurationGoals
from irisdeal.config_store.membership.members import Members
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.monitor import MembershipMonitor
from irisdeal.config_store.peers import Peers, now
from irisdeal.runtime import ports
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks
from irisdeal.runtime.settings import Settings

STATUS_INTERVAL_S = 0.5  # between two rounds; what was missed is received within two of them
SEARCH_INTERVAL_S = 0.12  # between two rounds without contact
# For this long, to twice as long, a value may be accepted and not known to be decided; then a ballot decides it.
UNDECIDED_WAIT_S = 0.3
STATUS_TIMEOUT_S = 0.35  # for a short answer of another machine: hundreds of round trips
STATUS_WAIT_S = 0.02  # that a round waits for the answers of healthy peers: a few round trips
DEFAULT_SYNC_S = 4.0  # the bound `sync_s` where no setting says another
NOTHING_UNDECIDED = (-1, 0.0)

LearnDecided = Callable[[Value, list[str]], None]  # this value is decided, its body is at these addresses


class StatusRounds:
    """One replica's view of its peers.

    Args:
        settings: of the process; replaced on a reload.
        acceptor: the own acceptor.
        peers: calls to the other replicas.
        proposer: the own proposer.
        tasks: where tasks are started, so that the process can cancel them.
        learn: called with each value that was learned to be decided, and the addresses that have its body.
    """

    def __init__(
        self,
        settings: Settings,
        acceptor: Acceptor,
        peers: Peers,
        proposer: Proposer,
        tasks: Tasks,
        learn: LearnDecided,
    ) -> None:
        self.settings = settings
        self.acceptor = acceptor
        self.peers = peers
        self.proposer = proposer
        self.tasks = tasks
        self.learn = learn
        self.contact = QuorumContact()
        self.monitor = MembershipMonitor(now())
        self.random = random.Random(acceptor.ip)
        self.leaving = False
        self.had_contact = False  # as was logged last
        self.requested: set[str] = set()  # addresses whose answer is pending
        # The highest change that was accepted and is not known to be decided, and since when.
        self.undecided: tuple[int, float] = NOTHING_UNDECIDED
        self.background: asyncio.Task[None] | None = None

    # What is known

    @property
    def members(self) -> Members:
        """The newest list that is known to be decided."""
        return self.acceptor.decided.members

    def other_ips(self) -> list[str]:
        """Return the addresses of all machines that may run a replica."""
        ips = self.members.ips() | self.acceptor.state.value.members.ips()
        return sorted((ips | set(ports.seeds(self.settings)) | set(self.learners())) - {self.settings.ip})

    def learners(self) -> list[str]:
        """Return the addresses of live replicas outside the list."""
        return self.monitor.learners(self.acceptor.decided, now())

    def has_contact(self) -> bool:
        """Whether this replica may answer for the store."""
        return self.contact.has_lease(self.members, self.acceptor.seat, now())

    def knowledge_age_s(self, change: int) -> float:
        """Return the s since a moment by which all that was decided is in force here; inf where there was none.

        Args:
            change: number of the change that is in force here.
        """
        accepted = self.acceptor.state.value.change
        return self.contact.knowledge_age_s(self.members, self.acceptor.seat, now(), change, accepted)

    def own_status(self) -> ReplicaStatus:
        """Return this replica's status."""
        kept, decided = self.acceptor.state, self.acceptor.decided
        return ReplicaStatus(
            self.acceptor.seat,
            self.settings.zone,
            kept.accepted,
            kept.value,
            decided,
            decided != UNKNOWN_VALUE and self.acceptor.has_version(decided.version_id),
            self.leaving,
        )

    # Requests

    def record_status(self, status: ReplicaStatus) -> None:
        """Take a peer's status, requested or not."""
        self.monitor.record_status(status, now())
        if status.has_body:
            self.peers.newest[status.ip] = status.decided.version_id
        self.proposer.observe_ballot(status.accepted)
        self.learn(status.decided, [status.ip])

    async def request_status(self, ip: str) -> ReplicaStatus | None:
        """Request a peer's status; None where it does not answer. Only an answer shows that we reach it."""
        asked_at = now()
        answer = await self.peers.call(ip, "state", self.own_status().encode(), STATUS_TIMEOUT_S)
        if not isinstance(answer, Success):
            return None
        status = ReplicaStatus.decode(answer.unwrap())
        self.record_status(status)
        self.contact.record_answer(status.seat, asked_at, status.value.change)
        return status

    async def _request_once(self, ip: str) -> None:
        """Request a peer's status unless a request to it is pending."""
        if ip not in self.requested:
            self.requested.add(ip)
            try:
                await self.request_status(ip)
            finally:
                self.requested.discard(ip)

    def announce_leaving(self) -> None:
        """Send all peers a status that says that this replica shuts down."""
        self.leaving = True
        self.monitor.record_status(self.own_status(), now())
        for ip in self.other_ips():
            self.tasks.start(self.request_status(ip))

    # Rounds

    async def run(self) -> None:
        """Run a round at each interval, until cancelled."""
        while True:
            if self.contact.tick(now()):
                log_event(Event.PROCESS_STALLED)
                self.monitor.reset_after_stall(now())
            requests = [self.tasks.start(self._request_once(ip)) for ip in self.other_ips()]
            if requests:
                await asyncio.wait(requests, timeout=STATUS_WAIT_S)
            self._evaluate()
            await asyncio.sleep(STATUS_INTERVAL_S if self.had_contact else SEARCH_INTERVAL_S)

    def _evaluate(self) -> None:
        """Draw the conclusions from all statuses together."""
        own, at = self.own_status(), now()
        self.monitor.record_status(own, at)
        for event, seat in self.monitor.new_events(self.acceptor.decided, self.acceptor.seat, at):
            log_event(event, seat=seat)
        statuses = [peer.status for peer in self.monitor.statuses.values()]
        decided = decided_among(statuses)
        if decided is not None:
            self.learn(decided, [status.ip for status in statuses if status.value == decided])
        if self.has_contact() != self.had_contact:
            self.had_contact = not self.had_contact
            log_event(
                Event.QUORUM_CONTACT_REGAINED if self.had_contact else Event.QUORUM_CONTACT_LOST,
                list=self.members.number,
            )
        if self.background is None or self.background.done():
            self.background = self.tasks.start(self._run_background(statuses))

    async def _run_background(self, statuses: Iterable[ReplicaStatus]) -> None:
        """Do what takes a disk's time or a ballot's."""
        try:
            await self._catch_up(statuses)
            await self.acceptor.save()
        except OSError:
            return  # logged as event 203; the next round tries again
        if self.had_contact:
            await self._decide_undecided(statuses)
            await self._propose_members()

    async def _catch_up(self, statuses: Iterable[ReplicaStatus]) -> None:
        """Accept what is decided as others accepted it, as if its proposer had reached us."""
        kept, decided = self.acceptor.state, self.acceptor.decided
        for status in statuses:
            is_acceptable = status.value == decided and status.accepted >= kept.promised
            if is_acceptable and kept.value != decided:
                log_event(Event.ACCEPTOR_CAUGHT_UP, change=decided.change, ballot=status.accepted.count)
                await self.acceptor.accept(status.accepted, status.value)
                return

    async def _decide_undecided(self, statuses: Iterable[ReplicaStatus]) -> None:
        """Run a ballot for a value that was accepted and is not known to be decided.

        It may have been confirmed by a replica that is partitioned now. All that see it wait a random time, and
        whoever is first spares the others the ballot.
        """
        kept, decided = self.acceptor.state, self.acceptor.decided
        # Nothing under the ballot of what is decided can be decided any more.
        finished = kept.accepted if kept.value == decided else NO_BALLOT
        change = max((status.value.change for status in statuses if status.accepted > finished), default=-1)
        undecided_change, since = self.undecided
        if change <= decided.change:
            self.undecided = NOTHING_UNDECIDED
        elif change != undecided_change:
            self.undecided = (change, now() + UNDECIDED_WAIT_S * self.random.random())
        elif now() - since >= UNDECIDED_WAIT_S:
            log_event(Event.ACCEPTED_VALUE_RECOVERED, change=change, decided=decided.change)
            self.undecided = NOTHING_UNDECIDED
            await self.proposer.read(BALLOT_TIMEOUT_S)

    async def _propose_members(self) -> None:
        """Propose the next list where there is one and it is our turn, and complete it at once."""
        members = self.members
        proposal = self.monitor.next_proposal(self.acceptor.decided, self.acceptor.seat, now(), self._goals())
        if proposal is None:
            return
        log_event(
            Event.MEMBERSHIP_CHANGE_PROPOSED,
            list=proposal.number,
            seats=" ".join(proposal.seats),
            former=" ".join(proposal.former),
        )
        await self.proposer.decide(set_members(proposal), lambda value: value.members != members)
        if proposal.former and self.members == proposal:  # a joint list stands fewer losses: complete it now
            completed = set_members(proposal.leave_joint())
            await self.proposer.decide(completed, lambda value: value.members != proposal)

    def _goals(self) -> ReconfigurationGoals:
        """Return what the settings ask the list to withstand."""
        settings = self.settings
        return ReconfigurationGoals(
            settings.tolerance.machines,
            settings.tolerance.zones,
            settings.tolerance.regions,
            settings.zones,
            settings.bound("sync_s", DEFAULT_SYNC_S),
        )
