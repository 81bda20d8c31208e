"""Plays a day on one machine: the testbed runs in this process, real front doors as separate processes."""
