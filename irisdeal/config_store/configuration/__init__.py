"""The operator's configuration: its model, how a version is parsed, validated, indexed, and encoded as a delta."""
