"""Tests of `irisdeal.cli`."""
