"""A replica as proposer: ballots (`BallotAttempt`), one at a time, and the puts that wait for them.

Puts that arrive at one replica during a ballot wait for the next, and the one with the highest number goes:
what is decided answers all that are not above it. Where a higher ballot is observed the proposer backs off for
a random time that grows and is longer than its own ballots take, so that one of several that compete gets
through.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

from returns.result import Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    Ballot,
    BallotAttempt,
    BallotStep,
    Change,
    PutOutcome,
    Value,
    put,
    unchanged,
)
from irisdeal.config_store.membership.members import ip_of
from irisdeal.config_store.messages import (
    ACCEPT,
    PREPARE,
    AcceptReply,
    AcceptRequest,
    PrepareReply,
    PrepareRequest,
    decode_accept_reply,
)
from irisdeal.config_store.peers import Peers, now
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks

BALLOT_TIMEOUT_S = 2.5  # a slow disk takes over a second for each of the two syncs
DECISION_TIMEOUT_S = 3.0  # with all its ballots; the caller may have gone on and come back
CALL_TIMEOUT_S = 0.6  # for one prepare or accept, the other disk's time included; then it is sent again
RESEND_PAUSE_S = 0.05  # before a seat is asked again whose connection ended
MIN_BACKOFF_S = 0.02  # after a lost ballot: half a ballot on quiet disks
MAX_BACKOFF_S = 0.32  # so that two of them fit into the time of a put
MAX_PENDING_PUTS = 16  # at once, each with its body; the users ask for eight at most

AskSeat = Callable[[BallotAttempt, str, asyncio.Event], Coroutine[None, None, None]]


class Proposer:
    """One replica's ballots."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: Peers,
        tasks: Tasks,
        learn: Callable[[Ballot, Value], None],
        reports_conflicts: bool,
    ) -> None:
        """`learn` is called with each value that our ballots decide.

        `reports_conflicts`: a put of another body under a decided number is answered `PutOutcome.CONFLICT`;
        otherwise it counts as superseded.
        """
        self.acceptor, self.peers, self.tasks, self.learn = acceptor, peers, tasks, learn
        self.reports_conflicts = reports_conflicts
        self.random = random.Random()
        self.ballot_lock = asyncio.Lock()
        self.on_ballot_decided: Callable[[int], None] = lambda seats: (
            None
        )  # seats that synced what we decided
        self.pending_puts: dict[VersionId, tuple[ConfigVersion, asyncio.Future[PutOutcome]]] = {}
        self.is_working = False
        self.decision = asyncio.Event()  # set, and replaced, when something is decided
        self.ballot_duration_s = MIN_BACKOFF_S  # of our last decided ballot
        self.highest_observed = NO_BALLOT  # to start above it saves a lost ballot

    # Puts

    async def put(self, version: ConfigVersion, timeout_s: float) -> PutOutcome:
        """Return what became of this put, as far as it is known within this time."""
        outcome = self.known_outcome(version.version_id)
        if outcome is not None:
            return outcome
        if len(self.pending_puts) >= MAX_PENDING_PUTS:
            log_event(Event.PUT_BACKLOG_FULL, generation=f"r{version.version_id.number}")
            return PutOutcome.UNDECIDED
        if version.version_id not in self.pending_puts:
            future = asyncio.get_running_loop().create_future()
            self.pending_puts[version.version_id] = version, future
        done = self.pending_puts[version.version_id][1]
        if not self.is_working:
            self.is_working = True
            self.tasks.start(self._work())
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(done)
        except TimeoutError:
            return PutOutcome.UNDECIDED

    def known_outcome(self, version_id: VersionId) -> PutOutcome | None:
        """Return the outcome by what is decided; None where that is below this put."""
        decided = self.acceptor.decided.version_id
        if decided.number < version_id.number:
            return None
        is_conflict = decided.number == version_id.number and decided.digest != version_id.digest
        return PutOutcome.CONFLICT if self.reports_conflicts and is_conflict else PutOutcome.DECIDED

    def observe_ballot(self, ballot: Ballot) -> None:
        """Take note of a ballot that somebody reported."""
        self.highest_observed = max(self.highest_observed, ballot)

    def on_decision(self) -> None:
        """Answer the puts that are answered by what was decided, here or elsewhere."""
        self.decision.set()
        self.decision = asyncio.Event()
        for version_id in list(self.pending_puts):
            outcome = self.known_outcome(version_id)
            if outcome is not None:
                self._answer(version_id, outcome)

    def _answer(self, version_id: VersionId, outcome: PutOutcome) -> None:
        _, done = self.pending_puts.pop(version_id)
        if not done.done():
            done.set_result(outcome)

    async def _work(self) -> None:
        """Propose the pending put with the highest number until none is pending."""
        try:
            while self.pending_puts:
                version_id = max(self.pending_puts)
                version = self.pending_puts[version_id][0]
                self.peers.push_to_all(version, self.acceptor.decided.members.ips())
                is_decided = await self._propose(version)
                if not is_decided and version_id in self.pending_puts:
                    log_event(Event.VERSION_NOT_REPLICATED, generation=f"r{version_id.number}")
                    self._answer(version_id, PutOutcome.UNDECIDED)
        finally:
            self.is_working = False

    async def _propose(self, version: ConfigVersion) -> bool:
        """Return whether this version, or a newer one, is decided."""
        number = version.version_id.number
        if not await self.acceptor.save_version(version):
            return False
        return await self.decide(put(version.version_id), lambda value: value.version_id.number >= number)

    # Ballots

    async def decide(
        self, change: Change, is_wanted: Callable[[Value], bool], timeout_s: float = DECISION_TIMEOUT_S
    ) -> bool:
        """Run ballots until what is decided is as wanted, and return whether it is within this time."""
        deadline = now() + timeout_s
        async with self.ballot_lock:
            while now() < deadline and not is_wanted(self.acceptor.decided):
                if await self._decide_once(change, deadline) is None:
                    return False
            return is_wanted(self.acceptor.decided)

    async def read(self, timeout_s: float) -> Value | None:
        """Return what a ballot decides that changes nothing: all that was decided before is in it."""
        deadline = now() + timeout_s
        async with self.ballot_lock:
            return await self._decide_once(unchanged, deadline)

    async def _decide_once(self, change: Change, deadline: float) -> Value | None:
        """Return what the first ballot that gets through decides; None where none does in time."""
        backoff_s, known = MIN_BACKOFF_S, self.acceptor.decided
        while now() < deadline:
            try:
                attempt = await self.run_ballot(change, min(BALLOT_TIMEOUT_S, deadline - now()))
            except OSError:
                return None  # our disk refuses: the caller goes to another replica
            if attempt.step is BallotStep.DECIDED:
                assert attempt.value is not None
                self.learn(attempt.ballot, attempt.value)
                return attempt.value
            self.observe_ballot(attempt.preempted_by)
            self._log_retry(attempt)
            await self._back_off(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            if change is not unchanged and self.acceptor.decided != known:
                return self.acceptor.decided  # by another; the caller looks whether it is what it wants
        return None

    def _log_retry(self, attempt: BallotAttempt) -> None:
        log_event(
            Event.BALLOT_RETRIED,
            ballot=attempt.ballot.count,
            above=self.highest_observed.count,
            by=self.highest_observed.seat,
            step=attempt.step.name,
        )

    async def _back_off(self, backoff_s: float) -> None:
        """Wait; less where something is decided meanwhile."""
        try:
            async with asyncio.timeout(
                self.random.uniform(0.5, 1.5) * max(backoff_s, self.ballot_duration_s)
            ):
                await self.decision.wait()
        except TimeoutError:
            pass

    async def run_ballot(self, change: Change, timeout_s: float) -> BallotAttempt:
        """Run one ballot, above all that were observed. OSError where our disk refuses."""
        acceptor, started_at = self.acceptor, now()
        deadline = started_at + timeout_s
        count = max(acceptor.state.promised.count, self.highest_observed.count) + 1
        attempt = BallotAttempt(Ballot(count, acceptor.seat), acceptor.decided.members, change)
        # Promised here before anyone sees it: no ballot is used twice.
        is_granted, state = await acceptor.prepare(attempt.ballot)
        attempt.on_prepare_reply(acceptor.seat, is_granted, state)
        await self._ask_all(attempt, BallotStep.PREPARING, self._send_prepare, deadline)
        if attempt.step is BallotStep.ACCEPTING and await self._has_proposed_version(attempt, deadline):
            await self._ask_all(attempt, BallotStep.ACCEPTING, self._send_accept, deadline)
        if attempt.step is BallotStep.DECIDED:
            self.ballot_duration_s = now() - started_at
            self.on_ballot_decided(len(attempt.accepted_by))
        return attempt

    async def _has_proposed_version(self, attempt: BallotAttempt, deadline: float) -> bool:
        """Whether the configuration version that is to be proposed is here in time."""
        assert attempt.value is not None
        version_id = attempt.value.version_id
        if version_id == NO_VERSION:
            return True
        replies = attempt.prepare_replies.items()
        sources = [ip_of(seat) for seat, state in replies if state.value.version_id == version_id]
        try:
            async with asyncio.timeout(max(0.0, deadline - now())):
                return await self.peers.version(version_id, sources) is not None
        except TimeoutError:
            return False

    async def _ask_all(self, attempt: BallotAttempt, step: BallotStep, ask: AskSeat, deadline: float) -> None:
        """Ask all seats that are to be asked until this step of the ballot is over."""
        asked: dict[str, asyncio.Task[None]] = {}
        replied = asyncio.Event()
        try:
            async with asyncio.timeout(max(0.0, deadline - now())):
                while attempt.step is step:
                    for seat in sorted(attempt.targets() - asked.keys()):
                        asked[seat] = self.tasks.start(ask(attempt, seat, replied))
                    await replied.wait()
                    replied.clear()
        except TimeoutError:
            pass
        finally:
            for task in asked.values():
                task.cancel()

    async def _send_prepare(self, attempt: BallotAttempt, seat: str, replied: asyncio.Event) -> None:
        if seat == self.acceptor.seat:
            return  # asked before all others
        request = PrepareRequest(seat, attempt.ballot)
        while True:
            answer = await self.peers.call(ip_of(seat), PREPARE, request.encode(), CALL_TIMEOUT_S)
            if isinstance(answer, Success):
                if answer.unwrap() is None:
                    return  # that disk is gone
                reply = PrepareReply.decode(answer.unwrap())
                attempt.on_prepare_reply(seat, reply.is_granted, reply.state)
                return replied.set()
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _send_accept(self, attempt: BallotAttempt, seat: str, replied: asyncio.Event) -> None:
        value = attempt.value
        assert value is not None
        if seat == self.acceptor.seat:
            return await self._accept_here(attempt, value, replied)
        request = AcceptRequest(seat, attempt.ballot, value)
        while True:
            answer = await self.peers.call(ip_of(seat), ACCEPT, request.encode(), CALL_TIMEOUT_S)
            if isinstance(answer, Success):
                if answer.unwrap() is None:
                    return  # that disk is gone
                reply = decode_accept_reply(answer.unwrap())
                if isinstance(reply, AcceptReply):
                    attempt.on_accept_reply(seat, reply.is_accepted, reply.promised)
                    return replied.set()
                version = self.acceptor.version(value.version_id)
                if version is not None and await self.peers.push_state(
                    ip_of(seat), version, reply.sync_state
                ):
                    continue
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _accept_here(self, attempt: BallotAttempt, value: Value, replied: asyncio.Event) -> None:
        """Accept on our own disk, to which no call is needed."""
        try:
            result = await self.acceptor.accept(attempt.ballot, value)
        except OSError:
            return  # the others may be enough
        if result is not None:
            is_accepted, promised = result
            attempt.on_accept_reply(self.acceptor.seat, is_accepted, promised)
        replied.set()
