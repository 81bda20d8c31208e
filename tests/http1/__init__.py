"""Tests of `irisdeal.http1`."""
