"""The gateway's proxy: admits clients' requests by the configuration in force and forwards them to backends."""
