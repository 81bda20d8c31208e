"""The gateway's proxy: admits clients' requests by the current configuration and forwards them to backends."""
