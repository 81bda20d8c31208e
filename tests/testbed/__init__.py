"""Tests of `irisdeal.testbed`."""
