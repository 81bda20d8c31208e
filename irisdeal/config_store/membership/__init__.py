"""Which machines are members of the store, and how that list changes."""
