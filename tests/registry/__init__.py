"""Tests of `irisdeal.registry`."""
