"""Fencing: what one process holds for others ends with the term in which it was given. No input or output."""
