"""Choice of a backend for a request: latency estimates, distance, outlier ejection. No input or output."""
