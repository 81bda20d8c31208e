"""What the gateway's programs share: settings, errors, log events, metrics, ports, the life cycle of a process."""
