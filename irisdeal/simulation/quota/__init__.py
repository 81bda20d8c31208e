"""Registries and proxies on one virtual clock: a tenant's quota under load and faults."""
