"""Fair queueing of waiting requests, and the statistics of its accounts. No I/O, no own clock."""
