"""`python -m benchmarks.start_times CHECKOUT...`: how long each program takes from its start until it serves.

The checkouts take turns, so that a change of the machine's load meets all of them. `--share` gives a program that
share of a core, as a quota of each tenth of a second. Prints median and worst.
"""

from __future__ import annotations

import argparse
import itertools
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.loopback_deployment import Deployment

NETWORK = 35  # second octet of the loopback addresses
ROLES = ("config_store", "registry", "proxy")
PERIOD_S = 0.1  # in which a program gets its share of a core
POLL_INTERVAL_S = 0.002
TIMEOUT_S = 30.0
MS_PER_S = 1000.0


def start_time_s(root: Path, role: str, share: float) -> float:
    """Return the time from the start of a program until it logs that it has started."""
    with tempfile.TemporaryDirectory(prefix="start-times-") as folder:
        deployment = Deployment(Path(folder), NETWORK, proxies=1, cores=1, root=root)
        ip = deployment.proxies[0] if role == "proxy" else deployment.cores[0]
        log = Path(folder) / f"{role}-{ip}.log"
        started_at = time.monotonic()
        process = deployment.start(role, ip, is_first=True)
        is_running = True
        try:
            while b"E100" not in log.read_bytes():
                now = time.monotonic() - started_at
                if now > TIMEOUT_S or process.poll() is not None:
                    raise TimeoutError(f"{role} of {root}: {log.read_text()}")
                should_run = now % PERIOD_S < share * PERIOD_S
                if should_run is not is_running:
                    process.send_signal(signal.SIGCONT if should_run else signal.SIGSTOP)
                    is_running = should_run
                time.sleep(POLL_INTERVAL_S)
            return time.monotonic() - started_at
        finally:
            deployment.stop()


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="benchmarks.start_times", description=__doc__)
    parser.add_argument("checkouts", type=Path, nargs="+")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--share", type=float, default=1.0, help="of a core")
    args = parser.parse_args()
    for role in ROLES:
        times: dict[Path, list[float]] = {root: [] for root in args.checkouts}
        for _, root in itertools.product(range(args.count), args.checkouts):
            times[root].append(start_time_s(root, role, args.share))
        for root, measured in times.items():
            median, worst = statistics.median(measured) * MS_PER_S, max(measured) * MS_PER_S
            print(f"{role}, share {args.share:g}, {root}: median {median:.0f} ms, worst {worst:.0f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
