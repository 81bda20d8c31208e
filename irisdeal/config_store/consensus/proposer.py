"""A member as proposer: ballots by `register.Round`, one at a time, and the orders that wait for them.

Orders that come at one member while a ballot goes on wait for the next, and the one with the highest number
goes: what is decided answers all that are not above it. Where a higher ballot is met the proposer pauses, for a
random time that grows and is longer than its own ballots take, so that one of several that meet goes through.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Success

from irisdeal.config_store.configuration.version import NO_VERSION, ConfigVersion, VersionId
from irisdeal.config_store.consensus.acceptor import Acceptor
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    AcceptorState,
    Ballot,
    Change,
    PutOutcome,
    Round,
    Step,
    Value,
    put,
    same,
)
from irisdeal.config_store.membership.members import ip_of
from irisdeal.config_store.peers import Peers, now
from irisdeal.config_store.storage.chunks import SyncState
from irisdeal.runtime.events import Event, log_event
from irisdeal.runtime.process import Tasks

BALLOT = 2.5  # s for a ballot: a disk in trouble takes over a second for each of the two syncs
WORK = 3.0  # s for a decision, with all its ballots; who sent the order may have gone on and come again
CALL = 0.6  # s for another's promise or accept, its disk's time included; then it is asked again
AGAIN = 0.05  # s before a seat is asked again whose connection ended
PAUSE = 0.02  # s, the least pause after a lost ballot: half a ballot on quiet disks
MOST_PAUSE = 0.32  # s: so that two pauses fit into the time that an order has
MOST_ORDERS = 16  # that wait at once, each with its body; eight are under way at most by the users' word


class Proposer:
    """One member's ballots. `learn` is told each value that they decide, with its ballot."""

    def __init__(
        self,
        acceptor: Acceptor,
        peers: Peers,
        tasks: Tasks,
        learn: Callable[[Ballot, Value], None],
        compares: bool,
    ) -> None:
        """`compares`: another body under a decided number is told, where it is passed over otherwise."""
        self.acceptor, self.peers, self.tasks, self.learn = acceptor, peers, tasks, learn
        self.compares = compares
        self.chance = random.Random()
        self.turn = asyncio.Lock()
        self.on_decided: Callable[[int], None] = lambda seats: None  # seats that have synced what we decided
        self.orders: dict[VersionId, tuple[ConfigVersion, asyncio.Future[PutOutcome]]] = {}
        self.working = False
        self.news = asyncio.Event()  # something was decided
        self.lasted = PAUSE  # s that the last ballot took
        self.met = NO_BALLOT  # the highest ballot heard of: to begin over it saves a lost one

    # Orders

    async def put(self, version: ConfigVersion, within: float) -> PutOutcome:
        """What became of this order, as far as it is known in so many seconds."""
        settled = self.settled(version.version_id)
        if settled is not None:
            return settled
        if len(self.orders) >= MOST_ORDERS:
            log_event(Event.PUT_BACKLOG_FULL, generation=f"r{version.version_id.number}")
            return PutOutcome.LATER
        if version.version_id not in self.orders:
            self.orders[version.version_id] = version, asyncio.get_running_loop().create_future()
        done = self.orders[version.version_id][1]
        if not self.working:
            self.working = True
            self.tasks.start(self._work())
        try:
            async with asyncio.timeout(within):
                return await asyncio.shield(done)
        except TimeoutError:
            return PutOutcome.LATER

    def settled(self, version_id: VersionId) -> PutOutcome | None:
        """The outcome by what is decided; None where it is under this order."""
        held = self.acceptor.decided.version_id
        if held.number < version_id.number:
            return None
        is_other = self.compares and held.number == version_id.number and held.digest != version_id.digest
        return PutOutcome.OTHER if is_other else PutOutcome.CONFIRMED

    def meet(self, ballot: Ballot) -> None:
        """Somebody told of this ballot."""
        self.met = max(self.met, ballot)

    def decided(self) -> None:
        """Something was decided, here or elsewhere: orders that it answers are answered."""
        self.news.set()
        self.news = asyncio.Event()
        for version_id in list(self.orders):
            settled = self.settled(version_id)
            if settled is not None:
                self._answer(version_id, settled)

    def _answer(self, version_id: VersionId, outcome: PutOutcome) -> None:
        _, done = self.orders.pop(version_id)
        if not done.done():
            done.set_result(outcome)

    async def _work(self) -> None:
        try:
            while self.orders:
                version_id = max(self.orders)
                version = self.orders[version_id][0]
                self.peers.push_to_all(version, self.acceptor.decided.members.ips())
                good = await self.acceptor.save_version(version) and await self.decide(
                    put(version_id), self._over(version_id)
                )
                if not good and version_id in self.orders:
                    log_event(Event.VERSION_NOT_REPLICATED, generation=f"r{version_id.number}")
                    self._answer(version_id, PutOutcome.LATER)
        finally:
            self.working = False

    @staticmethod
    def _over(version_id: VersionId) -> Callable[[Value], bool]:
        return lambda value: value.version_id.number >= version_id.number

    # Ballots

    async def decide(self, change: Change, wanted: Callable[[Value], bool], within: float = WORK) -> bool:
        """Ballots until what is decided is as wanted, or the time is over."""
        until = now() + within
        async with self.turn:
            while now() < until and not wanted(self.acceptor.decided):
                if await self._decided(change, until) is None:
                    return False
            return wanted(self.acceptor.decided)

    async def safe(self, within: float) -> Value | None:
        """What is decided by a ballot that changes nothing: all that was decided before is in it."""
        until = now() + within
        async with self.turn:
            return await self._decided(same, until)

    async def _decided(self, change: Change, until: float) -> Value | None:
        """What the first ballot that gets through decides; None where none does in time."""
        pause, begun = PAUSE, self.acceptor.decided
        while now() < until:
            try:
                ballot = await self.ballot(change, min(BALLOT, until - now()))
            except OSError:
                return None  # our disk refuses: who sent the order goes to another
            if ballot.step is Step.DECIDED:
                assert ballot.value is not None
                self.learn(ballot.ballot, ballot.value)
                return ballot.value
            self.meet(ballot.above)
            log_event(
                Event.BALLOT_RETRIED,
                ballot=ballot.ballot.count,
                above=self.met.count,
                by=self.met.seat,
                step=ballot.step.name,
            )
            await self._pause(pause)
            pause = min(2 * pause, MOST_PAUSE)
            if change is not same and self.acceptor.decided != begun:
                return (
                    self.acceptor.decided
                )  # by another; whether it is what is wanted is seen before the next
        return None

    async def _pause(self, pause: float) -> None:
        """Less where something is decided meanwhile."""
        try:
            async with asyncio.timeout(self.chance.uniform(0.5, 1.5) * max(pause, self.lasted)):
                await self.news.wait()
        except TimeoutError:
            pass

    async def ballot(self, change: Change, within: float) -> Round:
        """One ballot, over all that were heard of. OSError where our disk refuses."""
        acceptor, begun = self.acceptor, now()
        count = max(acceptor.kept.promised.count, self.met.count) + 1
        ballot = Round(Ballot(count, acceptor.seat), acceptor.decided.members, change)
        good, kept = await acceptor.prepare(ballot.ballot)  # before it is told: no ballot is used twice
        ballot.on_promise(acceptor.seat, good, kept)
        until = begun + within
        await self._phase(ballot, Step.PREPARING, self._ask_promise, until)
        if ballot.step is Step.ACCEPTING:
            assert ballot.value is not None
            holders = [
                ip_of(seat)
                for seat, kept in ballot.promised.items()
                if kept.value.version_id == ballot.value.version_id
            ]
            if ballot.value.version_id == NO_VERSION or await self._body(
                ballot.value.version_id, holders, until
            ):
                await self._phase(ballot, Step.ACCEPTING, self._ask_accept, until)
        if ballot.step is Step.DECIDED:
            self.lasted = now() - begun
            self.on_decided(len(ballot.accepted))
        return ballot

    async def _body(self, version_id: VersionId, holders: list[str], until: float) -> bool:
        """Whether the body that is to be proposed is here in time."""
        try:
            async with asyncio.timeout(max(0.0, until - now())):
                return await self.peers.version(version_id, holders) is not None
        except TimeoutError:
            return False

    async def _phase(
        self,
        ballot: Round,
        step: Step,
        ask: Callable[[Round, str, asyncio.Event], Coroutine[Any, Any, None]],
        until: float,
    ) -> None:
        """Ask all that are to be asked until this step is over."""
        asked: dict[str, asyncio.Task[None]] = {}
        news = asyncio.Event()
        try:
            async with asyncio.timeout(max(0.0, until - now())):
                while ballot.step is step:
                    for seat in sorted(ballot.targets() - asked.keys()):
                        asked[seat] = self.tasks.start(ask(ballot, seat, news))
                    await news.wait()
                    news.clear()
        except TimeoutError:
            pass
        finally:
            for task in asked.values():
                task.cancel()

    async def _ask_promise(self, ballot: Round, seat: str, news: asyncio.Event) -> None:
        if seat == self.acceptor.seat:
            return  # asked before
        while True:
            answer = await self.peers.call(ip_of(seat), "prepare", [seat, ballot.ballot.encode()], CALL)
            if isinstance(answer, Success):
                if answer.unwrap() is None:
                    return  # that disk is gone
                good, kept = answer.unwrap()
                ballot.on_promise(seat, bool(good), AcceptorState.decode(kept))
                return news.set()
            await asyncio.sleep(AGAIN)

    async def _ask_accept(self, ballot: Round, seat: str, news: asyncio.Event) -> None:
        value = ballot.value
        assert value is not None
        if seat == self.acceptor.seat:
            try:
                given = await self.acceptor.accept(ballot.ballot, value)
            except OSError:
                return  # the others may be enough
            if given is not None:
                ballot.on_accept(seat, *given)
            return news.set()
        while True:
            answer = await self.peers.call(
                ip_of(seat), "accept", [seat, ballot.ballot.encode(), value.encode()], CALL
            )
            if isinstance(answer, Success):
                if answer.unwrap() is None:
                    return
                good, told = answer.unwrap()
                if good is not None:
                    ballot.on_accept(seat, bool(good), Ballot.decode(told))
                    return news.set()
                version = self.acceptor.version(value.version_id)
                if version is not None and await self.peers.push_state(
                    ip_of(seat), version, SyncState.decode(told)
                ):
                    continue
            await asyncio.sleep(AGAIN)
