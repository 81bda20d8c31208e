"""Simulated days of the front door, and the search for schedules of faults that break a rule."""
