"""Handover between two processes of one front door: its messages, the state, and what each may use. No I/O."""
