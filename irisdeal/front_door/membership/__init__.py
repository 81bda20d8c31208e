"""Who is in the fleet and when to ask; no I/O."""
