"""The choice of a backend by the time an answer is expected to take, by this door's own measure.

A backend's pace is its answers' times over what such requests usually take here; what is out there from here
counts as a queue; another zone costs what the bytes between zones are worth, in time. Times are s.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

FIRST_PACE = 1.0
MOST_THERE = 2.0  # requests for each slot, work and queue, beyond which a request stays at the door
BUSY = 0.15  # of its work that an answer takes longer where all slots are taken: words of others are late
COLD_PACE = 2.0  # a backend that is warming up
PACE_WEIGHT = 0.2  # of the newest answer in a backend's pace
USUAL_WEIGHT = 0.05  # of the newest answer in what a kind usually takes
FIRST_USUAL = 0.15  # s
LEAST_SEEN = 32  # answers, of which the longest tells how long others may take
LONGEST_KEPT = 0.995  # of the longest time of late, with each answer: half of it after 140
CROSSING = 0.3  # of a request's usual time, that another zone must be quicker by
CONNECTING = 0.15  # likewise a new connection: it is dear, and takes its time
REGION = 2.0  # likewise another region
REST = (0.5, 1.0, 2.0, 4.0)  # s that a backend is left out after failures in a row
SUSPICION, LEAST_SUSPICION = 3.0, 0.25  # times the usual, s, without any answer to what is out
MOST_PACE, LEAST_PACE = 6.0, 0.3


@dataclass(slots=True)
class Backend:
    """One life as this door sees it."""

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    near: float  # 0 in our zone, 1 in our region, 2 elsewhere
    capacity: int
    warm_at: float
    out: int = 0  # sent from here and not answered
    resting: int = 0  # connections to it that are free
    others: float = 0.0  # likewise from all other doors, as told a moment ago
    pace: float = FIRST_PACE
    failures: int = 0
    rests_until: float = -1e9
    draining: bool = False
    silent: bool = False
    full_until: float = -1e9
    answers: int = 0
    key: int = 0  # short for `id`, between processes
    ill: float = 0.0  # share of the answers of late that were poor: failures, its own 5xx
    began: list[float] = field(default_factory=list)  # when what is out was sent, oldest first
    heard: float = -1e9  # when it last answered


@dataclass(slots=True)
class LatencyEstimate:
    """What a kind of request usually takes at a service, s."""

    time: float = FIRST_USUAL
    seen: int = 0
    longest: float = 0.0  # of late, as it came to clients: queues at the backend counted

    @property
    def slowest(self) -> float:
        """s of the slowest answers of late; 0 where too few were seen to tell."""
        return self.longest if self.seen >= LEAST_SEEN else 0.0

    def took(self, seconds: float, in_all: float) -> None:
        """An answer came. `seconds`: less what was there already; `in_all`: as it was."""
        self.seen += 1
        self.longest = max(in_all, LONGEST_KEPT * self.longest)
        self.time += max(USUAL_WEIGHT, 1 / self.seen) * (seconds - self.time)


@dataclass(slots=True)
class BackendChoice:
    """The choices of one door."""

    chance: random.Random = field(default_factory=random.Random)

    def sent(self, backend: Backend, now: float) -> None:
        backend.out += 1
        backend.began.append(now)

    def ended(self, backend: Backend, begun: float) -> None:
        backend.out -= 1
        backend.began.remove(begun)

    def is_suspect(self, backend: Backend, usual: float, now: float) -> bool:
        """Nothing of what is out there came back for long: it may be dark. Others go first meanwhile."""
        if not backend.began:
            return False
        quiet = now - max(backend.began[0], backend.heard)
        return quiet > max(LEAST_SUSPICION, SUSPICION * usual * max(1.0, backend.pace))

    def crowd(self, backend: Backend) -> float:
        """How many times its work an answer takes by what is there already."""
        there = backend.out + backend.others
        return (
            1.0 + max(0.0, there + 1 - backend.capacity) / backend.capacity + BUSY * there / backend.capacity
        )

    def expected(self, backend: Backend, usual: float, now: float) -> float:
        """s until an answer, were it sent there now."""
        pace = backend.pace * (COLD_PACE if backend.warm_at > now else 1.0)
        return usual * pace * self.crowd(backend)

    def choose(self, backends: Iterable[Backend], usual: float, now: float) -> Backend | None:
        """The one with the least expected time, crossings counted; None where there is none at all."""
        best, least, spare = None, 0.0, None
        for backend in backends:
            if backend.draining:
                continue
            cost = self.expected(backend, usual, now)
            cost += usual * (0.0, CROSSING, REGION)[int(backend.near)]
            if not backend.resting:
                cost += usual * CONNECTING
            cost *= 1.0 + 0.1 * self.chance.random()
            if (
                backend.silent
                or backend.rests_until > now
                or backend.full_until > now
                or self.is_suspect(backend, usual, now)
            ):
                if spare is None or backend.rests_until < spare.rests_until:
                    spare = backend
            elif best is None or cost < least:
                best, least = backend, cost
        return best or spare

    def is_free(self, backend: Backend) -> bool:
        """Whether one more would be begun there at once."""
        return backend.out + backend.others < backend.capacity

    def is_full(self, backend: Backend) -> bool:
        """Whether one more would wait there behind a request for each slot: better it waits here, for any."""
        return backend.out + backend.others >= backend.capacity * MOST_THERE

    def answered(
        self, backend: Backend, usual: LatencyEstimate, seconds: float, crowd: float, now: float
    ) -> None:
        """A whole answer after so long, where it was `crowd` times its work by what was there."""
        alone = seconds / crowd
        self.paced(backend, alone / max(0.001, usual.time), now)
        usual.took(alone, seconds)

    def paced(self, backend: Backend, ratio: float, now: float, weight: float = PACE_WEIGHT) -> None:
        """A whole answer that took `ratio` times what such requests usually take where nothing else is."""
        ratio = min(MOST_PACE, max(LEAST_PACE, ratio))
        backend.pace += max(weight, 1 / (backend.answers + 2)) * (ratio - backend.pace)
        backend.answers += 1
        backend.failures, backend.heard = 0, now

    def abandoned(
        self, backend: Backend, begun: float, ratio: float, now: float, weight: float = PACE_WEIGHT
    ) -> None:
        """An attempt was given up after `ratio` times the usual: its answer takes that long at least.

        Where nothing has come from this backend since it was sent, for as long as is suspect, it counts as failed.
        """
        if ratio > backend.pace:
            backend.pace += weight * (min(MOST_PACE, ratio) - backend.pace)
        is_quiet = backend.heard < begun and now - begun > LEAST_SUSPICION
        if is_quiet and ratio > SUSPICION * max(1.0, backend.pace):
            self.failed(backend, now)

    def failed(self, backend: Backend, now: float) -> float:
        """No answer, or none that can be used: left out for so many s."""
        rest = REST[min(backend.failures, len(REST) - 1)]
        backend.failures += 1
        backend.rests_until = now + rest
        return rest

    def full(self, backend: Backend, now: float, usual: float) -> None:
        """It turned a request away: its queue needs a while."""
        backend.full_until = now + usual
