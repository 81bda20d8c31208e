"""Tests of `benchmarks`."""
