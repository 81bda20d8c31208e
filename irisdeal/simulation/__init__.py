"""Deterministic simulation in virtual time: machines with event loops, disks and a network in memory.

`world` is the clock and the schedule, `event_loop` and `machine` are processes, `sockets`, `transport` and
`network` are TCP, `disk` is storage. `quota`, `cluster` and `search` are simulations of parts of the system
on top of these.
"""
