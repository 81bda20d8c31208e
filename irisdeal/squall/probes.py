"""Three probes of a store without faults but the one that each is about; each says what was counted.

They fail on the program of 4deabf9: both bodies confirmed in 40 of 40, replaced in 20 of 20, no read after the
second replacement of three.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from irisdeal.almanac.member import Member
from irisdeal.almanac.word import Word
from irisdeal.sim.machine import Machine
from irisdeal.squall.history import Kind, Op, check
from irisdeal.squall.operators import Callers, digest
from irisdeal.squall.stage import MAKE, Stage, pause

SETTLE = 3.0  # s from the start to the first order
MOST = 120.0  # s of a probe
APART = 6.0  # s between two replacements
ASKED = 5.0  # s that an order or a read is tried for


@dataclass
class Probe:
    """What one probe saw."""

    confirmed: list[str] = field(default_factory=list)  # bodies
    read: str = ""
    puts: int = 0  # replacements after which a put was confirmed
    reads: int = 0  # replacements after which a read was answered
    breaches: list[str] = field(default_factory=list)


class _Run:
    """A store, one caller, no other load."""

    def __init__(self, count: int, seed: int, make: MAKE) -> None:
        self.stage = Stage(count, seed, make)
        self.callers = Callers(self.stage, 0, 0)
        self.machine = self.stage.new_caller("caller")
        self.probe = Probe()
        self.left = 0
        for host in self.stage.hosts:
            self.stage.start(host, True)

    def word(self, number: int, text: str) -> Word:
        return Word.of(f"r{number}", b"r%d %s" % (number, text.encode()))

    async def put(self, machine: Machine, after: float, host: str, word: Word) -> int:
        """One order after so many s, sent again to the same member for `ASKED` s at most."""
        await pause(machine, after)
        begun = self.callers.now()
        while self.callers.now() - begun < ASKED:
            kind = await self.callers.send(machine, host, word)
            if kind is not Kind.UNCLEAR:
                if kind is Kind.CONFIRMED:
                    self.probe.confirmed.append(digest(word.body))
                break
            await pause(machine, self.stage.chance.uniform(0.02, 0.1))
        self.left -= 1
        return 0

    async def read(self, machine: Machine, host: str) -> bool:
        begun = self.callers.now()
        while self.callers.now() - begun < ASKED:
            if await self.callers.read(machine, host):
                return True
            await pause(machine, 0.1)
        return False

    def start(self, after: float, host: str, word: Word) -> None:
        self.left += 1
        machine = self.stage.new_caller(f"operator-{self.left}")
        machine.start(self.put(machine, after, host, word))

    def play(self) -> Probe:
        self.stage.run(lambda: self.left == 0, MOST)
        self.probe.breaches = check(self.callers.record.ops)
        return self.probe


def race(seed: int, make: MAKE = Member, count: int = 3) -> Probe:
    """Two bodies under one number, put at two members at once."""
    run = _Run(count, seed, make)
    one, other = run.stage.chance.sample(run.stage.hosts, 2)
    run.start(SETTLE, one, run.word(1, f"one {seed}"))
    run.start(SETTLE, other, run.word(1, f"other {seed}"))
    return run.play()


def replace_body(seed: int, make: MAKE = Member, count: int = 3) -> Probe:
    """A body of larger digest under a number, put 1 s after the other's confirmation; then a read."""
    run = _Run(count, seed, make)
    words = sorted((run.word(1, f"{text} {seed}") for text in ("one", "other")), key=lambda word: word.stamp.digest)

    async def act(machine: Machine) -> int:
        run.left += 2
        one, other = run.stage.chance.sample(run.stage.hosts, 2)
        await run.put(machine, SETTLE, one, words[0])
        await run.put(machine, 1.0, other, words[1])
        await run.read(machine, one)
        reads: list[Op] = [op for op in run.callers.record.ops if op.kind is Kind.READ]
        run.probe.read = reads[-1].body if reads else ""
        run.left -= 1
        return 0

    run.left = 1
    run.machine.start(act(run.machine))
    return run.play()


def replace_members(seed: int, times: int, make: MAKE = Member, count: int = 3) -> Probe:
    """Members that fall silent, one after the other, each replaced by one at a new address, `APART` s apart."""
    run = _Run(count, seed, make)

    async def act(machine: Machine) -> int:
        await pause(machine, SETTLE)
        for number in range(1, times + 1):
            run.stage.remove(run.stage.hosts[0])
            await pause(machine, 0.5)
            run.stage.start(run.stage.new_host())
            await pause(machine, APART - 0.5)
            begun = run.callers.now()
            run.left += 1
            before = len(run.probe.confirmed)
            await run.put(machine, 0.0, run.stage.chance.choice(run.stage.hosts), run.word(number, f"{seed}"))
            run.probe.puts += len(run.probe.confirmed) > before
            run.probe.reads += await run.read(machine, run.stage.chance.choice(run.stage.hosts))
            await pause(machine, max(0.0, APART - (run.callers.now() - begun)))
        run.left -= 1
        return 0

    run.left = 1
    run.machine.start(act(run.machine))
    run.stage.run(lambda: run.left == 0, MOST + times * (APART + 2 * ASKED))
    run.probe.breaches = check(run.callers.record.ops)
    return run.probe
