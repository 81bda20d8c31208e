"""The operator's configuration: its model, and the parsing, validation, indexing and delta encoding of versions."""
