"""What an old process of a door tells a new one, and who may spend what while both live; no I/O."""
