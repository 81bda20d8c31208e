"""The operator's configuration: its schema, validation, versions and differences."""
