"""Tests of `irisdeal.proxy`."""
