"""Tests of `irisdeal.permits`."""
