"""Whole days in virtual time, and the search for the schedule of faults that breaks a rule."""
