"""Tests of `irisdeal.simulation`."""
