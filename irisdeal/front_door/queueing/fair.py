"""Whose turn it is: start-time fair queueing over bands, plans and stores, in bounded memory.

The rules that everything here obeys:

1. Each level (bands of worth, the plans of a band, the stores of a plan) shares what is served among those of
   its children that wait, by weight. A child's next request has a start tag: what it was served so far, over
   its weight, or the level's virtual time if that is later. The least start tag goes first and becomes the
   virtual time (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996, section 2).
2. A store that has had less than its share starts at the virtual time, before every store that has had more:
   it waits for at most one request of each other store of its plan, however many these have waiting.
3. What a rule holds back (a ceiling, a cap on what is out, a window closed to its band) stands aside and
   holds up nobody; it lays up no claim meanwhile, since it starts again at the virtual time.
4. Only what is served is charged. A request that times out, whose client leaves, or that gives way costs
   its store nothing.
5. Entries, bytes and stores are bounded. Past a bound the newest entry of the longest queue gives way, so a
   store with one request waiting is last to lose it; among equally long queues the one that has been so long
   for the longest time, which has used up most of its time.
6. A plan weighs what it lately asked, so that a flood of new stores in one plan takes its room from that plan
   first, and no less than a part of an even share, so that a quiet plan is not starved.

An enqueue, a dequeue, a time-out and a departure cost O(log n) in the stores of a plan, amortized: an
entry of a heap that no longer counts is passed over, and a heap is built anew once most of it is such.
Times are whole microseconds of the caller's clock; costs are in any one unit (the caller's: µs of work).
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

T = TypeVar("T")

MEMORY = 20_000_000  # µs over which a plan's weight remembers what it asked: longer than a shift of its load
LEAST_PART = 0.25  # of an even share among the plans of its band that a plan weighs at least
STALE = 16  # entries of a heap that may be stale whatever its size
FORGET = 2  # idle stores looked at for each new entry: more than one comes, so none pile up


class Entry(Generic[T]):
    """One request that waits. `cost` is what its service is charged with, `size` its bytes."""

    __slots__ = ("cost", "flow", "item", "since", "size")

    def __init__(self, item: T, cost: float, size: int, since: int) -> None:
        self.item, self.cost, self.size, self.since = item, cost, size, since
        self.flow: Flow[T] | None = None  # None once it waits no more


class _Node:
    """A child of a level: its tags there, and the level of its own children."""

    __slots__ = ("children", "finish", "heap", "live", "parent", "start", "ticket", "virtual", "weight")

    def __init__(self, parent: _Node | None, weight: float) -> None:
        self.parent, self.weight = parent, weight
        self.start = self.finish = 0.0  # of its next request, and of its last one served
        self.ticket = 0  # of its place in the parent's heap; 0: it wants no service
        self.virtual = 0.0  # the children's virtual time
        self.heap: list[tuple[float, int, _Node]] = []
        self.live = 0  # children that want service
        self.children = 0  # that exist


class _Group(_Node):
    """A band or a plan, and what was lately asked in it."""

    __slots__ = ("asked", "asked_at")

    def __init__(self, parent: _Node, weight: float) -> None:
        super().__init__(parent, weight)
        self.asked, self.asked_at = 0.0, 0

    def note(self, cost: float, now: int) -> None:
        self.asked = self.asked * math.exp(min(0, self.asked_at - now) / MEMORY) + cost
        self.asked_at = now

    def weigh(self, band: _Group) -> None:
        """A plan's weight in its band: rule 6."""
        self.weight = max(self.asked, LEAST_PART * band.asked / max(1, band.children))


class Flow(_Node, Generic[T]):
    """One store's queue in one band, by its number. `held` while a rule keeps it from being served."""

    __slots__ = ("band", "entries", "held", "key")

    def __init__(self, key: Hashable, band: int, parent: _Node, weight: float) -> None:
        super().__init__(parent, weight)
        self.key, self.band, self.held = key, band, False
        self.entries: OrderedDict[Entry[T], None] = OrderedDict()


class FairQueue(Generic[T]):
    """All that waits at one door."""

    def __init__(self, bands: Iterable[float], most_entries: int, most_bytes: int, most_flows: int) -> None:
        """`bands` are the weights of the bands of worth; the bounds are in entries, bytes and stores' queues.

        An idle store's queue is kept only for as long as it has had more than its share. ValueError where a
        weight or a bound is not over 0.
        """
        self._root = _Node(None, 1.0)
        self.bands = [_Group(self._root, weight) for weight in bands]
        self.most_entries, self.most_bytes, self.most_flows = most_entries, most_bytes, most_flows
        if not self.bands or min(band.weight for band in self.bands) <= 0:
            raise ValueError("bands: wanted weights over 0, at least one")
        if min(most_entries, most_bytes, most_flows) <= 0:
            raise ValueError("bounds: wanted entries, bytes and stores over 0")
        self._plans: list[dict[Hashable, _Group]] = [{} for _ in self.bands]
        self._flows: dict[Hashable, Flow[T]] = {}
        self._idle: OrderedDict[Flow[T], None] = OrderedDict()  # kept for their tags, the longest idle first
        self._lengths: list[OrderedDict[Flow[T], None]] = [OrderedDict()]  # queues by their length
        self._touched: dict[_Node, None] = {}  # levels whose tags have moved since the last rest
        self._tickets = 0
        self.entries = self.bytes = 0
        self.given_way = 0  # entries that a bound has cost so far

    @property
    def flows(self) -> int:
        """Stores' queues in memory, idle ones among them."""
        return len(self._flows)

    def push(
        self,
        band: int,
        plan: Hashable,
        store: Hashable,
        entry: Entry[T],
        weight: float,
        now: int,
    ) -> list[T]:
        """Let a request wait in its store's queue; return what gave way to it, perhaps the request itself.

        `weight` is the store's among those of its plan, over 0.
        """
        group = self._plans[band].get(plan)
        if group is None:
            group = self._plans[band][plan] = _Group(self.bands[band], 0.0)
            self.bands[band].children += 1
        self.bands[band].note(entry.cost, now)
        group.note(entry.cost, now)
        key = (band, plan, store)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = Flow(key, band, group, weight)
        self._idle.pop(flow, None)
        flow.weight = weight
        flow.entries[entry] = None
        entry.flow = flow
        self.entries += 1
        self.bytes += entry.size
        self._resize(flow, -1)
        if not flow.held:
            self._want(flow)
        gone: list[T] = []
        while self.entries > self.most_entries or self.bytes > self.most_bytes:
            gone.append(self._give_way())
        self._forget()
        return gone

    def remove(self, entry: Entry[T]) -> None:
        """It waits no more: timed out, left or answered. One that has gone already changes nothing."""
        if (flow := entry.flow) is not None:
            self._take_out(entry, flow)
            if not flow.entries:
                self._rest(flow)

    def head(self, least: int = 0) -> Entry[T] | None:
        """Whose turn it is among the bands from `least` on; None where nobody of them can be served."""
        root, best = self._root, None
        for band in self.bands[least:]:
            if band.ticket:
                band.start = max(band.start, root.virtual)  # closed for a while, it lays up no claim
                if best is None or (band.start, band.ticket) < (best.start, best.ticket):
                    best = band
        if best is None:
            return None
        flow = self._first(self._first(best))
        assert isinstance(flow, Flow)
        return next(iter(flow.entries))

    def serve(self, entry: Entry[T]) -> None:
        """The one that `head` gave is served: it leaves, and its store, plan and band are charged."""
        flow = entry.flow
        assert flow is not None and flow.ticket, "wanted an entry that may be served"
        self._take_out(entry, flow)
        node: _Node | None = flow
        goes_on = bool(flow.entries)
        while node is not None and (parent := node.parent) is not None:
            if isinstance(node, _Group) and isinstance(parent, _Group):
                node.weigh(parent)
            parent.virtual = max(parent.virtual, node.start)
            self._touched[parent] = None
            node.finish = node.start + entry.cost / node.weight
            if parent.heap and parent.heap[0][1] == node.ticket:
                heapq.heappop(parent.heap)
            node.ticket, parent.live = 0, parent.live - 1
            if goes_on:
                self._place(node, parent, node.finish)
            goes_on, node = parent.live > 0, parent

    def hold(self, flow: Flow[T]) -> None:
        """A rule keeps this store from being served until `free`."""
        if not flow.held:
            flow.held = True
            self._rest(flow)

    def free(self, flow: Flow[T]) -> None:
        """It may be served again."""
        if flow.held:
            flow.held = False
            if flow.entries:
                self._want(flow)

    def rest(self) -> None:
        """Nothing waits and there is room for more: a busy period is over, and who had more is forgotten.

        (Section 2 of the paper: a new busy period begins with all finish tags passed.) ValueError while
        something waits.
        """
        if self.entries:
            raise ValueError(f"{self.entries} requests wait: wanted none at rest")
        for node in self._touched:  # a level whose own tags moved has a parent here, up to the root
            node.start = node.finish = node.virtual = 0.0
            node.heap.clear()
        self._touched.clear()
        self._idle.clear()
        self._flows.clear()

    def _take_out(self, entry: Entry[T], flow: Flow[T]) -> None:
        del flow.entries[entry]
        entry.flow = None
        self.entries -= 1
        self.bytes -= entry.size
        self._resize(flow, 1)
        if not flow.entries:
            flow.held = False  # whatever held it is asked again for its next request
            self._idle[flow] = None

    def _first(self, parent: _Node) -> _Node:
        """The child with the least start tag; there is one."""
        heap = parent.heap
        while heap[0][2].ticket != heap[0][1]:
            heapq.heappop(heap)
        return heap[0][2]

    def _place(self, node: _Node, parent: _Node, start: float) -> None:
        self._tickets += 1
        node.start, node.ticket = start, self._tickets
        parent.live += 1
        if parent is not self._root:
            heapq.heappush(parent.heap, (start, node.ticket, node))

    def _want(self, node: _Node) -> None:
        """A node, and those above it, want service from now on."""
        parent = node.parent
        while parent is not None and not node.ticket:
            self._place(node, parent, max(parent.virtual, node.finish))
            node, parent = parent, parent.parent

    def _rest(self, node: _Node) -> None:
        """A node wants no service; so those above it that nobody else keeps awake."""
        parent = node.parent
        while parent is not None and node.ticket:
            node.ticket, parent.live = 0, parent.live - 1
            if len(parent.heap) > 2 * parent.live + STALE:
                parent.heap = [place for place in parent.heap if place[2].ticket == place[1]]
                heapq.heapify(parent.heap)
            if parent.live:
                return
            node, parent = parent, parent.parent

    def _resize(self, flow: Flow[T], change: int) -> None:
        """Book a queue whose length was larger by `change`, 1 or -1, a moment ago."""
        size = len(flow.entries)
        if size + change:
            del self._lengths[size + change][flow]
        if size:
            if size == len(self._lengths):
                self._lengths.append(OrderedDict())
            self._lengths[size][flow] = None
        while len(self._lengths) > 1 and not self._lengths[-1]:
            self._lengths.pop()

    def _give_way(self) -> T:
        flow = next(iter(self._lengths[-1]))
        entry = next(reversed(flow.entries))
        self.remove(entry)
        self.given_way += 1
        return entry.item

    def _forget(self) -> None:
        """Drop idle queues that have had no more than their share, and the longest idle past the bound."""
        for _ in range(FORGET):
            if not self._idle:
                return
            flow = next(iter(self._idle))
            parent = flow.parent
            assert parent is not None
            if flow.finish > parent.virtual and len(self._flows) <= self.most_flows:
                self._idle.move_to_end(flow)  # looked at again once the others were
                return
            del self._idle[flow]
            del self._flows[flow.key]
