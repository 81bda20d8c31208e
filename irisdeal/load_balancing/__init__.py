"""Choice of a backend for a request: latency estimates, distance, outlier ejection. Does no I/O."""
