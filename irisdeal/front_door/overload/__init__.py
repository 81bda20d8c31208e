"""What a front door decides when more comes than it has room for. Pure: no I/O, no clock of its own."""
