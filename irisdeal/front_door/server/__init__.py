"""One front door process: sockets, timers and signals around the decision module."""
