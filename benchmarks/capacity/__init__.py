"""What a deployment costs each role, measured on one machine: hollow doors and backends before real registries
and stores. `python -m benchmarks.capacity --help`; the figures stand in docs/CAPACITY.md."""
