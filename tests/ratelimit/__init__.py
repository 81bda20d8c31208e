"""Tests of `irisdeal.ratelimit`."""
