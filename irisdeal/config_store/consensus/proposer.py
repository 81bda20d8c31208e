"""The proposer of a replica: runs ballots (`BallotAttempt`), one at a time, and queues the puts that need them.

Puts that arrive during a ballot wait for the next one, which proposes the put with the highest number; its
decision resolves all puts that are not above it. When a higher ballot preempts it, the proposer backs off for a
random time that grows exponentially and exceeds the duration of its own ballots, so that one of several competing
proposers succeeds.
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
from irisdeal.runtime.tasks import Tasks

BALLOT_TIMEOUT_S = 2.5  # a slow disk needs over 1 s for each of the two syncs
DECISION_TIMEOUT_S = 3.0  # for all ballots of one decision; the caller may have timed out and retried by then
CALL_TIMEOUT_S = 0.6  # for one prepare or accept, including the peer's disk sync; then it is resent
RESEND_PAUSE_S = 0.05  # before a request is resent to a seat whose connection failed
MIN_BACKOFF_S = 0.02  # after a preempted ballot: half the duration of a ballot on idle disks
MAX_BACKOFF_S = 0.32  # two backoffs fit into the time limit of a put
MAX_PENDING_PUTS = 16  # bounds memory, as each holds its body; the requirement is eight concurrent puts

SendToSeat = Callable[[BallotAttempt, str, asyncio.Event], Coroutine[None, None, None]]


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
        """`learn` is called with each value that a ballot of this proposer decides.

        `reports_conflicts`: whether a put of a different body under a decided number results in
        `PutOutcome.CONFLICT`; otherwise it counts as superseded.
        """
        self.acceptor, self.peers, self.tasks, self.learn = acceptor, peers, tasks, learn
        self.reports_conflicts = reports_conflicts
        self.random = random.Random()
        self.ballot_lock = asyncio.Lock()
        # Called after each decided ballot with the number of seats that had synced its value by then.
        self.on_ballot_decided: Callable[[int], None] = lambda seats: None
        self.pending_puts: dict[VersionId, tuple[ConfigVersion, asyncio.Future[PutOutcome]]] = {}
        self.is_proposing = False
        self.decided_event = asyncio.Event()  # set, then replaced, on each decision
        self.ballot_duration_s = MIN_BACKOFF_S  # duration of the last ballot that decided
        self.highest_observed = NO_BALLOT  # new ballots start above it to avoid preemption

    # Puts

    async def put(self, version: ConfigVersion, timeout_s: float) -> PutOutcome:
        """Have this version decided; return the outcome, `PutOutcome.UNDECIDED` after the timeout."""
        outcome = self.known_outcome(version.version_id)
        if outcome is not None:
            return outcome
        if len(self.pending_puts) >= MAX_PENDING_PUTS:
            log_event(Event.PUT_BACKLOG_FULL, generation=f"r{version.version_id.number}")
            return PutOutcome.UNDECIDED
        if version.version_id not in self.pending_puts:
            future = asyncio.get_running_loop().create_future()
            self.pending_puts[version.version_id] = version, future
        outcome_future = self.pending_puts[version.version_id][1]
        if not self.is_proposing:
            self.is_proposing = True
            self.tasks.start(self._propose_pending())
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(outcome_future)
        except TimeoutError:
            return PutOutcome.UNDECIDED

    def known_outcome(self, version_id: VersionId) -> PutOutcome | None:
        """Return the outcome that follows from the decided version; None if that is below this put."""
        decided = self.acceptor.decided.version_id
        if decided.number < version_id.number:
            return None
        is_conflict = decided.number == version_id.number and decided.digest != version_id.digest
        return PutOutcome.CONFLICT if self.reports_conflicts and is_conflict else PutOutcome.DECIDED

    def observe_ballot(self, ballot: Ballot) -> None:
        """Record a ballot that a peer reported."""
        self.highest_observed = max(self.highest_observed, ballot)

    def on_decision(self) -> None:
        """Resolve the pending puts whose outcome follows from the decided value, whichever replica decided it."""
        self.decided_event.set()
        self.decided_event = asyncio.Event()
        for version_id in list(self.pending_puts):
            outcome = self.known_outcome(version_id)
            if outcome is not None:
                self._resolve_put(version_id, outcome)

    def _resolve_put(self, version_id: VersionId, outcome: PutOutcome) -> None:
        _, outcome_future = self.pending_puts.pop(version_id)
        if not outcome_future.done():
            outcome_future.set_result(outcome)

    async def _propose_pending(self) -> None:
        """Propose the pending put with the highest number, until none is pending."""
        try:
            while self.pending_puts:
                version_id = max(self.pending_puts)
                version = self.pending_puts[version_id][0]
                self.peers.push_to_all(version, self.acceptor.decided.members.ips())
                is_decided = await self._propose(version)
                if not is_decided and version_id in self.pending_puts:
                    log_event(Event.VERSION_NOT_REPLICATED, generation=f"r{version_id.number}")
                    self._resolve_put(version_id, PutOutcome.UNDECIDED)
        finally:
            self.is_proposing = False

    async def _propose(self, version: ConfigVersion) -> bool:
        """Propose this version; return whether it or a newer one is decided."""
        number = version.version_id.number
        if not await self.acceptor.save_version(version):
            return False
        return await self.decide(put(version.version_id), lambda value: value.version_id.number >= number)

    # Ballots

    async def decide(
        self, change: Change, is_wanted: Callable[[Value], bool], timeout_s: float = DECISION_TIMEOUT_S
    ) -> bool:
        """Run ballots until the decided value satisfies `is_wanted`; return False on timeout."""
        deadline = now() + timeout_s
        async with self.ballot_lock:
            while now() < deadline and not is_wanted(self.acceptor.decided):
                if await self._decide_once(change, deadline) is None:
                    return False
            return is_wanted(self.acceptor.decided)

    async def read(self, timeout_s: float) -> Value | None:
        """Decide the current value again and return it: it includes all earlier decisions. None on timeout."""
        deadline = now() + timeout_s
        async with self.ballot_lock:
            return await self._decide_once(unchanged, deadline)

    async def _decide_once(self, change: Change, deadline: float) -> Value | None:
        """Run ballots until one decides, and return its value; None if none does before the deadline."""
        backoff_s, known = MIN_BACKOFF_S, self.acceptor.decided
        while now() < deadline:
            try:
                attempt = await self.run_ballot(change, min(BALLOT_TIMEOUT_S, deadline - now()))
            except OSError:
                return None  # the local disk failed: the caller tries another replica
            if attempt.step is BallotStep.DECIDED:
                assert attempt.value is not None
                self.learn(attempt.ballot, attempt.value)
                return attempt.value
            self.observe_ballot(attempt.preempted_by)
            self._log_retry(attempt)
            await self._back_off(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            if change is not unchanged and self.acceptor.decided != known:
                return self.acceptor.decided  # decided by another proposer; the caller checks it
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
        """Wait for a randomized backoff, or until a value is decided."""
        try:
            async with asyncio.timeout(
                self.random.uniform(0.5, 1.5) * max(backoff_s, self.ballot_duration_s)
            ):
                await self.decided_event.wait()
        except TimeoutError:
            pass

    async def run_ballot(self, change: Change, timeout_s: float) -> BallotAttempt:
        """Run one ballot above all observed ones. Raises OSError if the local disk fails."""
        acceptor, started_at = self.acceptor, now()
        deadline = started_at + timeout_s
        count = max(acceptor.state.promised.count, self.highest_observed.count) + 1
        attempt = BallotAttempt(Ballot(count, acceptor.seat), acceptor.decided.members, change)
        # Promised by the local acceptor before it is sent, so that no ballot is used twice.
        is_granted, state = await acceptor.prepare(attempt.ballot)
        attempt.on_prepare_reply(acceptor.seat, is_granted, state)
        await self._send_to_all(attempt, BallotStep.PREPARING, self._send_prepare, deadline)
        if attempt.step is BallotStep.ACCEPTING and await self._obtain_proposed_version(attempt, deadline):
            await self._send_to_all(attempt, BallotStep.ACCEPTING, self._send_accept, deadline)
        if attempt.step is BallotStep.DECIDED:
            self.ballot_duration_s = now() - started_at
            self.on_ballot_decided(len(attempt.accepted_by))
        return attempt

    async def _obtain_proposed_version(self, attempt: BallotAttempt, deadline: float) -> bool:
        """Fetch the configuration version to be proposed, if missing; return whether it is stored here in time."""
        assert attempt.value is not None
        version_id = attempt.value.version_id
        if version_id == NO_VERSION:
            return True
        replies = attempt.prepare_replies.items()
        sources = [ip_of(seat) for seat, state in replies if state.value.version_id == version_id]
        try:
            async with asyncio.timeout(max(0.0, deadline - now())):
                return await self.peers.obtain_version(version_id, sources) is not None
        except TimeoutError:
            return False

    async def _send_to_all(
        self, attempt: BallotAttempt, step: BallotStep, send: SendToSeat, deadline: float
    ) -> None:
        """Send requests to all targets of the ballot until this phase ends or the deadline passes."""
        requests: dict[str, asyncio.Task[None]] = {}
        replied = asyncio.Event()
        try:
            async with asyncio.timeout(max(0.0, deadline - now())):
                while attempt.step is step:
                    for seat in sorted(attempt.targets() - requests.keys()):
                        requests[seat] = self.tasks.start(send(attempt, seat, replied))
                    await replied.wait()
                    replied.clear()
        except TimeoutError:
            pass
        finally:
            for task in requests.values():
                task.cancel()

    async def _send_prepare(self, attempt: BallotAttempt, seat: str, replied: asyncio.Event) -> None:
        if seat == self.acceptor.seat:
            return  # `run_ballot` has prepared the local acceptor
        request = PrepareRequest(seat, attempt.ballot)
        while True:
            result = await self.peers.call(ip_of(seat), PREPARE, request.encode(), CALL_TIMEOUT_S)
            if isinstance(result, Success):
                if result.unwrap() is None:
                    return  # the seat's disk was replaced or failed
                reply = PrepareReply.decode(result.unwrap())
                attempt.on_prepare_reply(seat, reply.is_granted, reply.state)
                return replied.set()
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _send_accept(self, attempt: BallotAttempt, seat: str, replied: asyncio.Event) -> None:
        value = attempt.value
        assert value is not None
        if seat == self.acceptor.seat:
            return await self._accept_locally(attempt, value, replied)
        request = AcceptRequest(seat, attempt.ballot, value)
        while True:
            result = await self.peers.call(ip_of(seat), ACCEPT, request.encode(), CALL_TIMEOUT_S)
            if isinstance(result, Success):
                if result.unwrap() is None:
                    return  # the seat's disk was replaced or failed
                reply = decode_accept_reply(result.unwrap())
                if isinstance(reply, AcceptReply):
                    attempt.on_accept_reply(seat, reply.is_accepted, reply.promised)
                    return replied.set()
                version = self.acceptor.get_version(value.version_id)
                if version is not None and await self.peers.push_version(
                    ip_of(seat), version, reply.sync_state
                ):
                    continue
            await asyncio.sleep(RESEND_PAUSE_S)

    async def _accept_locally(self, attempt: BallotAttempt, value: Value, replied: asyncio.Event) -> None:
        """Accept on the local acceptor, without a call."""
        try:
            result = await self.acceptor.accept(attempt.ballot, value)
        except OSError:
            return  # the other seats may form a quorum
        if result is not None:
            is_accepted, promised = result
            attempt.on_accept_reply(self.acceptor.seat, is_accepted, promised)
        replied.set()
