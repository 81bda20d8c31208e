"""A day on one machine: the testbed in this process, real front doors as processes."""
