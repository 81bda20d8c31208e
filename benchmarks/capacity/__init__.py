"""Measures what a deployment costs each role, on one machine: simulated proxies and backends with real registries
and stores. `python -m benchmarks.capacity --help`; the results are in docs/CAPACITY.md."""
