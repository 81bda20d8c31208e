"""Tests of `irisdeal.runtime`."""
