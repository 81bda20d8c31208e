"""The replicated configuration store: consensus on its versions, membership, and what is on disk."""
