"""A world in virtual time: one clock, machines with event loops of their own, and a network in memory."""
