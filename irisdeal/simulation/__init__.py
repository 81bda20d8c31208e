"""Deterministic simulation in virtual time: machines with event loops, disks and a network in memory.

`world` holds the clock and the schedule; `event_loop` and `machine` simulate processes; `sockets`, `transport`
and `network` simulate TCP; `disk` simulates storage. The packages `quota`, `cluster` and `search` use them to
simulate parts of the system.
"""
