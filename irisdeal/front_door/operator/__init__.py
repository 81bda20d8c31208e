"""Operators' figures, calls and bans: what is asked and told; no input or output."""
