"""Consensus on one register: acceptors, proposers and the ballots by which they decide."""
