"""Members of the configuration store: how their list changes, and who is in contact with a quorum."""
