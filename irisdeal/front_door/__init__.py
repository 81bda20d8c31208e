"""The earlier front door: its process, its decisions, and the packages that only it uses."""
