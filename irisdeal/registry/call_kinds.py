"""Kinds of the calls that a registry answers, as they stand on the wire.

The strings are fixed, and some are words of the first version: processes of the version before and after stand side
by side in a rolling upgrade. The table of all calls is in `rpc/calls.py`.
"""

from __future__ import annotations

from typing import Final

# Of proxies
WATCH: Final = "news"  # long poll for backends and configuration: WatchRequest, WatchReply
REPEAT_INCARNATIONS: Final = "lives"  # IncarnationReport, to a registry that may have forgotten
REPORT_USAGE: Final = "count"  # IntervalReport, IntervalReply
RESERVE: Final = "place"  # PlacementRequest, PlacementReply
RESERVE_WHEN_FREE: Final = "wait"  # PlacementRequest, PlacementReply once there is capacity
END_RESERVATION: Final = "ended"  # ReservationEnd, one way

# Of other registries
UPDATE_BACKENDS: Final = "told"  # BackendUpdate; answered once its ends are on disk
FETCH_BACKENDS: Final = "all_lives"  # BackendSnapshot
FETCH_BACKENDS_OLD: Final = "all"  # IncarnationReport; asked by registries of the version before
SHARE_INTERVAL_SUM: Final = "sums"  # IntervalSum, one way
SHARE_LOADS: Final = "loads"  # LoadReport, one way
LEND_PERMITS: Final = "lend"  # LendRequest; the number of permits lent
