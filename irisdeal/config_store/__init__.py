"""The replicated configuration store: consensus, membership, storage, and the configuration format."""
