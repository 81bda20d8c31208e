"""The `irisdeal` command: it parses, calls one subsystem and prints. No logic of its own."""
