"""Bodies of words by digest: the last few are kept, and told as parcels. No input or output here.

A caller says what it has (`Have`); a holder answers with a parcel of what is wanted: a difference against a
body that the caller has, or a piece of the whole that goes on where the last one ended. `Arrivals` puts parcels
together and gives the word when it is whole; each word proves itself by its digest, whatever way it came.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from irisdeal.almanac.word import NOTHING, Stamp, Word

KEPT = 16  # bodies kept as bases of differences
MOST_KEPT = 24 << 20  # bytes of all of them


@dataclass(frozen=True, slots=True)
class Have:
    """What a caller has: its newest word, and how much of another it has got so far."""

    stamp: Stamp = NOTHING
    arriving: Stamp = NOTHING
    offset: int = 0

    def tell(self) -> list[Any]:
        return [self.stamp.number, self.stamp.digest, self.arriving.number, self.arriving.digest, self.offset]

    @staticmethod
    def hear(told: list[Any]) -> Have:
        number, digest, other, other_digest, offset = told
        return Have(Stamp(int(number), bytes(digest)), Stamp(int(other), bytes(other_digest)), int(offset))


class Shelf:
    """The last bodies that this process held, within bounds."""

    def __init__(self) -> None:
        self.words: dict[bytes, Word] = {}

    def hold(self, word: Word) -> None:
        """Keep it; the oldest goes."""
        self.words.pop(word.stamp.digest, None)
        self.words[word.stamp.digest] = word
        while len(self.words) > KEPT or (
                len(self.words) > 1 and sum(len(held.body) for held in self.words.values()) > MOST_KEPT):
            del self.words[next(iter(self.words))]

    def get(self, digest: bytes) -> Word | None:
        return self.words.get(digest)

    def parcel(self, have: Have, want: Stamp) -> list[Any] | None:
        """The next parcel of this word for a caller that has that; None where the body is not here."""
        word = self.words.get(want.digest)
        return [want.number, want.digest, word.body] if word is not None else None


class Arrivals:
    """Words on their way to this process."""

    def __init__(self, shelf: Shelf) -> None:
        self.shelf = shelf
        self.stamp, self.got = NOTHING, b""

    def have(self, stamp: Stamp) -> Have:
        """What to say when asking; `stamp`: the newest word that is held."""
        return Have(stamp, self.stamp, len(self.got))

    def take(self, parcel: list[Any]) -> Word | None:
        """The word, where it is whole and proves itself (it is on the shelf then).

        None where more is to come, or where the parcel was no use (what was got so far is forgotten then).
        """
        number, digest, body = parcel
        word = Word(Stamp(int(number), bytes(digest)), bytes(body))
        if not word.is_whole():
            return None
        self.shelf.hold(word)
        return word
