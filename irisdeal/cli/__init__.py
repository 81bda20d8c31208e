"""The `irisdeal` command: parses arguments, calls one subsystem and prints the result."""
