"""How much a door asks of a count keeper that is short of time, and what it does without an answer.

Two signs, which call for opposite answers:

1. *Turned away*: the keeper lives and has too much to do. Claims are spared. Most of what clients try again
   is beyond their quotas, so a spared repeat is refused. A spared first try is refused too while few are,
   since its client comes again and is claimed then; the more are spared, the more go out by themselves.
2. *No answer, no connection*: the keeper is lost, wholly or in part. Claims become few: each costs the wait.

Claims are spared by a factor that goes up and down by steps and rests where both weigh each other out: late,
as a call turned away costs the keeper little, and a short line turns away long before it has no time.
"""

from __future__ import annotations

from enum import Enum

UP, DOWN = 1.3, 0.8  # steps for a call turned away and one answered: at rest nearly half are turned away
MOST = 20.0  # claims spared for each one made, at most: what is left tells when there is time again
SHARP = 4  # spared first tries go out with the part spared, to 1 + so many times the part asked
LEARN = 0.25  # weight of a new call in the share that has no answer: four tell
LEAST = 0.1  # of the tries ask a silent keeper, so that a door with ten tries a second hears of it within one


class Way(Enum):
    """How a try is decided."""

    ASK = "by the count"
    ALONE = "by what this door may let in by itself"
    SPARE = "not at all: refused"


class Crowding:
    """What one door knows of its keeper."""

    def __init__(self) -> None:
        self.crowded = 1.0  # tries for each claim that the keeper seems to have time for
        self.silent = 0.0  # share of the last calls with no answer

    def answered(self) -> None:
        self.crowded = max(1.0, self.crowded * DOWN)
        self.silent -= LEARN * self.silent

    def turned_away(self) -> None:
        self.crowded = min(MOST, self.crowded * UP)
        self.silent -= LEARN * self.silent

    def unanswered(self) -> None:
        self.silent += LEARN * (1.0 - self.silent)

    def way(self, again: bool, draw: float) -> Way:
        """How the next try, a client's first one or one made again, is decided. `draw` is from 0 to 1."""
        heard = max(LEAST, 1.0 - self.silent)
        if draw >= heard:
            return Way.ALONE
        asked, draw = 1.0 / self.crowded, draw / heard
        if draw < asked:
            return Way.ASK
        return Way.ALONE if not again and draw < asked + (1.0 - asked) ** (1.0 + SHARP * asked) else Way.SPARE
