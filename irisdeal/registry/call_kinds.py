"""Names on the wire of the calls that a registry answers.

The strings are fixed, because processes of adjacent versions run side by side during a rolling upgrade; some date
from the first version. All calls are specified in `rpc/calls.py`.
"""

from __future__ import annotations

from typing import Final

# From proxies
WATCH: Final = "news"  # long poll for backends and configuration: WatchRequest, WatchReply
REPEAT_INCARNATIONS: Final = "lives"  # IncarnationReport, to a registry that may have lost them
REPORT_USAGE: Final = "count"  # IntervalReport, IntervalReply
RESERVE: Final = "place"  # PlacementRequest, PlacementReply
RESERVE_WHEN_FREE: Final = "wait"  # PlacementRequest; PlacementReply once there is capacity
END_RESERVATION: Final = "ended"  # ReservationEnd; a notification

# From other registries
UPDATE_BACKENDS: Final = "told"  # BackendUpdate; answered once its drains and ends are on disk
FETCH_BACKENDS: Final = "all_lives"  # answered with a BackendSnapshot
FETCH_BACKENDS_OLD: Final = "all"  # answered with an IncarnationReport; sent by the previous version
SHARE_INTERVAL_SUM: Final = "sums"  # IntervalSum; a notification
SHARE_LOADS: Final = "loads"  # LoadReport; a notification
LEND_PERMITS: Final = "lend"  # LendRequest; answered with the number of permits lent
