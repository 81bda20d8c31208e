"""Simulation of registries and proxies in virtual time: a tenant's quota under load and faults."""
