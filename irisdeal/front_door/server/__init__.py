"""One front door: sockets, timers and signals round the decision module."""
