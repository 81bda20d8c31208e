"""Permits enforce rate limits: an admitted request consumes a permit that was issued exactly once.

Modules: `allowance` (division of a limit), `bucket` (token bucket of one tenant), `authority` (which registries
may issue), `outstanding` (permits leased to proxies), `issuer` (one registry), `prefetched` (one proxy) and
`messages`. None of them does I/O; time is an argument.
"""
