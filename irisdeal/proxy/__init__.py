"""The proxy: takes clients' requests and carries them to backends, by the operator's word."""
