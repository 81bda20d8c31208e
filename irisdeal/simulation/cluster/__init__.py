"""Simulation of the configuration store in virtual time, with faults of machines, disks and links, and checks."""
