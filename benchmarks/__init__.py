"""Measurements, each run by one command. They print ratios taken in turns in one run; none is a test."""
