"""Status rounds of one replica: it polls its peers for their status and proposes membership changes.

From the replies it derives its quorum contact, the decided value, and membership changes. Rounds do not wait for
peers that do not reply. Work that needs the disk or a ballot runs in one background task at a time, so that it does
not delay the rounds either.
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
from irisdeal.runtime.settings import Settings
from irisdeal.runtime.tasks import Tasks

STATUS_INTERVAL_S = 0.5  # between two rounds; a lost notice is made up for within two rounds
SEARCH_INTERVAL_S = 0.12  # between two rounds without quorum contact
# After this time, up to twice as long, a ballot decides a value that is accepted but not known to be decided.
UNDECIDED_WAIT_S = 0.3
STATUS_TIMEOUT_S = 0.35  # for a short reply from another machine: hundreds of round trips
STATUS_WAIT_S = 0.02  # how long a round waits for the replies of healthy peers: a few round trips
DEFAULT_SYNC_S = 4.0  # default of the bound `sync_s` in the settings
NOTHING_UNDECIDED = (-1, 0.0)

# Takes a decided value and the addresses that have its body.
LearnDecided = Callable[[Value, list[str]], None]


class StatusRounds:
    """Polls the peers of one replica.

    Args:
        settings: settings of the process; replaced on a reload.
        acceptor: the acceptor of this replica.
        peers: calls to the other replicas.
        proposer: the proposer of this replica.
        tasks: starts tasks, so that the process can cancel them.
        learn: called with each decided value that a status shows, and the addresses that have its body.
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
        self.is_leaving = False
        self.had_contact = False  # as logged last
        self.pending_requests: set[str] = set()  # addresses with an outstanding status request
        # The highest accepted change that is not known to be decided, and when it was first seen, plus jitter.
        self.undecided: tuple[int, float] = NOTHING_UNDECIDED
        self.background_task: asyncio.Task[None] | None = None

    # State

    @property
    def members(self) -> Members:
        """The newest member list known to be decided."""
        return self.acceptor.decided.members

    def other_ips(self) -> list[str]:
        """Return the addresses of all machines that may run a replica."""
        ips = self.members.ips() | self.acceptor.state.value.members.ips()
        return sorted((ips | set(ports.seeds(self.settings)) | set(self.learners())) - {self.settings.ip})

    def learners(self) -> list[str]:
        """Return the addresses of live replicas that are not members."""
        return self.monitor.learners(self.acceptor.decided, now())

    def has_contact(self) -> bool:
        """Whether this replica may serve requests for the store."""
        return self.contact.has_lease(self.members, self.acceptor.seat, now())

    def knowledge_age_s(self, change: int) -> float:
        """Return the seconds since a time before which every decided change is applied here; inf if there is none.

        Args:
            change: number of the change that is applied here.
        """
        accepted = self.acceptor.state.value.change
        return self.contact.knowledge_age_s(self.members, self.acceptor.seat, now(), change, accepted)

    def own_status(self) -> ReplicaStatus:
        """Return this replica's status."""
        accepted_state, decided = self.acceptor.state, self.acceptor.decided
        return ReplicaStatus(
            self.acceptor.seat,
            self.settings.zone,
            accepted_state.accepted,
            accepted_state.value,
            decided,
            decided != UNKNOWN_VALUE and self.acceptor.has_version(decided.version_id),
            self.is_leaving,
        )

    # Requests

    def record_status(self, status: ReplicaStatus) -> None:
        """Process a peer's status, whether requested or sent with a request."""
        self.monitor.record_status(status, now())
        if status.has_body:
            self.peers.newest[status.ip] = status.decided.version_id
        self.proposer.observe_ballot(status.accepted)
        self.learn(status.decided, [status.ip])

    async def request_status(self, ip: str) -> ReplicaStatus | None:
        """Request a peer's status; None without a reply. Only a reply shows that the peer is reachable."""
        asked_at = now()
        result = await self.peers.call(ip, "state", self.own_status().encode(), STATUS_TIMEOUT_S)
        if not isinstance(result, Success):
            return None
        status = ReplicaStatus.decode(result.unwrap())
        self.record_status(status)
        self.contact.record_answer(status.seat, asked_at, status.value.change)
        return status

    async def _request_once(self, ip: str) -> None:
        """Request a peer's status unless a request to it is outstanding."""
        if ip not in self.pending_requests:
            self.pending_requests.add(ip)
            try:
                await self.request_status(ip)
            finally:
                self.pending_requests.discard(ip)

    def announce_leaving(self) -> None:
        """Notify all peers that this replica is shutting down."""
        self.is_leaving = True
        self.monitor.record_status(self.own_status(), now())
        for ip in self.other_ips():
            self.tasks.start(self.request_status(ip))

    # Rounds

    async def run(self) -> None:
        """Run status rounds until cancelled."""
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
        """Evaluate the statuses after a round: events, decided value, contact, background work."""
        own_status, current_time = self.own_status(), now()
        self.monitor.record_status(own_status, current_time)
        for event, seat in self.monitor.new_events(self.acceptor.decided, self.acceptor.seat, current_time):
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
        if self.background_task is None or self.background_task.done():
            self.background_task = self.tasks.start(self._run_background(statuses))

    async def _run_background(self, statuses: Iterable[ReplicaStatus]) -> None:
        """Do the work that needs the disk or a ballot."""
        try:
            await self._catch_up(statuses)
            await self.acceptor.save_decided()
        except OSError:
            return  # logged as DISK_WRITE_FAILED; the next round retries
        if self.had_contact:
            await self._recover_undecided(statuses)
            await self._propose_members()

    async def _catch_up(self, statuses: Iterable[ReplicaStatus]) -> None:
        """Accept the decided value under the ballot of its proposer, as if the accept request had arrived here."""
        accepted_state, decided = self.acceptor.state, self.acceptor.decided
        for status in statuses:
            is_acceptable = status.value == decided and status.accepted >= accepted_state.promised
            if is_acceptable and accepted_state.value != decided:
                log_event(Event.ACCEPTOR_CAUGHT_UP, change=decided.change, ballot=status.accepted.count)
                await self.acceptor.accept(status.accepted, status.value)
                return

    async def _recover_undecided(self, statuses: Iterable[ReplicaStatus]) -> None:
        """Run a ballot if a value has been accepted for some time without being known as decided.

        It may have been confirmed by a replica that is now partitioned. Each replica that sees it waits a random
        time, so that usually only the first one runs a ballot.
        """
        accepted_state, decided = self.acceptor.state, self.acceptor.decided
        # No other value can be decided under a ballot up to that of the decided value.
        finished = accepted_state.accepted if accepted_state.value == decided else NO_BALLOT
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
        """Propose the next member list if it is this replica's turn, and complete a joint list at once."""
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
        # A joint list tolerates fewer losses, so it is completed at once.
        if proposal.former and self.members == proposal:
            completed = set_members(proposal.leave_joint())
            await self.proposer.decide(completed, lambda value: value.members != proposal)

    def _goals(self) -> ReconfigurationGoals:
        """Return the losses to tolerate according to the settings."""
        settings = self.settings
        return ReconfigurationGoals(
            settings.tolerance.machines,
            settings.tolerance.zones,
            settings.tolerance.regions,
            settings.zones,
            settings.bound("sync_s", DEFAULT_SYNC_S),
        )
