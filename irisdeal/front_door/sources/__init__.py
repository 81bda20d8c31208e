"""Readers that convert files into the data types of other packages."""
