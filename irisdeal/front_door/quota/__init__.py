"""A customer's quota over all doors, as one door can know it; no I/O."""
