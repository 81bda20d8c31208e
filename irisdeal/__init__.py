"""The front door on real sockets: transport round the decisions of `cresspulley`."""
