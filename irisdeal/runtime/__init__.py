"""What the three programs of the gateway share: settings, errors, events, addresses, the process."""
