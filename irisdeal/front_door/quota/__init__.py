"""Quota accounts at a shared counter service, and claims while that service is overloaded. No I/O, no own clock."""
