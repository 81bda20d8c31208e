"""Ballots on one register: acceptors, proposers and what they decide."""
