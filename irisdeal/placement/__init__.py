"""Where requests go, told by one registry to all doors of its zone; it knows at once what each backend has."""
