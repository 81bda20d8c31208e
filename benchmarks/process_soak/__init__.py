"""A soak of process starts, stops and signals: `python -m benchmarks.process_soak`."""
