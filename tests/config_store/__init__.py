"""Tests of `irisdeal.config_store`."""
