"""Start-time fair queueing over bands, plans and accounts, in bounded memory.

The rules:

1. Each level (bands of priority, the plans of a band, the accounts of a plan) shares its service among its
   backlogged children by weight. A child's next request has a start tag: the service that the child has received
   over its weight, or the level's virtual time if that is later. The smallest start tag is served first and
   becomes the virtual time (Goyal, Vin and Cheng, "Start-time Fair Queuing", SIGCOMM 1996, section 2).
2. An account that has received less than its share starts at the virtual time, before every account that has
   received more: it waits for at most one request of each other account of its plan, however many these queue.
3. A flow that a rule blocks (a rate limit, a limit on requests in flight, a window closed to its band) delays
   no other; it accumulates no claim meanwhile, since it starts again at the virtual time.
4. Only service is charged. A request that times out, whose client disconnects, or that is dropped costs its
   account nothing.
5. Entries, bytes and flows are bounded. Past a bound the newest entry of the longest flow is dropped, so that an
   account with one waiting request is the last to lose it; among flows of one length, that which has had this
   length for the longest time, whose requests have used up most of their time.
6. A plan's weight is its recent demand, so that a flood of new accounts in one plan takes capacity from that plan
   first, and at least a fraction of an even share, so that a plan with little demand is not starved.

A push, a service, a time-out and a disconnect cost O(log n) in the accounts of a plan, amortized: a stale heap
entry is skipped, and a heap is rebuilt once most of it is stale.
Times are whole microseconds of the caller's clock; costs are in any one unit (the caller's: µs of work).
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

T = TypeVar("T")

DEMAND_DECAY_US = 20_000_000  # time constant of a plan's recent demand: longer than a shift of its load
MIN_WEIGHT_SHARE = 0.25  # a plan's least weight, of an even share among the plans of its band
MAX_STALE_ENTRIES = 16  # of a heap, whatever its size
IDLE_FLOWS_CHECKED = 2  # for each new entry: more than the one that may be added, so none accumulate


class Entry(Generic[T]):
    """One waiting request. Its service is charged with `cost`; `size` is in bytes, `queued_at` in µs."""

    __slots__ = ("cost", "flow", "item", "queued_at", "size")

    def __init__(self, item: T, cost: float, size: int, queued_at: int) -> None:
        self.item = item
        self.cost = cost
        self.size = size
        self.queued_at = queued_at
        self.flow: Flow[T] | None = None  # None once it no longer waits


class _Node:
    """A child of a level: its tags there, and the level of its own children."""

    __slots__ = (
        "backlogged",
        "children",
        "finish_tag",
        "heap",
        "parent",
        "sequence",
        "start_tag",
        "virtual_time",
        "weight",
    )

    def __init__(self, parent: _Node | None, weight: float) -> None:
        self.parent = parent
        self.weight = weight
        self.start_tag = 0.0  # of its next request
        self.finish_tag = 0.0  # of its last one served
        self.sequence = 0  # of its entry in the parent's heap; 0: it is not backlogged
        self.virtual_time = 0.0  # of the children's level
        self.heap: list[tuple[float, int, _Node]] = []
        self.backlogged = 0  # children that can be served
        self.children = 0  # that exist


class _Group(_Node):
    """A band or a plan, with its recent demand."""

    __slots__ = ("demand", "demand_at")

    def __init__(self, parent: _Node, weight: float) -> None:
        super().__init__(parent, weight)
        self.demand = 0.0
        self.demand_at = 0

    def add_demand(self, cost: float, now: int) -> None:
        """Add a request's cost to the recent demand."""
        decayed = self.demand * math.exp(min(0, self.demand_at - now) / DEMAND_DECAY_US)
        self.demand = decayed + cost
        self.demand_at = now

    def update_weight(self, band: _Group) -> None:
        """Set a plan's weight in its band: rule 6."""
        min_weight = MIN_WEIGHT_SHARE * band.demand / max(1, band.children)
        self.weight = max(self.demand, min_weight)


class Flow(_Node, Generic[T]):
    """One account's queue in one band, by its index. `is_blocked` while a rule keeps it from being served."""

    __slots__ = ("band", "entries", "is_blocked", "key")

    def __init__(self, key: Hashable, band: int, parent: _Node, weight: float) -> None:
        super().__init__(parent, weight)
        self.key = key
        self.band = band
        self.is_blocked = False
        self.entries: OrderedDict[Entry[T], None] = OrderedDict()


class FairQueue(Generic[T]):
    """All waiting requests of one front door."""

    def __init__(
        self, band_weights: Iterable[float], max_entries: int, max_bytes: int, max_flows: int
    ) -> None:
        """Set the weights of the bands of priority, and the bounds in entries, bytes and flows.

        An idle flow is kept only for as long as it has received more than its share. ValueError where a weight
        or a bound is not over 0.
        """
        self._root = _Node(None, 1.0)
        self.bands = [_Group(self._root, weight) for weight in band_weights]
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.max_flows = max_flows
        if not self.bands or min(band.weight for band in self.bands) <= 0:
            raise ValueError("bands: wanted weights over 0, at least one")
        if min(max_entries, max_bytes, max_flows) <= 0:
            raise ValueError("bounds: wanted entries, bytes and flows over 0")
        self._plans: list[dict[Hashable, _Group]] = [{} for _ in self.bands]
        self._flows: dict[Hashable, Flow[T]] = {}
        self._idle: OrderedDict[Flow[T], None] = OrderedDict()  # kept for their tags, the longest idle first
        self._lengths: list[OrderedDict[Flow[T], None]] = [OrderedDict()]  # flows by their length
        self._changed_levels: dict[_Node, None] = {}  # whose tags have changed in this busy period
        self._last_sequence = 0
        self.entries = self.bytes = 0
        self.dropped = 0  # entries that a bound has dropped so far

    @property
    def flows(self) -> int:
        """The number of flows in memory, idle ones included."""
        return len(self._flows)

    def push(
        self,
        band: int,
        plan: Hashable,
        account: Hashable,
        entry: Entry[T],
        weight: float,
        now: int,
    ) -> list[T]:
        """Add a request to its account's flow; return the requests dropped for it, perhaps the request itself.

        `weight` is the account's among those of its plan, over 0.
        """
        group = self._plans[band].get(plan)
        if group is None:
            group = self._plans[band][plan] = _Group(self.bands[band], 0.0)
            self.bands[band].children += 1
        self.bands[band].add_demand(entry.cost, now)
        group.add_demand(entry.cost, now)
        key = (band, plan, account)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = Flow(key, band, group, weight)
        self._idle.pop(flow, None)
        flow.weight = weight
        flow.entries[entry] = None
        entry.flow = flow
        self.entries += 1
        self.bytes += entry.size
        self._update_length(flow, -1)
        if not flow.is_blocked:
            self._activate(flow)
        dropped: list[T] = []
        while self.entries > self.max_entries or self.bytes > self.max_bytes:
            dropped.append(self._drop())
        self._discard_idle_flows()
        return dropped

    def remove(self, entry: Entry[T]) -> None:
        """Remove a request that timed out, disconnected or was answered; a second call changes nothing."""
        if (flow := entry.flow) is not None:
            self._take_out(entry, flow)
            if not flow.entries:
                self._deactivate(flow)

    def head(self, first_band: int = 0) -> Entry[T] | None:
        """Return the next request of the bands from `first_band` on; None where none can be served."""
        root, best = self._root, None
        for band in self.bands[first_band:]:
            if band.sequence:
                # closed for a while, it accumulates no claim
                band.start_tag = max(band.start_tag, root.virtual_time)
                if best is None or (band.start_tag, band.sequence) < (best.start_tag, best.sequence):
                    best = band
        if best is None:
            return None
        flow = self._first(self._first(best))
        assert isinstance(flow, Flow)
        return next(iter(flow.entries))

    def serve(self, entry: Entry[T]) -> None:
        """Remove the entry that `head` returned, and charge its account, plan and band."""
        flow = entry.flow
        assert flow is not None and flow.sequence, "wanted an entry that may be served"
        self._take_out(entry, flow)
        node: _Node | None = flow
        is_backlogged = bool(flow.entries)
        while node is not None and (parent := node.parent) is not None:
            if isinstance(node, _Group) and isinstance(parent, _Group):
                node.update_weight(parent)
            parent.virtual_time = max(parent.virtual_time, node.start_tag)
            self._changed_levels[parent] = None
            node.finish_tag = node.start_tag + entry.cost / node.weight
            if parent.heap and parent.heap[0][1] == node.sequence:
                heapq.heappop(parent.heap)
            node.sequence = 0
            parent.backlogged -= 1
            if is_backlogged:
                self._enter_heap(node, parent, node.finish_tag)
            is_backlogged = parent.backlogged > 0
            node = parent

    def block(self, flow: Flow[T]) -> None:
        """Keep a flow from being served until `unblock`."""
        if not flow.is_blocked:
            flow.is_blocked = True
            self._deactivate(flow)

    def unblock(self, flow: Flow[T]) -> None:
        """Let a flow be served again."""
        if flow.is_blocked:
            flow.is_blocked = False
            if flow.entries:
                self._activate(flow)

    def end_busy_period(self) -> None:
        """Reset all tags, where nothing waits and there is capacity for more.

        (Section 2 of the paper: a new busy period begins with all finish tags passed.) ValueError while
        a request waits.
        """
        if self.entries:
            raise ValueError(f"{self.entries} requests wait: wanted none at the end of a busy period")
        for node in self._changed_levels:  # with a changed level, its parents are here, up to the root
            node.start_tag = node.finish_tag = node.virtual_time = 0.0
            node.heap.clear()
        self._changed_levels.clear()
        self._idle.clear()
        self._flows.clear()

    def _take_out(self, entry: Entry[T], flow: Flow[T]) -> None:
        del flow.entries[entry]
        entry.flow = None
        self.entries -= 1
        self.bytes -= entry.size
        self._update_length(flow, 1)
        if not flow.entries:
            flow.is_blocked = False  # whatever blocked it is checked again for its next request
            self._idle[flow] = None

    def _first(self, parent: _Node) -> _Node:
        """Return the child with the smallest start tag; there is one."""
        heap = parent.heap
        while heap[0][2].sequence != heap[0][1]:
            heapq.heappop(heap)
        return heap[0][2]

    def _enter_heap(self, node: _Node, parent: _Node, start_tag: float) -> None:
        self._last_sequence += 1
        node.start_tag = start_tag
        node.sequence = self._last_sequence
        parent.backlogged += 1
        if parent is not self._root:
            heapq.heappush(parent.heap, (start_tag, node.sequence, node))

    def _activate(self, node: _Node) -> None:
        """Make a node, and those above it, backlogged."""
        parent = node.parent
        while parent is not None and not node.sequence:
            self._enter_heap(node, parent, max(parent.virtual_time, node.finish_tag))
            node, parent = parent, parent.parent

    def _deactivate(self, node: _Node) -> None:
        """Make a node not backlogged; so those above it that have no other backlogged child."""
        parent = node.parent
        while parent is not None and node.sequence:
            node.sequence = 0
            parent.backlogged -= 1
            if len(parent.heap) > 2 * parent.backlogged + MAX_STALE_ENTRIES:
                parent.heap = [item for item in parent.heap if item[2].sequence == item[1]]
                heapq.heapify(parent.heap)
            if parent.backlogged:
                return
            node, parent = parent, parent.parent

    def _update_length(self, flow: Flow[T], decrease: int) -> None:
        """Index a flow whose length was larger by `decrease`, 1 or -1, a moment ago."""
        length = len(flow.entries)
        if length + decrease:
            del self._lengths[length + decrease][flow]
        if length:
            if length == len(self._lengths):
                self._lengths.append(OrderedDict())
            self._lengths[length][flow] = None
        while len(self._lengths) > 1 and not self._lengths[-1]:
            self._lengths.pop()

    def _drop(self) -> T:
        flow = next(iter(self._lengths[-1]))
        entry = next(reversed(flow.entries))
        self.remove(entry)
        self.dropped += 1
        return entry.item

    def _discard_idle_flows(self) -> None:
        """Discard idle flows that received no more than their share, and the longest idle past the bound."""
        for _ in range(IDLE_FLOWS_CHECKED):
            if not self._idle:
                return
            flow = next(iter(self._idle))
            parent = flow.parent
            assert parent is not None
            if flow.finish_tag > parent.virtual_time and len(self._flows) <= self.max_flows:
                self._idle.move_to_end(flow)  # checked again after the others
                return
            del self._idle[flow]
            del self._flows[flow.key]
