"""Single-register consensus (CASPaxos): acceptors, proposers and ballots."""
