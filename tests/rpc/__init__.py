"""Tests of `irisdeal.rpc`."""
